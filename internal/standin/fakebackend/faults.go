package fakebackend

import (
	"time"
)

// Faults are the faults that are switched on. The zero value is a target
// without faults. Shares are probabilities from 0 to 1 per call.
type Faults struct {
	// Slow multiplies service times; 0 means 1.
	Slow float64 `json:"slow"`
	// FailFast is the share of calls answered 500 at once, without a run.
	FailFast float64 `json:"fail_fast"`
	// Shed is the share of calls shed although there is room.
	Shed float64 `json:"shed"`
	// Truncate is the share of answers cut after half of the body.
	Truncate float64 `json:"truncate"`
	// Late is the share of answers sent LateMs after the work was done.
	Late   float64 `json:"late"`
	LateMs int     `json:"late_ms"`
	// Cross is the share of answers replaced by that to an earlier request.
	Cross float64 `json:"cross"`
	// ExtraAnswer is the share of answers followed by a second, unsolicited
	// one on the same connection.
	ExtraAnswer float64 `json:"extra_answer"`
	// RunTwice is the share of calls that run twice. A correct target never
	// does that; it checks the checks.
	RunTwice float64 `json:"run_twice"`
	// FalseNotRun is the share of calls that run and are answered not-run. A
	// correct target never does that; it checks the checks.
	FalseNotRun float64 `json:"false_not_run"`
	// LoadLagMs delays what GET /load shows.
	LoadLagMs int `json:"load_lag_ms"`
	// LoadInFlight, if set, is what GET /load claims instead of the truth.
	LoadInFlight *int `json:"load_in_flight,omitempty"`
	// Health, if set, is what GET /healthz claims instead of the truth.
	Health string `json:"health"`
}

// FaultUpdate is the body of POST /faults. Absent fields stay as they are, except
// that Reset first switches all faults off. The events happen once.
type FaultUpdate struct {
	Reset bool `json:"reset"`
	Faults
	// Drain starts or ends draining.
	Drain *bool `json:"drain,omitempty"`
	// TurnCold makes the target cold again without a restart.
	TurnCold bool `json:"turn_cold"`
	// DownMs stops the target for that time; it comes back cold, as a new
	// instance.
	DownMs int `json:"down_ms"`
}

// SetFaults replaces the faults that are switched on.
func (t *Server) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Faults returns the faults that are switched on.
func (t *Server) Faults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// Drain starts draining: the target still runs calls, answers with
// Goldcresthinge-Leaving: 1 and Connection: close, and says so by its health.
func (t *Server) Drain() { t.setDraining(true) }

// EndDrain ends draining.
func (t *Server) EndDrain() { t.setDraining(false) }

func (t *Server) setDraining(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if on && !t.draining {
		t.rec.DrainStarted = t.cfg.Clock.Now()
	}
	t.draining = on
}

// TurnCold makes the target cold again without a restart.
func (t *Server) TurnCold() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.warm = newWarmth(t.cfg.ColdStart, t.cfg.Slots, t.cfg.Clock.Now())
}

// GoDown stops the target for d: connections are closed and refused. It comes
// back cold, as a new instance.
func (t *Server) GoDown(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.goDownLocked(d, false)
}

// Apply does what POST /faults does with a whole FaultUpdate.
func (t *Server) Apply(c FaultUpdate) {
	t.SetFaults(c.Faults)
	if c.Drain != nil {
		t.setDraining(*c.Drain)
	}
	if c.TurnCold {
		t.TurnCold()
	}
	if c.DownMs > 0 {
		t.GoDown(time.Duration(c.DownMs) * time.Millisecond)
	}
}
