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

// Fault describes how the stand-in disturbs the requests that match Callers,
// Service and WritesOnly. If several faults apply to one request, it is disturbed
// in all these ways and the delays are added.
type Fault struct {
	Callers    []string `json:"callers,omitempty"`     // VM names; empty: every caller
	Service    string   `json:"service,omitempty"`     // empty: all services
	WritesOnly bool     `json:"writes_only,omitempty"` // the fault applies to writes only
	Share      float64  `json:"share,omitempty"`       // probability that the fault applies to a matching request; 0 means every one
	Count      int      `json:"count,omitempty"`       // number of requests that the fault applies to; 0 means no limit

	Down         bool `json:"down,omitempty"`        // request refused with "unavailable"; it has no effect
	Reset        bool `json:"reset,omitempty"`       // connection closed; the request has no effect
	DropResponse bool `json:"lose_answer,omitempty"` // connection closed after the request took effect
	DelayMs      int  `json:"delay_ms,omitempty"`    // delay of effect and response, in ms
	Blocked      bool `json:"frozen,omitempty"`      // effect and response come when the fault is removed
}

// Conditions holds the faults and limits in force. A rate of 0 means no limit.
type Conditions struct {
	Faults       []Fault `json:"faults"`
	WritesPerS   float64 `json:"writes_per_s,omitempty"`   // transactions and object writes per second
	ReadsPerS    float64 `json:"reads_per_s,omitempty"`    // reads of all services per second
	VMListLagMs  int     `json:"vm_list_lag_ms,omitempty"` // age of the list of VMs that readers get, in ms
	MaxBacklogMs int     `json:"max_backlog_ms,omitempty"` // longest time that a request waits because of WritesPerS or ReadsPerS, in ms, default 1,000; a request that would wait longer is refused
}

func (f Fault) matches(caller, service string, write bool) bool {
	return (f.Service == "" || f.Service == service) &&
		(write || !f.WritesOnly) &&
		(len(f.Callers) == 0 || slices.Contains(f.Callers, caller))
}

// combinedFault is the combination of the faults that apply to one request.
type combinedFault struct {
	down, reset, dropResponse, blocked bool
	delay                              time.Duration
}

// selectFaults returns the combined faults that apply to a request, and counts the
// request against the Count of each of them. s.mu must be held.
func (s *Server) selectFaults(caller, service string, write bool) combinedFault {
	var combined combinedFault
	for i := range s.conditions.Faults {
		f := &s.conditions.Faults[i]
		if f.Count < 0 || !f.matches(caller, service, write) {
			continue
		}
		if f.Share > 0 && s.rand.Float64() >= f.Share {
			continue
		}
		if f.Count > 0 {
			// A fault that has reached its Count stays in the list with a Count
			// of -1, since 0 means no limit.
			if f.Count--; f.Count == 0 {
				f.Count = -1
			}
		}
		combined.down = combined.down || f.Down
		combined.reset = combined.reset || f.Reset
		combined.dropResponse = combined.dropResponse || f.DropResponse
		combined.blocked = combined.blocked || f.Blocked
		combined.delay += time.Duration(f.DelayMs) * time.Millisecond
	}
	return combined
}

// isBlocked reports whether a fault in force still blocks a request that waits.
// s.mu must be held.
func (s *Server) isBlocked(w blockedRequest) bool {
	return slices.ContainsFunc(s.conditions.Faults, func(f Fault) bool {
		return f.Blocked && f.matches(w.caller, w.service, w.write)
	})
}
