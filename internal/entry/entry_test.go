package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"

	"goldcresthinge.example/goldcresthinge/internal/backend"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/quota"
	"goldcresthinge.example/goldcresthinge/internal/replica"
	"goldcresthinge.example/goldcresthinge/internal/routing"
	"goldcresthinge.example/goldcresthinge/internal/waitqueue"
	"goldcresthinge.example/goldcresthinge/platform"
)

var begin = time.Unix(1000, 0)

func after(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

func serverRow(id string, version uint64, state string) replica.Row {
	value := fmt.Sprintf(`{"address":"10.0.0.1:%d","info":{"service":"svc","zone":"a","slots":2},"status":{"state":%q}}`, version, state)
	return replica.Row{Key: id, Value: []byte(value), Version: version}
}

func newTestWorld() *world {
	w := newWorld(fleet.VM{ID: "vm-1", FailureDomain: "a", Region: "r"}, log.NewNopLogger())
	regions := map[string]string{"a": "r", "b": "r", "far": "q"}
	w.regions.Store(&regions)
	return w
}

// Guards against servers that are dropped although only their entries lapsed
// while the store was away, and against gone servers that are kept for ever.
func TestLapsedEntriesAreKeptForAWhile(t *testing.T) {
	w := newTestWorld()
	w.registry.Apply(replica.Changes{Full: true, Version: 5, Rows: []replica.Row{serverRow("s-1", 4, "ready"), serverRow("s-2", 5, "ready")}}, after(0))
	w.refresh(after(0))
	// The store was away for 5 s; both entries lapsed meanwhile.
	w.registry.Apply(replica.Changes{Full: true, Version: 9}, after(5000))
	w.refresh(after(5001))
	if n := len(w.fleet.Servers()); n != 2 {
		t.Fatalf("%d servers right after the store's return", n)
	}
	w.registry.Apply(replica.Changes{BaseVersion: 9, Version: 11, Rows: []replica.Row{serverRow("s-1", 11, "ready")}}, after(6000))
	w.refresh(after(6001))
	w.refresh(after(7500))
	if s := w.fleet.Servers(); len(s) != 1 || s[0].ID != "s-1" {
		t.Errorf("servers %v after two seconds", s)
	}
}

// Guards against a server that left without notice and is kept in use.
func TestRemovedEntriesAreDroppedAtOnce(t *testing.T) {
	w := newTestWorld()
	w.registry.Apply(replica.Changes{Full: true, Version: 5, Rows: []replica.Row{serverRow("s-1", 4, "ready")}}, after(0))
	w.refresh(after(0))
	w.registry.Apply(replica.Changes{BaseVersion: 5, Version: 6, Rows: []replica.Row{{Key: "s-1", Version: 6, Removed: true}}}, after(700))
	w.refresh(after(700))
	if n := len(w.fleet.Servers()); n != 0 {
		t.Errorf("%d servers", n)
	}
}

// Guards against unreadable entries that hide the others.
func TestUnreadableEntriesNameNoServer(t *testing.T) {
	w := newTestWorld()
	w.registry.Apply(replica.Changes{Full: true, Version: 5, Rows: []replica.Row{
		serverRow("s-1", 4, "ready"), {Key: "s-2", Value: []byte("{"), Version: 5},
	}}, after(0))
	w.refresh(after(0))
	if s := w.fleet.Servers(); len(s) != 1 || s[0].ID != "s-1" {
		t.Errorf("servers %v", s)
	}
}

// Guards against a configuration that goes back to an older version.
func TestConfigurationNeverGoesBack(t *testing.T) {
	w := newTestWorld()
	put := func(document string, version uint64) {
		w.operator.Apply(replica.Changes{Full: true, Version: version, Rows: []replica.Row{
			{Key: platform.KeyConfiguration, Value: []byte(document), Version: version},
		}}, after(int(version)))
		w.refresh(after(int(version)))
	}
	put(`{"version":"0000000c"}`, 5)
	put(`{"version":"0000000a"}`, 6)
	put(`not JSON`, 7)
	if v := w.routes.Load().Version(); v != 12 {
		t.Errorf("version %d in force", v)
	}
}

func newTestCandidates(w *world, mine ...string) *candidates {
	d := newDuties(after(-1000))
	var list []duty
	for _, id := range mine {
		list = append(list, duty{fleet.Server{ID: id}, quota.Group{Alive: 2, Registered: 2}})
	}
	d.set(after(0), list, nil, func(fleet.Server) bool { return false })
	return &candidates{
		world: w, duties: d, routes: w.routes.Load, poke: func() {}, connected: func(string) bool { return true },
		bounds: func() platform.Bounds { return platform.Bounds{ColdFactor: 1.5, ColdSlack: 5} },
	}
}

func everywhere(string) bool { return true }

// Guards against requests to servers that must not get any.
func TestCandidatesLeaveOutServersThatMustNotBeUsed(t *testing.T) {
	w := newTestWorld()
	w.routes.Store(routing.NewTable(&routing.Configuration{Services: map[string]routing.Service{"svc": {Name: "svc", ColdRate: 6.5}}}))
	server := func(id, domain string, draining bool) fleet.Server {
		return fleet.Server{ID: id, Service: "svc", FailureDomain: domain, Slots: 2, Draining: draining, Address: "10.0.0.1:1"}
	}
	w.fleet.SetServers([]fleet.Server{
		server("good", "a", false), server("draining", "a", true), server("evacuated", "b", false),
		server("far", "far", false), server("dead", "a", false), server("tried", "a", false),
	})
	for _, id := range []string{"good", "draining", "evacuated", "far", "tried"} {
		w.fleet.Observe(id, fleet.Reading{At: after(0), Health: fleet.Healthy})
	}
	w.fleet.Observe("dead", fleet.Reading{At: after(0), Health: fleet.Unreachable})
	evacuated := map[string]bool{"b": true}
	w.evacuated.Store(&evacuated)
	got := newTestCandidates(w).Candidates(after(1), &waitqueue.AcquireRequest{
		Service: "svc", AllowsRegion: func(region string) bool { return region == "r" }, Tried: []string{"tried"},
	})
	if len(got) != 1 || got[0].ID != "good" {
		t.Errorf("candidates %+v", got)
	}
}

// Guards against more requests to a cold server than it bears, summed over VMs:
// the VM that measures it, and a second one that believes that it does.
func TestColdServersGetTheShareOfTheirMeasurer(t *testing.T) {
	const rate, factor, slack, least = 6.5, 1.5, 5, 6
	w := newTestWorld()
	w.routes.Store(routing.NewTable(&routing.Configuration{Services: map[string]routing.Service{"svc": {Name: "svc", ColdRate: rate}}}))
	w.fleet.SetServers([]fleet.Server{{ID: "cold", Service: "svc", FailureDomain: "a", Slots: 2, Address: "10.0.0.1:1"}})
	w.fleet.Observe("cold", fleet.Reading{At: after(0), Health: fleet.Healthy, ColdFor: 10 * time.Second})
	ask := &waitqueue.AcquireRequest{Service: "svc", AllowsRegion: everywhere}
	if got := newTestCandidates(w).Candidates(after(1), ask); len(got) != 1 || !got[0].Blocked {
		t.Errorf("a VM that does not measure the server may use it: %+v", got)
	}
	c := newTestCandidates(w, "cold")
	sent := 0
	for ms := range 1000 {
		if got := c.Candidates(after(ms), ask); !got[0].Blocked {
			c.RequestStarted("cold", after(ms))
			sent++
		}
	}
	if limit := (rate*factor + slack) / 2; float64(sent) > limit || sent < least {
		t.Errorf("%d requests within a second, want %d to %.1f", sent, least, limit)
	}
}

// Guards against VMs that all send to a server that nobody has measured yet, and
// against processes that send what their predecessors sent within the same second.
func TestFewVMsSendToServersWithoutAReading(t *testing.T) {
	server := fleet.Server{ID: "new", Service: "svc", FailureDomain: "a", Slots: 2, Address: "10.0.0.1:1"}
	var vms []fleet.VM
	for i := range 20 {
		vms = append(vms, fleet.VM{ID: fmt.Sprint("vm-", i), FailureDomain: "a", Region: "r"})
	}
	vms = append(vms, fleet.VM{ID: "other", FailureDomain: "b", Region: "r"})
	senders := 0
	for _, self := range vms {
		d := newDuties(after(0))
		unknownSender := func(s fleet.Server) bool { return isUnknownSender(self, vms, s) }
		d.set(after(900), nil, []fleet.Server{server}, unknownSender)
		if d.standing("new").MaySendUnmeasured {
			t.Errorf("%s sends within the first second of its process", self.ID)
		}
		d.set(after(1000), nil, []fleet.Server{server}, unknownSender)
		if d.standing("new").MaySendUnmeasured {
			senders++
		}
	}
	if senders != quota.UnmeasuredSenders {
		t.Errorf("%d VMs send to a server without a reading", senders)
	}
}

// Guards against ranks that stay as they were when VMs come and go.
func TestRanksFollowTheLiveVMs(t *testing.T) {
	self := fleet.VM{ID: "1", FailureDomain: "a", Region: "r"}
	near, next := fleet.VM{ID: "2", FailureDomain: "a", Region: "r"}, fleet.VM{ID: "3", FailureDomain: "b", Region: "r"}
	var servers []fleet.Server
	for i := range 60 {
		servers = append(servers, fleet.Server{ID: fmt.Sprint("s-", i), FailureDomain: []string{"a", "b"}[i%2]})
	}
	highest := func(alive ...fleet.VM) (own, other int) {
		d := newDuties(after(0))
		d.setRanks(self, []fleet.VM{near, next}, servers)
		d.setRanks(self, alive, servers)
		for i, s := range servers {
			if i%2 == 0 {
				own = max(own, d.rank(s.ID))
			} else {
				other = max(other, d.rank(s.ID))
			}
		}
		return own, other
	}
	if own, other := highest(near, next); own != 1 || other != 2 {
		t.Errorf("ranks up to %d and %d among two VMs of the domain and three of the region", own, other)
	}
	if own, other := highest(next); own != 0 || other != 1 {
		t.Errorf("ranks up to %d and %d after the other VM of the domain left", own, other)
	}
}

// Guards against servers that nobody measures, or that many VMs measure.
func TestEachServerHasOneMeasurer(t *testing.T) {
	vms := []fleet.VM{
		{ID: "1", FailureDomain: "a", Region: "r", MilliCores: 300},
		{ID: "2", FailureDomain: "a", Region: "r", MilliCores: 300},
		{ID: "3", FailureDomain: "a", Region: "r", MilliCores: 100},
	}
	var servers []fleet.Server
	for i := range 60 {
		servers = append(servers, fleet.Server{ID: fmt.Sprint("s-", i), FailureDomain: []string{"a", "b"}[i%2]})
	}
	region := func(string) string { return "r" }
	counts := map[string]int{}
	for i, self := range vms {
		others := append(append([]fleet.VM{}, vms[:i]...), vms[i+1:]...)
		mine := assign(self, vms, others, servers, region)
		if self.ID == "3" && len(mine) > 0 {
			t.Errorf("the weak VM measures %d servers", len(mine))
		}
		for _, m := range mine {
			counts[m.server.ID]++
		}
	}
	for _, s := range servers {
		if counts[s.ID] != 1 {
			t.Errorf("%s is measured by %d VMs", s.ID, counts[s.ID])
		}
	}
}

// Guards against entries of VMs that are gone for good and stay for ever, and
// against entries that are removed during a short silence.
func TestEntriesOfSilentVMsAreRemovedAfterAWhile(t *testing.T) {
	self := fleet.VM{ID: "1", Region: "r"}
	quiet, loud, far := fleet.VM{ID: "2", Region: "r"}, fleet.VM{ID: "3", Region: "r"}, fleet.VM{ID: "4", Region: "q"}
	registered := []fleet.VM{self, quiet, loud, far}
	var s silence
	for second := range 59 {
		alive := []fleet.VM{loud}
		if second < 20 {
			alive = append(alive, quiet)
		}
		if got := s.expired(after(1000*second), registered, alive, self); len(got) > 0 {
			t.Fatalf("%v removed after %d s", got, second)
		}
	}
	if got := s.expired(after(1000*79), registered, []fleet.VM{loud}, self); len(got) != 0 {
		t.Errorf("%v removed after 59 s of silence", got)
	}
	if got := s.expired(after(1000*80), registered, []fleet.VM{loud}, self); len(got) != 1 || got[0] != "2" {
		t.Errorf("%v removed after 60 s of silence, want the quiet VM", got)
	}
}

// Guards against 140 VMs that call a store that is down as often as its reader,
// and against a reader that notices its return late.
func TestReadsPauseLongerDuringAnOutage(t *testing.T) {
	calls := func(reader bool) (n int) {
		for at := time.Duration(0); at < 10*time.Second; n++ {
			at += pauseAfter(n+1, reader, 0.5)
		}
		return n
	}
	if n := calls(false); n > 6 {
		t.Errorf("%d calls of a VM in 10 s", n)
	}
	for failures := range 50 {
		if p := pauseAfter(failures+1, true, 0.99); p > failurePause {
			t.Errorf("the reader pauses for %v after %d failures", p, failures+1)
		}
	}
}

// Guards against a stop that outlasts its grace time because a call of the store
// hangs.
func TestStopDoesNotWaitForWorkThatHangs(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	if waitAtMost(time.Millisecond, func() { <-release }) {
		t.Error("reported as ended")
	}
	if !waitAtMost(time.Hour, func() {}) {
		t.Error("reported as hanging")
	}
}

// Guards against a cold server that counts as warm after one lost measurement.
func TestLostMeasurementKeepsColdness(t *testing.T) {
	before := fleet.Reading{At: after(0), Health: fleet.Healthy, ColdFor: 3 * time.Second}
	r := nextReading(before, after(1000), backend.ResponseInfo{}, context.DeadlineExceeded)
	if !r.Cold(after(2900)) || r.Cold(after(3100)) {
		t.Errorf("cold for %v after 1 s", r.ColdFor)
	}
	if r.Health != fleet.Healthy || r.Misses != 1 {
		t.Errorf("health %v, %d misses", r.Health, r.Misses)
	}
}
