// Package usage decides whether a request of a team lies within the team's usage limit, which applies to
// all VMs together. It answers the load of a team that sends several times its usual number of requests,
// to one VM or to all: what lies within the limit is admitted at the VM that receives it, and what lies
// beyond is refused at once.
//
// VMs publish what they admit (package counts), and each decides alone. What others have admitted is
// known some hundred milliseconds late. Within such a delay, VMs divide the room that is left by what
// callers ask of each of them. The limit of VMs without contact to some of the others is the share that
// their number is of all.
package usage

import (
	"math"
	"sync"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/counts"
	"goldcresthinge.example/goldcresthinge/internal/quota"
	"goldcresthinge.example/goldcresthinge/internal/team"
)

// TickInterval is the interval at which Limiter.Tick is to be called. It is that of messages with
// counts.
const TickInterval = 100 * time.Millisecond

// askedSpan is the time for which VMs count what callers ask. A shorter one would make the shares of
// VMs with few requests depend on chance, a longer one late after a change.
const askedSpan = 500 * time.Millisecond

// Indices of counts.Values of subjects of kind counts.Team.
const (
	AskedIndex    = 0 // requests that callers sent within askedSpan
	AdmittedIndex = 1 // requests that were admitted within the last second
	WindowIndex   = 2 // requests that were admitted within Bounds.Window
)

// Bounds define the usage limit over all VMs: within any Window, a team runs at most
// (rate x Window + burst) x (1 + Overshoot) + Slack requests.
type Bounds struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// Counts are the counts that VMs share. counts.Board implements it.
type Counts interface {
	Publish(s counts.Subject, v counts.Values)
	Others(s counts.Subject, now time.Time) counts.Counts
}

// Config holds what a Limiter needs. All fields are required.
type Config struct {
	Counts Counts
	// RegisteredVMs returns the number of registered VMs, this one included, or 0 if it is not known.
	RegisteredVMs func() int
	Bounds        func() Bounds
	// FormerProcess is true if an earlier process of this VM may have admitted requests until now.
	FormerProcess bool
	// Rand returns a random number in [0, 1).
	Rand func() float64
}

// Reason tells why a request was refused.
type Reason string

// Reasons for a refusal.
const (
	OverLimit Reason = "over-limit"
	// OverShare means that the VMs in contact have used up their share of the limit.
	OverShare Reason = "over-share-of-limit"
)

// Decision is the result for one request.
type Decision struct {
	Admitted bool
	Reason   Reason // empty if admitted
	// RetryAfter is the time after which this VM is expected to have room for the request.
	RetryAfter time.Duration
	// Limit and Used are the requests that all VMs may admit within Bounds.Window and those that
	// they are known to have admitted, and Age is the age of what is known of other VMs.
	Limit, Used float64
	Age         time.Duration
	Group       quota.Group

	team string
	slot int64 // slot of the ring that counts the request
}

// Limiter decides on the requests that this VM receives. It is safe for concurrent use.
type Limiter struct {
	cfg     Config
	started time.Time

	mu    sync.Mutex
	group quota.Group
	teams map[string]*teamState // teams that have asked within the latest window
}

// New returns a Limiter for a process that starts now.
func New(cfg Config, now time.Time) *Limiter {
	l := &Limiter{cfg: cfg, started: now, teams: map[string]*teamState{}}
	l.group = l.vmsInContact(now)
	return l
}

// Admit decides on a request of t that has arrived, and counts it. A request that is then not run has
// to be given back with Return.
func (l *Limiter) Admit(t *team.Team, now time.Time) Decision {
	b := l.cfg.Bounds()
	if !t.Limited() || b.Window <= 0 {
		return Decision{Admitted: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.teams[t.Name]
	if !ok || s.bounds.Window != b.Window {
		s = l.newState(t, b, now)
		l.teams[t.Name] = s
	}
	s.setLimit(limitOf(t, b), b, now)
	s.ring.at(now).asked++
	return s.decide(l, now)
}

// Return gives back the room of an admitted request that no server has run.
func (l *Limiter) Return(d Decision, now time.Time) {
	if d.team == "" || !d.Admitted {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.teams[d.team]; ok && s.ring.remove(d.slot, now) {
		s.level++
	}
}

// vmsSubject is the subject for which each VM publishes 1, so that its sum is the number of VMs whose
// counts are known.
var vmsSubject = counts.Subject{Kind: counts.Team}

// vmsInContact returns the VMs whose counts are known, this one included, and all registered VMs.
func (l *Limiter) vmsInContact(now time.Time) quota.Group {
	registered := l.cfg.RegisteredVMs()
	if registered == 0 {
		return quota.Group{}
	}
	alive := 1 + int(l.cfg.Counts.Others(vmsSubject, now).Values.At(0))
	return quota.Group{Alive: min(alive, registered), Registered: registered}
}

// Tick publishes the counts of this VM and takes over those of others.
func (l *Limiter) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	former := l.group
	l.group = l.vmsInContact(now)
	l.cfg.Counts.Publish(vmsSubject, counts.Values{1})
	for name, s := range l.teams {
		if now.Sub(s.askedAt) > s.bounds.Window+time.Second {
			delete(l.teams, name)
			l.cfg.Counts.Publish(s.subject, nil)
			continue
		}
		if l.group.Alive < former.Alive {
			s.contactLost(now, float64(l.group.Alive)/float64(former.Alive))
		}
		s.update(l, now)
		l.cfg.Counts.Publish(s.subject, counts.Values{
			AskedIndex: s.ring.asked(now, askedSpan), AdmittedIndex: uint32(math.Round(s.ring.admittedExactly(now, time.Second))),
			WindowIndex: uint32(math.Ceil(s.ownInWindow(l, now))),
		})
	}
}

// part returns the part of the limits that the VMs in contact may use together.
func (l *Limiter) part() float64 {
	if l.group.Alive <= 0 {
		return 0
	}
	return min(float64(l.group.Alive)/float64(max(l.group.Registered, 1)), 1)
}

// formerUse returns what an earlier process of this VM may have admitted within the window that ends now,
// if it used no more than its part of the limit.
func (l *Limiter) formerUse(of limit, window time.Duration, now time.Time) float64 {
	left := window - now.Sub(l.started)
	if !l.cfg.FormerProcess || left <= 0 {
		return 0
	}
	return min(of.rate*left.Seconds()+of.burst, of.window) / float64(max(l.group.Registered, 1))
}

// TeamUse is what a Limiter knows of a team, for the dump of the state.
type TeamUse struct {
	Team           string  `json:"team"`
	Rate           float64 `json:"rate_per_s"`
	Burst          float64 `json:"burst"`
	Asked          uint32  `json:"asked_per_s"` // at this VM
	AskedElsewhere uint32  `json:"asked_elsewhere"`
	Admitted       uint32  `json:"admitted_in_window"` // by this VM
	UsedElsewhere  uint32  `json:"admitted_elsewhere_in_window"`
	AgeMs          int64   `json:"age_ms"` // of what is known of other VMs
	Room           float64 `json:"room"`   // requests that all VMs in contact may admit now
	Share          float64 `json:"share"`  // part of the room that this VM may use
}

// Teams returns the teams that have asked this VM lately, in no particular order, and the VMs that share
// the limits.
func (l *Limiter) Teams(now time.Time) ([]TeamUse, quota.Group) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]TeamUse, 0, len(l.teams))
	for _, s := range l.teams {
		r := s.room(l, now)
		out = append(out, TeamUse{
			Team: s.subject.Name, Rate: s.limit.rate, Burst: s.limit.burst, Asked: s.ring.asked(now, askedSpan),
			AskedElsewhere: s.others.Values.At(AskedIndex), Admitted: s.ring.admitted(now, s.bounds.Window),
			UsedElsewhere: s.others.Values.At(WindowIndex), AgeMs: s.othersAge(now).Milliseconds(), Room: r.requests, Share: r.share,
		})
	}
	return out, l.group
}
