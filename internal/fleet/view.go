package fleet

import "time"

// View is a snapshot of one server's state as known to this VM.
type View struct {
	Server  Server
	Reading Reading
	// Busy is the estimated number of requests that the server runs or queues.
	Busy     int
	InFlight int // requests of this VM in progress
	// InFlightInRegion is the number of requests in progress of this VM and of the siblings that
	// report theirs, which are those of its region.
	InFlightInRegion int
	// SentInSecond is the number of requests that this VM sent within the last second and
	// after the latest measurement that showed the server as not cold. Earlier requests
	// cannot have reached it while it was cold.
	SentInSecond int
	// SentUnconfirmed is the number of requests that this VM sent after the latest
	// measurement that gave or confirmed the reading. Of those sent more than a second ago,
	// at most 64 are counted.
	SentUnconfirmed int
	// TurnedColdAt is the time of the first reading that shows the server as cold after one
	// that did not; zero if there was none.
	TurnedColdAt time.Time
	FailureShare float64 // share of this VM's recent requests that failed, 0 to 1
	ShedShare    float64 // share of this VM's recent requests that were rejected, 0 to 1
	// Pace is not set and always 0. It is part of the state dump and was meant for the
	// factor by which recent requests took longer than expected, 1 unless they took
	// much longer.
	Pace        float64
	Quarantined bool
	// LeavingSince is the time of the first answer in which the server said that it leaves, and
	// PausedUntil the time until which it wants nothing from this VM; zero if it said neither.
	LeavingSince, PausedUntil time.Time
}

// Views appends the views of the servers of a service to buf, sorted by ID, and
// returns the extended slice.
func (t *ServerTable) Views(buf []View, service string, now time.Time) []View {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, st := range t.order {
		if st.server.Service == service {
			buf = append(buf, st.view(now))
		}
	}
	return buf
}

// All returns the views of all servers, sorted by ID.
func (t *ServerTable) All(now time.Time) []View {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]View, 0, len(t.order))
	for _, st := range t.order {
		out = append(out, st.view(now))
	}
	return out
}

// view returns the snapshot of st at now. The caller must hold ServerTable.mu.
func (st *serverState) view(now time.Time) View {
	inSecond, unconfirmed := st.recentSends(now)
	inRegion := st.inFlight + st.peerInFlightTotal()
	return View{
		Server: st.server, Reading: st.reading,
		Busy: inRegion + st.unaccounted, InFlight: st.inFlight, InFlightInRegion: inRegion,
		SentInSecond: inSecond, SentUnconfirmed: unconfirmed, TurnedColdAt: st.turnedColdAt,
		FailureShare: st.failureShare,
		ShedShare:    st.shedShare,
		Quarantined:  now.Before(st.quarantinedUntil),
		LeavingSince: st.leavingSince, PausedUntil: st.pausedUntil,
	}
}
