// Package quota decides what one VM may use of limits that hold for all VMs
// together, although VMs see different memberships.
package quota

import (
	"math"
	"time"
)

// Group are the VMs that share a limit, as one of them sees them. Both counts
// hold the VM itself.
type Group struct {
	Alive      int // alive as far as the VM knows
	Registered int
}

// Part returns the part of a limit that the VM may use for its group. VMs in
// groups that do not hear each other use at most the whole limit together. A
// group that may be all there is leaves half of the limit to a VM that left it a
// moment ago.
func (g Group) Part() float64 {
	return min(float64(g.Alive)/float64(max(g.Registered, 1)), 0.5)
}

// Majority reports whether the VM hears half of the group or more.
func (g Group) Majority() bool { return 2*g.Alive >= g.Registered }

const (
	// UnmeasuredSenders is the number of VMs that may send to a server without a
	// recent reading, which may be cold. The second is there in case the first is
	// down.
	UnmeasuredSenders = 2
	// unknownPerSecond bounds the requests of each of them. Unit: 1/s.
	unknownPerSecond = 1
)

// SettleTime is the span over which limits of cold servers count, and after which
// what others sent before counts no more.
const SettleTime = time.Second

// ProbeAssignment is a VM's duty to measure a server. Its zero value is not valid.
type ProbeAssignment struct {
	since   time.Time
	settled bool // no other VM had the duty before
	part    float64
	// former is the least part within SettleTime before the part grew at grown.
	former float64
	grown  time.Time
}

// NewProbeAssignment returns a duty that begins now. first is true if no other VM can have
// had it before.
func NewProbeAssignment(now time.Time, g Group, first bool) *ProbeAssignment {
	return &ProbeAssignment{since: now, settled: first, part: g.Part()}
}

// Update records the present group.
func (d *ProbeAssignment) Update(now time.Time, g Group) {
	part := g.Part()
	if part > d.part {
		if now.Sub(d.grown) >= SettleTime {
			d.former = d.part
		}
		d.former = min(d.former, d.part)
		d.grown = now
	}
	d.part = part
}

// Part returns the part of the limits that the VM may use: none while another VM
// may have used its own within the same second, and no more than its group had a
// second ago.
func (d *ProbeAssignment) Part(now time.Time) float64 {
	switch {
	case d == nil, !d.settled && now.Sub(d.since) < SettleTime:
		return 0
	case now.Sub(d.grown) < SettleTime:
		return min(d.part, d.former)
	default:
		return d.part
	}
}

// Warmup is what cold servers of a service bear.
type Warmup struct {
	Rate   float64 // requests/s; 0: no limit
	Factor float64 // by which requests within a second may exceed Rate
	Slack  float64 // requests within a second
}

// SenderState is what a VM is to a server that is or may be cold.
type SenderState struct {
	// Known is true if there is a recent reading, and Cold what it says.
	Known, Cold bool
	// ProbeAssignment is the VM's duty to measure the server; nil if it has none.
	ProbeAssignment *ProbeAssignment
	// MaySendUnmeasured is true for the UnmeasuredSenders VMs of the server's failure
	// domain that come first for the server, unless their process has run for less
	// than a second and an earlier one may have sent.
	MaySendUnmeasured bool
}

// RequestsPerSecond returns how many requests the VM may send to the server within a
// second. Only the VM that measures a cold server sends to it.
func RequestsPerSecond(now time.Time, w Warmup, s SenderState) int {
	switch {
	case s.Known && !s.Cold:
		return math.MaxInt
	case s.Known && s.ProbeAssignment != nil && w.Rate <= 0:
		return math.MaxInt
	case s.Known:
		limit := w.Rate*w.Factor + w.Slack - UnmeasuredSenders*unknownPerSecond
		return int(min(limit*s.ProbeAssignment.Part(now), math.Ceil(w.Rate)))
	case s.MaySendUnmeasured:
		return unknownPerSecond
	default:
		return 0
	}
}
