package replica_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

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
	return replica.NewOrdered("t", sameState, func(a, b []byte) bool {
		return sequence(a) < 0 || sequence(a) <= sequence(b)
	})
}

func removal(version uint64) replica.Row {
	return replica.Row{Key: "x", Version: version, Removed: true}
}

// latestState returns the state in the value that the writer of a row wrote last.
func latestState(r replica.Row) string {
	value := r.Value
	if r.Latest != nil {
		value = r.Latest
	}
	_, state, _ := strings.Cut(string(value), " ")
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
				if changes := relay.Since(sent); len(changes.Rows) > 0 {
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
		{"the sibling knows less", []replica.Row{row("x", "4 ready", 4)}, []replica.Row{row("x", "6 leaving", 9)}, "", false},
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
			own.Apply(sibling.Since(0), epoch)
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

// Guards against late writes, however they fall between reads and messages, after which a copy goes
// back behind what it has seen. A writer writes the row with growing sequences; some writes are done
// late, also after the row was removed.
func TestCopiesNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stored replica.Row
		version, next, seen := uint64(1), 1, 0
		var delayed []string
		relay, follower := newOrdered(), newOrdered()
		relay.Apply(replica.Changes{Full: true, Version: 1}, epoch)
		follower.Apply(relay.Since(0), epoch)
		store := func(value string, removed bool) {
			version++
			stored = replica.Row{Key: "x", Value: []byte(value), Version: version, Removed: removed}
			if removed {
				stored.Value = nil
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				value := fmt.Sprintf("%d %s", next, rapid.SampledFrom([]string{"ready", "leaving"}).Draw(t, "state"))
				next++
				if rapid.Bool().Draw(t, "late") {
					delayed = append(delayed, value)
				} else {
					store(value, false)
				}
			case 2:
				if len(delayed) > 0 {
					store(delayed[0], false)
					delayed = delayed[1:]
				}
			case 3:
				store("", true)
			case 4:
				after, _, _ := relay.State()
				c := replica.Changes{BaseVersion: after, Version: version}
				if stored.Version > after {
					c.Rows = []replica.Row{stored}
				}
				relay.Apply(c, epoch)
				if !stored.Removed {
					seen = max(seen, sequence(stored.Value))
				}
			case 5:
				after, _, _ := follower.State()
				follower.Apply(relay.Since(after), epoch)
			}
			for name, table := range map[string]*replica.Table{"relay": relay, "follower": follower} {
				got, ok := table.Get("x")
				if !ok {
					continue
				}
				latest := max(sequence(got.Value), sequence(got.Latest))
				if name == "relay" && latest < seen {
					t.Fatalf("relay takes sequence %d for the latest, after it has seen %d", latest, seen)
				}
				if got.Latest != nil && sequence(got.Value) > sequence(got.Latest) {
					t.Fatalf("%s has the value %q and the older %q as the latest", name, got.Value, got.Latest)
				}
			}
		}
		after, _, _ := follower.State()
		follower.Apply(relay.Since(after), epoch)
		x, inRelay := relay.Get("x")
		y, inFollower := follower.Get("x")
		if inRelay != inFollower || latestState(x) != latestState(y) || x.LatestRemoved != y.LatestRemoved {
			t.Fatalf("relay has %+v (%v), follower %+v (%v)", x, inRelay, y, inFollower)
		}
	})
}
