package statesync

import (
	"testing"
	"time"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/replica"
)

// exchange lets each end of a link send once a round, with a refresh due, and returns the messages. change,
// if it is not nil, is applied to each message before it is received.
func exchange(c *proofCluster, pair [2]int, rounds int, change func(from int, m *siblingpb.News)) (sent []*siblingpb.News) {
	l := c.links[pair]
	for range rounds {
		c.now += refreshInterval
		for from, p := range l.ends {
			m := p.nextMessage(time.Unix(0, int64(c.now)))
			if m == nil {
				continue
			}
			if change != nil {
				change(from, m)
			}
			sent = append(sent, m)
			l.ends[1-from].applyMessage(m)
		}
	}
	return sent
}

func readTable(c *proofCluster, vm int, changes replica.Changes) {
	c.vms[vm].table.ApplyRead(changes, time.Unix(0, int64(c.now)))
}

func valueOf(v *proofVM, key string) string {
	row, _ := v.table.Get(key)
	return string(row.Value)
}

// withoutEras makes a message that of a VM that does not know eras.
func withoutEras(m *siblingpb.News) {
	for _, t := range m.GetTables() {
		t.Era = nil
	}
}

// Guards against a VM that gives up what it has read after the store came back from a copy, for the
// copy that a sibling has from before, whose version is higher.
func TestCopyOfAnEarlierEraIsNotTaken(t *testing.T) {
	for _, reader := range []int{0, 1} { // the subscriber and its relay
		c := newProofCluster(make([]time.Duration, 4))
		readTable(c, 1-reader, replica.Changes{Era: 1, Full: true, Version: 90, Rows: []replica.Row{{Key: "a", Value: []byte("old"), Version: 20}}})
		readTable(c, reader, replica.Changes{Era: 2, Full: true, Version: 40, Rows: []replica.Row{
			{Key: "a", Value: []byte("new"), Version: 38}, {Key: "b", Value: []byte("new"), Version: 39},
		}})
		exchange(c, [2]int{0, 1}, 4, nil)
		for i, v := range c.vms[:2] {
			if a, b := valueOf(v, "a"), valueOf(v, "b"); a != "new" || b != "new" {
				t.Errorf("reader %d: VM %d has rows a=%q b=%q, want new and new", reader, i, a, b)
			}
			if p := v.table.Position(); p != (replica.Position{Era: 2, Version: 40}) {
				t.Errorf("reader %d: VM %d is at %v, want version 40 of era 2", reader, i, p)
			}
		}
	}
}

// Guards against a VM that takes the copy of a sibling that does not know eras, so that it may be from
// before the store came back from a copy.
func TestCopyWithoutAnEraIsNotTaken(t *testing.T) {
	c := newProofCluster(make([]time.Duration, 4))
	readTable(c, 0, replica.Changes{Era: 2, Full: true, Version: 40, Rows: []replica.Row{{Key: "a", Value: []byte("new"), Version: 38}}})
	readTable(c, 1, replica.Changes{Full: true, Version: 90})
	exchange(c, [2]int{0, 1}, 4, func(from int, m *siblingpb.News) {
		if from == 1 {
			withoutEras(m)
		}
	})
	if got := valueOf(c.vms[0], "a"); got != "new" {
		t.Errorf("row a is %q, want new", got)
	}
}

// Guards against a VM that cannot share copies with siblings of the version before: they compare
// versions alone, and must not be sent the whole table again and again.
func TestSiblingThatDoesNotKnowErasIsSentChanges(t *testing.T) {
	c := newProofCluster(make([]time.Duration, 4))
	strip := func(from int, m *siblingpb.News) {
		if from == 0 {
			withoutEras(m)
		}
	}
	readTable(c, 1, replica.Changes{Era: 2, Full: true, Version: 40, Rows: []replica.Row{{Key: "a", Value: []byte("1"), Version: 38}}})
	exchange(c, [2]int{0, 1}, 2, strip)
	readTable(c, 1, replica.Changes{Era: 2, BaseVersion: 40, Version: 41, Rows: []replica.Row{{Key: "b", Value: []byte("2"), Version: 41}}})
	for _, m := range exchange(c, [2]int{0, 1}, 6, strip) {
		for _, n := range m.GetTables() {
			if n.GetWhole() {
				t.Error("the whole table was sent again")
			}
		}
	}
	if a, b := valueOf(c.vms[0], "a"), valueOf(c.vms[0], "b"); a != "1" || b != "2" {
		t.Errorf("rows are a=%q b=%q, want 1 and 2", a, b)
	}
}

// Guards against a VM that does not know the era of its copy and gets no changes from siblings that do.
func TestEraIsLearnedFromASibling(t *testing.T) {
	c := newProofCluster(make([]time.Duration, 4))
	readTable(c, 0, replica.Changes{Full: true, Version: 30, Rows: []replica.Row{{Key: "a", Value: []byte("1"), Version: 20}}})
	readTable(c, 1, replica.Changes{Era: 3, Full: true, Version: 40, Rows: []replica.Row{{Key: "a", Value: []byte("2"), Version: 38}}})
	exchange(c, [2]int{0, 1}, 4, nil)
	if got := valueOf(c.vms[0], "a"); got != "2" {
		t.Errorf("row a is %q, want 2", got)
	}
	if p := c.vms[0].table.Position(); p != (replica.Position{Era: 3, Version: 40}) {
		t.Errorf("the copy is at %v, want version 40 of era 3", p)
	}
}
