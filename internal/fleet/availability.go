package fleet

import "time"

// Notice is what a server says of itself in one of its answers.
type Notice struct {
	// Leaving is true if the server is about to leave and should get no further requests.
	Leaving bool
	// Pause is the time for which the server wants nothing from this VM; 0: none.
	Pause time.Duration
}

// availability is what the answers of one process of a server have said of it. A new process of
// the server starts without it.
type availability struct {
	leavingSince time.Time // zero: it has not said that it leaves
	pausedUntil  time.Time // no request, also no measurement, is sent before this time
	pauseEnded   bool      // the end of the latest pause has been returned by EndedPauses
}

// maxRemovedProcesses bounds ServerTable.removed.
const maxRemovedProcesses = 1024

// removedProcess is a process of a server that is no longer registered.
type removedProcess struct {
	availability
	incarnation uint64
	address     string
}

// rememberRemoved keeps what the processes have said that are not among servers. The caller must hold
// mu.
func (t *ServerTable) rememberRemoved(servers []Server) {
	registered := make(map[string]Server, len(servers))
	for _, s := range servers {
		registered[s.ID] = s
	}
	for id, st := range t.servers {
		s, ok := registered[id]
		if ok && s.Incarnation == st.server.Incarnation && s.Address == st.server.Address || st.availability == (availability{}) {
			continue
		}
		if t.removed == nil || len(t.removed) >= maxRemovedProcesses {
			t.removed = map[string]removedProcess{}
		}
		t.removed[id] = removedProcess{st.availability, st.server.Incarnation, st.server.Address}
	}
}

// restore returns what a process that is registered again has said before. The caller must hold mu.
func (t *ServerTable) restore(s Server) availability {
	p, ok := t.removed[s.ID]
	if !ok || p.incarnation != s.Incarnation || p.address != s.Address {
		return availability{}
	}
	delete(t.removed, s.ID)
	return p.availability
}

// ObserveNotice records what an answer of a server said at now. It has no effect if the server is
// no longer registered with the process that sent the answer. It reports whether the server's
// leaving or a pause begins with it; a longer pause extends the one that has begun, and a shorter
// one does not cut it.
func (t *ServerTable) ObserveNotice(server Server, now time.Time, n Notice) (leaves, pauses bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	st, ok := t.servers[server.ID]
	if !ok || st.server.Incarnation != server.Incarnation || st.server.Address != server.Address {
		return false, false
	}
	if n.Leaving && st.leavingSince.IsZero() {
		st.leavingSince, leaves = now, true
	}
	if until := now.Add(n.Pause); n.Pause > 0 && until.After(st.pausedUntil) {
		pauses = !now.Before(st.pausedUntil)
		st.pausedUntil, st.pauseEnded = until, false
	}
	return leaves, pauses
}

// PausedUntil returns the time until which a server wants nothing from this VM; zero if it has
// never asked for a pause.
func (t *ServerTable) PausedUntil(id string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if st, ok := t.servers[id]; ok {
		return st.pausedUntil
	}
	return time.Time{}
}

// EndedPauses returns the IDs of the servers whose pauses have ended since the previous call.
func (t *ServerTable) EndedPauses(now time.Time) (ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, st := range t.order {
		if !st.pauseEnded && !st.pausedUntil.IsZero() && !now.Before(st.pausedUntil) {
			st.pauseEnded = true
			ids = append(ids, st.server.ID)
		}
	}
	return ids
}
