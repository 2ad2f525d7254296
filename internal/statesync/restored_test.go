package statesync

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"goldcresthinge.example/goldcresthinge/internal/replica"
)

// restoredSteps is the number of random actions in a schedule.
const restoredSteps = 60

// modelStore is a store with one table that keeps its whole history and comes back from copies.
type modelStore struct {
	era     uint64
	version uint64
	rows    map[string]replica.Row // with removed ones
	copies  []modelCopy
	// expected says of a key what VMs have to take for its state, if the pages leave no choice.
	expected map[string]expectation
	lost     map[string]uint64 // versions of the latest lost writes by key
	removals map[string]uint64 // versions of the latest removals by key
	// ends are the keys of rows that are back after their removal was lost. VMs that have seen the removal
	// do not take it back, and others may know of a write after it.
	ends   map[string]bool
	writes int
}

type modelCopy struct {
	at    time.Duration
	store *modelStore
}

// maxModelCopyAge is the age of the copies from which the store comes back.
const maxModelCopyAge = 8 * time.Second

type expectation uint8

const (
	anyState expectation = iota
	present
	absent
)

func (s *modelStore) clone() *modelStore {
	c := *s
	c.rows, c.expected, c.copies = maps.Clone(s.rows), nil, nil
	return &c
}

func (s *modelStore) write(key string, removed bool) {
	if removed && (s.rows[key].Version == 0 || s.rows[key].Removed) {
		return
	}
	s.version++
	s.writes++
	delete(s.ends, key)
	if removed {
		s.removals[key] = s.version
	}
	if removed && s.version <= s.lost[key] {
		s.expected[key] = anyState // the removal may be from before the lost write
		s.rows[key] = replica.Row{Key: key, Version: s.version, Removed: true}
		return
	}
	row := replica.Row{Key: key, Version: s.version, Removed: removed}
	s.expected[key] = absent
	if !removed {
		row.Value = fmt.Append(nil, s.writes)
		s.expected[key] = present
	}
	s.rows[key] = row
}

// restore makes the store come back from its copy. A row that is lost must remain if a VM has seen it. What
// a lost removal leads to depends on whether a VM has seen that.
func (s *modelStore) restore(now time.Duration, seen func(replica.Row) bool) {
	s.copies = slices.DeleteFunc(s.copies, func(c modelCopy) bool { return now-c.at > maxModelCopyAge })
	if len(s.copies) == 0 {
		return
	}
	c := s.copies[0].store
	// Copies that were taken later are of a future that is lost.
	s.copies = s.copies[:1]
	for key, row := range s.rows {
		old := c.rows[key]
		if old.Version != row.Version {
			s.lost[key] = max(s.lost[key], row.Version)
		}
		if s.removals[key] > c.version && old.Version != 0 && !old.Removed {
			s.expected[key], s.ends[key] = anyState, true
			continue
		}
		switch {
		case old.Version == row.Version && string(old.Value) == string(row.Value):
		case s.expected[key] == anyState:
		case row.Removed, !seen(row):
			s.expected[key] = anyState
		case old.Version != 0 && !old.Removed:
			s.expected[key] = present // an earlier write of the row, and a later one
		}
	}
	s.rows, s.version = maps.Clone(c.rows), c.version
	s.era++
}

func (s *modelStore) changes(after uint64, full bool) replica.Changes {
	c := replica.Changes{Full: full, Era: replica.NewEra(s.era), Version: s.version}
	if !full {
		c.BaseVersion = after
	}
	for _, r := range s.rows {
		if full && !r.Removed || !full && r.Version > after {
			c.Rows = append(c.Rows, r)
		}
	}
	return c
}

// read lets a VM read the store in the way of its reader.
func (s *modelStore) read(v *proofVM, at time.Time) {
	p := v.table.Position()
	after := p.Version
	if unresolved, ok := v.table.Unresolved(); ok {
		after = min(after, unresolved)
	}
	full := p.Version == 0 || p.Era != replica.NewEra(s.era) || after > s.version
	if !v.table.ApplyRead(s.changes(after, full), at) {
		panic("read was refused")
	}
}

// keysOf returns the keys of the rows that a VM has, without some.
func keysOf(v *proofVM, without map[string]bool) []string {
	var keys []string
	for _, r := range v.table.Rows() {
		if !r.LatestRemoved && !without[r.Key] {
			keys = append(keys, r.Key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Guards against VMs that undo what was confirmed before the store came back from a copy without it,
// that keep what was removed since, or that do not agree in the end: through several drills, with VMs that
// read late, that know another era and that start meanwhile.
func TestWhatTheStoreLostStaysInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newProofCluster(make([]time.Duration, 4))
		c.now = time.Duration(time.Now().UnixNano()) // ages in messages apply at the real time
		pairs := [][2]int{{0, 1}, {1, 2}, {0, 2}, {0, 3}, {3, 2}}
		s := &modelStore{rows: map[string]replica.Row{}, expected: map[string]expectation{}, lost: map[string]uint64{}, removals: map[string]uint64{}, ends: map[string]bool{}}
		now := func() time.Time { return time.Unix(0, int64(c.now)) }
		drawVM := func() *proofVM { return c.vms[rapid.IntRange(0, len(c.vms)-1).Draw(t, "vm")] }
		drawKey := func() string { return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key") }
		talk := func(pair [2]int) { exchange(c, pair, 1, nil) }
		actions := map[string]func(){
			"operator writes":  func() { s.write(drawKey(), false) },
			"operator removes": func() { s.write(drawKey(), true) },
			"others write":     func() { s.version += uint64(rapid.IntRange(1, 5).Draw(t, "writes")) },
			"copy is taken":    func() { s.copies = append(s.copies, modelCopy{c.now, s.clone()}) },
			"store comes back": func() {
				s.restore(c.now, func(r replica.Row) bool {
					return slices.ContainsFunc(c.vms, func(v *proofVM) bool {
						known, ok := v.table.Get(r.Key)
						return ok && string(known.Value) == string(r.Value)
					})
				})
			},
			"VM reads":  func() { s.read(drawVM(), now()) },
			"VMs talk":  func() { talk(rapid.SampledFrom(pairs).Draw(t, "link")) },
			"link ends": func() { c.connect(rapid.SampledFrom(pairs).Draw(t, "link")) },
		}
		names := slices.Sorted(maps.Keys(actions))
		s.write("a", false)
		for range restoredSteps {
			c.now += 200 * time.Millisecond
			actions[rapid.SampledFrom(names).Draw(t, "action")]()
		}
		for range 3 { // calm
			for _, v := range c.vms {
				s.read(v, now())
			}
			for range 2 {
				for _, pair := range pairs {
					talk(pair)
				}
			}
		}
		for i, v := range c.vms {
			got, first := keysOf(v, s.ends), keysOf(c.vms[0], s.ends)
			if !slices.Equal(got, first) {
				t.Fatalf("VM %d has the rows %s, VM 0 has %s", i, strings.Join(got, " "), strings.Join(first, " "))
			}
			for key, want := range s.expected {
				if has := slices.Contains(got, key); want != anyState && has != (want == present) {
					t.Fatalf("VM %d: row %s is there: %t, want %t", i, key, has, want == present)
				}
			}
		}
	})
}
