package fakebackend

import (
	"time"
)

// Faults holds the faults that a server injects. The zero value injects none. A share
// is a probability per call, from 0 to 1.
type Faults struct {
	// Slow is a factor on service times; 0 means 1.
	Slow float64 `json:"slow"`
	// FailFast is the share of calls that are answered with status 500
	// immediately, without a run.
	FailFast float64 `json:"fail_fast"`
	// Shed is the share of calls that are shed although the server has capacity.
	Shed float64 `json:"shed"`
	// Truncate is the share of answers that end after half of the body.
	Truncate float64 `json:"truncate"`
	// Late is the share of answers that are sent LateMs after the run has finished.
	Late   float64 `json:"late"`
	LateMs int     `json:"late_ms"`
	// Cross is the share of answers that are replaced by the answer to an earlier
	// request.
	Cross float64 `json:"cross"`
	// ExtraAnswer is the share of answers that are followed by a second,
	// unsolicited one on the same connection.
	ExtraAnswer float64 `json:"extra_answer"`
	// RunTwice is the share of calls that run twice. A correct backend server never
	// does that; the fault shows whether test assertions detect it.
	RunTwice float64 `json:"run_twice"`
	// FalseNotRun is the share of calls that run and are answered as not run. A
	// correct backend server never does that; the fault shows whether test
	// assertions detect it.
	FalseNotRun float64 `json:"false_not_run"`
	// LoadLagMs is the age of the number of calls in flight that GET /load reports.
	LoadLagMs int `json:"load_lag_ms"`
	// LoadInFlight, if set, replaces the number of calls in flight that GET /load
	// reports.
	LoadInFlight *int `json:"load_in_flight,omitempty"`
	// Health, if set, replaces the health that GET /healthz reports, also while draining.
	Health string `json:"health"`
}

// FaultUpdate is the body of POST /faults. Faults whose fields are absent stay
// unchanged, unless Reset is set, which first switches all faults off. Drain, TurnCold
// and DownMs take effect once, when the update is applied.
type FaultUpdate struct {
	Reset bool `json:"reset"`
	Faults
	// Drain starts or ends draining.
	Drain *bool `json:"drain,omitempty"`
	// TurnCold makes the server cold again without a restart.
	TurnCold bool `json:"turn_cold"`
	// DownMs takes the server down for that many milliseconds. It comes back
	// cold, as a new instance.
	DownMs int `json:"down_ms"`
}

// SetFaults replaces the faults that the server injects.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the faults that the server injects.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Drain starts draining: the server still runs calls, adds the headers
// Goldcresthinge-Leaving: 1 and Connection: close to its answers, and reports
// draining as its health.
func (s *Server) Drain() { s.setDraining(true) }

// EndDrain ends draining.
func (s *Server) EndDrain() { s.setDraining(false) }

func (s *Server) setDraining(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on && !s.draining {
		s.record.DrainStarted = s.cfg.Clock.Now()
	}
	s.draining = on
}

// TurnCold makes the server cold again without a restart.
func (s *Server) TurnCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.warmup = newWarmupState(s.cfg.ColdStart, s.cfg.Slots, s.cfg.Clock.Now())
}

// GoDown takes the server down for downtime: it closes its connections and refuses
// new ones. It comes back cold, as a new instance.
func (s *Server) GoDown(downtime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.goDownLocked(downtime, false)
}

// Apply applies an update like POST /faults, except that it replaces all faults by
// update.Faults and ignores update.Reset.
func (s *Server) Apply(update FaultUpdate) {
	s.SetFaults(update.Faults)
	if update.Drain != nil {
		s.setDraining(*update.Drain)
	}
	if update.TurnCold {
		s.TurnCold()
	}
	if update.DownMs > 0 {
		s.GoDown(time.Duration(update.DownMs) * time.Millisecond)
	}
}
