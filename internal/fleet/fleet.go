// Package fleet describes the backend servers and entry VMs of a deployment as
// this VM knows them: what they registered, and what was measured of them.
package fleet

import "time"

// Server is a backend server as it registered itself.
type Server struct {
	ID            string
	Service       string
	Address       string // IP address and port
	FailureDomain string
	Slots         int
	Draining      bool
	// ColdFor is how long the server expected to stay cold when it registered
	// this entry.
	ColdFor time.Duration
	// Incarnation tells two starts under the same ID apart.
	Incarnation uint64
}

// SameState reports whether two entries of a server mean the same for
// placement. ColdFor counts down between heartbeats, so only its presence
// counts.
func (s Server) SameState(o Server) bool {
	s.ColdFor, o.ColdFor = min(s.ColdFor, 1), min(o.ColdFor, 1)
	return s == o
}

// Load is what a backend server says of itself in an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is how many times longer than usual work takes on the server's
	// machine at the moment. 1 means as usual.
	Slowdown float64
}

// Health is the result of the latest measurement of a backend server.
type Health uint8

// Results of a measurement.
const (
	Unmeasured  Health = iota // no measurement yet
	Healthy                   // answered that it is well
	Unhealthy                 // answered that it is not well
	Unreachable               // did not answer
)

// String returns the form used in logs and dumps.
func (h Health) String() string {
	switch h {
	case Healthy:
		return "healthy"
	case Unhealthy:
		return "unhealthy"
	case Unreachable:
		return "unreachable"
	default:
		return "unmeasured"
	}
}

// Reading is one measurement of a backend server, by this VM or a sibling.
type Reading struct {
	// At is the time before the measurement was sent, on the clock of this VM.
	At     time.Time
	Health Health
	Load   Load
	// ColdFor is how long the server expects to stay cold.
	ColdFor time.Duration
	// Misses is the number of measurements in a row without an answer.
	Misses int
	// ValidUntil is when the speed may change next, and Period the interval of
	// later changes. Period is zero if the server follows no known rhythm.
	ValidUntil time.Time
	Period     time.Duration
	// Source is the sibling that the reading came from. Empty: this VM.
	Source string
}

// Cold reports whether the server is cold at now.
func (r Reading) Cold(now time.Time) bool {
	return r.ColdFor > 0 && now.Before(r.At.Add(r.ColdFor))
}

// SpeedKnown reports whether the speed of the reading still holds for a request
// that arrives at the server at arrival. A change is known lag after it happened;
// without news of one, the speed has stayed.
func (r Reading) SpeedKnown(now, arrival time.Time, lag time.Duration) bool {
	if r.Period <= 0 {
		return false
	}
	latest := r.ValidUntil // the latest change that was due
	if now.Before(latest) {
		return arrival.Before(latest)
	}
	latest = latest.Add(now.Sub(latest) / r.Period * r.Period)
	return !now.Before(latest.Add(lag)) && arrival.Before(latest.Add(r.Period))
}

// VM is an entry VM as it registered itself.
type VM struct {
	ID            string
	FailureDomain string
	Region        string
	Address       string // host:port of the listener for siblings
	Incarnation   uint64
	MilliCores    int // processor time that the VM may use
}

// LargestVMs returns the VMs of list that have at least half the processor time of
// the strongest one. They take the duties of a failure domain.
func LargestVMs(list []VM) []VM {
	most := 0
	for _, v := range list {
		most = max(most, v.MilliCores)
	}
	var out []VM
	for _, v := range list {
		if 2*v.MilliCores >= most {
			out = append(out, v)
		}
	}
	return out
}
