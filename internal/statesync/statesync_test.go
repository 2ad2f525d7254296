package statesync_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/call"
	"goldcresthinge.example/goldcresthinge/internal/counts"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/replica"
	"goldcresthinge.example/goldcresthinge/internal/sibling"
	"goldcresthinge.example/goldcresthinge/internal/statesync"
	"goldcresthinge.example/goldcresthinge/internal/suspendclock"
)

// handler serves subscriptions and refuses all other requests.
type handler struct{ *statesync.Syncer }

func (handler) HandleForward(context.Context, *call.Call) (*call.Answer, *siblingpb.PoolLoad, error) {
	return nil, nil, outcome.NewUnavailable(outcome.ReasonNotHolder, 0)
}
func (handler) HandleControl(context.Context, *siblingpb.Request) *siblingpb.Response { return nil }

// node is a VM with a Syncer and all that it needs.
type node struct {
	vm       fleet.VM
	servers  *fleet.ServerTable
	table    *replica.Table
	liveness *statesync.Liveness
	syncer   *statesync.Syncer
	counts   *counts.Board
	server   *sibling.Server
	client   *sibling.Client
	stop     context.CancelFunc
}

// cluster is a set of nodes that know of each other.
type cluster struct {
	t     *testing.T
	nodes []*node
	vms   atomic.Pointer[[]fleet.VM]
}

// newCluster starts one node for each location, a failure domain and its region.
func newCluster(t *testing.T, locations ...[2]string) *cluster {
	t.Helper()
	c := &cluster{t: t}
	c.vms.Store(&[]fleet.VM{})
	servers := []fleet.Server{
		{ID: "s-a", Service: "svc", FailureDomain: "a", Slots: 2, Address: "10.0.0.1:1"},
		{ID: "s-c", Service: "svc", FailureDomain: "c", Slots: 2, Address: "10.0.0.3:1"},
		{ID: "s-b", Service: "svc", FailureDomain: "b", Slots: 2, Address: "10.0.0.2:1"},
	}
	var all []fleet.VM
	for i, p := range locations {
		l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		n := &node{
			vm:      fleet.VM{ID: string(rune('0' + i)), FailureDomain: p[0], Region: p[1], Address: l.Addr().String(), MilliCores: 300},
			servers: fleet.NewServerTable(), table: replica.New("t", nil), liveness: statesync.NewLiveness(), client: sibling.NewClient(nil, nil, nil),
			counts: counts.NewBoard(p[0]),
		}
		n.servers.SetServers(servers)
		n.syncer = statesync.New(statesync.Config{
			Self: n.vm, Servers: n.servers, Tables: []*replica.Table{n.table}, Liveness: n.liveness, Client: n.client, Counts: n.counts,
			VMs: func() []fleet.VM { return *c.vms.Load() }, OnChange: func(bool) {},
			RegionOf:       func(domain string) string { return map[string]string{"a": "r", "b": "r", "c": "q"}[domain] },
			NeededByRegion: func(string, string) bool { return true }, Clock: suspendclock.Now, ProveAge: func() bool { return true }, Logger: log.NewNopLogger(),
		})
		n.server = sibling.NewServer(l, handler{n.syncer}, log.NewNopLogger())
		go func() { _ = n.server.Serve() }()
		ctx, cancel := context.WithCancel(context.Background())
		n.stop = cancel
		go func() { _ = n.syncer.Run(ctx) }()
		c.nodes = append(c.nodes, n)
		all = append(all, n.vm)
		t.Cleanup(n.kill)
	}
	c.vms.Store(&all)
	return c
}

func (n *node) kill() {
	n.stop()
	n.client.Close()
	n.server.Close()
}

// eventually waits until condition holds and fails the test at its deadline.
func (c *cluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	for !condition() {
		select {
		case <-c.t.Context().Done():
			c.t.Fatalf("condition not met before the end of the test: %s", what)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// relay returns the relay of a failure domain, or nil if there is none yet.
func (c *cluster) relay(domain string) *node {
	for _, n := range c.nodes {
		if n.vm.FailureDomain == domain && n.syncer.IsRelay() {
			return n
		}
	}
	return nil
}

func reading(slowdown float64) fleet.Reading {
	return fleet.Reading{At: time.Now(), Health: fleet.Healthy, Load: fleet.Load{Slowdown: slowdown}}
}

// Guards against readings, table rows and requests in progress that are sent only to
// some VMs, or counted more than once.
func TestUpdatesReachAllVMs(t *testing.T) {
	c := newCluster(t, [2]string{"a", "r"}, [2]string{"a", "r"}, [2]string{"a", "r"}, [2]string{"b", "r"}, [2]string{"b", "r"})
	for _, n := range c.nodes {
		if n.vm.FailureDomain == "a" && n != c.relay("a") {
			n.servers.Observe("s-a", reading(3))
			n.table.Apply(replica.Changes{Full: true, Version: 7, Rows: []replica.Row{{Key: "k", Value: []byte("v"), Version: 7}}}, time.Now())
			n.servers.RequestStarted("s-a", time.Now())
			n.syncer.Notify()
			break
		}
	}
	c.eventually("all VMs have the reading", func() bool {
		for _, n := range c.nodes {
			if r, _ := n.servers.Reading("s-a"); r.Load.Slowdown != 3 {
				return false
			}
		}
		return true
	})
	c.eventually("all VMs have the row", func() bool {
		for _, n := range c.nodes {
			if _, ok := n.table.Get("k"); !ok {
				return false
			}
		}
		return true
	})
	c.eventually("all VMs count the request in progress exactly once", func() bool {
		for _, n := range c.nodes {
			for _, v := range n.servers.All(time.Now()) {
				if v.Server.ID == "s-a" && v.Busy != 1 {
					return false
				}
			}
		}
		return true
	})
}

// Guards against readings of another region that reach only the relay that
// subscribes to that region.
func TestReadingsOfAnotherRegionReachAllVMs(t *testing.T) {
	c := newCluster(t, [2]string{"a", "r"}, [2]string{"b", "r"}, [2]string{"b", "r"}, [2]string{"c", "q"}, [2]string{"c", "q"})
	prober := c.nodes[3]
	if prober.syncer.IsRelay() {
		prober = c.nodes[4]
	}
	c.eventually("all VMs have the reading", func() bool {
		prober.servers.Observe("s-c", reading(4))
		prober.syncer.Notify()
		for _, n := range c.nodes {
			if r, _ := n.servers.Reading("s-c"); r.Load.Slowdown != 4 {
				return false
			}
		}
		return true
	})
}

// maxRoundingError is the error of an age that a message states, for each VM on the way.
const maxRoundingError = 3 * time.Millisecond

// Guards against regions that each read the store because its tables are not passed on
// between them.
func TestTablesOfAnotherRegionReachAllVMs(t *testing.T) {
	c := newCluster(t, [2]string{"a", "r"}, [2]string{"b", "r"}, [2]string{"b", "r"}, [2]string{"c", "q"}, [2]string{"c", "q"})
	row := replica.Row{Key: "k", Value: []byte("v"), Version: 7}
	c.eventually("a VM is the relay of region q", func() bool { return c.relay("c") != nil })
	reader := c.relay("c")
	reader.table.ApplyRead(replica.Changes{Full: true, Version: 7, Rows: []replica.Row{row}}, time.Now())
	c.eventually("all VMs have the row", func() bool {
		for _, n := range c.nodes {
			if _, ok := n.table.Get("k"); !ok {
				return false
			}
		}
		return true
	})
	// The time of the next read of the store depends on the age of the copy.
	readAt := time.Now()
	reader.table.ApplyRead(replica.Changes{BaseVersion: 7, Version: 7}, readAt)
	reader.syncer.Notify()
	c.eventually("all VMs know that the copy is up to date", func() bool {
		for _, n := range c.nodes {
			if _, asOf, _ := n.table.State(); asOf.Add(maxRoundingError).Before(readAt) {
				return false
			}
		}
		return true
	})
}

// Guards against a server of constant speed whose readings are not sent again, and which
// VMs of other failure domains and regions therefore treat as one that may have turned
// cold.
func TestUnchangedReadingsAreConfirmed(t *testing.T) {
	c := newCluster(t, [2]string{"a", "r"}, [2]string{"a", "r"}, [2]string{"b", "r"}, [2]string{"b", "r"}, [2]string{"c", "q"}, [2]string{"c", "q"})
	c.eventually("domain a has a relay", func() bool { return c.relay("a") != nil })
	prober := c.nodes[0]
	if prober.syncer.IsRelay() {
		prober = c.nodes[1]
	}
	c.eventually("all other VMs have a confirmed reading", func() bool {
		prober.servers.Observe("s-a", reading(2))
		prober.syncer.Notify()
		for _, n := range c.nodes {
			if r, _ := n.servers.Reading("s-a"); n != prober && (r.Load.Slowdown != 2 || !r.ConfirmedAt.After(r.At)) {
				return false
			}
		}
		return true
	})
}

// Guards against VMs that receive no updates after their relay is lost, and against
// requests in progress of the lost relay that are never removed.
func TestAnotherVMBecomesRelay(t *testing.T) {
	c := newCluster(t, [2]string{"a", "r"}, [2]string{"a", "r"}, [2]string{"a", "r"})
	c.eventually("a VM is relay", func() bool { return c.relay("a") != nil })
	firstRelay := c.relay("a")
	c.eventually("all VMs count the relay as alive", func() bool {
		for _, n := range c.nodes {
			if n != firstRelay && !n.liveness.Alive(firstRelay.vm.ID, time.Now()) {
				return false
			}
		}
		return true
	})
	firstRelay.servers.RequestStarted("s-a", time.Now())
	firstRelay.syncer.Notify()
	firstRelay.kill()
	c.eventually("another VM is relay", func() bool {
		for _, n := range c.nodes {
			if n != firstRelay && n.syncer.IsRelay() {
				return true
			}
		}
		return false
	})
	c.eventually("no VM counts a request of the lost VM", func() bool {
		for _, n := range c.nodes {
			for _, v := range n.servers.All(time.Now()) {
				if n != firstRelay && v.Busy != 0 {
					return false
				}
			}
		}
		return true
	})
}

// Guards against VMs that compute different relays from the same VMs, and against a
// small VM as relay, which sends to all others.
func TestRelayOrderIsDeterministicAndPutsLargestVMsFirst(t *testing.T) {
	vms := []fleet.VM{{ID: "1", MilliCores: 160}, {ID: "2", MilliCores: 160}, {ID: "3", MilliCores: 800}}
	reversed := []fleet.VM{vms[2], vms[1], vms[0]}
	a, b := statesync.RelayOrder(vms, "d"), statesync.RelayOrder(reversed, "d")
	for i := range a {
		if a[i].ID != b[i].ID {
			t.Errorf("orders differ: %v and %v", a, b)
		}
	}
	if a[0].ID != "3" {
		t.Errorf("VM %s is first, want 3, which has the most processor time", a[0].ID)
	}
}

// Guards against VMs that get no proof of the age of their copy because a VM on the way does not pass
// it on, in the same failure domain, between failure domains or between regions.
func TestProofsReachAllVMs(t *testing.T) {
	c := newCluster(t, [2]string{"a", "r"}, [2]string{"b", "r"}, [2]string{"b", "r"}, [2]string{"c", "q"}, [2]string{"c", "q"})
	c.eventually("a VM is the relay of region q", func() bool { return c.relay("c") != nil })
	reader := c.relay("c")
	started := suspendclock.Now()
	c.eventually("all VMs have a proof that is later than the start of the test", func() bool {
		sentAt := suspendclock.Now()
		reader.table.ApplyRead(replica.Changes{Full: true, Version: 7}, time.Now())
		reader.table.Prove(replica.Position{Version: 7}, sentAt)
		reader.syncer.Notify()
		for _, n := range c.nodes {
			if n.table.ProvenAsOf() <= started {
				return false
			}
		}
		return true
	})
}
