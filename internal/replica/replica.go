// Package replica keeps copies of tables of the platform's store. A copy is
// updated by reads of this VM and by news of siblings, whichever are newer.
package replica

import (
	"bytes"
	"sync"
	"time"
)

// tombstones is how many removed rows a copy remembers, so that a sibling that
// is behind by less gets changes instead of the whole table.
const tombstones = 1024

// Row is a row of a table.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
	Removed bool
}

// Changes are the rows of a table that changed after one version of the store,
// complete up to another.
type Changes struct {
	Rows        []Row
	BaseVersion uint64
	Version     uint64
	// Full means that Rows are the whole table.
	Full bool
}

// Same reports whether two values of a row mean the same to readers.
type Same func(a, b []byte) bool

// Table is a copy of one table. All methods may be called from any goroutine.
type Table struct {
	name string
	same Same

	mu      sync.Mutex
	rows    map[string]entry
	version uint64    // the copy is complete up to it; 0: nothing read yet
	asOf    time.Time // before the read that showed version was sent
	floor   uint64    // removals up to this version are forgotten
	removed int
	changed uint64 // counts changes of meaning
}

type entry struct {
	Row
	meant uint64 // version of the last change of meaning
}

// New returns an empty copy. same may be nil: then any other value is a change.
func New(name string, same Same) *Table {
	if same == nil {
		same = bytes.Equal
	}
	return &Table{name: name, same: same, rows: map[string]entry{}}
}

// Name returns the name of the table.
func (t *Table) Name() string { return t.name }

// State returns the version of the copy, the time as of which it is complete,
// and the number of changes of meaning so far.
func (t *Table) State() (version uint64, asOf time.Time, changed uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version, t.asOf, t.changed
}

// Apply merges changes that were read at asOf. It reports false if the changes
// follow a version that the copy has not reached; then the table has to be
// read as a whole.
func (t *Table) Apply(c Changes, asOf time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !c.Full && (t.version == 0 || c.BaseVersion > t.version) {
		return false
	}
	if c.Version < t.version {
		// The copy is newer already.
		return true
	}
	if c.Full {
		t.replace(c)
	} else {
		for _, r := range c.Rows {
			t.merge(r)
		}
	}
	t.version = c.Version
	if asOf.After(t.asOf) {
		t.asOf = asOf
	}
	return true
}

// replace removes the rows that c does not have and merges those that it has.
func (t *Table) replace(c Changes) {
	present := make(map[string]bool, len(c.Rows))
	for _, r := range c.Rows {
		present[r.Key] = true
	}
	for key, e := range t.rows {
		if !e.Removed && !present[key] && e.Version <= c.Version {
			t.merge(Row{Key: key, Version: c.Version, Removed: true})
		}
	}
	for _, r := range c.Rows {
		t.merge(r)
	}
	if t.version == 0 {
		t.floor = c.Version
	}
}

func (t *Table) merge(r Row) {
	old, ok := t.rows[r.Key]
	if ok && r.Version <= old.Version {
		return
	}
	e := entry{Row: r, meant: r.Version}
	wasPresent := ok && !old.Removed
	switch {
	case r.Removed && !wasPresent:
		return
	case !r.Removed && wasPresent && t.same(old.Value, r.Value):
		e.meant = old.meant
	default:
		t.changed++
	}
	if ok && old.Removed {
		t.removed--
	}
	if r.Removed {
		e.Value = nil
		t.removed++
	}
	t.rows[r.Key] = e
	if t.removed > tombstones {
		t.forgetRemoved()
	}
}

func (t *Table) forgetRemoved() {
	for key, e := range t.rows {
		if e.Removed {
			t.floor = max(t.floor, e.Version)
			delete(t.rows, key)
		}
	}
	t.removed = 0
}

// Since returns what changed in meaning after version.
func (t *Table) Since(version uint64) Changes {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := Changes{BaseVersion: version, Version: t.version, Full: version < t.floor || version == 0}
	if c.Full {
		c.BaseVersion = 0
	}
	for _, e := range t.rows {
		if c.Full && !e.Removed || !c.Full && e.meant > version {
			c.Rows = append(c.Rows, e.Row)
		}
	}
	return c
}

// Rows returns the present rows in no particular order.
func (t *Table) Rows() []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Row, 0, len(t.rows))
	for _, e := range t.rows {
		if !e.Removed {
			out = append(out, e.Row)
		}
	}
	return out
}

// Get returns a present row.
func (t *Table) Get(key string) (Row, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.rows[key]
	return e.Row, ok && !e.Removed
}
