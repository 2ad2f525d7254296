package replica_test

import (
	"testing"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/replica"
)

// Guards against a copy that takes what it reads after the store came back from a copy for old, since
// the store's versions have gone back.
func TestLaterEraReplacesHigherVersions(t *testing.T) {
	c := replica.New("t", nil)
	c.Apply(replica.Changes{Era: 1, Full: true, Version: 90, Rows: []replica.Row{row("a", "old", 80), row("b", "lost", 85)}}, epoch)
	if !c.Apply(replica.Changes{Era: 2, Full: true, Version: 40, Rows: []replica.Row{row("a", "new", 40)}}, epoch.Add(time.Second)) {
		t.Fatal("the table of the later era was refused")
	}
	if r, _ := c.Get("a"); string(r.Value) != "new" {
		t.Errorf("row a has value %q, want new", r.Value)
	}
	if p := c.Position(); p != (replica.Position{Era: 2, Version: 40}) {
		t.Errorf("copy is at %v, want version 40 of era 2", p)
	}
	if _, asOf, _ := c.State(); !asOf.Equal(epoch.Add(time.Second)) {
		t.Errorf("copy is as of %v, want the time of the second read", asOf)
	}
}

// Guards against changes that are continued in another era: the store has given out the versions from
// which they start again.
func TestChangesOfALaterEraNeedTheWholeTable(t *testing.T) {
	c := replica.New("t", nil)
	c.Apply(replica.Changes{Era: 1, Full: true, Version: 90}, epoch)
	if c.Apply(replica.Changes{Era: 2, BaseVersion: 90, Version: 95, Rows: []replica.Row{row("a", "v", 95)}}, epoch) {
		t.Error("changes after version 90 of era 2 were applied to a copy at version 90 of era 1")
	}
	if p := c.Position(); p != (replica.Position{Era: 1, Version: 90}) {
		t.Errorf("copy is at %v, want version 90 of era 1", p)
	}
}

// Guards against the answer of a read of the era before that arrives late and replaces newer rows.
func TestReadOfAnEarlierEraIsIgnored(t *testing.T) {
	c := replica.New("t", nil)
	c.Apply(replica.Changes{Era: 2, Full: true, Version: 40, Rows: []replica.Row{row("a", "new", 40)}}, epoch)
	for _, full := range []bool{true, false} {
		if !c.ApplyRead(replica.Changes{Era: 1, Full: full, Version: 95, Rows: []replica.Row{row("a", "old", 90), row("b", "lost", 95)}}, epoch.Add(time.Second)) {
			t.Error("an answer that is of no use any longer was reported as a failure")
		}
	}
	if r, _ := c.Get("a"); string(r.Value) != "new" {
		t.Errorf("row a has value %q, want new", r.Value)
	}
	if _, ok := c.Get("b"); ok {
		t.Error("row b was added from an earlier era")
	}
	if !c.ReadAsOf().IsZero() {
		t.Error("the read of an earlier era counts as one of this copy")
	}
}

// Guards against a sibling that continues with changes after a version of another era.
func TestSinceAPositionOfAnotherEraIsTheWholeTable(t *testing.T) {
	c := replica.New("t", nil)
	c.Apply(replica.Changes{Era: 1, Full: true, Version: 30}, epoch)
	c.Apply(replica.Changes{Era: 2, Full: true, Version: 40, Rows: []replica.Row{row("a", "v", 20)}}, epoch)
	for _, p := range []replica.Position{{Era: 1, Version: 40}, {Era: 2, Version: 39}} {
		if got := c.Since(p); !got.Full || len(got.Rows) != 1 || got.Era != 2 {
			t.Errorf("changes since %v are %+v, want the whole table", p, got)
		}
	}
	if got := c.Since(replica.Position{Era: 2, Version: 40}); got.Full || len(got.Rows) != 0 {
		t.Errorf("changes since the position of the copy are %+v, want none", got)
	}
}

// Guards against a table that is taken for lost when its era becomes known: the first copy may come
// from a sibling that doesn't state the era.
func TestEraThatBecomesKnownIsNoNewOne(t *testing.T) {
	c := replica.New("t", nil)
	c.Apply(replica.Changes{Full: true, Version: 30, Rows: []replica.Row{row("a", "v", 20), row("b", "v", 25)}}, epoch)
	c.Apply(replica.Changes{Era: 3, Full: true, Version: 35, Rows: []replica.Row{row("a", "v", 20)}}, epoch)
	if _, ok := c.Get("b"); ok {
		t.Error("row b is still there, but was removed from the store")
	}
	if p := c.Position(); p != (replica.Position{Era: 3, Version: 35}) {
		t.Errorf("copy is at %v, want version 35 of era 3", p)
	}
}

// Guards against a copy that seems up to date because of a read that it did not take over, so that a
// key that was taken away goes on working.
func TestReadOfAnotherEraProvesNothing(t *testing.T) {
	c := replica.New("t", nil)
	c.Apply(replica.Changes{Era: 1, Full: true, Version: 90}, epoch)
	c.Prove(replica.Position{Era: 2, Version: 40}, 100)
	if got := c.ProvenAsOf(); got != 0 {
		t.Errorf("a read of a later era proves that the copy is complete as of %v", got)
	}
	c.Apply(replica.Changes{Era: 2, Full: true, Version: 40}, epoch)
	c.Prove(replica.Position{Era: 1, Version: 30}, 100)
	if got := c.ProvenAsOf(); got != 0 {
		t.Errorf("a read of an earlier era proves that the copy is complete as of %v", got)
	}
	c.Prove(replica.Position{Era: 2, Version: 40}, 100)
	if got := c.ProvenAsOf(); got != 100 {
		t.Errorf("the copy is complete as of %v, want 100", got)
	}
}
