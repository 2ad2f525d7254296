package replica

import (
	"cmp"
	"strconv"

	"github.com/samber/lo"
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
	t.era, t.version = c.Era, c.Version
	t.tombstoneFloor = c.Version // the removals up to this version were not seen
	t.changeCount++
}
