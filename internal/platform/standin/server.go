// Package standin is an in-memory stand-in for the services of the platform:
// transactional table, object store and VM list, with faults that tests and
// demonstrations switch on. It is used in process through Client, or over HTTP
// through Server as an http.Handler.
package standin

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/coder/quartz"
	"golang.org/x/time/rate"

	"goldcresthinge.example/goldcresthinge/internal/platform"
)

// maxRecorded bounds the record of writes, counted in rows, so that a long
// demonstration does not run out of memory. The older half is dropped.
const maxRecorded = 1 << 16

// Write is a recorded write that took effect: a transaction or an object.
type Write struct {
	At     time.Time     `json:"at"`
	Caller string        `json:"caller"`
	Ops    []platform.Op `json:"ops,omitempty"`
	Object string        `json:"object,omitempty"`
}

// Server holds the state of the stand-in. All methods may be called from any
// goroutine.
type Server struct {
	clock quartz.Clock
	mux   *http.ServeMux

	mu       sync.Mutex
	rand     *rand.Rand
	cond     Conditions
	writes   *rate.Limiter
	reads    *rate.Limiter
	waiting  []waiting // requests held by a frozen fault
	version  uint64    // last version given; never used twice, even for a new row
	rows     map[string]platform.Row
	objects  map[string][]byte
	vms      []vmList // by time
	recorded []Write
	rowsKept int // rows in recorded, each transaction and object counted as one more
}

type waiting struct {
	caller, service string
	write           bool
	run             func()
}

type vmList struct {
	at      time.Time
	entries []platform.VMEntry
}

// NewServer returns an empty stand-in without faults. The seed fixes which
// requests a Fault with a Share hits.
func NewServer(clock quartz.Clock, seed uint64) *Server {
	s := &Server{
		clock:   clock,
		rand:    rand.New(rand.NewPCG(seed, 0)),
		rows:    map[string]platform.Row{},
		objects: map[string][]byte{},
	}
	s.mux = s.routes()
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetConditions replaces all faults and limits. Requests that were frozen and
// no longer are take effect before it returns.
func (s *Server) SetConditions(c Conditions) {
	s.mu.Lock()
	c.Faults = slices.Clone(c.Faults)
	if c.WritesPerS != s.cond.WritesPerS {
		s.writes = limiter(c.WritesPerS)
	}
	if c.ReadsPerS != s.cond.ReadsPerS {
		s.reads = limiter(c.ReadsPerS)
	}
	s.cond = c
	var thawed []waiting
	s.waiting = slices.DeleteFunc(s.waiting, func(w waiting) bool {
		if s.frozen(w) {
			return false
		}
		thawed = append(thawed, w)
		return true
	})
	s.mu.Unlock()
	for _, w := range thawed {
		w.run()
	}
}

// SetFaults replaces the faults and keeps the limits.
func (s *Server) SetFaults(faults ...Fault) {
	c := s.Conditions()
	c.Faults = faults
	s.SetConditions(c)
}

// Conditions returns the faults and limits in force.
func (s *Server) Conditions() Conditions {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.cond
	c.Faults = slices.Clone(c.Faults)
	return c
}

// SetVMs replaces the list of VMs. Readers see it after the lag in force.
func (s *Server) SetVMs(entries ...platform.VMEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = append(s.vms, vmList{at: s.clock.Now(), entries: slices.Clone(entries)})
}

// Waiting returns the number of requests held by frozen faults.
func (s *Server) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting)
}

// Writes returns the recorded writes, oldest first.
func (s *Server) Writes() []Write {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.recorded)
}

// Rows returns all rows whose keys start with prefix, by key, whatever faults
// are in force.
func (s *Server) Rows(prefix string) []platform.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scan(prefix, len(s.rows))
}

func limiter(perS float64) *rate.Limiter {
	if perS <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perS), 1)
}

// request runs apply under the lock, subject to the conditions in force. When
// it returns an error, apply may still run later, or may have run.
func (s *Server) request(ctx context.Context, caller, service string, write bool, apply func()) error {
	noAnswer := platform.ErrUnavailable // a read has no effect, with or without an answer
	if write {
		noAnswer = platform.ErrUncertain
	}
	if ctx.Err() != nil {
		return merry.Wrap(platform.ErrUnavailable, merry.WithCause(ctx.Err()), merry.NoCaptureStack())
	}
	s.mu.Lock()
	e := s.strike(caller, service, write)
	if !e.down && !e.reset {
		wait, ok := s.reserve(write)
		e.delay += wait
		e.down = !ok
	}
	switch {
	case e.down:
		s.mu.Unlock()
		return platform.ErrUnavailable
	case e.reset:
		s.mu.Unlock()
		return noAnswer
	case !e.frozen && e.delay <= 0:
		apply()
		s.mu.Unlock()
	default:
		done := make(chan struct{})
		run := func() {
			s.mu.Lock()
			apply()
			s.mu.Unlock()
			close(done)
		}
		if e.frozen {
			s.waiting = append(s.waiting, waiting{caller, service, write, run})
		}
		s.mu.Unlock()
		if !e.frozen {
			s.clock.AfterFunc(e.delay, run, "standin")
		}
		select {
		case <-done:
		case <-ctx.Done():
			return merry.Wrap(noAnswer, merry.WithCause(ctx.Err()), merry.NoCaptureStack())
		}
	}
	if e.lose {
		return noAnswer
	}
	return nil
}

// reserve returns how long a request has to wait for the limit in force, or
// false if the wait is longer than the permitted backlog.
func (s *Server) reserve(write bool) (time.Duration, bool) {
	l := s.reads
	if write {
		l = s.writes
	}
	if l == nil {
		return 0, true
	}
	backlog := time.Duration(s.cond.MaxBacklogMs) * time.Millisecond
	if backlog <= 0 {
		backlog = time.Second
	}
	now := s.clock.Now()
	r := l.ReserveN(now, 1)
	wait := r.DelayFrom(now)
	if wait > backlog {
		r.CancelAt(now)
		return 0, false
	}
	return wait, true
}

func (s *Server) record(w Write) {
	w.At = s.clock.Now()
	s.recorded = append(s.recorded, w)
	s.rowsKept += len(w.Ops) + 1
	if s.rowsKept <= maxRecorded {
		return
	}
	s.recorded = slices.Clone(s.recorded[len(s.recorded)/2:])
	s.rowsKept = 0
	for _, r := range s.recorded {
		s.rowsKept += len(r.Ops) + 1
	}
}
