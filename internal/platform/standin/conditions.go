package standin

import (
	"slices"
	"time"
)

// Services that a Fault can name.
const (
	ServiceTable   = "table"
	ServiceObjects = "objects"
	ServiceVMs     = "vms"
)

// Fault is a disturbance of the requests it matches. Several faults that match
// one request add up.
type Fault struct {
	Callers    []string `json:"callers,omitempty"`     // VM names; empty: every caller
	Service    string   `json:"service,omitempty"`     // empty: all services
	WritesOnly bool     `json:"writes_only,omitempty"` // reads are not disturbed
	Share      float64  `json:"share,omitempty"`       // share of requests hit, 0 means all
	Count      int      `json:"count,omitempty"`       // number of requests hit, 0 means no bound

	Down         bool `json:"down,omitempty"`        // refused with "unavailable", no effect
	Reset        bool `json:"reset,omitempty"`       // connection closed, no effect
	DropResponse bool `json:"lose_answer,omitempty"` // connection closed after the request took effect
	DelayMs      int  `json:"delay_ms,omitempty"`    // effect and answer come later, in milliseconds
	Blocked      bool `json:"frozen,omitempty"`      // effect and answer come when the fault is lifted
}

// Conditions are the faults and limits in force. Limits of 0 mean no limit.
type Conditions struct {
	Faults       []Fault `json:"faults"`
	WritesPerS   float64 `json:"writes_per_s,omitempty"` // write transactions and objects per second
	ReadsPerS    float64 `json:"reads_per_s,omitempty"`
	VMListLagMs  int     `json:"vm_list_lag_ms,omitempty"`
	MaxBacklogMs int     `json:"max_backlog_ms,omitempty"` // longest wait for a limit, default 1,000
}

func (f Fault) matches(caller, service string, write bool) bool {
	return (f.Service == "" || f.Service == service) &&
		(write || !f.WritesOnly) &&
		(len(f.Callers) == 0 || slices.Contains(f.Callers, caller))
}

// effect is the sum of the faults that hit one request.
type effect struct {
	down, reset, lose, frozen bool
	delay                     time.Duration
}

// strike returns the faults that hit a request and counts it. The server's
// lock is held.
func (s *Server) strike(caller, service string, write bool) effect {
	var e effect
	for i := range s.cond.Faults {
		f := &s.cond.Faults[i]
		if f.Count < 0 || !f.matches(caller, service, write) {
			continue
		}
		if f.Share > 0 && s.rand.Float64() >= f.Share {
			continue
		}
		if f.Count > 0 {
			// A used-up fault stays in the list with a negative count.
			if f.Count--; f.Count == 0 {
				f.Count = -1
			}
		}
		e.down = e.down || f.Down
		e.reset = e.reset || f.Reset
		e.lose = e.lose || f.DropResponse
		e.frozen = e.frozen || f.Blocked
		e.delay += time.Duration(f.DelayMs) * time.Millisecond
	}
	return e
}

// frozen reports whether a request that already waits has to wait on.
func (s *Server) frozen(w waiting) bool {
	return slices.ContainsFunc(s.cond.Faults, func(f Fault) bool {
		return f.Blocked && f.matches(w.caller, w.service, w.write)
	})
}
