package canary

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/counts"
)

const (
	// slowFactor is the factor over the usual time of the present version from which an answer counts
	// as slow.
	slowFactor = 2.5
	// windowSpan is the time of which the latest answers are also judged on their own, since a
	// version may turn bad after many good answers.
	windowSpan = 3 * time.Second
	// maxRoutes is the number of routes of a service whose answers are counted apart. The
	// answers of further ones are counted together.
	maxRoutes = 64
)

// otherRoutes stands for the routes beyond maxRoutes.
const otherRoutes = ""

// Result is an attempt of a request at a server that has ended.
type Result struct {
	Service, Route string
	Failed         bool
	TimedOut       bool // the attempt ended at the deadline of the request
	Cold           bool // the server was cold when the request was sent
	Took           time.Duration
	// Slowdown is the factor by which the server's machine was slower than usual, as last reported.
	Slowdown float64
}

// time returns the time that the server would have taken at its usual speed.
func (r Result) time() time.Duration { return time.Duration(float64(r.Took) / max(r.Slowdown, 1)) }

// tally returns the counts for r. usual is the usual time of the route, or 0 if it is not known. An
// attempt that ended at its deadline shows only whether the server was slow.
func (r Result) tally(usual time.Duration) Tally {
	slow := usual > 0 && float64(r.time()) > slowFactor*float64(usual)
	if r.TimedOut && !slow {
		return Tally{}
	}
	t := Tally{Answers: 1}
	if r.Failed && !r.TimedOut {
		t.Failures = 1
		return t
	}
	if r.Cold || usual == 0 {
		return t
	}
	t.Timed = 1
	if slow {
		t.Slow = 1
	}
	return t
}

// recentTimes holds the latest times of good answers of the present version on one route.
type recentTimes struct {
	times [32]time.Duration
	n     int // number of times recorded
}

// minRecentTimes is the number of times without which the usual time is not known.
const minRecentTimes = 3

func (r *recentTimes) add(d time.Duration) {
	r.times[r.n%len(r.times)] = d
	r.n++
}

// usual returns the lower quartile, or 0 if there are too few times. While servers of the present
// version have faults, more than half of its answers may be slow.
func (r *recentTimes) usual() time.Duration {
	if r.n < minRecentTimes {
		return 0
	}
	sorted := r.times
	recent := sorted[:min(r.n, len(sorted))]
	slices.Sort(recent)
	return recent[len(recent)/4]
}

// Mode tells which versions may get the next request of a service.
type Mode uint8

// Modes.
const (
	AnyVersion   Mode = iota // there is no roll-out
	PresentOnly              // the target must not get the request
	PreferTarget             // the target gets the request if it has room
	TargetOnly               // the present version must not get the request
)

// Plan tells which servers may get the next request of a service.
type Plan struct {
	Mode   Mode
	Target string
	// Trial is true while the target is on trial. Its requests then go to few of its servers, so
	// that these have the load of ordinary operation.
	Trial bool
	// Share is the share of requests that the target may get at present.
	Share float64
}

// rollout is the state of one roll-out at this VM.
type rollout struct {
	order     Order
	progress  Progress
	started   bool // the store has progress of the order
	withdrawn bool // the operator has removed the order
	seenAt    time.Time
	movingAt  time.Time // time at which this VM learned that the trial has ended
	exposure  Exposure
	atMove    Exposure // exposure at movingAt
	stopped   string   // reason for which this VM has stopped sending to the target; empty if it has not
	committed bool     // this VM sends no more requests to the present version
	moved     bool     // in addition, it has none in progress there
	own       map[tallyKey]Tally
	usual     map[string]*recentTimes // by route
	published map[counts.Subject]bool
	history   []snapshot
	finding   Finding
	evidence  Evidence
	age       time.Duration // age of the oldest counts in evidence
}

type tallyKey struct {
	route    string
	toTarget bool
}

type snapshot struct {
	at       time.Time
	evidence Evidence
}

// Tracker holds the roll-outs that concern this VM. It is safe for concurrent use.
type Tracker struct {
	board *counts.Board
	// limits returns the bounds, and vms the number of VMs that share them.
	limits func() Limits
	vms    func() int

	active atomic.Bool // there are roll-outs
	mu     sync.Mutex
	byName map[string]*rollout // by service
}

// NewTracker returns a Tracker that shares its counts through board.
func NewTracker(board *counts.Board, limits func() Limits, vms func() int) *Tracker {
	return &Tracker{board: board, limits: limits, vms: vms, byName: map[string]*rollout{}}
}

// Active reports whether there are roll-outs.
func (t *Tracker) Active() bool { return t.active.Load() }

// Set replaces the orders and their progress, by service. Progress of an earlier order is ignored.
// A roll-out whose order was withdrawn goes on to keep requests from its target, unless it was
// completed.
func (t *Tracker) Set(now time.Time, orders map[string]Order, progress map[string]Progress) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, o := range orders {
		r := t.byName[service]
		if r == nil || r.order.Row != o.Row {
			t.drop(r)
			r = &rollout{order: o, seenAt: now, own: map[tallyKey]Tally{}, usual: map[string]*recentTimes{}, published: map[counts.Subject]bool{}}
			t.byName[service] = r
		}
		if p, ok := progress[service]; ok && p.Order == o.Row {
			r.apply(now, p)
		}
	}
	for service, p := range progress {
		if _, ordered := orders[service]; ordered || t.byName[service] != nil || p.State == Completed {
			continue
		}
		t.byName[service] = &rollout{order: Order{Service: service, Target: p.Target, Row: p.Order}, seenAt: now, progress: p, withdrawn: true}
	}
	for service, r := range t.byName {
		if _, ordered := orders[service]; ordered {
			continue
		}
		if r.progress.State == Completed {
			t.drop(r)
			delete(t.byName, service)
			continue
		}
		r.withdrawn = true
	}
	t.active.Store(len(t.byName) > 0)
}

// apply records progress of the order. A verdict is never taken back.
func (r *rollout) apply(now time.Time, p Progress) {
	if r.started && (r.progress.State != Running || r.progress.Moving && !p.Moving && p.State == Running) {
		return
	}
	if p.Moving && r.movingAt.IsZero() {
		r.movingAt, r.atMove = now, r.exposure
	}
	r.started, r.progress = true, p
}

// drop removes the counts of a roll-out that has ended. The caller must hold mu.
func (t *Tracker) drop(r *rollout) {
	if r == nil {
		return
	}
	for s := range r.published {
		t.board.Publish(s, nil)
	}
}

// Plan returns which servers may get the next request of a service.
func (t *Tracker) Plan(service string, now time.Time) Plan {
	if !t.active.Load() {
		return Plan{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byName[service]
	if r == nil {
		return Plan{}
	}
	p := Plan{Target: r.order.Target}
	p.Mode, p.Share = r.mode(now, t.limits(), t.vms())
	p.Trial = r.movingAt.IsZero()
	return p
}

func (r *rollout) mode(now time.Time, l Limits, vms int) (Mode, float64) {
	switch {
	case r.progress.State == Completed:
		return AnyVersion, 1
	case r.progress.State == RolledBack || r.withdrawn || r.stopped != "":
		return PresentOnly, 0
	case r.committed:
		return TargetOnly, 1
	case r.movingAt.IsZero():
		if r.exposure.Allows(l, vms) {
			return PreferTarget, l.Share
		}
		return PresentOnly, l.Share
	}
	share := RampShare(l.Share, now.Sub(r.movingAt))
	if r.exposure.Since(r.atMove).WithinShare(share) {
		return PreferTarget, share
	}
	return PresentOnly, share
}

// RecordSend counts a request that is about to be sent to a server of a service.
func (t *Tracker) RecordSend(service, version string) {
	if !t.active.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.byName[service]; r != nil {
		r.exposure.Record(version == r.order.Target)
	}
}

// RecordResult counts the result of an attempt at a server of a version.
func (t *Tracker) RecordResult(version string, res Result) {
	if !t.active.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byName[res.Service]
	if r == nil || r.withdrawn || r.progress.State != Running {
		return
	}
	k := tallyKey{route: res.Route, toTarget: version == r.order.Target}
	if _, counted := r.own[k]; !counted && len(r.own) >= 2*maxRoutes {
		k.route = otherRoutes
	}
	usual, ok := r.usual[k.route]
	if !ok {
		usual = &recentTimes{}
		r.usual[k.route] = usual
	}
	r.own[k] = r.own[k].plus(res.tally(usual.usual()))
	if !k.toTarget && !res.Failed && !res.Cold {
		usual.add(res.time())
	}
}

// Update publishes the counts of this VM, judges those of all VMs and moves this VM on. It must
// be called several times a second. presentInProgress returns the number of this VM's requests in
// progress at servers of a service that are not of a version. It returns the services whose target
// this VM has stopped using, and those at which it has stopped using the present version.
func (t *Tracker) Update(now time.Time, presentInProgress func(service, target string) int) (events []Event) {
	if !t.active.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, service := range slices.Sorted(maps.Keys(t.byName)) {
		r := t.byName[service]
		if r.withdrawn || r.progress.State != Running {
			continue
		}
		// The order matters: only a VM that had stopped sending to the present version before the
		// requests in progress there were counted has moved.
		wasCommitted := r.committed
		r.committed = !r.movingAt.IsZero() && now.Sub(r.movingAt) >= rampTime && r.stopped == ""
		if r.committed && !wasCommitted {
			events = append(events, Event{Service: service, Target: r.order.Target, What: EventCommitted})
		}
		r.moved = wasCommitted && r.committed && presentInProgress(service, r.order.Target) == 0
		t.publish(r)
		t.judge(now, r)
		if r.finding.Quality == Bad && r.stopped == "" {
			r.stopped, r.committed, r.moved = r.finding.Reason, false, false
			events = append(events, Event{Service: service, Target: r.order.Target, What: EventStopped, Reason: r.stopped, Age: r.age})
			t.publish(r)
		}
	}
	return events
}

// Event is a change of what this VM sends to the versions of a service.
type Event struct {
	Service, Target string
	What            EventKind
	Reason          string
	Age             time.Duration // of the oldest counts on which the change is based
}

// EventKind tells what has changed.
type EventKind string

// Kinds of events.
const (
	EventCommitted EventKind = "no more requests go to the present version"
	EventStopped   EventKind = "no more requests go to the target"
)

// judge collects the evidence of all VMs. The caller must hold mu.
func (t *Tracker) judge(now time.Time, r *rollout) {
	r.evidence, r.age = t.collect(now, r)
	r.history = append(r.history, snapshot{now, r.evidence})
	for len(r.history) > 1 && now.Sub(r.history[1].at) >= windowSpan {
		r.history = r.history[1:]
	}
	r.finding = Judge(r.evidence)
	latest := Judge(r.evidence.since(r.history[0].evidence))
	if latest.Quality > r.finding.Quality {
		latest.Target = r.finding.Target
		r.finding = latest
	}
}

// Status is the state of a roll-out as known to this VM.
type Status struct {
	Order     Order
	Progress  Progress
	Started   bool // the store has progress of the order
	Withdrawn bool
	SeenAt    time.Time
	Exposure  Exposure
	Stopped   string // reason for which this VM has stopped sending to the target
	Moved     bool   // this VM no longer uses the present version
	MovedVMs  int    // number of VMs that no longer use it
	Finding   Finding
	Evidence  Evidence
	// EvidenceAge is the age of the oldest counts in Evidence.
	EvidenceAge time.Duration
}

// Status returns the state of all roll-outs, by the name of the service.
func (t *Tracker) Status(now time.Time) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Status
	for _, service := range slices.Sorted(maps.Keys(t.byName)) {
		r := t.byName[service]
		out = append(out, Status{
			Order: r.order, Progress: r.progress, Started: r.started, Withdrawn: r.withdrawn, SeenAt: r.seenAt, Exposure: r.exposure,
			Stopped: r.stopped, Moved: r.moved, MovedVMs: t.movedVMs(now, r), Finding: r.finding, Evidence: r.evidence, EvidenceAge: r.age,
		})
	}
	return out
}
