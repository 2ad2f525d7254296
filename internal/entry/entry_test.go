package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"goldcresthinge.example/goldcresthinge/internal/backend"
	"goldcresthinge.example/goldcresthinge/internal/canary"
	"goldcresthinge.example/goldcresthinge/internal/counts"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/outage"
	"goldcresthinge.example/goldcresthinge/internal/quota"
	"goldcresthinge.example/goldcresthinge/internal/replica"
	"goldcresthinge.example/goldcresthinge/internal/routing"
	"goldcresthinge.example/goldcresthinge/internal/settings"
	"goldcresthinge.example/goldcresthinge/internal/suspendclock"
	"goldcresthinge.example/goldcresthinge/internal/waitqueue"
	"goldcresthinge.example/goldcresthinge/platform"
)

var begin = time.Unix(1000, 0)

func after(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

func serverRow(id string, version uint64, state string) replica.Row {
	value := fmt.Sprintf(`{"address":"10.0.0.1:%d","info":{"service":"svc","zone":"a","slots":2},"status":{"state":%q}}`, version, state)
	return replica.Row{Key: id, Value: []byte(value), Version: version}
}

func newTestState() *deploymentState {
	state := newDeploymentState(fleet.VM{ID: "vm-1", FailureDomain: "a", Region: "r"}, log.NewNopLogger())
	regions := map[string]string{"a": "r", "b": "r", "far": "q"}
	state.regions.Store(&regions)
	state.rollouts = canary.NewTracker(counts.NewBoard("a"), func() canary.Limits { return canary.Limits{Share: 0.1, Slack: 4} }, func() int { return 1 })
	return state
}

// Guards against servers that are dropped although their rows expired only
// because the store was unavailable, and against servers that are gone but kept
// for ever.
func TestExpiredRowsAreKeptForTheGracePeriod(t *testing.T) {
	state := newTestState()
	state.registry.Apply(replica.Changes{Full: true, Version: 5, Rows: []replica.Row{serverRow("s-1", 4, "ready"), serverRow("s-2", 5, "ready")}}, after(0))
	state.refresh(after(0))
	// The store was unavailable for 5 s, and both rows expired in that time.
	state.recordOutage(after(2000))
	state.registry.Apply(replica.Changes{Full: true, Version: 9}, after(5000))
	state.refresh(after(5001))
	if n := len(state.fleet.Servers()); n != 2 {
		t.Fatalf("%d servers right after the store became readable again, want 2", n)
	}
	state.registry.Apply(replica.Changes{BaseVersion: 9, Version: 11, Rows: []replica.Row{serverRow("s-1", 11, "ready")}}, after(6000))
	state.refresh(after(6001))
	state.refresh(after(7500))
	if s := state.fleet.Servers(); len(s) != 1 || s[0].ID != "s-1" {
		t.Errorf("servers %v after the grace period, want s-1 only", s)
	}
}

// Guards against a VM that takes its own failed or missing reads for an outage of the store and goes on
// with a server that has left, and against an outage that is overlooked because the relay noticed it.
func TestOnlyOutagesKeepServersWithoutRows(t *testing.T) {
	at := func(from, to int, afterOutage bool) outage.History {
		return outage.History{Since: after(from), AsOf: after(to), AfterOutage: afterOutage}
	}
	for _, c := range []struct {
		name     string
		failedMs int // time of a read of this VM that shows an outage; 0: none
		copies   []outage.History
		want     int
	}{
		{"connections were silent", 0, []outage.History{at(2500, 2500, false)}, 0},
		{"the relay was paused", 0, []outage.History{at(4000, 4000, false)}, 0},
		{"the store was unavailable", 2000, []outage.History{at(5000, 5000, false)}, 1},
		{"the relay found the store unavailable", 0, []outage.History{at(5000, 5200, true)}, 1},
		{"this VM alone could not read", 2000, []outage.History{at(-9000, 5000, false)}, 0},
		{"this VM alone could not read, and reads first", 2000, []outage.History{at(5000, 5000, false), at(-9000, 5100, false)}, 0},
		{"the relay alone could not read", 0, []outage.History{at(1400, 1400, false), at(2800, 2800, false), at(3100, 3200, true)}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			state := newTestState()
			state.registry.Apply(replica.Changes{Full: true, Version: 5, Rows: []replica.Row{serverRow("s-1", 4, "ready")}}, after(0))
			state.refresh(after(0))
			if c.failedMs > 0 {
				state.recordOutage(after(c.failedMs))
			}
			for i, h := range c.copies {
				changes := replica.Changes{BaseVersion: 9, Version: 9}
				if i == 0 {
					changes = replica.Changes{BaseVersion: 5, Version: 9, Rows: []replica.Row{{Key: "s-1", Version: 9, Removed: true}}}
				}
				state.registry.ApplyCopy(changes, h)
				state.refresh(h.AsOf.Add(time.Millisecond))
			}
			if n := len(state.fleet.Servers()); n != c.want {
				t.Errorf("%d servers in use after the row was removed, want %d", n, c.want)
			}
		})
	}
}

// Guards against a server that stays in use after its row was removed without
// notice.
func TestRemovedEntriesAreDroppedAtOnce(t *testing.T) {
	state := newTestState()
	state.registry.Apply(replica.Changes{Full: true, Version: 5, Rows: []replica.Row{serverRow("s-1", 4, "ready")}}, after(0))
	state.refresh(after(0))
	state.registry.Apply(replica.Changes{BaseVersion: 5, Version: 6, Rows: []replica.Row{{Key: "s-1", Version: 6, Removed: true}}}, after(700))
	state.refresh(after(700))
	if n := len(state.fleet.Servers()); n != 0 {
		t.Errorf("%d servers after the row was removed, want none", n)
	}
}

// Guards against an unreadable row that keeps the others from being used.
func TestUnreadableRowsAreIgnored(t *testing.T) {
	state := newTestState()
	state.registry.Apply(replica.Changes{Full: true, Version: 5, Rows: []replica.Row{
		serverRow("s-1", 4, "ready"), {Key: "s-2", Value: []byte("{"), Version: 5},
	}}, after(0))
	state.refresh(after(0))
	if s := state.fleet.Servers(); len(s) != 1 || s[0].ID != "s-1" {
		t.Errorf("servers %v, want s-1 only", s)
	}
}

// Guards against an older or unreadable configuration that replaces the one in
// force.
func TestConfigurationNeverRevertsToAnOlderVersion(t *testing.T) {
	state := newTestState()
	put := func(document string, version uint64) {
		state.operator.Apply(replica.Changes{Full: true, Version: version, Rows: []replica.Row{
			{Key: platform.KeyConfiguration, Value: []byte(document), Version: version},
		}}, after(int(version)))
		state.refresh(after(int(version)))
	}
	put(`{"version":"0000000c"}`, 5)
	put(`{"version":"0000000a"}`, 6)
	put(`not JSON`, 7)
	if v := state.routes.Load().Version(); v != 12 {
		t.Errorf("version %d in force, want 12", v)
	}
}

func newTestCandidates(state *deploymentState, assignedIDs ...string) *candidates {
	assignments := newProbeAssignments(after(-1000))
	var assigned []assignedServer
	for _, id := range assignedIDs {
		assigned = append(assigned, assignedServer{fleet.Server{ID: id}, quota.Group{Alive: 2, Registered: 2}})
	}
	assignments.set(after(0), assigned, nil)
	return &candidates{
		planning: newPlanning(state, counts.NewBoard("a"), settings.EntrySettings{}, tally.NoopScope),
		state:    state, assignments: assignments, routes: state.routes.Load, notifySiblings: func() {}, hasIdleConn: func(string) bool { return true },
		rollouts: state.rollouts, notices: newNotices(state.fleet, log.NewNopLogger(), tally.NoopScope),
		bounds: func() platform.Bounds {
			return platform.Bounds{ColdFactor: 1.5, ColdSlack: 5, DrainTimeout: 2 * time.Second}
		},
	}
}

func anyRegion(string) bool { return true }

// Guards against requests to servers that are draining, evacuated, unreachable,
// outside the allowed regions, or already tried.
func TestCandidatesLeaveOutServersThatMustNotBeUsed(t *testing.T) {
	state := newTestState()
	state.routes.Store(routing.NewTable(&routing.Configuration{Services: map[string]routing.Service{"svc": {Name: "svc", ColdRate: 6.5}}}))
	server := func(id, domain string, draining bool) fleet.Server {
		return fleet.Server{ID: id, Service: "svc", FailureDomain: domain, Slots: 2, Draining: draining, Address: "10.0.0.1:1"}
	}
	state.fleet.SetServers([]fleet.Server{
		server("good", "a", false), server("draining", "a", true), server("evacuated", "b", false),
		server("far", "far", false), server("dead", "a", false), server("tried", "a", false),
	})
	for _, id := range []string{"good", "draining", "evacuated", "far", "tried"} {
		state.fleet.Observe(id, fleet.Reading{At: after(0), Health: fleet.Healthy})
	}
	state.fleet.Observe("dead", fleet.Reading{At: after(0), Health: fleet.Unreachable})
	evacuated := map[string]bool{"b": true}
	state.evacuated.Store(&evacuated)
	got := newTestCandidates(state).Candidates(after(1), &waitqueue.AcquireRequest{
		Service: "svc", AllowsRegion: func(region string) bool { return region == "r" }, Tried: []string{"tried"},
	})
	if len(got) != 1 || got[0].ID != "good" {
		t.Errorf("candidates %+v, want the server good only", got)
	}
}

// Guards against more requests to a cold server than it can handle, summed over
// the VM that measures it and a second VM that wrongly holds the assignment
// too.
func TestColdServersGetOnlyTheShareOfTheirProber(t *testing.T) {
	const rate, factor, slack, minSent = 6.5, 1.5, 5, 6
	state := newTestState()
	state.routes.Store(routing.NewTable(&routing.Configuration{Services: map[string]routing.Service{"svc": {Name: "svc", ColdRate: rate}}}))
	state.fleet.SetServers([]fleet.Server{{ID: "cold", Service: "svc", FailureDomain: "a", Slots: 2, Address: "10.0.0.1:1"}})
	state.fleet.Observe("cold", fleet.Reading{At: after(0), Health: fleet.Healthy, ColdFor: 10 * time.Second})
	request := &waitqueue.AcquireRequest{Service: "svc", AllowsRegion: anyRegion}
	if got := newTestCandidates(state).Candidates(after(1), request); len(got) != 1 || !got[0].Blocked {
		t.Errorf("a VM that does not measure the server may use it: %+v", got)
	}
	c := newTestCandidates(state, "cold")
	sent := 0
	for ms := range 1000 {
		if got := c.Candidates(after(ms), request); !got[0].Blocked {
			c.RequestStarted("cold", after(ms))
			sent++
		}
	}
	if limit := (rate*factor + slack) / 2; float64(sent) > limit || sent < minSent {
		t.Errorf("%d requests within a second, want %d to %.1f", sent, minSent, limit)
	}
}

// coldLimitTest sends requests to one server whose cold limit is 20 requests within a
// second, as often as placement allows.
type coldLimitTest struct {
	*candidates
	limit float64
}

func newColdLimitTest(assignedIDs ...string) coldLimitTest {
	const rate, factor, slack = 10, 1.5, 5
	state := newTestState()
	state.routes.Store(routing.NewTable(&routing.Configuration{Services: map[string]routing.Service{"svc": {Name: "svc", ColdRate: rate}}}))
	state.fleet.SetServers([]fleet.Server{{ID: "s", Service: "svc", FailureDomain: "a", Slots: 2, Address: "10.0.0.1:1"}})
	return coldLimitTest{newTestCandidates(state, assignedIDs...), rate*factor + slack}
}

// send tries to send a request in each millisecond between from and to, and returns the
// number of requests sent.
func (t coldLimitTest) send(from, to int) int {
	request := &waitqueue.AcquireRequest{Service: "svc", AllowsRegion: anyRegion}
	sent := 0
	for ms := from; ms < to; ms++ {
		if got := t.Candidates(after(ms), request); !got[0].Blocked {
			t.RequestStarted("s", after(ms))
			sent++
		}
	}
	return sent
}

// Guards against a VM that receives no readings for a while and meanwhile sends at its full
// rate to a server that has turned cold.
func TestSendsSinceAReadingAreLimited(t *testing.T) {
	c := newColdLimitTest()
	c.state.fleet.Observe("s", fleet.Reading{At: after(0), Health: fleet.Healthy, Source: "relay"})
	limit := c.limit / 3
	if sent := c.send(1, 1400); float64(sent) > limit || sent == 0 {
		t.Errorf("%d requests sent without a further reading, want 1 to %.1f", sent, limit)
	}
	c.state.fleet.Confirm("relay", after(1400), nil)
	if sent := c.send(1401, 1500); float64(sent) > limit || sent == 0 {
		t.Errorf("%d requests sent after a confirmation, want 1 to %.1f", sent, limit)
	}
}

// Guards against a VM that uses its whole share of a cold server's limit on top of what it
// sent since the last reading that showed the server as not cold (seen in the
// fault-injection test of package soak with seed 1).
func TestSendsBeforeAServerIsKnownToBeColdCount(t *testing.T) {
	c := newColdLimitTest("s")
	c.state.fleet.Observe("s", fleet.Reading{At: after(2000), Health: fleet.Healthy})
	before := c.send(2001, 2050)
	c.state.fleet.Observe("s", fleet.Reading{At: after(2050), Health: fleet.Healthy, ColdFor: 10 * time.Second})
	if sent := before + c.send(2051, 3000); before == 0 || float64(sent) > c.limit/2 {
		t.Errorf("%d requests sent within a second, %d of them before the server was known to be cold; want 1 or more before and at most %.1f", sent, before, c.limit/2)
	}
}

// Guards against a VM that may send one request per second to a server without a recent
// reading, and sends without a limit because the old reading shows the server as not cold.
func TestSendsWithAnOldReadingAreLimited(t *testing.T) {
	c := newColdLimitTest()
	c.assignments.setUnmeasured(after(0), []string{"s"})
	c.state.fleet.Observe("s", fleet.Reading{At: after(0), Health: fleet.Healthy, Source: "relay"})
	if sent := c.send(2000, 2999); sent != 1 {
		t.Errorf("%d requests sent within a second with a reading that is 2 s old, want 1", sent)
	}
}

// allRoles is a VM that takes itself for the relay of its failure domain and region.
type allRoles struct{}

func (allRoles) IsRelay() bool                { return true }
func (allRoles) IsRegionRelay(time.Time) bool { return true }

// Guards against a start of the whole system at which each VM takes itself for the relay,
// because it does not know of the others yet, and reads all tables again and again.
func TestVMsThatKnowNoOthersDoNotReadAsRelays(t *testing.T) {
	vmsKnown := false
	r := &tableReader{
		table: replica.New(platform.TableServers, nil), roles: allRoles{}, longPoll: true, ageFactor: 1, firstStart: true, distance: &storeDistance{},
		vmsKnown: func() bool { return vmsKnown }, registered: func() bool { return true }, maxChangeDelay: func() time.Duration { return 2 * time.Second },
	}
	if r.mayReadInitially(time.Second) || r.maxAge(after(0)) < time.Second {
		t.Error("a VM that knows of no other VM reads as a relay")
	}
	if !r.mayReadInitially(maxRelayWait) {
		t.Error("a VM waits for a relay for ever")
	}
	vmsKnown = true
	if !r.mayReadInitially(time.Second) || r.maxAge(after(0)) != ageCheckInterval {
		t.Error("the relay does not read")
	}
	r.firstStart, vmsKnown = false, false
	if !r.mayReadInitially(0) {
		t.Error("a VM that starts later, while callers wait, does not read at once")
	}
}

// Guards against region relays that all read the store at the same rate: the one far from the
// store waits longer, so that the copy of the near one arrives before it reads.
func TestFarRegionRelayLeavesTheStoreToTheNearOne(t *testing.T) {
	r := &tableReader{
		table: replica.New(platform.TableServers, nil), roles: allRoles{}, ageFactor: 1, distance: &storeDistance{},
		vmsKnown: func() bool { return true }, registered: func() bool { return true }, maxChangeDelay: func() time.Duration { return 2 * time.Second },
	}
	near := r.maxAge(after(0))
	r.distance.record(30 * time.Millisecond)
	if far := r.maxAge(after(0)); far < near+100*time.Millisecond || far > 1100*time.Millisecond {
		t.Errorf("the far relay reads at an age of %v, the near one at %v; want a later time that leaves half of the limit", far, near)
	}
	r.longPoll = true
	if r.waitsForChanges(after(0)) {
		t.Error("the far relay waits for changes at the store")
	}
	r.distance.record(5 * time.Millisecond)
	if !r.waitsForChanges(after(0)) || r.maxAge(after(0)) != ageCheckInterval {
		t.Error("one slow answer makes a relay a far one")
	}
}

// Guards against rows that stay for ever although their VMs are gone for
// good, and against rows that are removed after a short silence.
func TestRowsOfSilentVMsAreRemovedAfterMaxSilence(t *testing.T) {
	self := fleet.VM{ID: "1", Region: "r"}
	silent, live, far := fleet.VM{ID: "2", Region: "r"}, fleet.VM{ID: "3", Region: "r"}, fleet.VM{ID: "4", Region: "q"}
	registered := []fleet.VM{self, silent, live, far}
	var tracker silenceTracker
	for second := range 59 {
		alive := []fleet.VM{live}
		if second < 20 {
			alive = append(alive, silent)
		}
		if got := tracker.expired(after(1000*second), registered, alive, self); len(got) > 0 {
			t.Fatalf("%v removed after %d s, want no removal before 60 s of silence", got, second)
		}
	}
	if got := tracker.expired(after(1000*79), registered, []fleet.VM{live}, self); len(got) != 0 {
		t.Errorf("%v removed after 59 s of silence, want none", got)
	}
	if got := tracker.expired(after(1000*80), registered, []fleet.VM{live}, self); len(got) != 1 || got[0] != "2" {
		t.Errorf("%v removed after 60 s of silence, want VM 2 only", got)
	}
}

// Guards against 140 VMs that all call an unavailable store as often as the
// region relay does, and against a region relay that notices late that the store is
// available again.
func TestReadsPauseLongerDuringAnOutage(t *testing.T) {
	calls := func(isRegionRelay bool) (n int) {
		for at := time.Duration(0); at < 10*time.Second; n++ {
			at += retryPause(n+1, isRegionRelay, 0.5)
		}
		return n
	}
	if n := calls(false); n > 6 {
		t.Errorf("%d calls of a VM in 10 s, want at most 6", n)
	}
	for failures := range 50 {
		if p := retryPause(failures+1, true, 0.99); p > initialRetryPause {
			t.Errorf("the region relay pauses for %v after %d failures, want at most initialRetryPause", p, failures+1)
		}
	}
}

// Guards against a stop that takes longer than its grace period because a call
// to the store blocks.
func TestStopDoesNotWaitForWorkThatHangs(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	if finishesWithin(time.Millisecond, func() { <-release }) {
		t.Error("a function that blocks was reported as finished")
	}
	if !finishesWithin(time.Hour, func() {}) {
		t.Error("a function that returned was reported as not finished")
	}
}

// Guards against a cold server that counts as warm after one measurement
// without an answer.
func TestLostMeasurementKeepsColdness(t *testing.T) {
	before := fleet.Reading{At: after(0), Health: fleet.Healthy, ColdFor: 3 * time.Second}
	r := nextReading(before, after(1000), backend.ResponseInfo{}, context.DeadlineExceeded)
	if !r.Cold(after(2900)) || r.Cold(after(3100)) {
		t.Errorf("cold for %v after 1 s, want about 2 s", r.ColdFor)
	}
	if r.Health != fleet.Healthy || r.Misses != 1 {
		t.Errorf("health %v, %d misses; want healthy, 1 miss", r.Health, r.Misses)
	}
}

// Guards against a copy that counts as recent before the configuration in it is in force, or although
// it cannot be read: a key that it removed would go on working.
func TestConfigurationAgeFollowsTheConfigurationInForce(t *testing.T) {
	state := newTestState()
	config := func(version uint64, value string) replica.Changes {
		return replica.Changes{Full: true, Version: version, Rows: []replica.Row{{Key: platform.KeyConfiguration, Value: []byte(value), Version: version}}}
	}
	apply := func(c replica.Changes) suspendclock.Instant {
		sentAt := suspendclock.Now()
		state.operator.Apply(c, after(0))
		state.operator.Prove(replica.Position{Version: c.Version}, sentAt)
		return sentAt
	}
	inForceAsOf := func() suspendclock.Instant { return suspendclock.Instant(state.configurationAsOf.Load()) }
	first := apply(config(1, `{"version":"00000001"}`))
	if inForceAsOf() != 0 || state.configurationAge() < time.Hour {
		t.Error("the age is known before the configuration was decoded")
	}
	state.refresh(after(1))
	if inForceAsOf() != first {
		t.Errorf("configuration in force as of %d, want %d", inForceAsOf(), first)
	}
	apply(config(2, `{`))
	state.refresh(after(2))
	state.refresh(after(3))
	if inForceAsOf() != first {
		t.Error("an unreadable configuration counts as in force")
	}
	third := apply(config(3, `{"version":"00000003"}`))
	state.refresh(after(4))
	if inForceAsOf() != third {
		t.Errorf("configuration in force as of %d, want %d", inForceAsOf(), third)
	}
}
