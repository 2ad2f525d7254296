// Package registration decides which backend servers a VM takes for registered, and in which state,
// from the rows of the registry as its copy of the table has them. It uses no network and does not
// depend on the platform.
//
// A row says what its server was when it wrote the row, which need not be the latest: the store may
// carry out a write seconds after it was sent, when the server has written again, has left or has been
// replaced by a new process under its ID. So rows are ordered by the start of the process that wrote
// them and then by their sequence, and what is older does not count. See Older.
package registration

import (
	"time"

	"goldcresthinge.example/goldcresthinge/internal/fleet"
)

// missedHeartbeats is the number of heartbeat intervals after which a row expires unless it is written
// again. An older row that stays for one interval more is being written, so its server lives: the
// clock from which it takes its start may have been set back.
const missedHeartbeats = 3

// maxRemembered is the number of processes that drain, and of those whose rows were removed, above
// which those without a row are dropped.
const maxRemembered = 4096

// assumedHeartbeatInterval is used where the interval is not known.
const assumedHeartbeatInterval = 2 * time.Second

// Older reports whether registration a of a server was written before b or is the same one. Entries
// without a sequence are not ordered within a start of the server.
func Older(a, b fleet.Server) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.Sequence <= b.Sequence && b.Sequence > 0
}

// Row is the row of a server in the registry.
type Row struct {
	ID  string
	Err error // the row cannot be used; Server is not set
	// Server is the registration in the row.
	Server fleet.Server
	// Superseded is true if the server is known to have written Latest after Server, but the store has
	// carried out the writes in the other order. LatestRemoved is true if the row was removed in
	// between.
	Superseded    bool
	Latest        fleet.Server
	LatestRemoved bool
}

// EventKind is what has changed for a server.
type EventKind uint8

// Kinds of events.
const (
	Registered EventKind = iota // it is new or its state has changed
	Removed                     // its row was removed, or has expired and was not written again
	Lapsed                      // its row has expired in an outage of the store; it stays in use for now
	Unreadable                  // its row cannot be used; see Row.Err
	HeldBack                    // its row is older than what is known of it and has no effect
)

// Event is a change that is to be logged.
type Event struct {
	Kind   EventKind
	ID     string
	Server fleet.Server // that in force; for HeldBack that of the row
	Err    error
}

// Book keeps what was decided of the servers. It is not safe for concurrent use.
type Book struct {
	// HeartbeatInterval is the interval at which a live server writes its row; 0: not known.
	HeartbeatInterval func() time.Duration

	inUse      map[string]fleet.Server // by ID
	lapsed     map[string]time.Time    // end of the time for which a server without a row stays in use
	heldSince  map[string]time.Time    // time as of which a row was first found to be superseded
	draining   map[string]uint64       // incarnations that have said that they drain
	removed    map[string]uint64       // incarnations whose rows are no longer there
	returnedAt map[string]time.Time    // see fleet.Server
	unreadable map[string]bool         // rows whose errors were reported
}

// NewBook returns a Book without servers.
func NewBook(heartbeatInterval func() time.Duration) *Book {
	return &Book{
		HeartbeatInterval: heartbeatInterval,
		inUse:             map[string]fleet.Server{}, lapsed: map[string]time.Time{}, heldSince: map[string]time.Time{},
		draining: map[string]uint64{}, removed: map[string]uint64{}, returnedAt: map[string]time.Time{}, unreadable: map[string]bool{},
	}
}

// Pending reports whether Update has to be called again although no row changes, because a decision
// depends on time.
func (b *Book) Pending() bool {
	return len(b.lapsed) > 0 || len(b.heldSince) > 0 || len(b.returnedAt) > 0
}

// Update takes all rows of the registry as of a time and returns the servers in use and what has
// changed. Servers whose rows are missing stay in use until lapseEnd, if that is after now.
func (b *Book) Update(now, asOf time.Time, rows []Row, lapseEnd time.Time) ([]fleet.Server, []Event) {
	var servers []fleet.Server
	var events []Event
	previous := b.inUse
	b.inUse = make(map[string]fleet.Server, len(rows))
	use := func(s fleet.Server) {
		b.inUse[s.ID] = s
		servers = append(servers, s)
	}
	held := make(map[string]time.Time, len(b.heldSince))
	for _, row := range rows {
		if row.Err != nil {
			if !b.unreadable[row.ID] {
				b.unreadable[row.ID] = true
				events = append(events, Event{Kind: Unreadable, ID: row.ID, Err: row.Err})
			}
			continue
		}
		s, registered := row.Server, true
		if row.Superseded {
			since, known := b.heldSince[row.ID]
			if !known {
				since = asOf
				events = append(events, Event{Kind: HeldBack, ID: row.ID, Server: s})
			}
			held[row.ID] = since
			if !b.outlivesExpiry(asOf.Sub(since)) {
				s, registered = row.Latest, !row.LatestRemoved
			}
		}
		if !registered {
			continue
		}
		s = b.keepDraining(s)
		delete(b.lapsed, s.ID)
		old, ok := previous[s.ID]
		if old.Incarnation != s.Incarnation {
			delete(b.returnedAt, s.ID)
		}
		s.ReturnedAt = b.returned(asOf, s, ok)
		if !ok || !old.SameState(s) {
			events = append(events, Event{Kind: Registered, ID: s.ID, Server: s})
		}
		use(s)
	}
	b.heldSince = held
	prune(b.draining, b.inUse)
	prune(b.removed, b.inUse)
	for id, s := range previous {
		if _, ok := b.inUse[id]; ok {
			continue
		}
		if _, ok := b.lapsed[id]; !ok && now.Before(lapseEnd) && !s.Draining {
			b.lapsed[id] = lapseEnd
			events = append(events, Event{Kind: Lapsed, ID: id, Server: s})
		}
		if until, ok := b.lapsed[id]; ok && now.Before(until) && now.Before(lapseEnd) {
			use(s)
			continue
		}
		delete(b.lapsed, id)
		delete(b.returnedAt, id)
		b.removed[id] = s.Incarnation
		events = append(events, Event{Kind: Removed, ID: id, Server: s})
	}
	return servers, events
}

// outlivesExpiry reports whether a row that has been there for the given time must have been written
// again in that time, since it would have expired otherwise.
func (b *Book) outlivesExpiry(age time.Duration) bool {
	interval := b.HeartbeatInterval()
	if interval <= 0 {
		interval = assumedHeartbeatInterval
	}
	return age > (missedHeartbeats+1)*interval
}

// prune removes servers that are not in use from incarnations if there are more than maxRemembered.
func prune(incarnations map[string]uint64, inUse map[string]fleet.Server) {
	if len(incarnations) <= maxRemembered {
		return
	}
	for id := range incarnations {
		if _, ok := inUse[id]; !ok {
			delete(incarnations, id)
		}
	}
}

// returned returns fleet.Server.ReturnedAt of a server whose row is there as of a time. inUse is true
// if the server was in use before.
func (b *Book) returned(asOf time.Time, s fleet.Server, inUse bool) time.Time {
	if incarnation, ok := b.removed[s.ID]; ok {
		delete(b.removed, s.ID)
		if incarnation == s.Incarnation && !inUse {
			b.returnedAt[s.ID] = asOf
		}
	}
	at, ok := b.returnedAt[s.ID]
	if ok && b.outlivesExpiry(asOf.Sub(at)) {
		delete(b.returnedAt, s.ID)
		return time.Time{}
	}
	return at
}

// keepDraining returns s as draining if the same process has said so before.
func (b *Book) keepDraining(s fleet.Server) fleet.Server {
	if s.Draining {
		b.draining[s.ID] = s.Incarnation
	}
	if incarnation, ok := b.draining[s.ID]; ok && incarnation == s.Incarnation {
		s.Draining = true
	}
	return s
}
