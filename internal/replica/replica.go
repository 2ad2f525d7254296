// Package replica keeps local copies of tables of the platform's store. The platform is
// the environment that runs the VMs, see package platform. A copy is
// updated from reads of the store by this VM and from changes sent by siblings,
// whichever are newer.
package replica

import (
	"bytes"
	"cmp"
	"slices"
	"sync"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/outage"
	"goldcresthinge.example/goldcresthinge/internal/suspendclock"
)

// maxTombstones is the number of removed rows that a copy keeps as tombstones. As
// long as the tombstones cover the removals that a sibling has missed, the sibling
// is sent only the changes instead of the whole table.
const maxTombstones = 1024

// maxSentTombstones is the number of removed rows that are sent with a whole table. The store does a
// write late by some seconds at most, and few servers leave in that time.
const maxSentTombstones = 64

// Row is a row of a table.
type Row struct {
	Key     string
	Value   []byte
	Era     Era // 0 in Changes: that of the changes
	Version uint64
	Removed bool
	// Latest is the value that the writer of the row wrote last, as far as this copy has seen, if the
	// row does not have it any longer: the store may carry out a write after a later one or after the
	// row was removed. It is nil if Value is the latest, and in tables without an OlderFunc.
	Latest []byte
	// LatestRemoved is true if the row was removed after Latest was written.
	LatestRemoved bool
	// Lost is true if the store came back from a copy without the row and has not said anything of it
	// since. Rows and Get set it.
	Lost bool
}

// Changes holds the rows of a table that changed after BaseVersion of the store,
// up to and including Version. Both are versions of Era.
type Changes struct {
	Rows        []Row
	Era         Era
	BaseVersion uint64
	Version     uint64
	// Full is true if Rows is the whole table at Version.
	Full bool
	// RemovalsAfter is the version after which Rows has all removals, if Full is true. 0: it has none.
	RemovalsAfter uint64
	// Partial is true if the store had further changes after Version.
	Partial bool
}

// EqualFunc reports whether two values of a row are equivalent for its readers.
type EqualFunc func(a, b []byte) bool

// OlderFunc reports whether the writer of the row with the given key wrote value a before value b, or
// wrote a again. It returns true if a cannot be read.
type OlderFunc func(key string, a, b []byte) bool

// Table is a copy of one table. It is safe for concurrent use.
type Table struct {
	name  string
	equal EqualFunc
	older OlderFunc // nil: the writers' order is not known

	mu             sync.Mutex
	rows           map[string]entry
	era            Era                  // of version
	version        uint64               // store version up to which the copy is complete; 0: nothing read yet
	history        outage.History       // of the reads that led to this copy; AsOf is that of the latest version
	failedAt       time.Time            // see RecordOutage
	readAsOf       time.Time            // the same for the reads of this process alone
	provenAsOf     suspendclock.Instant // see Prove
	tombstoneFloor uint64               // removals of this era up to this version may have no tombstone: it was dropped, or they came before the first read
	tombstoneCount int
	changeCount    uint64 // number of changes so far, without changes to equivalent values

	hasRestored     bool   // the store has come back from a copy since the first read
	enteredVersion  uint64 // first version of this era that was read, if hasRestored is true
	unresolved      bool   // see Unresolved
	unresolvedAfter uint64 // see Unresolved
	past            []pastVersion
	unstored        uint64 // see UnstoredRevision
}

// entry is a row, or the tombstone of a removed row.
type entry struct {
	Row
	changedVersion uint64 // version of the latest change to a value that is not equivalent, in the era of the row
	removed        *Row   // the row that a tombstone stands for, if it was there before
}

// New returns an empty copy of the table with the given name. If equal is nil, values are
// compared byte by byte.
func New(name string, equal EqualFunc) *Table {
	if equal == nil {
		equal = bytes.Equal
	}
	return &Table{name: name, equal: equal, rows: map[string]entry{}}
}

// NewOrdered is New for a table in which the order of the writes of one row can be determined from
// their values.
func NewOrdered(name string, equal EqualFunc, older OlderFunc) *Table {
	t := New(name, equal)
	t.older = older
	return t
}

// Name returns the name of the table.
func (t *Table) Name() string { return t.name }

// State returns the version of the copy, the time at which the copy was up to date
// with the store, and the number of changes so far. A change from one value to an
// equivalent one is not counted.
func (t *Table) State() (version uint64, asOf time.Time, changeCount uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version, t.history.AsOf, t.changeCount
}

// Position returns the version of the copy and its era.
func (t *Table) Position() Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Position{t.era, t.version}
}

// History returns what is known of the reads of the store that led to this copy.
func (t *Table) History() outage.History {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.history
}

// RecordOutage records that a read by this process, of any table, that was sent at sentAt failed in a
// way that shows an outage of the store; see outage.FailedRead.
func (t *Table) RecordOutage(sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sentAt.After(t.failedAt) {
		t.failedAt = sentAt
	}
}

// Apply merges changes that were read from the store at asOf. It returns false and
// changes nothing if the changes start from a version that the copy has not
// reached, or if nothing of their era was read yet and they are not the whole table.
// If Apply returns false, the caller must obtain the whole table. For changes older
// than the copy it returns true and takes over only which values were the latest.
// Changes without an era are taken to be of the era of the copy.
func (t *Table) Apply(c Changes, asOf time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.Era == 0 {
		c.Era = t.era
	}
	return t.apply(c, outage.History{AsOf: asOf, Since: asOf}, true)
}

// ApplyCopy is Apply for changes from the copy of a sibling with the given history. If the era of
// this copy is known, changes without an era count as older: their sender may have read the store
// before it came back from a copy.
func (t *Table) ApplyCopy(c Changes, h outage.History) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.apply(c, h, false)
}

// apply merges changes. ownRead is true if this process has read them. The caller must hold mu.
func (t *Table) apply(c Changes, h outage.History, ownRead bool) bool {
	c.Rows = rowsOfEra(c.Rows, c.Era)
	if !c.Full && c.Version == 0 {
		t.learn(c)
		return true
	}
	if !c.Full && c.Era >= t.era && (t.version == 0 || c.Era > t.era || c.BaseVersion > t.version) {
		return false
	}
	switch {
	case t.version == 0:
		t.era = c.Era
	case c.Era > t.era:
		t.enterEra(c)
	}
	if ownRead && !c.Full && !c.Partial && c.Era == t.era && c.BaseVersion <= t.unresolvedAfter {
		t.unresolved = false
	}
	if c.Era < t.era || c.Version < t.version {
		// The copy is already newer.
		t.learn(c)
		return true
	}
	if c.Full {
		t.replace(c)
	} else {
		for _, r := range c.Rows {
			if ownRead && r.Removed && r.Version <= t.enteredVersion {
				t.resolveRemoval(r)
				continue
			}
			t.merge(r)
		}
	}
	t.version = c.Version
	t.history = t.history.Join(h, t.failedAt)
	t.rememberVersion()
	return true
}

// replace removes the rows that are not in c and merges the rows of c. Rows of an earlier era that are
// not in c are lost, see Row. The caller must hold mu.
func (t *Table) replace(c Changes) {
	present := make(map[string]bool, len(c.Rows))
	for _, r := range c.Rows {
		present[r.Key] = !r.Removed && r.Era == c.Era // of another era: lost at the sender
	}
	for key, e := range t.rows {
		if !e.Removed && !present[key] && e.Era == c.Era && e.Version <= c.Version {
			t.merge(Row{Key: key, Era: c.Era, Version: c.Version, Removed: true})
		}
	}
	for _, r := range c.Rows {
		t.merge(r)
	}
	removalsAfter := cmp.Or(c.RemovalsAfter, c.Version)
	if t.version >= removalsAfter {
		return
	}
	// Rows that were written and removed in between are not known.
	t.tombstoneFloor = max(t.tombstoneFloor, removalsAfter)
	if t.version > 0 && !t.unresolved {
		// These may be lost rows.
		t.unresolved, t.unresolvedAfter = true, t.version
	}
}

// merge stores a row unless the copy has the same or a newer version of it. A removal is stored even if
// the copy has no such row: a sibling that read the store at another time may have it. The caller must
// hold mu.
func (t *Table) merge(r Row) {
	old, ok := t.rows[r.Key]
	if ok && !old.isBefore(r) {
		t.learnLatest(r)
		return
	}
	e := entry{Row: r, changedVersion: r.Version}
	wasPresent := ok && !old.Removed
	switch {
	case t.older != nil && old.removedBefore(e.Row):
		e.Latest, e.LatestRemoved = e.Value, true
	case t.older != nil:
		t.keepLatest(old.Row, &e.Row)
	}
	switch {
	case !r.Removed && wasPresent && t.equivalent(old.Row, e.Row):
		if old.Era == r.Era {
			e.changedVersion = old.changedVersion
		}
	default:
		t.changeCount++
	}
	if ok && old.Removed {
		t.tombstoneCount--
	}
	if r.Removed {
		e.removed = old.removed
		if wasPresent {
			e.removed = &old.Row
		}
		e.Value = nil
		t.tombstoneCount++
	}
	if r.Era < t.era {
		t.hasRestored = true
	}
	if r.Era < t.era || ok && old.Era < t.era {
		t.unstored++
	}
	t.rows[r.Key] = e
	if t.tombstoneCount > maxTombstones {
		t.dropTombstones()
	}
}

// equivalent reports whether two states of a row that was not removed in between are equivalent for
// readers, whether they use the value that the row has or the latest one.
func (t *Table) equivalent(old, r Row) bool {
	if old.Latest == nil && r.Latest == nil {
		return t.equal(old.Value, r.Value)
	}
	oldLatest, oldRemoved := old.latest()
	latest, removed := r.latest()
	return oldRemoved == removed && t.equal(old.Value, r.Value) && t.equal(oldLatest, latest)
}

// keepLatest sets r.Latest and r.LatestRemoved when r replaces old, which is the zero Row if the copy
// has none.
func (t *Table) keepLatest(old Row, r *Row) {
	latest, removed := old.latest()
	if r.Latest != nil { // a sibling has seen a later value than that in r
		latest, removed = t.later(r.Key, latest, removed, r.Latest, r.LatestRemoved)
	}
	switch {
	case r.Removed:
		r.Latest, r.LatestRemoved = latest, true
	case latest == nil || !t.older(r.Key, r.Value, latest) || !removed && bytes.Equal(r.Value, latest):
		r.Latest, r.LatestRemoved = nil, false
	default:
		r.Latest, r.LatestRemoved = latest, removed
	}
}

// learnLatest takes over which value a sibling has seen from its row r, which is no newer than what
// this copy has: this process may have read the table after its start and have seen nothing before. A
// row that this copy lacks was removed since. The caller must hold mu.
func (t *Table) learnLatest(r Row) {
	old, ok := t.rows[r.Key]
	if ok && old.Removed && !r.Removed && r.Era < t.era {
		t.hasRestored = true // the sibling takes a row for lost whose removal this copy has
		t.unstored++
	}
	if t.older == nil {
		return
	}
	if !ok && r.Era != t.era {
		return // that this copy has no such row does not mean that it was removed
	}
	if ok && !old.Removed && old.Era == t.era && r.Era == t.era && r.Version > old.Version {
		// What this copy has is equivalent to a newer version, unless the writer has written r later.
		if !r.Removed && !t.older(r.Key, r.Value, old.Value) {
			t.merge(r)
		}
		return
	}
	if !ok {
		old = entry{Row: Row{Key: r.Key, Era: r.Era, Version: r.Version, Removed: true}, changedVersion: r.Version}
	}
	latest, removed := old.latest()
	seen, seenRemoved := r.latest()
	learned, learnedRemoved := t.later(r.Key, latest, removed, seen, seenRemoved)
	learnedRemoved = learnedRemoved || old.Removed
	if learned == nil || learnedRemoved == removed && bytes.Equal(learned, latest) {
		return
	}
	old.Latest, old.LatestRemoved = learned, learnedRemoved
	if !ok {
		t.tombstoneCount++
	}
	t.rows[r.Key] = old
	t.changeCount++
	t.unstored++
}

// later returns the later one of two values of a row, each nil if there is none, and whether the row was
// removed since. It returns a if their order is not known.
func (t *Table) later(key string, a []byte, aRemoved bool, b []byte, bRemoved bool) (value []byte, removed bool) {
	switch {
	case b == nil:
		return a, aRemoved
	case a == nil:
		return b, bRemoved
	case !t.older(key, a, b):
		return a, aRemoved
	case t.older(key, b, a): // the same one
		return a, aRemoved || bRemoved
	default:
		return b, bRemoved
	}
}

// latest returns the value that the writer of r wrote last, or nil if it is not known, and whether the
// row was removed since.
func (r Row) latest() (value []byte, removed bool) {
	if r.Latest != nil || r.Removed {
		return r.Latest, r.Removed || r.LatestRemoved
	}
	return r.Value, false
}

// dropTombstones drops all tombstones and records up to which version they were
// dropped. The caller must hold mu.
func (t *Table) dropTombstones() {
	for key, e := range t.rows {
		if e.Removed {
			if e.Era == t.era {
				t.tombstoneFloor = max(t.tombstoneFloor, e.Version)
			}
			delete(t.rows, key)
		}
	}
	t.tombstoneCount = 0
}

// ApplyRead is Apply for changes that this process has read from the store itself.
func (t *Table) ApplyRead(c Changes, asOf time.Time) bool {
	if !t.Apply(c, asOf) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if (c.Era == 0 || c.Era == t.era) && asOf.After(t.readAsOf) {
		t.readAsOf = asOf
	}
	return true
}

// ReadAsOf returns the time at which the copy was up to date according to the latest read of
// this process, or zero if there was none. Unlike the time that State returns, it does not
// depend on copies of other processes.
func (t *Table) ReadAsOf() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.readAsOf
}

// ReadHistory is History up to the latest read of this process.
func (t *Table) ReadHistory() outage.History {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.history.Since.After(t.readAsOf) {
		return outage.History{AsOf: t.readAsOf, Since: t.readAsOf}
	}
	h := t.history
	h.AsOf = t.readAsOf
	return h
}

// Prove records that a copy that has reached p has all changes that the store had accepted before
// asOf. It has no effect if this copy is of another era or has not reached the version: a read that the
// copy did not take over proves nothing about it. Unlike the time that State returns,
// asOf is not an estimate: no delay on the way and no pause of a VM makes it too late.
func (t *Table) Prove(p Position, asOf suspendclock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.Era == t.era && p.Version <= t.version {
		t.provenAsOf = max(t.provenAsOf, asOf)
	}
}

// ProvenAsOf returns the latest time as of which the copy is proven to be complete, or zero. A
// later call of another method returns a copy that is at least as new.
func (t *Table) ProvenAsOf() suspendclock.Instant {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.provenAsOf
}

// Since returns the rows that changed after p, without those that changed
// only to an equivalent value. It returns the whole table if p is of another era, if its version is
// 0 or if tombstones of later removals were dropped. The whole table includes the rows that were removed last,
// if their latest values are known.
func (t *Table) Since(p Position) Changes {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := Changes{
		Era: t.era, BaseVersion: p.Version, Version: t.version,
		Full: p.Era != t.era || p.Version < t.tombstoneFloor || p.Version == 0,
	}
	if c.Full {
		c.BaseVersion = 0
	}
	for _, e := range t.rows {
		if c.Full && !e.Removed || !c.Full && e.Era == t.era && e.changedVersion > p.Version {
			c.Rows = append(c.Rows, e.Row)
		}
	}
	if c.Full {
		removed, after := t.lastRemoved()
		c.Rows = append(c.Rows, removed...)
		c.RemovalsAfter = after
	}
	return c
}

// lastRemoved returns the rows that were removed last, at most maxSentTombstones. Unless the store has
// come back from a copy, only those are of use to a sibling whose latest values are known. after is the
// version of this era after which these are all that were removed. The caller must hold mu.
func (t *Table) lastRemoved() (removed []Row, after uint64) {
	after = t.tombstoneFloor
	leaveOut := func(r Row) {
		if r.Era == t.era {
			after = max(after, r.Version)
		}
	}
	for _, e := range t.rows {
		switch {
		case !e.Removed:
		case e.Latest != nil || t.hasRestored:
			removed = append(removed, e.Row)
		default:
			leaveOut(e.Row)
		}
	}
	slices.SortFunc(removed, func(a, b Row) int { return b.position().Compare(a.position()) })
	for len(removed) > maxSentTombstones {
		leaveOut(removed[len(removed)-1])
		removed = removed[:len(removed)-1]
	}
	return removed, after
}

// Rows returns the rows that are not removed, in no particular order.
func (t *Table) Rows() []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Row, 0, len(t.rows))
	for _, e := range t.rows {
		if !e.Removed {
			out = append(out, t.external(e))
		}
	}
	return out
}

// Get returns the row with the given key, and whether the table has one that is
// not removed.
func (t *Table) Get(key string) (Row, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.rows[key]
	return t.external(e), ok && !e.Removed
}

// external returns the row of an entry as it is returned to callers. The caller must hold mu.
func (t *Table) external(e entry) Row {
	r := e.Row
	r.Lost = r.Era < t.era
	return r
}
