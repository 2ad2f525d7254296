package replica_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"goldcresthinge.example/goldcresthinge/internal/outage"
	"goldcresthinge.example/goldcresthinge/internal/replica"
)

// Values of ordered tables are "sequence state". Others cannot be read.
func sequence(value []byte) int {
	text, _, _ := strings.Cut(string(value), " ")
	n, err := strconv.Atoi(text)
	if err != nil {
		return -1
	}
	return n
}

func newOrdered() *replica.Table {
	sameState := func(a, b []byte) bool {
		_, x, _ := strings.Cut(string(a), " ")
		_, y, _ := strings.Cut(string(b), " ")
		return x == y
	}
	return replica.NewOrdered("t", sameState, func(_ string, a, b []byte) bool {
		return sequence(a) < 0 || sequence(a) <= sequence(b)
	})
}

func removal(version uint64) replica.Row {
	return replica.Row{Key: "x", Version: version, Removed: true}
}

// latestValue returns the value that the writer of a row wrote last.
func latestValue(r replica.Row) []byte {
	if r.Latest != nil {
		return r.Latest
	}
	return r.Value
}

// latestState returns the state in that value.
func latestState(r replica.Row) string {
	_, state, _ := strings.Cut(string(latestValue(r)), " ")
	return state
}

// Guards against a follower that takes a late write for the state of its writer, because it has not
// seen the writes that its relay did not pass on.
func TestFollowerLearnsTheLatestValue(t *testing.T) {
	for _, c := range []struct {
		name        string
		steps       []replica.Row // read one by one
		wantValue   string
		wantLatest  string // "" if the value is the latest
		wantRemoved bool
	}{
		{"a late write", []replica.Row{row("x", "2 ready", 2), row("x", "6 leaving", 6), row("x", "4 ready", 8)}, "4 ready", "6 leaving", false},
		{"a late write after heartbeats", []replica.Row{row("x", "2 ready", 2), row("x", "6 ready", 6), removal(7), row("x", "4 ready", 8)}, "4 ready", "6 ready", true},
		{"the same write twice", []replica.Row{row("x", "6 ready", 6), removal(7), row("x", "6 ready", 8)}, "6 ready", "6 ready", true},
		{"a later write after a removal", []replica.Row{row("x", "6 ready", 6), removal(7), row("x", "7 ready", 8)}, "7 ready", "", false},
		{"a later write after a late one", []replica.Row{row("x", "6 leaving", 6), row("x", "4 ready", 8), row("x", "7 leaving", 9)}, "7 leaving", "", false},
		{"an unreadable value", []replica.Row{row("x", "6 leaving", 6), row("x", "?", 7), row("x", "4 ready", 8)}, "4 ready", "6 leaving", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			relay, follower := newOrdered(), newOrdered()
			relay.Apply(replica.Changes{Full: true, Version: 1, Rows: []replica.Row{row("x", "1 ready", 1)}}, epoch)
			sent := uint64(0)
			for _, r := range c.steps {
				version, _, _ := relay.State()
				relay.Apply(replica.Changes{BaseVersion: version, Version: r.Version, Rows: []replica.Row{r}}, epoch)
				if changes := relay.Since(replica.Position{Version: sent}); len(changes.Rows) > 0 {
					follower.Apply(changes, epoch)
					sent = changes.Version
				}
			}
			for name, table := range map[string]*replica.Table{"relay": relay, "follower": follower} {
				got, ok := table.Get("x")
				if !ok || string(got.Latest) != c.wantLatest || got.LatestRemoved != c.wantRemoved {
					t.Errorf("%s has value %q, latest %q, removed %v; want %q, %q, %v", name, got.Value, got.Latest, got.LatestRemoved,
						c.wantValue, c.wantLatest, c.wantRemoved)
				}
			}
		})
	}
}

// Guards against a process that reads the table after its start, takes a late write for the latest
// state, and does not learn otherwise from the copy of a sibling, be that older or newer.
func TestStartedProcessLearnsTheLatestValue(t *testing.T) {
	for _, c := range []struct {
		name        string
		sibling     []replica.Row // read one by one
		own         []replica.Row // the same for the started process, which reads the table as of version 9
		wantLatest  string
		wantRemoved bool
	}{
		{"the sibling has read the late write", []replica.Row{row("x", "6 leaving", 6), row("x", "4 ready", 9)}, []replica.Row{row("x", "4 ready", 9)}, "6 leaving", false},
		{"the sibling has not read the late write", []replica.Row{row("x", "6 leaving", 6)}, []replica.Row{row("x", "4 ready", 9)}, "6 leaving", false},
		{"the sibling has read the removal", []replica.Row{row("x", "6 ready", 6), removal(7)}, []replica.Row{row("x", "4 ready", 9)}, "6 ready", true},
		{"the sibling has read neither", []replica.Row{row("x", "6 ready", 6)}, []replica.Row{row("x", "4 ready", 11)}, "6 ready", true},
		{"the sibling has seen less", []replica.Row{row("x", "4 ready", 4)}, []replica.Row{row("x", "6 leaving", 9)}, "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			sibling, own := newOrdered(), newOrdered()
			sibling.Apply(replica.Changes{Full: true, Version: 1}, epoch)
			for _, r := range c.sibling {
				version, _, _ := sibling.State()
				sibling.Apply(replica.Changes{BaseVersion: version, Version: r.Version, Rows: []replica.Row{r}}, epoch)
			}
			whole := replica.Changes{Full: true, Version: 9}
			if c.own[0].Version <= 9 {
				whole.Rows = c.own
			}
			own.Apply(whole, epoch)
			own.Apply(sibling.Since(replica.Position{Version: 0}), epoch)
			if len(whole.Rows) == 0 {
				own.Apply(replica.Changes{BaseVersion: 9, Version: c.own[0].Version, Rows: c.own}, epoch)
			}
			got, ok := own.Get("x")
			if !ok || string(got.Latest) != c.wantLatest || got.LatestRemoved != c.wantRemoved {
				t.Errorf("row %q with latest %q, removed %v; want latest %q, removed %v", got.Value, got.Latest, got.LatestRemoved, c.wantLatest, c.wantRemoved)
			}
		})
	}
}

// Guards against rows without a sequence of which an older version counts as the latest.
func TestUnorderedRowsFollowTheStore(t *testing.T) {
	unordered := func(string, []byte, []byte) bool { return false }
	sibling, own := replica.NewOrdered("t", nil, unordered), replica.NewOrdered("t", nil, unordered)
	sibling.Apply(replica.Changes{Full: true, Version: 5, Rows: []replica.Row{row("x", "ready", 5)}}, epoch)
	own.Apply(replica.Changes{Full: true, Version: 9, Rows: []replica.Row{row("x", "leaving", 9)}}, epoch)
	own.Apply(sibling.Since(replica.Position{Version: 0}), epoch)
	if r, _ := own.Get("x"); string(r.Value) != "leaving" || r.Latest != nil {
		t.Errorf("row %q with latest %q, want leaving and no other", r.Value, r.Latest)
	}
	own.Apply(replica.Changes{BaseVersion: 9, Version: 11, Rows: []replica.Row{removal(10), row("x", "ready", 11)}}, epoch)
	if r, ok := own.Get("x"); !ok || string(r.Value) != "ready" || r.Latest != nil {
		t.Errorf("row %q (%v) with latest %q, want ready and no other", r.Value, ok, r.Latest)
	}
}

// Guards against heartbeats that only a sibling has read, whose copy is older, and that count as late
// writes.
func TestHeartbeatsOfAnOlderCopyAreNoLateWrites(t *testing.T) {
	sibling, own := newOrdered(), newOrdered()
	sibling.Apply(replica.Changes{Full: true, Version: 8, Rows: []replica.Row{row("x", "7 ready", 8)}}, epoch)
	own.Apply(replica.Changes{Full: true, Version: 2, Rows: []replica.Row{row("x", "1 ready", 2)}}, epoch)
	own.Apply(replica.Changes{BaseVersion: 2, Version: 9}, epoch) // equivalent values are not passed on
	own.Apply(sibling.Since(replica.Position{Version: 0}), epoch)
	if r, ok := own.Get("x"); !ok || string(r.Value) != "7 ready" || r.Latest != nil {
		t.Errorf("row %q (%v) with latest %q, want that of the sibling", r.Value, ok, r.Latest)
	}
}

// orderedStore has one row, to which a writer writes growing sequences. Some writes are done late, also
// after the row was removed.
type orderedStore struct {
	version uint64
	stored  replica.Row
	next    int
	delayed []string
}

func (s *orderedStore) write(value string, removed bool) {
	s.version++
	s.stored = replica.Row{Key: "x", Value: []byte(value), Version: s.version, Removed: removed}
	if removed {
		s.stored.Value = nil
	}
}

func (s *orderedStore) heartbeat(state string, late bool) {
	s.next++
	value := fmt.Sprintf("%d %s", s.next, state)
	if late {
		s.delayed = append(s.delayed, value)
		return
	}
	s.write(value, false)
}

// read lets a copy read the changes, or the whole table if it has none.
func (s *orderedStore) read(c *replica.Table) {
	after, _, _ := c.State()
	changes := replica.Changes{BaseVersion: after, Version: s.version, Full: after == 0}
	if s.stored.Version > after && (!changes.Full || !s.stored.Removed) {
		changes.Rows = []replica.Row{s.stored}
	}
	c.Apply(changes, epoch)
}

// Guards against late writes, however they fall between reads and messages, after which a copy goes
// back behind what it has seen. The relay and a second reader, which may start late, read the store, and
// the follower has only what the relay passes on.
func TestCopiesNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &orderedStore{version: 1}
		relay, follower, second := newOrdered(), newOrdered(), newOrdered()
		store.read(relay)
		follower.Apply(relay.Since(replica.Position{Version: 0}), epoch)
		latest := map[*replica.Table]int{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1:
				store.heartbeat(rapid.SampledFrom([]string{"ready", "leaving"}).Draw(t, "state"), rapid.Bool().Draw(t, "late"))
			case 2:
				if len(store.delayed) > 0 {
					store.write(store.delayed[0], false)
					store.delayed = store.delayed[1:]
				}
			case 3:
				store.write("", true)
			case 4:
				store.read(relay)
			case 5:
				after, _, _ := follower.State()
				follower.Apply(relay.Since(replica.Position{Version: after}), epoch)
			case 6:
				store.read(second)
			case 7:
				if version, _, _ := second.State(); version > 0 {
					second.Apply(relay.Since(replica.Position{Version: 0}), epoch)
				}
			}
			for _, copied := range []*replica.Table{relay, follower, second} {
				got, ok := copied.Get("x")
				if !ok {
					continue
				}
				now := max(sequence(got.Value), sequence(got.Latest))
				if now < latest[copied] {
					t.Fatalf("a copy takes sequence %d for the latest, and %d before", now, latest[copied])
				}
				if got.Latest != nil && sequence(got.Value) > sequence(got.Latest) {
					t.Fatalf("a copy has the value %q and the older %q as the latest", got.Value, got.Latest)
				}
				latest[copied] = now
			}
		}
		store.read(relay)
		store.read(second)
		second.Apply(relay.Since(replica.Position{Version: 0}), epoch)
		after, _, _ := follower.State()
		follower.Apply(relay.Since(replica.Position{Version: after}), epoch)
		x, inRelay := relay.Get("x")
		for name, copied := range map[string]*replica.Table{"follower": follower, "second reader": second} {
			y, ok := copied.Get("x")
			if ok != inRelay || ok && sequence(latestValue(y)) == sequence(latestValue(x)) && x.LatestRemoved && !y.LatestRemoved {
				t.Fatalf("relay has %+v (%v), %s %+v (%v)", x, inRelay, name, y, ok)
			}
			if ok && latestState(y) != latestState(x) && sequence(latestValue(y)) < sequence(latestValue(x)) {
				t.Fatalf("relay has %+v, %s the older state %+v", x, name, y)
			}
		}
	})
}

// Guards against a server that has left and is used again because a sibling sends an older copy in which
// its row is newer than the removal that this copy knows: it has read the whole table since.
func TestOlderCopyBringsNoRemovedRowBack(t *testing.T) {
	own := newOrdered()
	own.Apply(replica.Changes{Full: true, Version: 2, Rows: []replica.Row{row("x", "1 ready", 2)}}, epoch)
	own.Apply(replica.Changes{BaseVersion: 2, Version: 3, Rows: []replica.Row{removal(3)}}, epoch)
	own.Apply(replica.Changes{Full: true, Version: 9}, epoch) // x was written at 6 and removed again
	own.ApplyCopy(replica.Changes{Full: true, Version: 7, Rows: []replica.Row{row("x", "5 ready", 6)}}, outage.History{AsOf: epoch, Since: epoch})
	if r, ok := own.Get("x"); ok {
		t.Errorf("the row is back: %+v", r)
	}
	own.Apply(replica.Changes{BaseVersion: 9, Version: 10, Rows: []replica.Row{row("x", "4 ready", 10)}}, epoch)
	if r, _ := own.Get("x"); !r.LatestRemoved {
		t.Error("a late write from before the removal counts as the latest")
	}
}
