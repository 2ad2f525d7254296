package fleet

import (
	"slices"
	"sync"
	"time"
)

const (
	// quarantineAfter is the number of failures in a row after which a server
	// gets a pause.
	quarantineAfter = 3
	// quarantineFirst and quarantineMost bound the pause, which doubles.
	quarantineFirst = 500 * time.Millisecond
	quarantineMost  = 4 * time.Second
	// failureWeight is the weight of the latest result in the share of failures.
	failureWeight = 0.2
)

// ServerTable holds all known backend servers. All methods may be called from any
// goroutine; none blocks on the network.
type ServerTable struct {
	mu      sync.Mutex
	servers map[string]*state
	order   []*state // sorted by ID
	changes uint64   // counts changes of readings
}

// state is what this VM knows of one server.
type state struct {
	server  Server
	reading Reading
	changed uint64 // value of ServerTable.changes at the last change of the reading

	inFlight int            // own requests at the server
	others   map[string]int // requests of siblings, by the peer that told
	// foreign is the number of requests at the latest reading that neither this
	// VM nor a sibling accounts for: those of other regions.
	foreign int
	cold    window // own sends while cold

	failures      int // in a row
	failureShare  float64
	shedShare     float64
	quarantined   time.Time // end of the pause
	quarantineFor time.Duration
}

// window counts events within the last second.
type window struct{ at []time.Time }

func (w *window) count(now time.Time) int {
	w.at = slices.DeleteFunc(w.at, func(t time.Time) bool { return now.Sub(t) >= time.Second })
	return len(w.at)
}

// NewServerTable returns an empty table.
func NewServerTable() *ServerTable { return &ServerTable{servers: map[string]*state{}} }

// SetServers replaces the registered servers. What was measured of servers that
// stay is kept, unless they started anew.
func (t *ServerTable) SetServers(servers []Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := make(map[string]*state, len(servers))
	t.order = t.order[:0]
	for _, s := range servers {
		st, ok := t.servers[s.ID]
		if !ok || st.server.Incarnation != s.Incarnation || st.server.Address != s.Address {
			st = &state{}
		}
		st.server = s
		known[s.ID] = st
		t.order = append(t.order, st)
	}
	slices.SortFunc(t.order, func(a, b *state) int {
		if a.server.ID < b.server.ID {
			return -1
		}
		return 1
	})
	t.servers = known
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

// Server returns a registered server.
func (t *ServerTable) Server(id string) (Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	st, ok := t.servers[id]
	if !ok {
		return Server{}, false
	}
	return st.server, true
}

// Observe records a reading if it is newer than the one known. It reports
// whether it was.
func (t *ServerTable) Observe(id string, r Reading) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	st, ok := t.servers[id]
	if !ok || !r.At.After(st.reading.At) {
		return false
	}
	if st.reading.Health == Unreachable && r.Health != Unreachable {
		// Failures before the server came back say nothing of it now.
		st.failures, st.failureShare, st.quarantined = 0, 0, time.Time{}
	}
	st.reading = r
	t.changes++
	st.changed = t.changes
	st.foreign = max(r.Load.Running+r.Load.Waiting-st.inFlight-st.byOthers(), 0)
	return true
}

func (st *state) byOthers() int {
	n := 0
	for _, c := range st.others {
		n += c
	}
	return n
}

// SetPeerInFlight records that the VMs behind a peer have n requests at a server.
func (t *ServerTable) SetPeerInFlight(peer, id string, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	st, ok := t.servers[id]
	if !ok {
		return
	}
	if st.others == nil {
		st.others = map[string]int{}
	}
	if n == 0 {
		delete(st.others, peer)
		return
	}
	st.others[peer] = n
}

// DropPeer forgets what a peer told of requests in progress.
func (t *ServerTable) DropPeer(peer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, st := range t.order {
		delete(st.others, peer)
	}
}

// InUse returns the requests in progress by server: those of this VM and of the
// peers that include accepts. Servers without any are left out.
func (t *ServerTable) InUse(include func(peer string) bool) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]int{}
	for _, st := range t.order {
		n := st.inFlight
		for peer, c := range st.others {
			if include(peer) {
				n += c
			}
		}
		if n > 0 {
			out[st.server.ID] = n
		}
	}
	return out
}

// ObserveSlowdown records the slowdown that a server stated in an answer.
func (t *ServerTable) ObserveSlowdown(id string, at time.Time, slowdown float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	st, ok := t.servers[id]
	if ok && at.After(st.reading.At) && st.reading.Health == Healthy {
		st.reading.Load.Slowdown = slowdown
		t.changes++
		st.changed = t.changes
	}
}

// RequestStarted records that a request is about to be sent.
func (t *ServerTable) RequestStarted(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if st, ok := t.servers[id]; ok {
		st.inFlight++
		if st.reading.Cold(now) || st.reading.Health == Unmeasured {
			st.cold.at = append(st.cold.at, now)
		}
	}
}

// Result says how a request at a server ended.
type Result uint8

// Results of requests.
const (
	Succeeded Result = iota
	Failed           // the server failed the request, or gave no answer
	Shed             // the server did not take the request
	Neutral          // says nothing about the server, such as a caller who left
)

// RequestEnded records the end of a request.
func (t *ServerTable) RequestEnded(id string, now time.Time, r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	st, ok := t.servers[id]
	if !ok {
		return
	}
	st.inFlight = max(st.inFlight-1, 0)
	switch r {
	case Succeeded:
		st.failures, st.quarantineFor = 0, 0
		st.failureShare *= 1 - failureWeight
		st.shedShare *= 1 - failureWeight
	case Shed:
		st.shedShare += failureWeight * (1 - st.shedShare)
	case Failed:
		st.failures++
		st.failureShare += failureWeight * (1 - st.failureShare)
		if st.failures >= quarantineAfter {
			st.failures = 0
			st.quarantineFor = min(max(2*st.quarantineFor, quarantineFirst), quarantineMost)
			st.quarantined = now.Add(st.quarantineFor)
		}
	case Neutral:
	}
}

// View is what this VM knows of one server at a moment.
type View struct {
	Server  Server
	Reading Reading
	// Busy is the estimated number of requests at the server.
	Busy     int
	InFlight int // own requests
	// SentInSecond counts own requests within the last second that were sent
	// while the server was cold or not yet measured.
	SentInSecond int
	FailureShare float64 // 0 to 1, of recent own requests
	ShedShare    float64 // 0 to 1, of recent own requests
	// Pace is how many times longer than expected recent requests took; 1 unless
	// it is well beyond.
	Pace        float64
	Quarantined bool
}

// Views appends the views of the servers of a service to buf.
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

// All returns the views of all servers.
func (t *ServerTable) All(now time.Time) []View {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]View, 0, len(t.order))
	for _, st := range t.order {
		out = append(out, st.view(now))
	}
	return out
}

func (st *state) view(now time.Time) View {
	return View{
		Server: st.server, Reading: st.reading,
		Busy: st.inFlight + st.byOthers() + st.foreign, InFlight: st.inFlight,
		SentInSecond: st.cold.count(now), FailureShare: st.failureShare,
		ShedShare:   st.shedShare,
		Quarantined: now.Before(st.quarantined),
	}
}

// ChangedReading is a reading that changed.
type ChangedReading struct {
	Server  Server
	Reading Reading
}

// ChangedSince returns the readings that changed after the state numbered
// since, and the number of the present state.
func (t *ServerTable) ChangedSince(since uint64) ([]ChangedReading, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changes == since {
		return nil, since
	}
	var out []ChangedReading
	for _, st := range t.order {
		if st.changed > since {
			out = append(out, ChangedReading{st.server, st.reading})
		}
	}
	return out, t.changes
}

// Reading returns the latest reading of a registered server.
func (t *ServerTable) Reading(id string) (Reading, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	st, ok := t.servers[id]
	if !ok {
		return Reading{}, false
	}
	return st.reading, true
}

// Period returns the rhythm that servers of a service follow, or 0.
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
