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
	"goldcresthinge.example/goldcresthinge/internal/news"
	"goldcresthinge.example/goldcresthinge/internal/routing"
)

const (
	// probeInterval is the pause between two measurements of a server. Servers
	// change speed about every 150 ms.
	probeInterval = 50 * time.Millisecond
	// probeTimeout bounds one measurement. A living server answers at once.
	probeTimeout = 250 * time.Millisecond
	// missesUntilUnreachable is the number of measurements in a row without an
	// answer from which a server gets no requests.
	missesUntilUnreachable = 2
	// unreachablePause is the pause between two measurements of a server that
	// does not answer.
	unreachablePause = 200 * time.Millisecond
	// dutyInterval is the pause between two looks at who measures what.
	dutyInterval = 100 * time.Millisecond
)

// measurer measures the servers that are this VM's duty.
type measurer struct {
	world   *world
	seen    *news.Seen
	duties  *duties
	pool    *backend.Pool
	proto   backend.Protocol
	routes  func() *routing.Table
	workers pond.Pool
	wake    func()
	log     log.Logger

	mu   sync.Mutex
	next map[string]time.Time // time of the next measurement; running ones are absent
	busy map[string]bool
}

// run measures until ctx ends.
func (m *measurer) run(ctx context.Context) error {
	tick := time.NewTicker(probeInterval / 2)
	defer tick.Stop()
	var mine []fleet.Server
	var nextDuties time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		now := time.Now()
		if !now.Before(nextDuties) {
			nextDuties = now.Add(dutyInterval)
			mine = m.assign(now)
		}
		for _, s := range mine {
			m.start(ctx, now, s)
		}
	}
}

func (m *measurer) assign(now time.Time) []fleet.Server {
	alive := m.seen.Filter(m.world.VMs(), now)
	mine := assign(m.world.self, alive, m.world.fleet.Servers(), m.world.Region)
	set := make(map[string]bool, len(mine))
	for _, s := range mine {
		set[s.ID] = true
	}
	m.duties.set(set)
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.next {
		if !set[id] {
			delete(m.next, id)
		}
	}
	return mine
}

// start measures s if it is due.
func (m *measurer) start(ctx context.Context, now time.Time, s fleet.Server) {
	routes := m.routes()
	if routes == nil {
		return
	}
	svc, ok := routes.Service(s.Service)
	if !ok || svc.HealthPath == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.busy[s.ID] || now.Before(m.next[s.ID]) {
		return
	}
	m.busy[s.ID] = true
	m.next[s.ID] = now.Add(probeInterval)
	if _, ok := m.workers.TrySubmit(func() { m.measure(ctx, s, svc.HealthPath) }); !ok {
		delete(m.busy, s.ID)
	}
}

func (m *measurer) measure(ctx context.Context, s fleet.Server, path string) {
	sent := time.Now()
	answer, err := m.pool.Probe(ctx, m.proto, s, path, probeTimeout)
	if ctx.Err() != nil {
		return
	}
	before := m.latest(s.ID)
	r := fleet.Reading{At: sent, Load: before.Load, ColdFor: answer.ColdFor}
	switch {
	case err != nil:
		r.Misses = before.Misses + 1
		r.Health = before.Health
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
	m.mu.Lock()
	delete(m.busy, s.ID)
	if r.Health == fleet.Unreachable {
		m.next[s.ID] = sent.Add(unreachablePause)
	}
	m.mu.Unlock()
	if before.Health != r.Health || before.Cold(sent) != r.Cold(sent) {
		_ = level.Info(m.log).Log("msg", "server measured", "server", s.ID, "health", r.Health, "was", before.Health,
			"cold_ms", r.ColdFor.Milliseconds(), "misses", r.Misses, "err", err)
	}
	if m.world.fleet.Observe(s.ID, r) {
		m.wake()
	}
}

func (m *measurer) latest(id string) fleet.Reading {
	r, _ := m.world.fleet.Reading(id)
	return r
}
