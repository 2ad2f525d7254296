// Package admission orders the calls that wait for a slot of a pool.
//
// A Queue is a decision: it takes items and the time and returns items. It
// starts no goroutine, reads no clock and is not safe for concurrent use.
package admission

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

const (
	// lookupEvery is the place of a lookup among waiting non-idempotent items:
	// every fifth item served is a lookup, so lookups never starve.
	lookupEvery = 5
	// lookupShare is the divisor of the bound that gives the places in the
	// queue that non-idempotent items cannot take from lookups.
	lookupShare = 4
	// believedPart of the time that a call came with is the longest expected
	// latency that refuses it early. Without that bound, an estimate above the
	// deadlines of all calls would let none run that could correct it.
	believedPart = 2
	// minRetryAfter is the unit of the Retry-After header.
	minRetryAfter = time.Second
	// maxRetryAfter keeps callers from staying away long after a recovery.
	maxRetryAfter = 30 * time.Second
)

// Item is a waiting call.
type Item struct {
	ID            uint64
	Tenant        string
	NonIdempotent bool
	Deadline      time.Time
}

// Queue is a bounded queue. Non-idempotent items are served before others,
// except that every fifth item is a lookup when one waits. Inside each of the
// two classes tenants take turns, and inside a tenant the earliest deadline is
// served first.
type Queue struct {
	limit   int
	lookups class
	firsts  class // non-idempotent
	streak  int   // non-idempotent items served since the last lookup
	entries map[uint64]*entry
}

type entry struct {
	Item
	seq   uint64
	index int
	of    *tenant
	// believed is the longest expected latency that refuses this item early.
	believed time.Duration
}

// class holds the tenants that have items, in the order of their turns.
type class struct {
	turns []*tenant
	count int
	seq   uint64
}

type tenant struct {
	name  string
	class *class
	items entryHeap
}

// New returns an empty queue for at most limit items. A limit below one
// refuses every item.
func New(limit int) *Queue {
	return &Queue{limit: limit, entries: map[uint64]*entry{}}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.entries) }

// Push adds an item. In a full queue it may drop one item that ranks lower,
// which the caller must refuse. It returns false when the item itself is
// refused: the queue is full of items of the same or a higher rank, the
// deadline has passed, or the ID already waits.
func (q *Queue) Push(now time.Time, it Item) (dropped []Item, ok bool) {
	if _, dup := q.entries[it.ID]; dup || q.limit < 1 || !it.Deadline.After(now) {
		return nil, false
	}
	if len(q.entries) >= q.limit {
		victim := q.victim(it)
		if victim == nil {
			return nil, false
		}
		q.drop(victim)
		dropped = append(dropped, victim.Item)
	}
	q.classOf(it).push(q, it, it.Deadline.Sub(now)/believedPart)
	return dropped, true
}

func (q *Queue) classOf(it Item) *class {
	if it.NonIdempotent {
		return &q.firsts
	}
	return &q.lookups
}

// victim returns the item that makes room for it, or nil. Each class has a
// guaranteed part of the queue and may fill the other's part only while that
// is unused. Inside a class, a tenant makes room for one that has less.
func (q *Queue) victim(it Item) *entry {
	guaranteed := q.limit / lookupShare // of the lookups
	own, other := &q.lookups, &q.firsts
	if it.NonIdempotent {
		own, other = other, own
		guaranteed = q.limit - guaranteed
	}
	if own.count < guaranteed && other.count > 0 {
		return other.largest().latest()
	}
	t := own.largest()
	if t == nil || len(t.items) <= own.sizeOf(it.Tenant)+1 {
		return nil
	}
	return t.latest()
}

// Pop returns the next item to serve. Items whose deadline has passed are
// still returned; Expire removes them.
func (q *Queue) Pop(_ time.Time) (Item, bool) {
	c := &q.firsts
	lookupTurn := q.streak >= lookupEvery-1
	if c.count == 0 || (lookupTurn && q.lookups.count > 0) {
		c = &q.lookups
	}
	if c.count == 0 {
		return Item{}, false
	}
	if c == &q.lookups {
		q.streak = 0
	} else {
		q.streak++
	}
	t := c.turns[0]
	e := t.items[0]
	c.turns = append(c.turns[1:], t)
	q.drop(e)
	return e.Item, true
}

// Expire removes and returns the items that cannot meet their deadline when a
// call takes expected, in the order of their deadlines. An expected latency of
// more than half of the time that a call came with counts as that half. A
// multiple of the mean latency keeps calls from being served too late when
// service times vary: the holder passes three times the mean.
func (q *Queue) Expire(now time.Time, expected time.Duration) []Item {
	latest := now.Add(expected)
	var out []Item
	for _, c := range []*class{&q.firsts, &q.lookups} {
		for _, t := range slices.Clone(c.turns) {
			if !t.items[0].Deadline.Before(latest) {
				continue
			}
			for _, e := range slices.Clone(t.items) {
				if e.Deadline.Before(now.Add(min(expected, e.believed))) {
					q.drop(e)
					out = append(out, e.Item)
				}
			}
		}
	}
	slices.SortFunc(out, func(a, b Item) int {
		return cmp.Or(a.Deadline.Compare(b.Deadline), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// Remove takes an item out, as when its caller has gone. It returns false
// when the item does not wait.
func (q *Queue) Remove(id uint64) bool {
	e, ok := q.entries[id]
	if ok {
		q.drop(e)
	}
	return ok
}

func (q *Queue) drop(e *entry) {
	heap.Remove(&e.of.items, e.index)
	delete(q.entries, e.ID)
	c := e.of.class
	c.count--
	if len(e.of.items) == 0 {
		c.turns = slices.DeleteFunc(c.turns, func(t *tenant) bool { return t == e.of })
	}
}

func (c *class) push(q *Queue, it Item, believed time.Duration) {
	var t *tenant
	if i := c.find(it.Tenant); i >= 0 {
		t = c.turns[i]
	} else {
		t = &tenant{name: it.Tenant, class: c}
		c.turns = append(c.turns, t)
	}
	c.seq++
	c.count++
	e := &entry{Item: it, seq: c.seq, of: t, believed: believed}
	heap.Push(&t.items, e)
	q.entries[it.ID] = e
}

func (c *class) find(name string) int {
	return slices.IndexFunc(c.turns, func(t *tenant) bool { return t.name == name })
}

func (c *class) sizeOf(name string) int {
	if i := c.find(name); i >= 0 {
		return len(c.turns[i].items)
	}
	return 0
}

func (c *class) largest() *tenant {
	var best *tenant
	for _, t := range c.turns {
		if best == nil || len(t.items) > len(best.items) {
			best = t
		}
	}
	return best
}

// latest returns the item that the tenant would be served last.
func (t *tenant) latest() *entry {
	return slices.MaxFunc(t.items, func(a, b *entry) int {
		return cmp.Or(a.Deadline.Compare(b.Deadline), cmp.Compare(a.seq, b.seq))
	})
}

type entryHeap []*entry

func (h entryHeap) Len() int { return len(h) }

func (h entryHeap) Less(i, j int) bool {
	if c := h[i].Deadline.Compare(h[j].Deadline); c != 0 {
		return c < 0
	}
	return h[i].seq < h[j].seq
}

func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

func (h *entryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}

// RetryAfter returns the advice for a refused caller: the time in which the
// waiting calls are served, at least 1 s, plus up to the same again by jitter
// in [0, 1), and at most 30 s. Jitter keeps refused callers from coming back
// in the same moment.
func RetryAfter(waiting, slots int, meanLatency time.Duration, jitter float64) time.Duration {
	base := time.Duration(float64(meanLatency) * float64(max(waiting, 0)+1) / float64(max(slots, 1)))
	base = min(max(base, minRetryAfter), maxRetryAfter/2)
	return base + time.Duration(min(max(jitter, 0), 1)*float64(base))
}
