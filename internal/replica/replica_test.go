package replica_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"goldcresthinge.example/goldcresthinge/internal/outage"
	"goldcresthinge.example/goldcresthinge/internal/replica"
)

var epoch = time.Unix(1000, 0)

func row(key, value string, version uint64) replica.Row {
	return replica.Row{Key: key, Value: []byte(value), Version: version}
}

// Guards against a copy that misses changes because it applied changes that start
// from a later version than its own.
func TestApplyRefusesVersionGap(t *testing.T) {
	c := replica.New("t", nil)
	if c.Apply(replica.Changes{BaseVersion: 0, Version: 5}, epoch) {
		t.Error("changes were applied to a copy that had never received the whole table")
	}
	c.Apply(replica.Changes{Full: true, Version: 5}, epoch)
	if c.Apply(replica.Changes{BaseVersion: 6, Version: 7}, epoch) {
		t.Error("changes after version 6 were applied to a copy at version 5")
	}
	if !c.Apply(replica.Changes{BaseVersion: 4, Version: 7}, epoch) {
		t.Error("overlapping changes were refused")
	}
}

// Guards against a copy that returns to an older version because the answer of an
// old read arrives late.
func TestApplyIgnoresOlderVersion(t *testing.T) {
	c := replica.New("t", nil)
	c.Apply(replica.Changes{Full: true, Version: 9, Rows: []replica.Row{row("a", "new", 9)}}, epoch.Add(time.Second))
	c.Apply(replica.Changes{Full: true, Version: 5, Rows: []replica.Row{row("a", "old", 4), row("b", "old", 5)}}, epoch)
	if r, _ := c.Get("a"); string(r.Value) != "new" {
		t.Errorf("row a has value %q, want new", r.Value)
	}
	if _, ok := c.Get("b"); ok {
		t.Error("row b was added from an older version of the table")
	}
	if version, asOf, _ := c.State(); version != 9 || !asOf.Equal(epoch.Add(time.Second)) {
		t.Errorf("copy has version %d as of %v, want version 9 as of the newer read", version, asOf)
	}
}

// Guards against a relay that reports no removals of rows that were written and removed between its copy
// and a whole table that it has received since.
func TestWholeTableHidesRemovals(t *testing.T) {
	relay, follower := replica.New("t", nil), replica.New("t", nil)
	relay.Apply(replica.Changes{Full: true, Version: 2}, epoch)
	follower.Apply(replica.Changes{Full: true, Version: 3, Rows: []replica.Row{row("x", "v", 3)}}, epoch)
	relay.Apply(replica.Changes{Full: true, Version: 4}, epoch) // x was removed
	if !follower.Apply(relay.Since(replica.Position{Version: 3}), epoch) {
		t.Fatal("the changes were refused")
	}
	if _, ok := follower.Get("x"); ok {
		t.Error("the follower still has the row")
	}
}

// Guards against a row that stays because a whole table has an earlier removal of it.
func TestWholeTableWithAnEarlierRemovalRemovesTheRow(t *testing.T) {
	relay, follower := newOrdered(), newOrdered()
	relay.Apply(replica.Changes{Full: true, Version: 4}, epoch) // x was written at 3 and removed at 4
	older := replica.Changes{Full: true, Version: 2, Rows: []replica.Row{row("x", "1 ready", 2)}}
	relay.ApplyCopy(older, outage.History{AsOf: epoch, Since: epoch})
	follower.Apply(replica.Changes{Full: true, Version: 3, Rows: []replica.Row{row("x", "2 ready", 3)}}, epoch)
	if !follower.Apply(relay.Since(replica.Position{}), epoch) {
		t.Fatal("the whole table was refused")
	}
	if _, ok := follower.Get("x"); ok {
		t.Error("the follower still has the row")
	}
}

// Guards against siblings that are sent whole tables again and again because a copy was replaced by a
// whole table whose removals are all known.
func TestWholeTableWithItsRemovalsIsFollowedByChanges(t *testing.T) {
	relay, sender := newOrdered(), newOrdered()
	for _, c := range []*replica.Table{relay, sender} {
		c.Apply(replica.Changes{Full: true, Version: 3, Rows: []replica.Row{row("x", "1 ready", 2)}}, epoch)
	}
	sender.Apply(replica.Changes{BaseVersion: 3, Version: 5, Rows: []replica.Row{removal(5)}}, epoch)
	sender.Apply(replica.Changes{BaseVersion: 5, Version: 8, Rows: []replica.Row{row("y", "1 ready", 8)}}, epoch)
	whole := sender.Since(replica.Position{})
	if whole.RemovalsAfter != 3 {
		t.Errorf("the whole table has the removals after version %d, want 3", whole.RemovalsAfter)
	}
	relay.Apply(whole, epoch)
	if c := relay.Since(replica.Position{Version: 4}); c.Full || len(c.Rows) != 2 {
		t.Errorf("a sibling at version 4 is sent %+v, want the two changes", c)
	}
	if c := relay.Since(replica.Position{Version: 2}); !c.Full {
		t.Error("a sibling at version 2 is sent changes, but removals up to version 3 are not known")
	}
}

// Guards against a relay that does not pass a removal on because it never had the row, while a sibling
// that read the store at another time has it.
func TestRemovalOfUnknownRowIsPassedOn(t *testing.T) {
	relay, follower := replica.New("t", nil), replica.New("t", nil)
	relay.Apply(replica.Changes{Full: true, Version: 3}, epoch)
	follower.Apply(replica.Changes{Full: true, Version: 5, Rows: []replica.Row{row("x", "v", 5)}}, epoch)
	relay.Apply(replica.Changes{BaseVersion: 3, Version: 7, Rows: []replica.Row{{Key: "x", Version: 6, Removed: true}}}, epoch)
	if !follower.Apply(relay.Since(replica.Position{Version: 3}), epoch) {
		t.Fatal("the changes were refused")
	}
	if r, ok := follower.Get("x"); ok {
		t.Errorf("the follower has row %+v, which was removed", r)
	}
}

// Guards against rows that are forwarded to siblings although they were only
// rewritten with an equivalent value, as by heartbeats.
func TestSinceOmitsEqualValues(t *testing.T) {
	c := replica.New("t", func(a, b []byte) bool { return a[0] == b[0] })
	c.Apply(replica.Changes{Full: true, Version: 1, Rows: []replica.Row{row("a", "x1", 1)}}, epoch)
	_, _, before := c.State()
	c.Apply(replica.Changes{BaseVersion: 1, Version: 2, Rows: []replica.Row{row("a", "x2", 2)}}, epoch)
	if _, _, after := c.State(); after != before {
		t.Error("an equivalent value was counted as a change")
	}
	if got := c.Since(replica.Position{Version: 1}); len(got.Rows) != 0 || got.Version != 2 {
		t.Errorf("Since(1) = %+v, want no rows and version 2", got)
	}
	c.Apply(replica.Changes{BaseVersion: 2, Version: 3, Rows: []replica.Row{row("a", "y", 3)}}, epoch)
	if got := c.Since(replica.Position{Version: 1}); len(got.Rows) != 1 {
		t.Errorf("Since(1) = %+v, want one row", got)
	}
}

// Guards against copies that differ between siblings for some order of reads and
// messages. reader reads the store, and follower receives changes from reader.
func TestCopiesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := map[string]replica.Row{}
		version := uint64(0)
		reader, follower := replica.New("t", nil), replica.New("t", nil)
		readVersion, sentVersion := uint64(0), uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				version++
				key := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key"))
				store[key] = replica.Row{Key: key, Value: []byte{byte(version)}, Version: version, Removed: rapid.Bool().Draw(t, "removed")}
			case 2:
				c := replica.Changes{BaseVersion: readVersion, Version: version, Full: readVersion == 0 || rapid.Bool().Draw(t, "whole")}
				for _, r := range store {
					if c.Full && !r.Removed || !c.Full && r.Version > readVersion {
						c.Rows = append(c.Rows, r)
					}
				}
				if version > 0 {
					reader.Apply(c, epoch)
					readVersion = version
				}
			case 3:
				if copyVersion, _, _ := reader.State(); copyVersion > sentVersion {
					c := reader.Since(replica.Position{Version: sentVersion})
					if !follower.Apply(c, epoch) {
						t.Fatalf("follower did not apply the changes %+v", c)
					}
					sentVersion = c.Version
				}
			}
		}
		if sentVersion != readVersion || readVersion == 0 {
			return
		}
		got := map[string]string{}
		for _, r := range follower.Rows() {
			got[r.Key] = string(r.Value)
		}
		for _, r := range reader.Rows() {
			if got[r.Key] != string(r.Value) {
				t.Fatalf("row %s: follower has %q, reader %q", r.Key, got[r.Key], r.Value)
			}
			delete(got, r.Key)
		}
		if len(got) > 0 {
			t.Fatalf("follower has rows %v that were removed", got)
		}
	})
}

// Guards against a copy that counts as recent although it has not reached the version that was read.
func TestProofNeedsTheVersion(t *testing.T) {
	c := replica.New("t", nil)
	c.Apply(replica.Changes{Full: true, Version: 5}, epoch)
	c.Prove(replica.Position{Version: 6}, 100)
	if got := c.ProvenAsOf(); got != 0 {
		t.Errorf("copy at version 5 is proven as of %d by a read of version 6", got)
	}
	c.Prove(replica.Position{Version: 5}, 90)
	c.Prove(replica.Position{Version: 4}, 80)
	if got := c.ProvenAsOf(); got != 90 {
		t.Errorf("copy is proven as of %d, want 90", got)
	}
}
