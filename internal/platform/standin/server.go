// Package standin is an in-memory stand-in for the services of the platform:
// transactional table, object store and list of VMs. Tests and demonstrations can
// make it inject faults. It is used in the same process through Client, or over
// HTTP through Server, which is an http.Handler.
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

// maxRecordedRows bounds the memory that recorded writes use during a long
// demonstration. When it is exceeded, the older half of the writes is dropped.
// Unit: rows, as Server.recordedRows counts them.
const maxRecordedRows = 1 << 16

// Write is a recorded write that took effect: either a transaction with its Ops,
// or an object with its name in Object.
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

	mu           sync.Mutex
	rand         *rand.Rand
	conditions   Conditions
	writeLimiter *rate.Limiter    // nil: no limit
	readLimiter  *rate.Limiter    // nil: no limit
	blocked      []blockedRequest // requests that wait for the end of a Blocked fault
	// version is the last version assigned to a row. A version is never used
	// again, even if a row is deleted and inserted again.
	version      uint64
	rows         map[string]platform.Row
	objects      map[string][]byte
	vmLists      []vmList // ordered by time; the last one is the current list
	recorded     []Write
	recordedRows int // written rows in recorded, plus one for each transaction and object
}

// blockedRequest is a request that a Blocked fault holds back. Calling run makes it
// take effect.
type blockedRequest struct {
	caller, service string
	write           bool
	run             func()
}

// vmList is the list of VMs that was set at the time at.
type vmList struct {
	at      time.Time
	entries []platform.VMEntry
}

// NewServer returns an empty stand-in without faults. The seed determines to
// which requests a Fault with a Share applies.
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

// SetConditions replaces all faults and limits. Requests that an earlier Blocked
// fault holds back, and that none of the new faults blocks, take effect before
// SetConditions returns.
func (s *Server) SetConditions(c Conditions) {
	s.mu.Lock()
	c.Faults = slices.Clone(c.Faults)
	if c.WritesPerS != s.conditions.WritesPerS {
		s.writeLimiter = newLimiter(c.WritesPerS)
	}
	if c.ReadsPerS != s.conditions.ReadsPerS {
		s.readLimiter = newLimiter(c.ReadsPerS)
	}
	s.conditions = c
	var released []blockedRequest
	s.blocked = slices.DeleteFunc(s.blocked, func(w blockedRequest) bool {
		if s.isBlocked(w) {
			return false
		}
		released = append(released, w)
		return true
	})
	s.mu.Unlock()
	for _, w := range released {
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
	c := s.conditions
	c.Faults = slices.Clone(c.Faults)
	return c
}

// SetVMs replaces the list of VMs. Readers get the new list after
// Conditions.VMListLagMs.
func (s *Server) SetVMs(entries ...platform.VMEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vmLists = append(s.vmLists, vmList{at: s.clock.Now(), entries: slices.Clone(entries)})
}

// Waiting returns the number of requests that wait for the end of a Blocked
// fault.
func (s *Server) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.blocked)
}

// Writes returns the recorded writes, oldest first. The oldest ones may have been
// dropped; see maxRecordedRows.
func (s *Server) Writes() []Write {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.recorded)
}

// Rows returns all rows whose keys start with prefix, in the order of their keys.
// Faults and limits do not apply to it.
func (s *Server) Rows(prefix string) []platform.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scan(prefix, len(s.rows))
}

// newLimiter returns a limiter with a burst of 1, or nil if perSecond means no
// limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), 1)
}

// request calls apply with s.mu held, subject to the conditions in force. After
// platform.ErrUncertain, apply may have run or may still run later. The same holds
// for a read after platform.ErrUnavailable.
func (s *Server) request(ctx context.Context, caller, service string, write bool, apply func()) error {
	errNoResponse := platform.ErrUnavailable // a read has no effect, even if the response is lost
	if write {
		errNoResponse = platform.ErrUncertain
	}
	if ctx.Err() != nil {
		return merry.Wrap(platform.ErrUnavailable, merry.WithCause(ctx.Err()), merry.NoCaptureStack())
	}
	s.mu.Lock()
	combined := s.selectFaults(caller, service, write)
	if !combined.down && !combined.reset {
		wait, ok := s.reserveLimit(write)
		combined.delay += wait
		combined.down = !ok
	}
	switch {
	case combined.down:
		s.mu.Unlock()
		return platform.ErrUnavailable
	case combined.reset:
		s.mu.Unlock()
		return errNoResponse
	case !combined.blocked && combined.delay <= 0:
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
		if combined.blocked {
			s.blocked = append(s.blocked, blockedRequest{caller, service, write, run})
		}
		s.mu.Unlock()
		if !combined.blocked {
			s.clock.AfterFunc(combined.delay, run, "standin")
		}
		select {
		case <-done:
		case <-ctx.Done():
			return merry.Wrap(errNoResponse, merry.WithCause(ctx.Err()), merry.NoCaptureStack())
		}
	}
	if combined.dropResponse {
		return errNoResponse
	}
	return nil
}

// reserveLimit returns how long a request has to wait for the rate in force. It
// returns false if the wait is longer than Conditions.MaxBacklogMs. s.mu must be
// held.
func (s *Server) reserveLimit(write bool) (time.Duration, bool) {
	limiter := s.readLimiter
	if write {
		limiter = s.writeLimiter
	}
	if limiter == nil {
		return 0, true
	}
	backlog := time.Duration(s.conditions.MaxBacklogMs) * time.Millisecond
	if backlog <= 0 {
		backlog = time.Second
	}
	now := s.clock.Now()
	r := limiter.ReserveN(now, 1)
	wait := r.DelayFrom(now)
	if wait > backlog {
		r.CancelAt(now)
		return 0, false
	}
	return wait, true
}

// record appends a write to the recorded writes and drops the older half of them
// if there are more than maxRecordedRows rows. s.mu must be held.
func (s *Server) record(w Write) {
	w.At = s.clock.Now()
	s.recorded = append(s.recorded, w)
	s.recordedRows += len(w.Ops) + 1
	if s.recordedRows <= maxRecordedRows {
		return
	}
	s.recorded = slices.Clone(s.recorded[len(s.recorded)/2:])
	s.recordedRows = 0
	for _, r := range s.recorded {
		s.recordedRows += len(r.Ops) + 1
	}
}
