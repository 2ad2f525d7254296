// Package admission orders the calls that wait for a slot of a pool.
//
// A Queue does no I/O: its methods take items and the current time and return
// items. It starts no goroutine, reads no clock and is not safe for concurrent
// use.
package admission

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

const (
	// While items of both classes wait, every idempotentInterval-th item served
	// is an idempotent one, so idempotent calls do not starve.
	idempotentInterval = 5
	// idempotentShareDivisor divides the queue limit; the quotient is the
	// number of places reserved for idempotent items.
	idempotentShareDivisor = 4
	// Expire refuses a waiting call early if its deadline is closer than the
	// expected latency. For this comparison the expected latency is capped at
	// 1/earlyRefusalDivisor of the time that the call had until its deadline
	// when it was queued. Without this cap, an estimate above the deadlines of
	// all calls would refuse every call, and none would run and correct the
	// estimate.
	earlyRefusalDivisor = 2
	// minRetryAfter is one second, the unit of the Retry-After header.
	minRetryAfter = time.Second
	// maxRetryAfter limits Retry-After, so callers retry soon after a recovery.
	maxRetryAfter = 30 * time.Second
)

// Item is a waiting call.
type Item struct {
	ID            uint64
	Tenant        string
	NonIdempotent bool
	Deadline      time.Time
}

// Queue is a bounded queue. Non-idempotent items are served before idempotent
// ones, except that every fifth item served is an idempotent one if any waits.
// Within each of these two classes tenants are served in turn, and within a
// tenant the earliest deadline is served first.
type Queue struct {
	limit               int
	idempotent          class
	nonIdempotent       class
	nonIdempotentStreak int // non-idempotent items served since the last idempotent one
	entries             map[uint64]*entry
}

type entry struct {
	Item
	seq   uint64
	index int
	owner *tenant
	// maxExpected is the cap of the expected latency for this item, see
	// earlyRefusalDivisor.
	maxExpected time.Duration
}

// class holds the tenants that have waiting items, the one to be served next
// first.
type class struct {
	tenants []*tenant
	count   int
	seq     uint64
}

type tenant struct {
	name  string
	class *class
	items entryHeap
}

// New returns an empty queue for at most limit items. A limit below one refuses
// every item.
func New(limit int) *Queue {
	return &Queue{limit: limit, entries: map[uint64]*entry{}}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.entries) }

// Push adds an item. If the queue is full, it may evict one item, see
// evictionCandidate; the caller must refuse the calls in dropped. ok is false if
// the new item itself is refused: the queue is full and no item may be evicted
// for it, the deadline has passed, or an item with the same ID is waiting.
func (q *Queue) Push(now time.Time, it Item) (dropped []Item, ok bool) {
	if _, dup := q.entries[it.ID]; dup || q.limit < 1 || !it.Deadline.After(now) {
		return nil, false
	}
	if len(q.entries) >= q.limit {
		victim := q.evictionCandidate(it)
		if victim == nil {
			return nil, false
		}
		q.remove(victim)
		dropped = append(dropped, victim.Item)
	}
	q.classOf(it).push(q, it, it.Deadline.Sub(now)/earlyRefusalDivisor)
	return dropped, true
}

func (q *Queue) classOf(it Item) *class {
	if it.NonIdempotent {
		return &q.nonIdempotent
	}
	return &q.idempotent
}

// evictionCandidate returns the item to evict so that the item it can be added,
// or nil. Each class has a guaranteed part of the queue and may use the other's
// part only while that is unused. Within a class, the tenant with the most
// items loses one to a tenant that has at least two fewer.
func (q *Queue) evictionCandidate(it Item) *entry {
	guaranteed := q.limit / idempotentShareDivisor // places reserved for idempotent items
	own, other := &q.idempotent, &q.nonIdempotent
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

// Pop returns the next item to serve. It may return an item whose deadline has
// passed; Expire removes those.
func (q *Queue) Pop(_ time.Time) (Item, bool) {
	c := &q.nonIdempotent
	idempotentTurn := q.nonIdempotentStreak >= idempotentInterval-1
	if c.count == 0 || (idempotentTurn && q.idempotent.count > 0) {
		c = &q.idempotent
	}
	if c.count == 0 {
		return Item{}, false
	}
	if c == &q.idempotent {
		q.nonIdempotentStreak = 0
	} else {
		q.nonIdempotentStreak++
	}
	t := c.tenants[0]
	e := t.items[0]
	c.tenants = append(c.tenants[1:], t)
	q.remove(e)
	return e.Item, true
}

// Expire removes and returns the items that cannot meet their deadline if a
// call takes expected, sorted by deadline. For each item, expected is capped at
// half of the time that its call had until its deadline when it was queued, see
// earlyRefusalDivisor. When service times vary, passing a multiple of the mean
// latency avoids serving calls too late: the holder passes three times the mean.
func (q *Queue) Expire(now time.Time, expected time.Duration) []Item {
	latest := now.Add(expected)
	var out []Item
	for _, c := range []*class{&q.nonIdempotent, &q.idempotent} {
		for _, t := range slices.Clone(c.tenants) {
			if !t.items[0].Deadline.Before(latest) {
				continue
			}
			for _, e := range slices.Clone(t.items) {
				if e.Deadline.Before(now.Add(min(expected, e.maxExpected))) {
					q.remove(e)
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

// Remove removes a waiting item, for example when its caller has disconnected.
// It returns false if the item is not waiting.
func (q *Queue) Remove(id uint64) bool {
	e, ok := q.entries[id]
	if ok {
		q.remove(e)
	}
	return ok
}

func (q *Queue) remove(e *entry) {
	heap.Remove(&e.owner.items, e.index)
	delete(q.entries, e.ID)
	c := e.owner.class
	c.count--
	if len(e.owner.items) == 0 {
		c.tenants = slices.DeleteFunc(c.tenants, func(t *tenant) bool { return t == e.owner })
	}
}

func (c *class) push(q *Queue, it Item, maxExpected time.Duration) {
	var t *tenant
	if i := c.find(it.Tenant); i >= 0 {
		t = c.tenants[i]
	} else {
		t = &tenant{name: it.Tenant, class: c}
		c.tenants = append(c.tenants, t)
	}
	c.seq++
	c.count++
	e := &entry{Item: it, seq: c.seq, owner: t, maxExpected: maxExpected}
	heap.Push(&t.items, e)
	q.entries[it.ID] = e
}

func (c *class) find(name string) int {
	return slices.IndexFunc(c.tenants, func(t *tenant) bool { return t.name == name })
}

func (c *class) sizeOf(name string) int {
	if i := c.find(name); i >= 0 {
		return len(c.tenants[i].items)
	}
	return 0
}

func (c *class) largest() *tenant {
	var best *tenant
	for _, t := range c.tenants {
		if best == nil || len(t.items) > len(best.items) {
			best = t
		}
	}
	return best
}

// latest returns the item of the tenant that would be served last.
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

// RetryAfter returns how long a refused caller should wait: the time in which
// the waiting calls are served, but at least 1 s and at most 15 s, plus jitter
// times the same duration, so at most 30 s. jitter is in [0, 1) and keeps
// refused callers from retrying at the same moment.
func RetryAfter(waiting, slots int, meanLatency time.Duration, jitter float64) time.Duration {
	base := time.Duration(float64(meanLatency) * float64(max(waiting, 0)+1) / float64(max(slots, 1)))
	base = min(max(base, minRetryAfter), maxRetryAfter/2)
	return base + time.Duration(min(max(jitter, 0), 1)*float64(base))
}
