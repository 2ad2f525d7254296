package entry

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"goldcresthinge.example/goldcresthinge/internal/backend"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/periodicity"
	"goldcresthinge.example/goldcresthinge/internal/quota"
	"goldcresthinge.example/goldcresthinge/internal/routing"
	"goldcresthinge.example/goldcresthinge/internal/statesync"
)

const (
	// probeTimeout bounds one measurement. A living server answers at once.
	probeTimeout = 250 * time.Millisecond
	// leastPause and longestPause bound the time between the ends and starts of
	// two measurements of a server.
	leastPause   = 2 * time.Millisecond
	longestPause = 300 * time.Millisecond
	// missesUntilUnreachable is the number of measurements in a row without an
	// answer from which a server gets no requests.
	missesUntilUnreachable = 2
	// missPause is the pause after the first measurement without an answer, and
	// unreachablePause that after further ones.
	missPause        = 30 * time.Millisecond
	unreachablePause = 200 * time.Millisecond
	// dutyInterval is the pause between two looks at who measures what.
	dutyInterval = 100 * time.Millisecond
)

// measurer measures the servers that are this VM's duty.
type measurer struct {
	world   *world
	seen    *statesync.Liveness
	duties  *duties
	pool    *backend.ConnPool
	proto   backend.HeaderCodec
	routes  func() *routing.Table
	workers pond.Pool
	changed func() // called after a reading that placement or siblings want
	log     log.Logger

	probesPerSecond func() float64 // of one server, by all VMs together

	mu       sync.Mutex
	followed map[string]*follower
	slowest  time.Duration // least pause while this VM hears too few others
	done     chan struct{} // capacity 1: a measurement has ended
}

// follower is the state of one measured server.
type follower struct {
	server  fleet.Server
	tracker periodicity.Detector
	next    time.Time
	busy    bool
}

// run measures until ctx ends.
func (m *measurer) run(ctx context.Context) error {
	var nextDuties time.Time
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-m.done:
		}
		now := time.Now()
		if !now.Before(nextDuties) {
			nextDuties = now.Add(dutyInterval)
			m.assign(now)
		}
		next := m.startDue(ctx, now)
		if nextDuties.Before(next) {
			next = nextDuties
		}
		timer.Reset(max(time.Until(next), 0))
	}
}

func (m *measurer) assign(now time.Time) {
	registered, servers := m.world.VMs(), m.world.fleet.Servers()
	alive := m.seen.Filter(registered, now)
	mine := assign(m.world.self, registered, alive, servers, m.world.Region)
	m.duties.set(now, mine, servers, func(s fleet.Server) bool {
		reading, _ := m.world.fleet.Reading(s.ID)
		// Readings that are nearly too old count as well, until the next look.
		return now.Sub(reading.At) > knownFor/2 && isUnknownSender(m.world.self, registered, s)
	})
	m.duties.setRanks(m.world.self, alive, servers)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.slowest = m.isolatedPause(registered, alive)
	set := make(map[string]bool, len(mine))
	for _, d := range mine {
		s := d.server
		set[s.ID] = true
		f, ok := m.followed[s.ID]
		if !ok || f.server.Address != s.Address || f.server.Incarnation != s.Incarnation {
			m.followed[s.ID] = &follower{server: s, next: now}
			continue
		}
		f.server = s
	}
	for id := range m.followed {
		if !set[id] {
			delete(m.followed, id)
		}
	}
}

// isolatedPause is the least pause between two measurements of a server while
// this VM hears less than half of its failure domain: others may measure the same
// servers, so that each VM takes an equal share of the limit.
func (m *measurer) isolatedPause(registered, alive []fleet.VM) time.Duration {
	group := quota.Group{
		Alive:      len(vmsOf(alive, m.world.self.FailureDomain)) + 1,
		Registered: len(vmsOf(registered, m.world.self.FailureDomain)),
	}
	limit := m.probesPerSecond()
	if group.Majority() || limit <= 0 {
		return 0
	}
	return time.Duration(float64(group.Registered) / limit * float64(time.Second))
}

// startDue starts the measurements that are due and returns the time of the
// next one.
func (m *measurer) startDue(ctx context.Context, now time.Time) time.Time {
	next := now.Add(dutyInterval)
	routes := m.routes()
	if routes == nil {
		return next
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, f := range m.followed {
		if f.busy {
			continue
		}
		if now.Before(f.next) {
			if f.next.Before(next) {
				next = f.next
			}
			continue
		}
		svc, ok := routes.Service(f.server.Service)
		if !ok || svc.HealthPath == "" {
			f.next = now.Add(longestPause)
			continue
		}
		server := f.server // changes under the lock only
		if _, ok := m.workers.TrySubmit(func() { m.measure(ctx, f, server, svc.HealthPath) }); ok {
			f.busy = true
		}
	}
	return next
}

func (m *measurer) measure(ctx context.Context, f *follower, s fleet.Server, path string) {
	sent := time.Now()
	answer, err := m.pool.Probe(ctx, m.proto, s, path, probeTimeout)
	received := time.Now()
	if ctx.Err() != nil {
		return
	}
	before, _ := m.world.fleet.Reading(s.ID)
	r := nextReading(before, sent, answer, err)
	m.schedule(f, &r, sent, received, err == nil && answer.Load != nil)
	if before.Health != r.Health || before.Cold(sent) != r.Cold(sent) {
		_ = level.Info(m.log).Log("msg", "server measured", "server", s.ID, "health", r.Health, "was", before.Health,
			"cold_ms", r.ColdFor.Milliseconds(), "misses", r.Misses, "err", err)
	}
	if m.world.fleet.Observe(s.ID, r) {
		m.changed()
	}
}

// nextReading returns the reading after a measurement that was sent at sent. One
// without an answer keeps what was known, coldness included.
func nextReading(before fleet.Reading, sent time.Time, answer backend.ResponseInfo, err error) fleet.Reading {
	r := fleet.Reading{At: sent, Load: before.Load, ColdFor: answer.ColdFor}
	switch {
	case err != nil:
		r.Misses = before.Misses + 1
		r.Health = before.Health
		r.ColdFor = max(before.ColdFor-sent.Sub(before.At), 0)
		if r.Misses >= missesUntilUnreachable || errors.Is(err, syscall.ECONNREFUSED) {
			r.Health = fleet.Unreachable
		}
	case answer.Healthy:
		r.Health = fleet.Healthy
	default:
		r.Health = fleet.Unhealthy
	}
	if answer.Load != nil {
		r.Load = *answer.Load
	}
	return r
}

// schedule sets the time of the next measurement, and until when the speed of r
// holds.
func (m *measurer) schedule(f *follower, r *fleet.Reading, sent, received time.Time, loadKnown bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f.busy = false
	switch {
	case r.Misses >= missesUntilUnreachable || r.Health == fleet.Unreachable:
		f.next = received.Add(unreachablePause)
	case r.Misses > 0:
		f.next = received.Add(missPause)
	default:
		if loadKnown {
			if !f.tracker.HasPeriod() {
				f.tracker.SetHint(m.world.fleet.Period(f.server.Service))
			}
			f.tracker.Observe(sent, received, r.Load.Slowdown)
		}
		f.next = f.tracker.Next(received)
		if f.next.Before(received.Add(leastPause)) {
			f.next = received.Add(leastPause)
		}
		if latest := received.Add(longestPause); f.next.After(latest) {
			f.next = latest
		}
		if earliest := sent.Add(m.slowest); f.next.Before(earliest) {
			f.next = earliest
		}
	}
	if until, ok := f.tracker.ValidUntil(); ok {
		r.ValidUntil, r.Period = until, f.tracker.Period()
	}
	select {
	case m.done <- struct{}{}:
	default:
	}
}
