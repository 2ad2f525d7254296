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
	pool          = inventory.PoolID{Service: "~claims-00", FailureDomain: "a"}
	errLost       = errors.New("message lost")
	leaseDuration = 2700 * time.Millisecond // lease.TTL less the safety margin of package lease
)

// testVM is a VM with its own view of its lease and of the assignment row.
type testVM struct {
	id         vm.ID
	owner      *Owner
	validUntil time.Time
	epoch      uint64 // 0: does not hold the partition
	paused     bool
}

// Mode implements Ownership. Any mode after the end of the lease other than
// valid and full must lead to the answer "not owner"; reduced is the strongest
// of them.
func (n *testVM) Mode(now time.Time) lease.Mode {
	if now.Before(n.validUntil) {
		return lease.ModeValid
	}
	return lease.ModeReduced
}

// HeldEpoch implements Ownership.
func (n *testVM) HeldEpoch(inventory.PoolID) (uint64, bool) { return n.epoch, n.epoch != 0 }

// testCluster has some VMs, one partition and its assignment row.
type testCluster struct {
	clock   *quartz.Mock
	vms     []*testVM
	limit   int
	ownerVM *testVM
	epoch   uint64
	expiry  time.Time // when a takeover may follow the end of the owner's lease
}

func newCluster(t testing.TB, count, limit int) *testCluster {
	c := &testCluster{clock: quartz.NewMock(t).WithLogger(quartz.NoOpLogger), limit: limit}
	for i := range count {
		n := &testVM{id: vm.ID(rune('a' + i))}
		c.restart(n)
		c.vms = append(c.vms, n)
	}
	first := &siblingpb.Handover{Claims: &siblingpb.ClaimState{}}
	c.startOwner(c.vms[0], 1, first)
	return c
}

func (c *testCluster) now() time.Time { return c.clock.Now() }

func (c *testCluster) advance(d time.Duration) { c.clock.Set(c.now().Add(d)) }

// renew renews the lease of the owner, unless the owner is paused or has
// exported the partition. The expiry allows for package lease, where a
// successor treats a lease as expired 800 ms after the end of leaseDuration or
// later.
func (c *testCluster) renew() {
	if h := c.ownerVM; !h.paused && h.epoch == c.epoch {
		h.validUntil = c.now().Add(leaseDuration)
		c.expiry = h.validUntil.Add(time.Second)
	}
}

func (c *testCluster) startOwner(n *testVM, epoch uint64, state *siblingpb.Handover) {
	c.ownerVM, c.epoch, n.epoch = n, epoch, epoch
	n.owner.StartPool(pool, epoch, state, false)
	c.renew()
}

// restart replaces the process of a VM; its lease and its records are lost.
func (c *testCluster) restart(n *testVM) {
	n.epoch, n.validUntil, n.paused = 0, time.Time{}, false
	n.owner = NewOwner(n, c.clock, WithLimit(c.limit))
}

// readRow makes a former owner read the assignment row and stop the partition.
func (c *testCluster) readRow(n *testVM) {
	if n != c.ownerVM && !n.paused && n.epoch != 0 {
		n.owner.StopPool(pool, n.epoch)
		n.epoch = 0
	}
}

// takeover waits for the end of the lease and moves the partition without a
// handover.
func (c *testCluster) takeover(to *testVM) {
	if c.now().Before(c.expiry) {
		c.advance(c.expiry.Sub(c.now()))
	}
	if to.epoch != 0 {
		to.owner.StopPool(pool, to.epoch)
	}
	c.startOwner(to, c.epoch+1, nil)
}

// handover moves the partition with its state, or without the state if the
// message that carries it is lost.
func (c *testCluster) handover(to *testVM, lost bool) {
	from := c.ownerVM
	state := c.export()
	if lost {
		state = nil
	}
	c.readRow(to)
	c.startOwner(to, c.epoch+1, state)
	from.owner.StopPool(pool, c.epoch-1)
}

func (c *testCluster) export() *siblingpb.Handover {
	c.ownerVM.epoch = 0
	return c.ownerVM.owner.ExportPool(pool)
}

// handle returns the answer of VM to, or errLost if the VM is paused.
func (c *testCluster) handle(to vm.ID, req *siblingpb.RegionClaim) (*siblingpb.RegionClaimAnswer, error) {
	for _, n := range c.vms {
		if n.id == to && !n.paused {
			return n.owner.Handle(req), nil
		}
	}
	return nil, errLost
}

// roundTrip implements Config.Exchange without faults.
func (c *testCluster) roundTrip(_ context.Context, to vm.Info, req *siblingpb.Request) (*siblingpb.Response, error) {
	a, err := c.handle(to.ID, req.GetRegionClaim())
	if err != nil {
		return nil, err
	}
	return &siblingpb.Response{Kind: &siblingpb.Response_RegionClaim{RegionClaim: a}}, nil
}
