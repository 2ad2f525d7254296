package replica

import (
	"bytes"
	"cmp"
	"strconv"
	"time"

	"github.com/samber/lo"
)

const (
	// maxStoreCopyAge is the age of the copies from which the store comes back, for Unresolved. The store
	// keeps its history for longer.
	maxStoreCopyAge = 10 * time.Second
	// pastVersionInterval is the least time between two versions that are remembered.
	pastVersionInterval = time.Second
)

// Era numbers the histories of the store's versions. The store begins a new era when it comes back
// from a copy that lacks its latest writes: versions go back and are given out again, so a version
// says nothing about the order of two writes of different eras. The zero value means that the era is
// not known, as with a store that does not state it.
type Era uint64

// NewEra returns the era that the store calls n.
func NewEra(n uint64) Era { return Era(n + 1) }

// String returns the number that the store has given to the era.
func (e Era) String() string {
	if e == 0 {
		return "unknown"
	}
	return strconv.FormatUint(uint64(e-1), 10)
}

// Position is a version of the store within an era.
type Position struct {
	Era     Era
	Version uint64
}

// Compare returns a negative number if p is before o, a positive one if it is after, and 0 otherwise.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Version, o.Version))
}

func (r Row) position() Position { return Position{r.Era, r.Version} }

// isBefore reports whether o replaces r. A lost row that is removed keeps its position, so that a later
// write of an earlier era counts in spite of it.
func (r Row) isBefore(o Row) bool {
	if order := r.position().Compare(o.position()); order != 0 {
		return order < 0
	}
	return o.Removed && !r.Removed
}

// rowsOfEra returns rows with era in place of an era that is not stated.
func rowsOfEra(rows []Row, era Era) []Row {
	if era == 0 {
		return rows
	}
	return lo.Map(rows, func(r Row, _ int) Row {
		r.Era = cmp.Or(r.Era, era)
		return r
	})
}

// enterEra prepares the copy for the whole table c of a later era. The caller must hold mu.
func (t *Table) enterEra(c Changes) {
	if t.era == 0 && c.Version >= t.version {
		// The era was not stated before, and nothing shows that it has changed.
		for key, e := range t.rows {
			e.Era = c.Era
			t.rows[key] = e
		}
		t.era = c.Era
		return
	}
	t.unresolved, t.unresolvedAfter = true, min(c.Version, t.version)
	for _, v := range t.past {
		t.unresolvedAfter = min(t.unresolvedAfter, v.version)
	}
	if len(t.past) > 0 && t.history.AsOf.Sub(t.past[0].asOf) < maxStoreCopyAge {
		// The first read was after the copy may have been taken. No row is from before its version.
		for _, e := range t.rows {
			t.unresolvedAfter = min(t.unresolvedAfter, e.Version)
		}
	}
	t.era, t.version = c.Era, c.Version
	t.tombstoneFloor, t.enteredVersion = c.Version, c.Version // the removals up to this version were not seen
	t.hasRestored = true
	t.changeCount++
	t.unstored++
}

// learn takes over from changes that are not newer than the copy what cannot be learned from the store:
// latest values, and rows that the store has lost. The caller must hold mu.
func (t *Table) learn(c Changes) {
	for _, r := range c.Rows {
		old, ok := t.rows[r.Key]
		newer := !ok || old.isBefore(r)
		switch {
		case r.Era < c.Era && r.Era <= t.era && c.Era >= t.era && newer:
			// The sender found the row missing when it entered an era that this copy has entered too, or enters later.
			t.merge(r)
		case r.Era == t.era && c.Era == t.era && r.Removed && ok && old.Era < t.era:
			t.merge(r) // the removal of a lost row
		default:
			t.learnLatest(r)
		}
	}
}

// removedBefore reports whether r, which the store has given out in the next era, is the write whose
// removal e records. The copy from which the store came back is then from before the removal. In an era
// that this copy has missed, the row may have been written again.
func (e entry) removedBefore(r Row) bool {
	return e.removed != nil && !r.Removed && e.Era+1 == r.Era && e.removed.Version == r.Version && bytes.Equal(e.removed.Value, r.Value)
}

// Unstored returns what this copy knows and a process that reads the store now does not: rows that do
// not have their latest values, lost rows and those that were removed last. In Changes without a version
// they say nothing of the table as a whole.
func (t *Table) Unstored() []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []Row
	for _, e := range t.rows {
		if !e.Removed && (e.Latest != nil || e.Era < t.era) {
			rows = append(rows, e.Row)
		}
	}
	removed, _ := t.lastRemoved()
	return append(rows, removed...)
}

// UnstoredRevision returns a number that changes with what Unstored returns after the store has come
// back from a copy. It is 0 before.
func (t *Table) UnstoredRevision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hasRestored {
		return 0
	}
	return t.unstored
}

// LostCount returns the number of lost rows.
func (t *Table) LostCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.lost())
}

// RemoveLost removes the lost rows. It is meant for rows whose writers would have written them again.
func (t *Table) RemoveLost() (removed []Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	removed = t.lost()
	for _, r := range removed {
		t.removeLost(r)
	}
	return removed
}

func (t *Table) removeLost(r Row) {
	t.merge(Row{Key: r.Key, Era: r.Era, Version: r.Version, Removed: true})
}

// resolveRemoval applies the removal r of a row before the first version of this era that was read. One
// with a lower version than the lost row may have been in the copy of the store, from before the row was
// written, so it does not count. The caller must hold mu.
func (t *Table) resolveRemoval(r Row) {
	if old, ok := t.rows[r.Key]; ok && !old.Removed && old.Era < t.era && old.Version < r.Version {
		t.removeLost(old.Row)
	}
}

// lost returns the lost rows. The caller must hold mu.
func (t *Table) lost() []Row {
	var out []Row
	if !t.hasRestored {
		return nil
	}
	for _, e := range t.rows {
		if !e.Removed && e.Era < t.era {
			out = append(out, e.Row)
		}
	}
	return out
}

// pastVersion is a version that the copy had at a time.
type pastVersion struct {
	asOf    time.Time
	version uint64
}

// rememberVersion records the version of the copy for Unresolved. The caller must hold mu.
func (t *Table) rememberVersion() {
	asOf := t.history.AsOf
	if n := len(t.past); n > 0 && asOf.Sub(t.past[n-1].asOf) < pastVersionInterval {
		return
	}
	t.past = append(t.past, pastVersion{asOf, t.version})
	for len(t.past) > 1 && asOf.Sub(t.past[1].asOf) >= maxStoreCopyAge {
		t.past = t.past[1:]
	}
}

// Unresolved returns a version after which the changes of this era have to be read to decide which of
// the lost rows were removed in it. ok is false if there is nothing to decide. A row is missing in what
// was read when the copy entered the era if it was written after the copy of the store was taken, and
// also if it was written before and its writer has removed it since. In the second case the changes
// after the copy was taken have its removal.
func (t *Table) Unresolved() (after uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unresolvedAfter, t.unresolved && len(t.lost()) > 0
}

// KeepUnresolved records that the store no longer has the changes after the version that Unresolved
// returned for an era, so that the rows remain lost.
func (t *Table) KeepUnresolved(era Era) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era == t.era {
		t.unresolved = false
	}
}
