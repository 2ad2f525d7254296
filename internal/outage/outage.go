// Package outage decides whether the platform's store was unavailable between two reads of it, to
// everyone and not only to this VM. It matters for rows that expire if they are not written: those of
// live servers may expire in an outage, while a row that is missing at any other time is that of a
// server that has left.
//
// A VM that has not read the store for a while cannot distinguish an outage from a fault of its own: its
// connections may be silent, its relay may have been paused, or it may be cut off itself. So an outage
// is concluded only if no VM is known to have read the store in that time and a read failed in a way
// that speaks of the store. See History.
package outage

import "time"

const (
	// MaxReadGap is the time between two successful reads above which rows may have expired in an
	// outage of the store in between.
	MaxReadGap = 1800 * time.Millisecond
	// maxTimerDelay is the delay of a time-out above which this VM must have been paused.
	maxTimerDelay = 500 * time.Millisecond
)

// FailedRead describes a read of the store that failed.
type FailedRead struct {
	// Refused is true if the store answered that it is unavailable.
	Refused bool
	// NewConnection is true if the store did not answer on a connection that was opened for the read,
	// or that connection could not be opened.
	NewConnection bool
	// Repeated is true if the read before failed too, so that the connection was opened after that.
	Repeated bool
	// Took is the time until the read failed, and Timeout the time that it was allowed.
	Took, Timeout time.Duration
}

// ShowsOutage reports whether the store is likely to have been unavailable. All connections that are
// open may go silent or be reset while new ones work, so a failure counts only on a connection that
// was opened after another one. A read that ended long after its time-out was interrupted by a pause
// of this VM.
func (f FailedRead) ShowsOutage() bool {
	return f.Refused || f.NewConnection && f.Repeated && f.Took <= f.Timeout+maxTimerDelay
}

// History is what is known of the reads of the store that led to a copy of its rows, by this VM and by
// the siblings that passed copies on. Times are those of this VM's clock just before a read was sent.
type History struct {
	// AsOf is the time of the latest read; zero: the store was not read yet.
	AsOf time.Time
	// Since is the start of the time, up to AsOf, in which no two successive reads are more than
	// MaxReadGap apart.
	Since time.Time
	// AfterOutage is true if the store was unavailable before Since.
	AfterOutage bool
}

// Join returns the union of two histories. failedAt is the time of this VM's latest read that shows an
// outage, or zero. It counts only between the end of h and the start of a later history.
func (h History) Join(o History, failedAt time.Time) History {
	if h.AsOf.IsZero() {
		return o
	}
	if o.Since.Sub(h.AsOf) > MaxReadGap {
		o.AfterOutage = o.AfterOutage || failedAt.After(h.AsOf) && failedAt.Before(o.AsOf)
		return o
	}
	if h.Since.Sub(o.AsOf) > MaxReadGap {
		return h // o is from before the gap
	}
	joined := h
	if o.Since.Before(h.Since) {
		joined = o
	}
	joined.AsOf = h.AsOf
	if o.AsOf.After(h.AsOf) {
		joined.AsOf = o.AsOf
	}
	return joined
}

// Unbroken returns the time from Since to AsOf.
func (h History) Unbroken() time.Duration { return h.AsOf.Sub(h.Since) }

// Watch follows the history of a copy and determines for how long rows that are missing may have
// expired in an outage. The zero value is ready for use.
type Watch struct {
	seen   History
	before time.Time // time of the latest read before the latest outage
	until  time.Time
}

// Update takes the present history into account. It returns the time until which servers whose rows
// are missing may stay in use, which is gracePeriod after the first read that followed the latest
// outage, and whether that time was set or withdrawn by this call. It is withdrawn once a sibling is
// known to have read the store throughout. The delays of messages differ, so History.Since may become
// slightly earlier also after an outage.
func (w *Watch) Update(h History, gracePeriod time.Duration) (until time.Time, change Change) {
	previous := w.seen
	w.seen = h
	switch {
	case previous.AsOf.IsZero():
	case h.AfterOutage && h.Since.After(previous.AsOf):
		w.before, w.until = previous.AsOf, h.Since.Add(gracePeriod)
		return w.until, Began
	case !w.until.IsZero() && !h.Since.After(w.before):
		w.until = time.Time{}
		return w.until, Withdrawn
	}
	return w.until, Unchanged
}

// Change is what a call of Watch.Update has changed.
type Change uint8

// Changes of a Watch.
const (
	Unchanged Change = iota
	Began            // an outage has ended
	Withdrawn        // the supposed outage was none
)
