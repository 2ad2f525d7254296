// Package fleet describes the backend servers and the entry VMs (the VMs of the
// load balancer) of a deployment as known to this VM: their registrations, and
// for servers the latest measurements and the requests in progress.
package fleet

import "time"

// Server is a backend server as it registered itself.
//
// A server is cold for some time, for instance after its start: it can then handle only
// few requests, at most routing.Service.ColdRate per second. Package quota limits the
// requests that all VMs together send to a cold server. A server without a recent
// reading may be cold.
type Server struct {
	ID            string
	Service       string
	Address       string // IP address and port
	FailureDomain string
	Slots         int
	Version       string // version of the server's software; empty if not known
	Draining      bool
	// ColdFor is the time for which the server expected to remain cold when it wrote
	// this registration.
	ColdFor time.Duration
	// Incarnation grows with each start of a server under the same ID.
	Incarnation uint64
	// Sequence grows with each registration that one process of the server writes; 0: not known.
	Sequence uint64
	// ReturnedAt is the time of the read in which the row of the same process was there again after it
	// had been removed, unless that was long ago; zero otherwise. The process may have left all the
	// same, and the store may have done one of its heartbeats late. A measurement shows which.
	ReturnedAt time.Time
}

// SameState reports whether two registrations of a server are equivalent for
// placement. ColdFor decreases with each heartbeat, so only whether it is zero
// is compared. Sequence and ReturnedAt are ignored.
func (s Server) SameState(o Server) bool {
	s.ColdFor, o.ColdFor = min(s.ColdFor, 1), min(o.ColdFor, 1)
	s.Sequence, s.ReturnedAt = o.Sequence, o.ReturnedAt
	return s == o
}

// Load is the load that a backend server reports in its answer to a measurement.
type Load struct {
	Running int // requests in progress
	Waiting int // requests that wait for a slot
	Slots   int
	// Slowdown is the factor by which requests take longer than usual on the
	// server's machine at present. 1 means usual speed.
	Slowdown float64
}

// Health is the result of the latest measurement of a backend server.
type Health uint8

// Results of a measurement.
const (
	Unmeasured  Health = iota // no measurement yet
	Healthy                   // the server reported itself healthy
	Unhealthy                 // the server reported itself unhealthy
	Unreachable               // the server did not answer
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

// Reading is the result of one measurement of a backend server, by this VM or by
// a sibling (another entry VM).
type Reading struct {
	// At is the time just before the measurement was sent, by this VM's clock.
	At time.Time
	// ConfirmedAt is the time of the latest measurement that a sibling reported as
	// equal to this one; zero if there was none.
	ConfirmedAt time.Time
	Health      Health
	Load        Load
	// ColdFor is the time from At for which the server expects to remain cold.
	ColdFor time.Duration
	// Misses is the number of consecutive measurements without an answer.
	Misses int
	// ValidUntil is the time at which the speed may change next, and Period the
	// interval between later changes. Period is zero if the server is not known to
	// change speed periodically.
	ValidUntil time.Time
	Period     time.Duration
	// Source is the ID of the sibling that sent the reading; empty if this VM
	// measured it.
	Source string
	// Incarnation is the start of the server's process that was measured, as in Server; 0: not stated.
	Incarnation uint64
}

// AsOf returns the time of the latest measurement that gave these values.
func (r Reading) AsOf() time.Time {
	if r.ConfirmedAt.After(r.At) {
		return r.ConfirmedAt
	}
	return r.At
}

// Cold reports whether the server is cold at now.
func (r Reading) Cold(now time.Time) bool {
	return r.ColdFor > 0 && now.Before(r.At.Add(r.ColdFor))
}

// SpeedKnown reports whether the slowdown of the reading is still valid for a
// request that reaches the server at arrival. This VM learns of a change of speed
// within reportDelay. If none was reported by then, the speed has not changed.
// Without a known period, SpeedKnown returns false.
func (r Reading) SpeedKnown(now, arrival time.Time, reportDelay time.Duration) bool {
	if r.Period <= 0 {
		return false
	}
	expected := r.ValidUntil // the next expected change; if it has passed, replaced below by the latest one
	if now.Before(expected) {
		return arrival.Before(expected)
	}
	expected = expected.Add(now.Sub(expected) / r.Period * r.Period)
	return !now.Before(expected.Add(reportDelay)) && arrival.Before(expected.Add(r.Period))
}

// VM is an entry VM, that is a VM of the load balancer, as it registered itself.
type VM struct {
	ID            string
	FailureDomain string
	Region        string
	Address       string // host:port of the listener for siblings
	Incarnation   uint64
	MilliCores    int // processor time available to the VM, in thousandths of a core
}

// LargestVMs returns those of vms that have at least half the processor time of
// the largest. The work that VMs do for a whole failure domain is assigned to
// them.
func LargestVMs(vms []VM) []VM {
	maxMilliCores := 0
	for _, v := range vms {
		maxMilliCores = max(maxMilliCores, v.MilliCores)
	}
	var out []VM
	for _, v := range vms {
		if 2*v.MilliCores >= maxMilliCores {
			out = append(out, v)
		}
	}
	return out
}
