package entry

import (
	"testing"
	"time"

	"github.com/samber/lo"

	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/placement"
	"goldcresthinge.example/goldcresthinge/internal/routing"
	"goldcresthinge.example/goldcresthinge/internal/waitqueue"
)

// noticeTest is a VM that knows two measured servers of one service.
type noticeTest struct {
	*candidates
	servers []fleet.Server
}

func newNoticeTest() *noticeTest {
	state := newTestState()
	var servers []fleet.Server
	for _, id := range []string{"s-1", "s-2"} {
		servers = append(servers, fleet.Server{ID: id, Service: "svc", FailureDomain: "a", Slots: 2, Address: id + ":1", Incarnation: 1})
	}
	state.fleet.SetServers(servers)
	n := &noticeTest{newTestCandidates(state), servers}
	n.measure(0)
	return n
}

func (n *noticeTest) measure(ms int) {
	for _, s := range n.servers {
		n.state.fleet.Observe(s.ID, fleet.Reading{At: after(ms), Health: fleet.Healthy})
	}
}

// at returns the IDs of the candidates ms after the start.
func (n *noticeTest) at(ms int) []string {
	list := n.Candidates(after(ms), &waitqueue.AcquireRequest{Service: "svc", AllowsRegion: anyRegion})
	return lo.Map(list, func(c placement.Candidate, _ int) string { return c.ID })
}

func (n *noticeTest) expect(t *testing.T, ms int, want ...string) {
	t.Helper()
	if got := n.at(ms); len(got) != len(want) || !lo.Every(got, want) {
		t.Errorf("candidates %v after %d ms, want %v", got, ms, want)
	}
}

// Guards against a server that has left, and whose row comes back because the store has done one of its
// heartbeats late: what its answers have said counts, and without a measurement it gets nothing. A live
// server, or a new process, is used.
func TestServersWhoseRowsComeBack(t *testing.T) {
	for _, c := range []struct {
		name   string
		notice fleet.Notice
		server func(s *fleet.Server)
		health fleet.Health // measured after the row has come back
		want   []string
	}{
		{"it has said that it leaves", fleet.Notice{Leaving: true}, func(*fleet.Server) {}, fleet.Healthy, []string{"s-2"}},
		{"it has asked for a pause", fleet.Notice{Pause: time.Minute}, func(*fleet.Server) {}, fleet.Healthy, []string{"s-2"}},
		{"it was not measured", fleet.Notice{}, func(*fleet.Server) {}, fleet.Unmeasured, []string{"s-2"}},
		{"its health check fails", fleet.Notice{}, func(*fleet.Server) {}, fleet.Unhealthy, []string{"s-2"}},
		{"it is healthy", fleet.Notice{}, func(*fleet.Server) {}, fleet.Healthy, []string{"s-1", "s-2"}},
		{"it was not measured, but came back long ago", fleet.Notice{}, func(s *fleet.Server) { s.ReturnedAt = time.Time{} }, fleet.Unmeasured, []string{"s-1", "s-2"}},
		{"a new process after one that has left", fleet.Notice{Leaving: true}, func(s *fleet.Server) {
			s.Incarnation, s.ReturnedAt = 2, time.Time{}
		}, fleet.Unmeasured, []string{"s-1", "s-2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newNoticeTest()
			n.state.routes.Store(routing.NewTable(&routing.Configuration{Services: map[string]routing.Service{"svc": {Name: "svc", HealthPath: "/health"}}}))
			n.ObserveNotice(n.servers[0], after(10), c.notice)
			n.state.fleet.SetServers(n.servers[1:])
			back := n.servers[0]
			back.ReturnedAt = after(20)
			c.server(&back)
			n.state.fleet.SetServers([]fleet.Server{back, n.servers[1]})
			if c.health != fleet.Unmeasured {
				n.state.fleet.Observe("s-1", fleet.Reading{At: after(30), Health: c.health, Incarnation: back.Incarnation})
			}
			n.expect(t, 40, c.want...)
		})
	}
}

// Guards against what is known of one process of a server that is taken for the next one's: readings
// of this VM and of siblings, and results of requests that come late.
func TestLateWordsOfAnEarlierProcessHaveNoEffect(t *testing.T) {
	n := newNoticeTest()
	former := n.servers[0]
	n.state.fleet.RequestStarted("s-1", after(5))
	present := former
	present.Incarnation = 2
	n.state.fleet.SetServers([]fleet.Server{present, n.servers[1]})
	n.state.fleet.Observe("s-1", fleet.Reading{At: after(10), Health: fleet.Healthy, ColdFor: time.Second, Incarnation: 2})
	n.state.fleet.RequestStarted("s-1", after(12))

	n.state.fleet.Observe("s-1", fleet.Reading{At: after(20), Health: fleet.Healthy, Source: "sibling", Incarnation: 1})
	n.ConnectionRefused(former, after(20))
	n.ObserveSlowdown(former, after(20), 7)
	n.ObserveNotice(former, after(20), fleet.Notice{Leaving: true})
	for range 3 {
		n.RequestEnded("s-1", 1, after(20), fleet.Failed)
	}
	v := n.state.fleet.Views(nil, "svc", after(21))[0]
	if !v.Reading.Cold(after(21)) || v.Reading.Health != fleet.Healthy || v.Reading.Load.Slowdown == 7 {
		t.Errorf("reading %+v, want that of the present process", v.Reading)
	}
	if v.InFlight != 1 || v.Quarantined || !v.LeavingSince.IsZero() {
		t.Errorf("%d requests in progress, quarantined %v, leaving since %v; want one and neither", v.InFlight, v.Quarantined, v.LeavingSince)
	}
	n.RequestEnded("s-1", 2, after(22), fleet.Succeeded)
	if v := n.state.fleet.Views(nil, "svc", after(23))[0]; v.InFlight != 0 {
		t.Errorf("%d requests in progress at the present process, want none", v.InFlight)
	}
}

// Guards against new requests to a server that says only in its answers that it leaves: its row
// still says that it is ready.
func TestLeavingServerGetsNoRequestsWhileAnotherHasRoom(t *testing.T) {
	n := newNoticeTest()
	n.ObserveNotice(n.servers[0], after(10), fleet.Notice{Leaving: true})
	n.state.fleet.SetServers(n.servers)
	n.expect(t, 11, "s-2")
	for range 2 {
		n.RequestStarted("s-2", after(12))
	}
	n.expect(t, 13, "s-1", "s-2")
	n.expect(t, 10+2000-int(drainMargin.Milliseconds()), "s-2")
}

// Guards against a service that is refused while all of its servers still serve for the drain time.
func TestServiceWhoseServersAllLeaveIsServedForTheDrainTime(t *testing.T) {
	n := newNoticeTest()
	for _, s := range n.servers {
		n.ObserveNotice(s, after(10), fleet.Notice{Leaving: true})
	}
	// A later answer does not start the drain time again.
	n.ObserveNotice(n.servers[0], after(1500), fleet.Notice{Leaving: true})
	n.measure(1800)
	n.expect(t, 1800, "s-1", "s-2")
	n.expect(t, 2000)
}

// Guards against requests to a server that has asked for a pause, and against a pause that is cut
// by a shorter one or never ends.
func TestPausedServerGetsNoRequests(t *testing.T) {
	n := newNoticeTest()
	n.ObserveNotice(n.servers[0], after(10), fleet.Notice{Pause: time.Second})
	n.ObserveNotice(n.servers[0], after(20), fleet.Notice{Pause: 10 * time.Millisecond})
	n.expect(t, 11, "s-2")
	n.expect(t, 1009, "s-2")
	n.expect(t, 1010+int(time.Second.Milliseconds())/4, "s-1", "s-2")
}

// Guards against a new process of a server that is taken for the former one: it holds neither the
// pause nor the leaving, and a late answer of the former process says nothing of it.
func TestNoticesBelongToOneProcessOfAServer(t *testing.T) {
	n := newNoticeTest()
	former := n.servers[0]
	n.ObserveNotice(former, after(10), fleet.Notice{Pause: time.Minute, Leaving: true})
	n.servers[0].Incarnation = 2
	n.state.fleet.SetServers(n.servers)
	n.measure(20)
	n.ObserveNotice(former, after(30), fleet.Notice{Pause: time.Minute, Leaving: true})
	n.expect(t, 31, "s-1", "s-2")
}

// Guards against measurements of a server that wants nothing from this VM.
func TestPausedServerIsNotMeasured(t *testing.T) {
	n := newNoticeTest()
	n.ObserveNotice(n.servers[0], after(10), fleet.Notice{Pause: time.Second})
	n.state.routes.Store(testServiceTable())
	p := &prober{state: n.state, routes: n.state.routes.Load, probed: map[string]*probedServer{
		"s-1": {server: n.servers[0], nextProbe: after(0)},
	}}
	p.startDue(t.Context(), after(20)) // would panic without workers
	if ps := p.probed["s-1"]; ps.inProgress || ps.nextProbe.Before(after(1010)) {
		t.Errorf("measurement in progress: %v; next one after %v, want after the pause", ps.inProgress, ps.nextProbe.Sub(after(0)))
	}
}

// Guards against callers that are told to come back while all servers still pause, or later than
// the first of them takes requests again.
func TestServiceResumesWithItsFirstServer(t *testing.T) {
	n := newNoticeTest()
	now := time.Now()
	n.ObserveNotice(n.servers[0], now, fleet.Notice{Pause: time.Minute})
	if at := n.ResumesAt("svc", anyRegion); !at.IsZero() {
		t.Errorf("service resumes at %v although a server takes requests", at)
	}
	n.ObserveNotice(n.servers[1], now, fleet.Notice{Pause: 30 * time.Second})
	if at := n.ResumesAt("svc", anyRegion).Sub(now); at < 30*time.Second || at > 30*time.Second+maxPauseSpread {
		t.Errorf("service resumes after %v, want 30 s and the spread", at)
	}
	n.ObserveNotice(n.servers[1], now, fleet.Notice{Leaving: true})
	if at := n.ResumesAt("svc", anyRegion).Sub(now); at < time.Minute {
		t.Errorf("service resumes after %v with a leaving server, want a minute", at)
	}
}

func testServiceTable() *routing.Table {
	return routing.NewTable(&routing.Configuration{Services: map[string]routing.Service{"svc": {Name: "svc", HealthPath: "/health"}}})
}
