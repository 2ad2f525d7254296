package usage

import "time"

// slotLength is the resolution of a ring.
const slotLength = 100 * time.Millisecond

// slot counts the requests of one slotLength.
type slot struct{ asked, admitted uint32 }

// ring counts the requests of a team at this VM within the latest window.
type ring struct {
	start  time.Time
	latest int64 // index of the latest slot
	slots  []slot
}

func newRing(window time.Duration, now time.Time) *ring {
	return &ring{start: now, slots: make([]slot, int(max(window, time.Second)/slotLength)+1)}
}

// index returns the index of the slot of a time.
func (r *ring) index(now time.Time) int64 { return int64(max(now.Sub(r.start), 0) / slotLength) }

// at returns the slot of now.
func (r *ring) at(now time.Time) *slot {
	r.advance(now)
	return &r.slots[r.latest%int64(len(r.slots))]
}

// advance clears the slots that have left the window.
func (r *ring) advance(now time.Time) {
	i := r.index(now)
	if i-r.latest >= int64(len(r.slots)) {
		clear(r.slots)
		r.latest = i
	}
	for r.latest < i {
		r.latest++
		r.slots[r.latest%int64(len(r.slots))] = slot{}
	}
}

// remove takes an admitted request out of the slot with the given index. It returns false if the slot
// has left the window.
func (r *ring) remove(index int64, now time.Time) bool {
	r.advance(now)
	if index <= r.latest-int64(len(r.slots)) || index > r.latest {
		return false
	}
	s := &r.slots[index%int64(len(r.slots))]
	if s.admitted == 0 {
		return false
	}
	s.admitted--
	return true
}

// asked and admitted return the requests within a span that ends now, up to a slot more.
func (r *ring) asked(now time.Time, span time.Duration) uint32 {
	return r.sum(now, span, func(s slot) uint32 { return s.asked })
}

func (r *ring) admitted(now time.Time, span time.Duration) uint32 {
	return r.sum(now, span, func(s slot) uint32 { return s.admitted })
}

// admittedExactly returns the admitted requests within a span of whole slots, and of the oldest slot the
// part that lies in the span. Unlike admitted, it is not too high on average.
func (r *ring) admittedExactly(now time.Time, span time.Duration) float64 {
	more := r.admitted(now, span)
	n := int64((span + slotLength - 1) / slotLength)
	if r.latest < n {
		return float64(more)
	}
	oldest := r.slots[(r.latest-n)%int64(len(r.slots))].admitted
	inSlot := now.Sub(r.start) - time.Duration(r.latest)*slotLength
	return float64(more) - float64(oldest)*float64(inSlot)/float64(slotLength)
}

// askedBefore returns the requests within a span that ended a while ago.
func (r *ring) askedBefore(now time.Time, ago, span time.Duration) uint32 {
	return r.asked(now, ago+span) - r.asked(now, ago)
}

func (r *ring) sum(now time.Time, span time.Duration, count func(slot) uint32) uint32 {
	r.advance(now)
	total := uint32(0)
	n := min(int64((span+slotLength-1)/slotLength)+1, int64(len(r.slots)), r.latest+1)
	for i := range n {
		total += count(r.slots[(r.latest-i)%int64(len(r.slots))])
	}
	return total
}
