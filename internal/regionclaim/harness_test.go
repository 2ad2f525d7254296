package regionclaim

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/coder/quartz"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/lease"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

var (
	pool     = inventory.PoolID{Service: "~claims-00", FailureDomain: "a"}
	errLost  = errors.New("message lost")
	leaseFor = 2700 * time.Millisecond
)

// node is a VM with its view of its lease and of the row.
type node struct {
	id         vm.ID
	owner      *Owner
	validUntil time.Time
	epoch      uint64 // 0: holds nothing
	paused     bool
}

// Mode implements Ownership.
func (n *node) Mode(now time.Time) lease.Mode {
	if now.Before(n.validUntil) {
		return lease.ModeValid
	}
	return lease.ModeReduced
}

// HeldEpoch implements Ownership.
func (n *node) HeldEpoch(inventory.PoolID) (uint64, bool) { return n.epoch, n.epoch != 0 }

// cluster has one partition and its assignment row.
type cluster struct {
	clock  *quartz.Mock
	nodes  []*node
	limit  int
	holder *node
	epoch  uint64
	expiry time.Time // of the lease of holder
}

func newCluster(t testing.TB, vms, limit int) *cluster {
	c := &cluster{clock: quartz.NewMock(t).WithLogger(quartz.NoOpLogger), limit: limit}
	for i := range vms {
		n := &node{id: vm.ID(rune('a' + i))}
		c.restart(n)
		c.nodes = append(c.nodes, n)
	}
	first := &siblingpb.Handover{Claims: &siblingpb.ClaimState{}}
	c.begin(c.nodes[0], 1, first)
	return c
}

func (c *cluster) now() time.Time { return c.clock.Now() }

func (c *cluster) advance(d time.Duration) { c.clock.Set(c.now().Add(d)) }

// renew renews the lease of the holder.
func (c *cluster) renew() {
	if h := c.holder; !h.paused && h.epoch == c.epoch {
		h.validUntil = c.now().Add(leaseFor)
		c.expiry = h.validUntil.Add(time.Second)
	}
}

func (c *cluster) begin(n *node, epoch uint64, state *siblingpb.Handover) {
	c.holder, c.epoch, n.epoch = n, epoch, epoch
	n.owner.StartPool(pool, epoch, state, false)
	c.renew()
}

// restart replaces the process of a VM.
func (c *cluster) restart(n *node) {
	n.epoch, n.validUntil, n.paused = 0, time.Time{}, false
	n.owner = NewOwner(n, c.clock, WithLimit(c.limit))
}

// learn lets a former holder read the row.
func (c *cluster) learn(n *node) {
	if n != c.holder && !n.paused && n.epoch != 0 {
		n.owner.StopPool(pool, n.epoch)
		n.epoch = 0
	}
}

// takeover moves the partition without a handover, after the end of the lease.
func (c *cluster) takeover(to *node) {
	if c.now().Before(c.expiry) {
		c.advance(c.expiry.Sub(c.now()))
	}
	if to.epoch != 0 {
		to.owner.StopPool(pool, to.epoch)
	}
	c.begin(to, c.epoch+1, nil)
}

// handover moves the partition with its state, or without if the message that
// carried it is lost.
func (c *cluster) handover(to *node, lost bool) {
	from := c.holder
	state := c.export()
	if lost {
		state = nil
	}
	c.learn(to)
	c.begin(to, c.epoch+1, state)
	from.owner.StopPool(pool, c.epoch-1)
}

func (c *cluster) export() *siblingpb.Handover {
	c.holder.epoch = 0
	return c.holder.owner.ExportPool(pool)
}

// exchange lets the process of to handle a request.
func (c *cluster) exchange(to vm.ID, req *siblingpb.RegionClaim) (*siblingpb.RegionClaimAnswer, error) {
	for _, n := range c.nodes {
		if n.id == to && !n.paused {
			return n.owner.Handle(req), nil
		}
	}
	return nil, errLost
}

// send is a RoundTrip without faults.
func (c *cluster) send(_ context.Context, to vm.Info, req *siblingpb.Request) (*siblingpb.Response, error) {
	a, err := c.exchange(to.ID, req.GetRegionClaim())
	if err != nil {
		return nil, err
	}
	return &siblingpb.Response{Kind: &siblingpb.Response_RegionClaim{RegionClaim: a}}, nil
}
