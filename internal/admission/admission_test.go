package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"goldcresthinge.example/goldcresthinge/internal/admission"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func item(id uint64, tenant string, nonIdempotent bool, ms int) admission.Item {
	return admission.Item{ID: id, Tenant: tenant, NonIdempotent: nonIdempotent, Deadline: t0.Add(time.Duration(ms) * time.Millisecond)}
}

// Guards against a queue that exceeds its limit, returns an item twice, loses
// an item or returns one that it refused.
func TestEveryItemLeavesTheQueueOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 12).Draw(t, "limit")
		q := admission.New(limit)
		now, next := t0, uint64(0)
		waiting := map[uint64]bool{}
		markDone := func(it admission.Item) {
			if !waiting[it.ID] {
				t.Fatalf("item %d was returned but is not waiting", it.ID)
			}
			delete(waiting, it.ID)
		}
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			default:
				next++
				it := admission.Item{
					ID: next, Tenant: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "tenant"),
					NonIdempotent: rapid.Bool().Draw(t, "nonIdempotent"),
					Deadline:      now.Add(time.Duration(rapid.IntRange(-5, 200).Draw(t, "deadline")) * time.Millisecond),
				}
				dropped, ok := q.Push(now, it)
				for _, d := range dropped {
					markDone(d)
				}
				if ok {
					waiting[it.ID] = true
				}
				if _, again := q.Push(now, it); ok && again {
					t.Fatal("the same ID was queued twice")
				}
			case 3:
				if it, ok := q.Pop(now); ok {
					markDone(it)
				}
			case 4:
				for _, it := range q.Expire(now, 10*time.Millisecond) {
					if !it.Deadline.Before(now.Add(10 * time.Millisecond)) {
						t.Fatalf("item %d could meet its deadline", it.ID)
					}
					markDone(it)
				}
			case 5:
				id := rapid.Uint64Range(1, next+1).Draw(t, "id")
				if q.Remove(id) != waiting[id] {
					t.Fatalf("Remove(%d) does not report whether the item was waiting", id)
				}
				delete(waiting, id)
			}
			if q.Len() > limit || q.Len() != len(waiting) {
				t.Fatalf("queue has %d items, want %d, limit %d", q.Len(), len(waiting), limit)
			}
		}
	})
}

// Guards against a steady stream of non-idempotent calls that prevents
// idempotent calls from being queued or served.
func TestIdempotentCallsDoNotStarve(t *testing.T) {
	g := NewWithT(t)
	q := admission.New(8)
	served, id := 0, uint64(0)
	for range 100 {
		for range 4 {
			id++
			q.Push(t0, item(id, "a", true, 1000))
		}
		id++
		q.Push(t0, item(id, "a", false, 1000))
		if it, ok := q.Pop(t0); ok && !it.NonIdempotent {
			served++
		}
	}
	g.Expect(served).To(Equal(20), "one of five served items is idempotent")
}

// Guards against a tenant that takes the places of another one, and against
// serving a later deadline before an earlier one of the same tenant.
func TestTenantsTakeTurnsAndEarliestDeadlineFirst(t *testing.T) {
	g := NewWithT(t)
	q := admission.New(4)
	for i := range uint64(4) {
		_, ok := q.Push(t0, item(i+1, "a", false, 1000-int(i)))
		g.Expect(ok).To(BeTrue())
	}
	dropped, ok := q.Push(t0, item(5, "b", false, 1000))
	g.Expect(ok).To(BeTrue())
	g.Expect(dropped).To(HaveLen(1))
	g.Expect(dropped[0].ID).To(Equal(uint64(1)), "the item with the latest deadline of the tenant with more items")
	_, ok = q.Push(t0, item(6, "a", false, 1000))
	g.Expect(ok).To(BeFalse())
	var order []uint64
	for it, ok := q.Pop(t0); ok; it, ok = q.Pop(t0) {
		order = append(order, it.ID)
	}
	g.Expect(order).To(Equal([]uint64{4, 5, 3, 2}))
}

// Guards against keeping calls queued that cannot meet their deadline, and against an
// expected latency so high that every call is refused and none can correct the
// estimate.
func TestItemsThatCannotMeetTheirDeadlineExpire(t *testing.T) {
	g := NewWithT(t)
	q := admission.New(8)
	q.Push(t0, item(1, "a", false, 100))
	q.Push(t0, item(2, "a", true, 300))
	g.Expect(q.Expire(t0, 10*time.Second)).To(BeEmpty())
	g.Expect(q.Expire(t0.Add(70*time.Millisecond), 20*time.Millisecond)).To(BeEmpty())
	g.Expect(q.Expire(t0.Add(70*time.Millisecond), 40*time.Millisecond)).To(HaveLen(1))
	g.Expect(q.Expire(t0.Add(151*time.Millisecond), 10*time.Second)).To(HaveLen(1))
	g.Expect(q.Len()).To(BeZero())
}

// Guards against Retry-After values that make all refused callers retry at the
// same moment, or only long after a recovery.
func TestRetryAfterIsSpreadAndBounded(t *testing.T) {
	g := NewWithT(t)
	g.Expect(admission.RetryAfter(0, 0, 0, 0)).To(Equal(time.Second))
	g.Expect(admission.RetryAfter(999, 10, 20*time.Millisecond, 0.5)).To(Equal(3 * time.Second))
	g.Expect(admission.RetryAfter(1e6, 1, time.Second, 1)).To(Equal(30 * time.Second))
}
