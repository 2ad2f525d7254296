package counts

import "time"

// meterSlots is the number of parts into which a Meter divides its span.
const meterSlots = 10

// Meter counts events within the latest span of time, in steps of a tenth of the span. It is
// not safe for concurrent use.
type Meter struct {
	slot  time.Duration
	slots [meterSlots + 1]uint32
	at    int64 // number of the slot that now falls into
	start time.Time
}

// NewMeter returns a Meter that counts the events of the latest span.
func NewMeter(span time.Duration, now time.Time) *Meter {
	return &Meter{slot: max(span/meterSlots, 1), start: now}
}

// Add counts n events at now.
func (m *Meter) Add(now time.Time, n uint32) {
	m.advance(now)
	m.slots[m.at%int64(len(m.slots))] += n
}

// Count returns the number of events in the latest span, up to a tenth of the span more.
func (m *Meter) Count(now time.Time) uint32 {
	m.advance(now)
	total := uint32(0)
	for _, n := range m.slots {
		total += n
	}
	return total
}

// advance clears the slots that have left the span.
func (m *Meter) advance(now time.Time) {
	at := int64(now.Sub(m.start) / m.slot)
	if at-m.at >= int64(len(m.slots)) {
		m.slots = [meterSlots + 1]uint32{}
		m.at = at
		return
	}
	for m.at < at {
		m.at++
		m.slots[m.at%int64(len(m.slots))] = 0
	}
}
