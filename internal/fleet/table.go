package fleet

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// quarantineThreshold is the number of consecutive failures after which a
	// server is quarantined.
	quarantineThreshold = 3
	// minQuarantine is the duration of a server's first quarantine. Each further
	// quarantine without a success in between lasts twice as long as the last, up
	// to maxQuarantine.
	minQuarantine = 500 * time.Millisecond
	maxQuarantine = 4 * time.Second
	// resultWeight is the weight of the latest result of a request, successes
	// included, in the moving averages failureShare and shedShare.
	resultWeight = 0.2
)

// ServerTable holds the registered backend servers and their state. It is safe for
// concurrent use, and no method waits for the network.
type ServerTable struct {
	// onBusy is called with the ID of a server that had no request in progress, as far as this
	// VM knew, and now has one; nil: not called. See NotifyBusy.
	onBusy atomic.Pointer[func(id string)]

	mu       sync.Mutex
	servers  map[string]*serverState
	order    []*serverState // sorted by ID
	revision uint64         // incremented with each change of a reading
	// inFlightRevision is incremented with each change of the requests in progress.
	inFlightRevision uint64
	setCount         uint64 // see SetCount
	// removed holds what the answers of processes have said that are no longer registered, by server
	// ID. It is for those whose rows come back.
	removed map[string]removedProcess
}

// serverState is the state of one server as known to this VM.
type serverState struct {
	availability

	server          Server
	reading         Reading
	turnedColdAt    time.Time // see View.TurnedColdAt
	readingRevision uint64    // value of ServerTable.revision at the latest change of reading
	// inFlightRevision is the value of ServerTable.inFlightRevision at the latest change of
	// inFlight or peerInFlight.
	inFlightRevision uint64

	inFlight int // requests of this VM in progress at the server
	// peerInFlight counts the requests in progress that siblings have reported, by
	// peer. A peer is the sibling at the other end of a stream; it may also report
	// the requests of further siblings. The caller chooses the keys, one per peer.
	peerInFlight map[string]int
	// unaccounted is the number of requests in the latest reading that were sent
	// neither by this VM nor by a sibling that reports its requests. They come
	// from other regions.
	unaccounted int
	// sends are the times, in order, at which this VM sent requests that may have reached the
	// server while it was cold: those after the latest measurement that showed it as not cold.
	sends []time.Time

	consecutiveFailures int
	failureShare        float64 // moving average of failed requests, 0 to 1
	shedShare           float64 // moving average of rejected requests, 0 to 1
	quarantinedUntil    time.Time
	quarantineDuration  time.Duration // duration of the latest quarantine; 0 after a success
}

// NewServerTable returns an empty table.
func NewServerTable() *ServerTable { return &ServerTable{servers: map[string]*serverState{}} }

// SetServers replaces the set of registered servers. A server that was registered
// before keeps its state, unless its incarnation or address has changed. What its answers have said
// is kept also while it is not registered.
func (t *ServerTable) SetServers(servers []Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.replaces(servers) {
		t.setCount++
	}
	t.rememberRemoved(servers)
	known := make(map[string]*serverState, len(servers))
	t.order = t.order[:0]
	for _, s := range servers {
		st, ok := t.servers[s.ID]
		if !ok || st.server.Incarnation != s.Incarnation || st.server.Address != s.Address {
			st = &serverState{availability: t.restore(s)}
			t.inFlightChanged(st)
		}
		st.server = s
		known[s.ID] = st
		t.order = append(t.order, st)
	}
	slices.SortFunc(t.order, func(a, b *serverState) int {
		if a.server.ID < b.server.ID {
			return -1
		}
		return 1
	})
	t.servers = known
}

// NotifyBusy makes the table call f whenever the first request at an idle server becomes known. f
// must not block; it is called without a lock of the table.
func (t *ServerTable) NotifyBusy(f func(id string)) { t.onBusy.Store(&f) }

// becameBusy calls the function passed to NotifyBusy.
func (t *ServerTable) becameBusy(id string) {
	if f := t.onBusy.Load(); f != nil {
		(*f)(id)
	}
}

// Servers returns all registered servers, sorted by ID.
func (t *ServerTable) Servers() []Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Server, len(t.order))
	for i, st := range t.order {
		out[i] = st.server
	}
	return out
}

// replaces reports whether SetServers adds, removes or replaces a server of the table. The
// caller must hold mu.
func (t *ServerTable) replaces(servers []Server) bool {
	if len(servers) != len(t.servers) {
		return true
	}
	for _, s := range servers {
		st, ok := t.servers[s.ID]
		if !ok {
			return true
		}
		s.Draining, s.ColdFor = st.server.Draining, st.server.ColdFor
		if !s.SameState(st.server) {
			return true
		}
	}
	return false
}

// SetCount returns a number that grows whenever a server is added, removed or replaced by
// another one under its ID. Changes between cold, draining and ready do not count.
func (t *ServerTable) SetCount() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.setCount
}

// Server returns the registered server with the given ID, and whether there is
// one.
func (t *ServerTable) Server(id string) (Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	st, ok := t.servers[id]
	if !ok {
		return Server{}, false
	}
	return st.server, true
}

// Observe records a reading if the server is registered, with the process that was measured, and the
// reading is newer than the recorded one. It reports whether the reading was recorded.
func (t *ServerTable) Observe(id string, r Reading) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	st, ok := t.servers[id]
	if !ok || !r.At.After(st.reading.At) || !st.isProcess(r.Incarnation) {
		return false
	}
	if st.reading.Health == Unreachable && r.Health != Unreachable {
		// Failures from before the server became reachable again say nothing
		// about its present state.
		st.consecutiveFailures, st.failureShare, st.quarantinedUntil = 0, 0, time.Time{}
	}
	if r.Cold(r.At) && !st.reading.Cold(r.At) && st.reading.Health != Unmeasured {
		st.turnedColdAt = r.At
	}
	st.reading = r
	t.revision++
	st.readingRevision = t.revision
	st.dropSettledSends()
	st.unaccounted = max(r.Load.Running+r.Load.Waiting-st.inFlight-st.peerInFlightTotal(), 0)
	return true
}

// isProcess reports whether the process of the server with this incarnation is the registered one. An
// incarnation of 0 is not known and may be the registered one.
func (st *serverState) isProcess(incarnation uint64) bool {
	return incarnation == 0 || incarnation == st.server.Incarnation
}

// Confirm records that the readings received from source still applied at the given
// time, except those of the servers whose IDs are in except. Later readings and
// confirmations are kept.
func (t *ServerTable) Confirm(source string, at time.Time, except map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, st := range t.order {
		if st.reading.Source == source && at.After(st.reading.ConfirmedAt) && !except[st.server.ID] {
			st.reading.ConfirmedAt = at
			st.dropSettledSends()
		}
	}
}

// peerInFlightTotal returns the number of requests in progress of all siblings.
func (st *serverState) peerInFlightTotal() int {
	n := 0
	for _, c := range st.peerInFlight {
		n += c
	}
	return n
}

// SetPeerInFlight records that a peer (see serverState), together with the VMs whose
// requests it reports, has n requests in progress at a server. An unknown server is ignored.
func (t *ServerTable) SetPeerInFlight(peer, id string, n int) {
	if t.setPeerInFlight(peer, id, n) {
		t.becameBusy(id)
	}
}

// setPeerInFlight is SetPeerInFlight and reports whether the server was idle before and is not
// any longer.
func (t *ServerTable) setPeerInFlight(peer, id string, n int) (becameBusy bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	st, ok := t.servers[id]
	if !ok {
		return false
	}
	if st.peerInFlight == nil {
		st.peerInFlight = map[string]int{}
	}
	t.inFlightChanged(st)
	if n == 0 {
		delete(st.peerInFlight, peer)
		return false
	}
	idle := st.inFlight+st.peerInFlightTotal() == 0
	st.peerInFlight[peer] = n
	return idle
}

// DropPeer removes the requests in progress that a peer has reported.
func (t *ServerTable) DropPeer(peer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, st := range t.order {
		if _, ok := st.peerInFlight[peer]; ok {
			delete(st.peerInFlight, peer)
			t.inFlightChanged(st)
		}
	}
}

// inFlightChanged records that the requests in progress at a server have changed. The
// caller must hold mu.
func (t *ServerTable) inFlightChanged(st *serverState) {
	t.inFlightRevision++
	st.inFlightRevision = t.inFlightRevision
}

// InFlight returns the number of requests in progress by server ID, and the present
// revision: the requests of this VM and those reported by the peers for which include
// returns true. Only servers at which requests have started or ended after revision since
// are included; a since of 0 includes all servers.
func (t *ServerTable) InFlight(since uint64, include func(peer string) bool) (map[string]int, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlightRevision == since && since > 0 {
		return nil, since
	}
	out := map[string]int{}
	for _, st := range t.order {
		if since > 0 && st.inFlightRevision <= since {
			continue
		}
		n := st.inFlight
		for peer, c := range st.peerInFlight {
			if include(peer) {
				n += c
			}
		}
		out[st.server.ID] = n
	}
	return out, t.inFlightRevision
}

// ObserveSlowdown records the slowdown that a server reported in its answer to a
// request. It has no effect if the latest reading is not older than at or does not
// show the server as healthy, or if another process of the server is registered.
func (t *ServerTable) ObserveSlowdown(server Server, at time.Time, slowdown float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	st, ok := t.servers[server.ID]
	if ok && st.isProcess(server.Incarnation) && at.After(st.reading.At) && st.reading.Health == Healthy {
		st.reading.Load.Slowdown = slowdown
		t.revision++
		st.readingRevision = t.revision
	}
}

// RequestStarted records that this VM is about to send a request to a server.
func (t *ServerTable) RequestStarted(id string, now time.Time) {
	if t.requestStarted(id, now) {
		t.becameBusy(id)
	}
}

// requestStarted is RequestStarted and reports whether the server was idle before.
func (t *ServerTable) requestStarted(id string, now time.Time) (wasIdle bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	st, ok := t.servers[id]
	if !ok {
		return false
	}
	wasIdle = st.inFlight+st.peerInFlightTotal() == 0
	st.inFlight++
	t.inFlightChanged(st)
	st.sends = append(st.sends, now)
	return wasIdle
}

// Result is the result of a request at a server.
type Result uint8

// Results of requests.
const (
	Succeeded Result = iota
	Failed           // the server failed the request or did not answer
	Shed             // the server rejected the request without running it
	Neutral          // the result says nothing about the server, for instance because the caller closed the connection
)

// RequestEnded records the end of a request that this VM sent to a server, to the process with the
// given incarnation (0: not known). After quarantineThreshold consecutive failures the server is
// quarantined. It has no effect if another process is registered.
func (t *ServerTable) RequestEnded(id string, incarnation uint64, now time.Time, r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	st, ok := t.servers[id]
	if !ok || !st.isProcess(incarnation) {
		return
	}
	st.inFlight = max(st.inFlight-1, 0)
	t.inFlightChanged(st)
	switch r {
	case Succeeded:
		st.consecutiveFailures, st.quarantineDuration = 0, 0
		st.failureShare *= 1 - resultWeight
		st.shedShare *= 1 - resultWeight
	case Shed:
		st.shedShare += resultWeight * (1 - st.shedShare)
	case Failed:
		st.consecutiveFailures++
		st.failureShare += resultWeight * (1 - st.failureShare)
		if st.consecutiveFailures >= quarantineThreshold {
			st.consecutiveFailures = 0
			st.quarantineDuration = min(max(2*st.quarantineDuration, minQuarantine), maxQuarantine)
			st.quarantinedUntil = now.Add(st.quarantineDuration)
		}
	case Neutral:
	}
}

// ChangedReading is a server whose reading changed, with its latest reading.
type ChangedReading struct {
	Server  Server
	Reading Reading
}

// ChangedSince appends the readings that changed after revision since to buf, sorted by
// server ID, and returns the extended slice and the present revision. A since of 0
// selects all recorded readings.
func (t *ServerTable) ChangedSince(buf []ChangedReading, since uint64) ([]ChangedReading, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.revision == since {
		return buf, since
	}
	for _, st := range t.order {
		if st.readingRevision > since {
			buf = append(buf, ChangedReading{st.server, st.reading})
		}
	}
	return buf, t.revision
}

// Reading returns the latest reading of a server, and whether the server is
// registered. The reading is zero if the server was not measured yet.
func (t *ServerTable) Reading(id string) (Reading, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	st, ok := t.servers[id]
	if !ok {
		return Reading{}, false
	}
	return st.reading, true
}

// HasRequests reports whether this VM or a sibling has requests in progress at a server.
func (t *ServerTable) HasRequests(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	st, ok := t.servers[id]
	return ok && st.inFlight+st.peerInFlightTotal() > 0
}

// Period returns the median of the periods with which servers of a service change
// speed, or 0 if no period is known.
func (t *ServerTable) Period(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	var periods []time.Duration
	for _, st := range t.order {
		if st.server.Service == service && st.reading.Period > 0 {
			periods = append(periods, st.reading.Period)
		}
	}
	if len(periods) == 0 {
		return 0
	}
	slices.Sort(periods)
	return periods[len(periods)/2]
}
