package statesync

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/outage"
	"goldcresthinge.example/goldcresthinge/internal/replica"
)

// Guards against a follower that does not learn from a copy which value is the latest, or whether the
// store was unavailable.
func TestCopiesKeepWhatTheSenderKnows(t *testing.T) {
	now := time.Unix(1000, 0)
	sent := replica.Changes{BaseVersion: 4, Version: 9, Rows: []replica.Row{
		{Key: "late", Value: []byte("3"), Version: 8, Latest: []byte("6"), LatestRemoved: true},
		{Key: "removed", Version: 9, Removed: true, Latest: []byte("5"), LatestRemoved: true},
	}}
	history := outage.History{AsOf: now.Add(-100 * time.Millisecond), Since: now.Add(-5 * time.Second), AfterOutage: true}
	data, err := proto.Marshal(encodeTable(now, "t", sent, history))
	if err != nil {
		t.Fatal(err)
	}
	var m siblingpb.TableNews
	if err := proto.Unmarshal(data, &m); err != nil {
		t.Fatal(err)
	}
	received, receivedHistory := decodeTable(now, &m)
	if !reflect.DeepEqual(received, sent) {
		t.Errorf("received %+v, want %+v", received, sent)
	}
	if receivedHistory != history {
		t.Errorf("received history %+v, want %+v", receivedHistory, history)
	}
}

// Guards against a confirmation of readings that nobody measures any more, and against one
// that makes a reading younger than it is.
func TestConfirmationLeavesOutOldReadings(t *testing.T) {
	now := time.Unix(1000, 0)
	m := encodeConfirmation(now, map[uint32]time.Time{
		1: now.Add(-100 * time.Millisecond), 2: now.Add(-900 * time.Millisecond), 3: now.Add(-2 * maxReadingAge), 4: {},
	})
	slices.Sort(m.Except)
	if !slices.Equal(m.GetExcept(), []uint32{3, 4}) {
		t.Errorf("not confirmed: %v, want 3 and 4", m.GetExcept())
	}
	if m.GetAgeMs() != 900 {
		t.Errorf("age %d ms, want 900, that of the oldest confirmed reading", m.GetAgeMs())
	}
}

// Guards against a server that turns cold again while it is cold, and that other VMs take for
// warm when the first time has passed.
func TestAnotherEndOfColdnessIsSent(t *testing.T) {
	at := time.Unix(1000, 0)
	first := fleet.Reading{At: at, ColdFor: 3 * time.Second}
	for _, c := range []struct {
		name   string
		second fleet.Reading
		want   bool
	}{
		{"the same end", fleet.Reading{At: at.Add(time.Second), ColdFor: 2 * time.Second}, false},
		{"cold again", fleet.Reading{At: at.Add(time.Second), ColdFor: 3 * time.Second}, true},
		{"warm", fleet.Reading{At: at.Add(time.Second)}, true},
	} {
		if got := coldEndChanged(first, c.second); got != c.want {
			t.Errorf("%s: changed %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a confirmation that reaches readings of another source, or that replaces
// a later one.
func TestConfirmAppliesToReadingsOfItsSource(t *testing.T) {
	start := time.Unix(1000, 0)
	table := fleet.NewServerTable()
	table.SetServers([]fleet.Server{{ID: "a"}, {ID: "b"}, {ID: "c"}})
	for id, source := range map[string]string{"a": "relay", "b": "other", "c": "relay"} {
		table.Observe(id, fleet.Reading{At: start, Source: source})
	}
	table.Confirm("relay", start.Add(2*time.Second), map[string]bool{"c": true})
	table.Confirm("relay", start.Add(time.Second), nil)
	for id, want := range map[string]time.Duration{"a": 2 * time.Second, "b": 0, "c": time.Second} {
		if r, _ := table.Reading(id); r.AsOf().Sub(start) != want {
			t.Errorf("server %s: reading as of %v after the start, want %v", id, r.AsOf().Sub(start), want)
		}
	}
}
