// Package periodicity learns when a backend server changes speed. Many neighbours
// change the load of a shared machine in a fixed rhythm. Where a server follows
// one, a single measurement right after each expected change tells its speed
// until the next; where it does not, measurements go on at a fixed interval.
//
// It answers one load: servers that turn slow or fast several times a second,
// whose requests keep the speed with which they started.
package periodicity

import (
	"time"
)

const (
	// minPeriod and maxPeriod bound the rhythms that are looked for. Below, three
	// measurements per period would take more than measuring at the interval for
	// searching.
	minPeriod = 90 * time.Millisecond
	maxPeriod = 400 * time.Millisecond
	// periodStep is the step of the search. Over the span of the changes kept,
	// a smaller error of the period shifts the phase by less than a bracket.
	periodStep = 250 * time.Microsecond
	// refineSteps is the number of periods that are tried around a known one.
	// refineRange bounds the distance to it, and refineLeast is the least one.
	refineSteps = 60
	refineRange = 2 * time.Millisecond
	refineLeast = 150 * time.Microsecond
	// timing is what a measurement's time at the server may differ from the
	// middle between its ends, as packets and timers are late.
	timing = 400 * time.Microsecond
	// neededChanges is the number of changes that must fit a rhythm. With brackets
	// of a quarter of the period, twelve changes fit a wrong one by chance with a
	// probability of 4^-11.
	neededChanges = 12
	// hintedChanges is the same if similar servers follow a known rhythm: by
	// chance, five changes fit with a probability of 4^-4, and a wrong phase is
	// noticed by the checks.
	hintedChanges = 5
	// keptChanges bounds the changes that are kept. Their span decides how well
	// the period is known.
	keptChanges = 32
	// settled is the length of a bracket of the phase that is not narrowed any
	// further.
	settled = 5 * time.Millisecond
	// margin keeps measurements clear of the bracket, since timers are late and
	// packets take time.
	margin = time.Millisecond
	// checkEvery is the number of periods between two measurements just before
	// an expected change, which would show a speed that changed in between.
	checkEvery = 4
	// searching and fallback are the intervals of measurements without a rhythm:
	// while one is looked for, and after none was found for searchFor.
	searching = 33 * time.Millisecond
	fallback  = 50 * time.Millisecond
	searchFor = 10 * time.Second
	// tolerance is the relative change of the speed that counts as one.
	tolerance = 0.1
)

// bracket is a span of time that contains a change.
type bracket struct{ from, to time.Time }

func (b bracket) middle() time.Time           { return b.from.Add(b.length() / 2) }
func (b bracket) length() time.Duration       { return b.to.Sub(b.from) }
func (b bracket) add(d time.Duration) bracket { return bracket{b.from.Add(d), b.to.Add(d)} }

// Detector follows one server. The zero value is ready for use. It is not safe
// for concurrent use.
type Detector struct {
	began   time.Time
	at      time.Time // of the latest measurement
	value   float64
	changes []bracket

	hint     time.Duration // period of similar servers, 0: none
	period   time.Duration // 0: no rhythm known
	spread   time.Duration // half the span of the periods that fit
	boundary bracket       // of a change that was expected last
	periods  int           // since the latest check
}

// HasPeriod reports whether the server follows a known rhythm.
func (t *Detector) HasPeriod() bool { return t.period > 0 }

// Period returns the rhythm, or 0.
func (t *Detector) Period() time.Duration { return t.period }

// SetHint names the period of similar servers, which is tried first.
func (t *Detector) SetHint(period time.Duration) {
	if t.period == 0 && len(t.changes) < hintedChanges {
		t.hint = period
	}
}

// Observe records a measurement that the server answered between sent and
// received. The middle is taken as its time.
func (t *Detector) Observe(sent, received time.Time, value float64) {
	at := sent.Add(received.Sub(sent) / 2)
	if t.began.IsZero() {
		t.began = at
	}
	if !at.After(t.at) {
		return
	}
	before, previous := t.at, t.value
	t.at, t.value = at, value
	if before.IsZero() {
		return
	}
	t.advance(at)
	changed := value > previous*(1+tolerance) || value < previous*(1-tolerance)
	if !changed {
		return
	}
	t.changed(bracket{before.Add(-timing), at.Add(timing)})
}

// advance moves the expected change to the last one before at.
func (t *Detector) advance(at time.Time) {
	if t.period == 0 {
		return
	}
	for t.boundary.to.Add(t.period).Before(at) {
		t.boundary = t.boundary.add(t.period)
		t.boundary.from = t.boundary.from.Add(-t.spread)
		t.boundary.to = t.boundary.to.Add(t.spread)
		t.periods++
	}
}

func (t *Detector) changed(b bracket) {
	t.changes = append(t.changes, b)
	if len(t.changes) > keptChanges {
		t.changes = t.changes[1:]
	}
	if t.period > 0 {
		t.confirm(b)
		return
	}
	if t.hint > 0 && len(t.changes) >= hintedChanges {
		t.period, t.spread = t.hint, 0
		if t.refine() {
			return
		}
		t.period, t.hint = 0, 0
	}
	if len(t.changes) >= neededChanges {
		t.search()
	}
}

// confirm narrows the expected change by one that was seen, or gives the rhythm
// up if it does not fit.
func (t *Detector) confirm(seen bracket) {
	if t.contained(seen) {
		// A span around the expected one says nothing more about the phase.
		t.changes = t.changes[:len(t.changes)-1]
		return
	}
	if t.expects(seen) && t.refine() {
		return
	}
	// The rhythm was wrong or has moved. Its period is tried first.
	t.hint, t.period = t.period, 0
	t.began = t.at
	t.changes = []bracket{seen}
}

// expects reports whether a change that was seen fits the rhythm.
func (t *Detector) expects(seen bracket) bool {
	for n := time.Duration(-1); n <= 1; n++ {
		if _, ok := intersect(t.boundary.add(n*t.period), seen); ok {
			return true
		}
	}
	return false
}

// contained reports whether the whole span of an expected change lies in seen.
func (t *Detector) contained(seen bracket) bool {
	for n := time.Duration(-1); n <= 1; n++ {
		expected := t.boundary.add(n * t.period)
		if both, ok := intersect(expected, seen); ok && both == expected {
			return true
		}
	}
	return false
}

// refine finds the periods around the present one that fit all changes, and
// from them the span of the change that is expected last. It forgets old
// changes if no period fits.
func (t *Detector) refine() bool {
	for len(t.changes) >= hintedChanges {
		var low, high time.Duration
		var expected bracket
		reach := min(max(4*t.spread, refineLeast), refineRange)
		if t.spread == 0 {
			reach = refineRange
		}
		step := 2 * reach / refineSteps
		for p := t.period - reach; p <= t.period+reach; p += step {
			phase, ok := t.fit(p)
			if !ok {
				continue
			}
			if low == 0 {
				low, expected = p, phase
			}
			high = p
			expected = union(expected, phase)
		}
		if low > 0 {
			t.period, t.spread, t.boundary = (low+high)/2, (high-low+step)/2, expected
			t.advance(t.at)
			return true
		}
		t.changes = t.changes[1:]
	}
	return false
}

func union(a, b bracket) bracket {
	if b.from.Before(a.from) {
		a.from = b.from
	}
	if b.to.After(a.to) {
		a.to = b.to
	}
	return a
}

func intersect(a, b bracket) (bracket, bool) {
	out := a
	if b.from.After(out.from) {
		out.from = b.from
	}
	if b.to.Before(out.to) {
		out.to = b.to
	}
	return out, !out.from.After(out.to)
}

// search looks for the longest period that fits all changes. Every divisor of a
// period fits as well.
func (t *Detector) search() {
	for period := maxPeriod; period >= minPeriod; period -= periodStep {
		phase, ok := t.fit(period)
		if !ok {
			continue
		}
		// The middle of the periods that fit is the best estimate.
		lowest := period
		for next := period - periodStep; next >= minPeriod; next -= periodStep {
			if _, ok := t.fit(next); !ok {
				break
			}
			lowest = next
		}
		if middle := (period + lowest) / 2; middle != period {
			if p, ok := t.fit(middle); ok {
				period, phase = middle, p
			}
		}
		t.period, t.spread, t.boundary, t.periods = period, 0, phase, 0
		t.refine()
		return
	}
}

// fit returns the span around the latest change that agrees with all changes
// under a period.
func (t *Detector) fit(period time.Duration) (bracket, bool) {
	last := t.changes[len(t.changes)-1]
	phase := last
	for _, c := range t.changes[:len(t.changes)-1] {
		distance := phase.middle().Sub(c.middle())
		n := (distance + period/2) / period
		var ok bool
		if phase, ok = intersect(phase, c.add(n*period)); !ok {
			return bracket{}, false
		}
	}
	return phase, true
}

// Next returns the time of the next measurement.
func (t *Detector) Next(now time.Time) time.Time {
	if t.period == 0 {
		interval := searching
		if now.Sub(t.began) > searchFor {
			interval = fallback
		}
		return t.at.Add(interval)
	}
	next := t.boundary.add(t.period)
	afterLast := t.boundary.to.Add(margin)
	narrow := t.boundary.length() > settled
	before := next.from.Add(-margin)
	switch {
	case t.at.Before(afterLast):
		return afterLast
	case (narrow || t.periods >= checkEvery) && t.at.Before(before):
		t.periods = 0
		return before
	case narrow && t.at.Before(next.from):
		// Half the bracket: the change is before or after the middle.
		return next.middle()
	default:
		return next.to.Add(margin)
	}
}

// ValidUntil returns when the speed measured last is expected to change; false
// without a rhythm.
func (t *Detector) ValidUntil() (time.Time, bool) {
	if t.period == 0 {
		return time.Time{}, false
	}
	if t.at.Before(t.boundary.to) {
		return t.at, true // measured while a change was due
	}
	return t.boundary.add(t.period).from, true
}
