package fleet_test

import (
	"testing"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/fleet"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func newTable() *fleet.ServerTable {
	t := fleet.NewServerTable()
	t.SetServers([]fleet.Server{{ID: "s", Service: "svc", Address: "10.0.0.1:1", Slots: 2, Incarnation: 1}})
	return t
}

func view(t *testing.T, table *fleet.ServerTable, now time.Time) fleet.View {
	t.Helper()
	views := table.Views(nil, "svc", now)
	if len(views) != 1 {
		t.Fatalf("%d servers in the table, want 1", len(views))
	}
	return views[0]
}

// Guards against a newer reading that is replaced by an older one of a sibling.
func TestObserveKeepsNewestReading(t *testing.T) {
	table := newTable()
	table.Observe("s", fleet.Reading{At: at(10), Health: fleet.Healthy, Load: fleet.Load{Slowdown: 5}})
	if table.Observe("s", fleet.Reading{At: at(5), Health: fleet.Healthy, Load: fleet.Load{Slowdown: 1}}) {
		t.Error("an older reading was recorded")
	}
	if v := view(t, table, at(20)); v.Reading.Load.Slowdown != 5 {
		t.Errorf("slowdown %v, want 5", v.Reading.Load.Slowdown)
	}
}

// Guards against requests that are counted twice: in the load that the server
// reports and by the VMs that sent them. near/vm-2 is a peer key as package statesync
// uses it.
func TestBusyCountsEachRequestOnce(t *testing.T) {
	table := newTable()
	table.RequestStarted("s", at(0))
	table.SetPeerInFlight("near/vm-2", "s", 1)
	// One request of the three comes from another region.
	table.Observe("s", fleet.Reading{At: at(1), Health: fleet.Healthy, Load: fleet.Load{Running: 2, Waiting: 1}})
	if v := view(t, table, at(2)); v.Busy != 3 {
		t.Errorf("busy %d, want 3", v.Busy)
	}
	table.RequestStarted("s", at(3))
	table.SetPeerInFlight("near/vm-2", "s", 0)
	if v := view(t, table, at(4)); v.Busy != 3 {
		t.Errorf("busy %d after one own request started and one of a sibling ended, want 3", v.Busy)
	}
	table.RequestEnded("s", 0, at(5), fleet.Succeeded)
	table.RequestEnded("s", 0, at(6), fleet.Succeeded)
	if v := view(t, table, at(7)); v.Busy != 1 {
		t.Errorf("busy %d with one request from another region left, want 1", v.Busy)
	}
}

// Guards against requests in progress of a lost sibling that keep occupying slots
// of servers.
func TestDropPeerRemovesItsRequests(t *testing.T) {
	table := newTable()
	table.SetPeerInFlight("near/vm-2", "s", 2)
	table.DropPeer("near/vm-2")
	if v := view(t, table, at(1)); v.Busy != 0 {
		t.Errorf("busy %d after the sibling was dropped, want 0", v.Busy)
	}
}

// Guards against a restarted server that keeps the state of its former
// incarnation.
func TestNewIncarnationDiscardsReading(t *testing.T) {
	table := newTable()
	table.Observe("s", fleet.Reading{At: at(1), Health: fleet.Healthy})
	table.SetServers([]fleet.Server{{ID: "s", Service: "svc", Address: "10.0.0.1:1", Slots: 2, Incarnation: 2}})
	if v := view(t, table, at(2)); v.Reading.Health != fleet.Unmeasured {
		t.Errorf("health %v after a restart, want unmeasured", v.Reading.Health)
	}
}

// Guards against a server that fails all requests and still receives requests.
func TestConsecutiveFailuresQuarantineServer(t *testing.T) {
	table := newTable()
	for i := range 3 {
		table.RequestStarted("s", at(i))
		table.RequestEnded("s", 0, at(i), fleet.Failed)
	}
	if !view(t, table, at(10)).Quarantined {
		t.Error("server not quarantined after three consecutive failures")
	}
	if view(t, table, at(2+500)).Quarantined {
		t.Error("server still quarantined 500 ms after the third failure")
	}
}

// Guards against a speed that counts as known while a change is due, and against
// one that counts as unknown between changes.
func TestSpeedKnownBetweenChanges(t *testing.T) {
	r := fleet.Reading{At: at(0), ValidUntil: at(100), Period: 150 * time.Millisecond}
	const reportDelay = 20 * time.Millisecond
	for _, c := range []struct {
		now, arrival int
		want         bool
	}{
		{50, 60, true},
		{95, 105, false},  // arrives after the change
		{110, 112, false}, // a change may have happened that is not reported yet
		{121, 123, true},  // no change was reported in time, so there was none
		{245, 255, false},
		{421, 430, true}, // two periods after the case at 121 ms
	} {
		if got := r.SpeedKnown(at(c.now), at(c.arrival), reportDelay); got != c.want {
			t.Errorf("now %d ms, arrival %d ms: speed known is %v, want %v", c.now, c.arrival, got, c.want)
		}
	}
	if (fleet.Reading{}).SpeedKnown(at(1), at(1), reportDelay) {
		t.Error("speed counts as known without a period")
	}
}

// Guards against assignments that are computed again for each server that turns warm (the cost
// grows with VMs times servers), and against a replaced server that keeps its assignment.
func TestSetCountGrowsWithReplacedServersOnly(t *testing.T) {
	table := newTable()
	servers := table.Servers()
	count := table.SetCount()
	servers[0].ColdFor, servers[0].Draining = time.Second, true
	table.SetServers(servers)
	if n := table.SetCount(); n != count {
		t.Error("the count grew with a change of the state of a server")
	}
	if s, _ := table.Server("s"); !s.Draining || s.ColdFor != time.Second {
		t.Errorf("server %+v, want the new state", s)
	}
	for _, change := range []func(s *fleet.Server){
		func(s *fleet.Server) { s.Incarnation++ }, func(s *fleet.Server) { s.Address = "10.0.0.2:1" }, func(s *fleet.Server) { s.ID = "t" },
		func(s *fleet.Server) { s.FailureDomain = "b" },
	} {
		count = table.SetCount()
		change(&servers[0])
		table.SetServers(servers)
		if n := table.SetCount(); n == count {
			t.Errorf("the count did not grow with the change to %+v", servers[0])
		}
	}
	count = table.SetCount()
	table.SetServers(nil)
	if n := table.SetCount(); n == count {
		t.Error("the count did not grow with a removal")
	}
}
