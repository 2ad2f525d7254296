package usage

import "time"

// cumulativeSamples is the number of samples that cover the span of a sliding count.
const cumulativeSamples = 16

// cumulative turns a count of the events within the last second into the number of events since a start:
// the number at a time is that of a second before plus the count. Unlike the sum of the counts, it
// does not spread an event over a second.
type cumulative struct {
	samples [cumulativeSamples]sample // in order of time
}

type sample struct {
	at    time.Time
	total float64
}

// reset starts with events that were spread evenly over the last second.
func (c *cumulative) reset(now time.Time, inSecond float64) {
	for i := range c.samples {
		age := time.Duration(cumulativeSamples-1-i) * slotLength
		c.samples[i] = sample{now.Add(-age), -inSecond * min(age.Seconds(), 1)}
	}
}

// add takes over the count of the last second and returns the events since the latest call.
func (c *cumulative) add(now time.Time, inSecond float64) float64 {
	latest := c.samples[cumulativeSamples-1]
	total := c.totalAt(now.Add(-time.Second)) + inSecond
	if now.Sub(latest.at) >= slotLength/2 {
		copy(c.samples[:], c.samples[1:])
	}
	c.samples[cumulativeSamples-1] = sample{now, total}
	return total - latest.total
}

// totalAt returns the number of events up to a time, interpolated between samples.
func (c *cumulative) totalAt(at time.Time) float64 {
	for i := cumulativeSamples - 1; i >= 0; i-- {
		s := c.samples[i]
		if s.at.After(at) {
			continue
		}
		if i == cumulativeSamples-1 {
			return s.total
		}
		next := c.samples[i+1]
		span := next.at.Sub(s.at)
		if span <= 0 {
			return s.total
		}
		return s.total + (next.total-s.total)*float64(at.Sub(s.at))/float64(span)
	}
	return c.samples[0].total
}
