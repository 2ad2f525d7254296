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
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/replica"
	"goldcresthinge.example/goldcresthinge/internal/sibling"
	"goldcresthinge.example/goldcresthinge/internal/statesync"
)

// handler takes subscriptions only.
type handler struct{ *statesync.Syncer }

func (handler) HandleForward(context.Context, *call.Call) (*call.Answer, *siblingpb.PoolLoad, error) {
	return nil, nil, outcome.NewUnavailable(outcome.ReasonNotHolder, 0)
}
func (handler) HandleControl(context.Context, *siblingpb.Request) *siblingpb.Response { return nil }

// node is a VM with all that a Syncer needs.
type node struct {
	vm       fleet.VM
	servers  *fleet.ServerTable
	table    *replica.Table
	seen     *statesync.Liveness
	exchange *statesync.Syncer
	server   *sibling.Server
	client   *sibling.Client
	stop     context.CancelFunc
}

type cluster struct {
	t     *testing.T
	nodes []*node
	vms   atomic.Pointer[[]fleet.VM]
}

func newCluster(t *testing.T, places ...[2]string) *cluster {
	t.Helper()
	c := &cluster{t: t}
	c.vms.Store(&[]fleet.VM{})
	servers := []fleet.Server{
		{ID: "s-a", Service: "svc", FailureDomain: "a", Slots: 2, Address: "10.0.0.1:1"},
		{ID: "s-c", Service: "svc", FailureDomain: "c", Slots: 2, Address: "10.0.0.3:1"},
		{ID: "s-b", Service: "svc", FailureDomain: "b", Slots: 2, Address: "10.0.0.2:1"},
	}
	var all []fleet.VM
	for i, p := range places {
		l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		n := &node{
			vm:      fleet.VM{ID: string(rune('0' + i)), FailureDomain: p[0], Region: p[1], Address: l.Addr().String(), MilliCores: 300},
			servers: fleet.NewServerTable(), table: replica.New("t", nil), seen: statesync.NewLiveness(), client: sibling.NewClient(nil, nil, nil),
		}
		n.servers.SetServers(servers)
		n.exchange = statesync.New(statesync.Config{
			Self: n.vm, Servers: n.servers, Tables: []*replica.Table{n.table}, Liveness: n.seen, Client: n.client,
			VMs: func() []fleet.VM { return *c.vms.Load() }, OnChange: func(bool) {},
			RegionOf:       func(domain string) string { return map[string]string{"a": "r", "b": "r", "c": "q"}[domain] },
			NeededByRegion: func(string, string) bool { return true }, Logger: log.NewNopLogger(),
		})
		n.server = sibling.NewServer(l, handler{n.exchange}, log.NewNopLogger())
		go func() { _ = n.server.Serve() }()
		ctx, cancel := context.WithCancel(context.Background())
		n.stop = cancel
		go func() { _ = n.exchange.Run(ctx) }()
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

func (c *cluster) eventually(what string, ok func() bool) {
	c.t.Helper()
	for !ok() {
		select {
		case <-c.t.Context().Done():
			c.t.Fatalf("never: %s", what)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func (c *cluster) relay(domain string) *node {
	for _, n := range c.nodes {
		if n.vm.FailureDomain == domain && n.exchange.IsRelay() {
			return n
		}
	}
	return nil
}

func reading(slowdown float64) fleet.Reading {
	return fleet.Reading{At: time.Now(), Health: fleet.Healthy, Load: fleet.Load{Slowdown: slowdown}}
}

// Guards against readings, tables and counts that reach only some VMs.
func TestNewsReachAllVMs(t *testing.T) {
	c := newCluster(t, [2]string{"a", "r"}, [2]string{"a", "r"}, [2]string{"a", "r"}, [2]string{"b", "r"}, [2]string{"b", "r"})
	for _, n := range c.nodes {
		if n.vm.FailureDomain == "a" && n != c.relay("a") {
			n.servers.Observe("s-a", reading(3))
			n.table.Apply(replica.Changes{Full: true, Version: 7, Rows: []replica.Row{{Key: "k", Value: []byte("v"), Version: 7}}}, time.Now())
			n.servers.RequestStarted("s-a", time.Now())
			n.exchange.Notify()
			break
		}
	}
	c.eventually("the reading at all VMs", func() bool {
		for _, n := range c.nodes {
			if r, _ := n.servers.Reading("s-a"); r.Load.Slowdown != 3 {
				return false
			}
		}
		return true
	})
	c.eventually("the row at all VMs", func() bool {
		for _, n := range c.nodes {
			if _, ok := n.table.Get("k"); !ok {
				return false
			}
		}
		return true
	})
	c.eventually("the request in progress at all VMs, once", func() bool {
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

// Guards against readings of another region that reach only the VM at the link.
func TestReadingsOfAnotherRegionReachAllVMs(t *testing.T) {
	c := newCluster(t, [2]string{"a", "r"}, [2]string{"b", "r"}, [2]string{"b", "r"}, [2]string{"c", "q"}, [2]string{"c", "q"})
	measurer := c.nodes[3]
	if measurer.exchange.IsRelay() {
		measurer = c.nodes[4]
	}
	c.eventually("the reading at all VMs", func() bool {
		measurer.servers.Observe("s-c", reading(4))
		measurer.exchange.Notify()
		for _, n := range c.nodes {
			if r, _ := n.servers.Reading("s-c"); r.Load.Slowdown != 4 {
				return false
			}
		}
		return true
	})
}

// Guards against VMs that stay without news after their relay was lost, and
// against its requests in progress that are counted for ever.
func TestAnotherVMBecomesRelay(t *testing.T) {
	c := newCluster(t, [2]string{"a", "r"}, [2]string{"a", "r"}, [2]string{"a", "r"})
	c.eventually("a relay", func() bool { return c.relay("a") != nil })
	first := c.relay("a")
	c.eventually("all VMs hear the relay", func() bool {
		for _, n := range c.nodes {
			if n != first && !n.seen.Alive(first.vm.ID, time.Now()) {
				return false
			}
		}
		return true
	})
	first.servers.RequestStarted("s-a", time.Now())
	first.exchange.Notify()
	first.kill()
	c.eventually("another relay", func() bool {
		for _, n := range c.nodes {
			if n != first && n.exchange.IsRelay() {
				return true
			}
		}
		return false
	})
	c.eventually("no request of the lost VM", func() bool {
		for _, n := range c.nodes {
			for _, v := range n.servers.All(time.Now()) {
				if n != first && v.Busy != 0 {
					return false
				}
			}
		}
		return true
	})
}

// Guards against VMs that compute different relays from the same list, and
// against a weak VM that sends to all others.
func TestOrderIsTheSameForAllAndPutsStrongVMsFirst(t *testing.T) {
	vms := []fleet.VM{{ID: "1", MilliCores: 160}, {ID: "2", MilliCores: 160}, {ID: "3", MilliCores: 800}}
	reversed := []fleet.VM{vms[2], vms[1], vms[0]}
	a, b := statesync.Order(vms, "d"), statesync.Order(reversed, "d")
	for i := range a {
		if a[i].ID != b[i].ID {
			t.Errorf("orders %v and %v", a, b)
		}
	}
	if a[0].ID != "3" {
		t.Errorf("%s is first", a[0].ID)
	}
}
