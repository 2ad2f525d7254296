// Package quota computes the share that one VM may use of a limit that applies to
// all VMs together. The shares stay within the limit although VMs can disagree on
// which VMs are alive.
package quota

import (
	"math"
	"time"
)

// Group counts the VMs that share a limit, as seen by one of them. Both counts
// include that VM.
type Group struct {
	Alive      int // VMs known to be alive, see statesync.Liveness
	Registered int // VMs that are registered, alive or not
}

// Share returns the part of the limit that the whole group may use. One VM of the group
// uses it on behalf of all. The shares of disjoint groups, such as network partitions,
// add up to at most the whole limit. The share is at most half, even if the group
// contains all registered VMs: a VM that has just been cut off from the group may
// still use up to half until it notices.
func (g Group) Share() float64 {
	return min(float64(g.Alive)/float64(max(g.Registered, 1)), 0.5)
}

// AtLeastHalfAlive reports whether at least half of the registered VMs are alive.
func (g Group) AtLeastHalfAlive() bool { return 2*g.Alive >= g.Registered }

const (
	// UnmeasuredSenders is the number of VMs that may send to a server that has no
	// recent reading and may be cold. There are two in case one of them is down.
	UnmeasuredSenders = 2
	// unmeasuredPerSecond is the number of requests per second that each of these
	// VMs may send to the server.
	unmeasuredPerSecond = 1
)

// RateWindow is the time span for which the requests to a cold server (see
// fleet.Server) are limited: the limits apply to any span of this length. Once a VM has
// waited this long after a server was assigned to it, the requests that other VMs sent
// before count no longer.
const RateWindow = time.Second

// ProbeAssignment is the assignment of a server to a VM that probes it. A probe, also
// called a measurement, is a health check that also returns the server's load; its
// result is a reading (fleet.Reading). The zero value of ProbeAssignment is not valid. A
// ProbeAssignment is not safe for concurrent use.
type ProbeAssignment struct {
	assignedAt    time.Time
	noPredecessor bool    // no other VM can have measured the server before
	share         float64 // present share of the group
	// minFormerShare is the smallest share before any of the latest growths, going
	// back as long as each followed the one before within RateWindow.
	minFormerShare float64
	grownAt        time.Time // time of the latest growth of share
}

// NewProbeAssignment returns an assignment that begins now. noPredecessor is true
// if no other VM can have been assigned to the server before.
func NewProbeAssignment(now time.Time, g Group, noPredecessor bool) *ProbeAssignment {
	return &ProbeAssignment{assignedAt: now, noPredecessor: noPredecessor, share: g.Share()}
}

// Update records the present group, from which the share is computed.
func (a *ProbeAssignment) Update(now time.Time, g Group) {
	share := g.Share()
	if share > a.share {
		if now.Sub(a.grownAt) >= RateWindow {
			a.minFormerShare = a.share
		}
		a.minFormerShare = min(a.minFormerShare, a.share)
		a.grownAt = now
	}
	a.share = share
}

// Share returns the part of the limits that the VM may use. It is 0 for RateWindow
// after the assignment if another VM may have used its share of the same limits
// before. After the share has grown, the smaller former share applies for
// RateWindow. Share returns 0 for a nil assignment.
func (a *ProbeAssignment) Share(now time.Time) float64 {
	switch {
	case a == nil, !a.noPredecessor && now.Sub(a.assignedAt) < RateWindow:
		return 0
	case now.Sub(a.grownAt) < RateWindow:
		return min(a.share, a.minFormerShare)
	default:
		return a.share
	}
}

// Warmup limits the requests to each cold server of a service, over all VMs
// together.
type Warmup struct {
	Rate   float64 // requests/s; 0: no limit
	Factor float64 // factor by which the requests within one second may exceed Rate
	Slack  float64 // requests allowed within one second in addition to Rate times Factor
}

// SenderState describes what a VM knows of a server that is or may be cold, and
// whether it may send to it.
type SenderState struct {
	// Known is true if there is a recent reading. Cold is true if that reading
	// says that the server is cold.
	Known, Cold bool
	// TurnedColdAt is the time of the first reading that shows the server as cold after one
	// that did not; zero if it was cold at the first reading.
	TurnedColdAt time.Time
	// ProbeAssignment is nil unless the VM is assigned to measure the server.
	ProbeAssignment *ProbeAssignment
	// MaySendUnmeasured is true if the VM is one of the UnmeasuredSenders VMs of the
	// server's failure domain that are selected to send to it without a reading.
	// It is false while the VM's process has run for less than a second, because a
	// former process of the VM may have sent requests within that second.
	MaySendUnmeasured bool
}

const (
	// unconfirmedShare is the part of the limit of a cold server that one VM may send to a
	// server that was not cold at the latest reading, until the next one.
	unconfirmedShare = 1.0 / 3
	// idleConfirmTime is the age up to which a reading of an idle server counts like one of a
	// server in use. Idle servers are measured rarely, and many VMs may choose one at once.
	idleConfirmTime = 100 * time.Millisecond
	// turnedColdDelay is the time from the first reading that shows a server as cold until the
	// VM that measures it uses its share. By then, the requests that VMs sent before they knew
	// of it are more than RateWindow old. The rest covers the time until siblings know of it.
	turnedColdDelay = RateWindow + 200*time.Millisecond
)

// Confirmation describes the latest reading of a server, which shows it as not cold.
type Confirmation struct {
	Age  time.Duration
	Idle bool // the server had no request at that time
	VMs  int  // number of registered VMs, any of which may send to the server
}

// MaxUnconfirmed returns the number of requests that a VM may send to a server after a
// reading that shows the server as not cold. The server may turn cold right after the
// reading. A VM that receives no readings, for instance because its link to a sibling is
// slow, would otherwise send at its full rate until the reading is too old. An idle server
// with an older reading gets an equal part of the limit from each VM, at least one request. The
// result is math.MaxInt if cold servers have no limit.
func MaxUnconfirmed(w Warmup, c Confirmation) int {
	if w.Rate <= 0 {
		return math.MaxInt
	}
	limit := w.Rate*w.Factor + w.Slack
	n := limit * unconfirmedShare
	if c.Idle && c.Age > idleConfirmTime {
		n = min(n, limit/float64(max(c.VMs, 1)))
	}
	return max(int(n), 1)
}

// RequestsPerSecond returns the number of requests that the VM may send to the
// server within any second. Only the VM that measures a cold server sends to it,
// and at most w.Rate requests, rounded up.
// The result is math.MaxInt if there is no limit.
func RequestsPerSecond(now time.Time, w Warmup, s SenderState) int {
	switch {
	case s.Known && !s.Cold:
		return math.MaxInt
	case s.Known && s.ProbeAssignment != nil && w.Rate <= 0:
		return math.MaxInt
	case s.Known && now.Sub(s.TurnedColdAt) < turnedColdDelay:
		return 0
	case s.Known:
		total := w.Rate*w.Factor + w.Slack - UnmeasuredSenders*unmeasuredPerSecond
		return int(min(total*s.ProbeAssignment.Share(now), math.Ceil(w.Rate)))
	case s.MaySendUnmeasured:
		return unmeasuredPerSecond
	default:
		return 0
	}
}
