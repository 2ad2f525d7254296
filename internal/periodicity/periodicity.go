// Package periodicity predicts when a backend server changes speed. A server
// often shares its machine with workloads whose load changes with a fixed period.
// If a server changes speed with such a period, one measurement right after each
// expected change gives its speed until the next change. Otherwise the server is
// measured at a fixed interval.
//
// The package is designed for servers that become slow or fast several times a
// second and whose requests keep the speed with which they started.
package periodicity

import (
	"math"
	"slices"
	"time"
)

const (
	// minPeriod and maxPeriod bound the periods that the search considers. For a
	// period below minPeriod, three measurements per period would cost more than
	// measuring at searchInterval. Three are needed while the time of the change is
	// known inexactly: right after a change, just before the next one and in the
	// middle of the time in which the next one is expected (see Next).
	minPeriod = 90 * time.Millisecond
	maxPeriod = time.Second
	// periodStep is the relative difference between two periods that the search
	// tries. Over the time spanned by the stored changes, an error of the period
	// below this step shifts the expected time of a change by less than the length
	// of a bracket, the time span in which a change is known to have happened.
	periodStep = 1.0 / 1024
	// refineSteps is the number of steps in which refine tries periods around the
	// known one. They differ from it by at most refineRange, which is between
	// minRefineRange and maxRefineRange.
	refineSteps    = 60
	maxRefineRange = 2 * time.Millisecond
	minRefineRange = 150 * time.Microsecond
	// timingError bounds the difference between the time at which the server was
	// measured and the middle between sending and receiving. They differ because
	// packets and timers are delayed.
	timingError = 400 * time.Microsecond
	// minSearchEvidence is the evidence (see Detector.evidence), in bits, that the
	// search needs to accept a period. It exceeds the logarithm of the number of
	// periods tried by enough that a wrong one rarely fits.
	minSearchEvidence = 23
	// minSearchChanges is the number of changes that the search needs. With fewer,
	// all of them often fit a multiple of the actual period.
	minSearchChanges = 8
	// minHintEvidence, in bits, and minHintChanges are needed to accept the period
	// of similar servers. Less is enough for a single period, and the checks (see
	// periodsPerCheck) detect changes at other times than expected.
	minHintEvidence = 8
	minHintChanges  = 3
	// maxChanges is the number of latest changes that are stored. The longer the
	// time that they span, the more exactly the period is known.
	maxChanges = 32
	// targetBracketLength is the length up to which the bracket of the expected
	// change is narrowed by additional measurements.
	targetBracketLength = 5 * time.Millisecond
	// bracketMargin is the distance that measurements before and after the
	// bracket of an expected change keep from it, since timers are late and
	// packets take time.
	bracketMargin = time.Millisecond
	// periodsPerCheck is the number of periods between two checks. A check is a
	// measurement just before an expected change. It detects a speed that changed
	// between two expected changes.
	periodsPerCheck = 4
	// While no period is known, the pause between two measurements is the mean time
	// between changes divided by measurementsPerChange, but at least searchInterval,
	// or fallbackInterval after a search of searchDuration without a result, and at
	// most maxInterval. A server that rarely changes speed is measured rarely.
	measurementsPerChange = 16
	searchInterval        = 33 * time.Millisecond
	fallbackInterval      = 50 * time.Millisecond
	maxInterval           = 200 * time.Millisecond
	searchDuration        = 10 * time.Second
	// changeTolerance is the relative difference between two measured slowdowns above
	// which the speed counts as changed.
	changeTolerance = 0.1
)

// bracket is a time span within which a change of speed happened or is expected.
type bracket struct{ from, to time.Time }

func (b bracket) middle() time.Time           { return b.from.Add(b.length() / 2) }
func (b bracket) length() time.Duration       { return b.to.Sub(b.from) }
func (b bracket) add(d time.Duration) bracket { return bracket{b.from.Add(d), b.to.Add(d)} }

// Detector finds the period with which one server changes speed. The zero value
// is ready to use. A Detector is not safe for concurrent use.
type Detector struct {
	searchStart  time.Time // start of the present search for a period
	lastTime     time.Time // time of the latest measurement
	lastSlowdown float64   // slowdown found by the latest measurement
	changes      []bracket // observed changes, oldest first

	hintPeriod        time.Duration // period of similar servers; 0: none
	period            time.Duration // 0: no period known
	periodError       time.Duration // half the width of the range of periods that fit the changes
	lastExpected      bracket       // bracket of the latest expected change in the past, see advance
	periodsSinceCheck int           // number of periods since the latest check
}

// HasPeriod reports whether a period is known for the server.
func (d *Detector) HasPeriod() bool { return d.period > 0 }

// Period returns the period with which the server changes speed, or 0 if none is
// known.
func (d *Detector) Period() time.Duration { return d.period }

// SetHint sets the period of similar servers, which is tried before the search.
// 0 keeps the former hint. It has no effect if a period is known.
func (d *Detector) SetHint(period time.Duration) {
	if d.period == 0 && period > 0 {
		d.hintPeriod = period
	}
}

// Observe records a measured slowdown, the factor by which requests take longer than
// usual. The measurement was sent and its answer received at the given times.
// The middle between them counts as its time. A measurement that is not later
// than the latest one is ignored.
func (d *Detector) Observe(sent, received time.Time, slowdown float64) {
	at := sent.Add(received.Sub(sent) / 2)
	if d.searchStart.IsZero() {
		d.searchStart = at
	}
	if !at.After(d.lastTime) {
		return
	}
	previousTime, previousSlowdown := d.lastTime, d.lastSlowdown
	d.lastTime, d.lastSlowdown = at, slowdown
	if previousTime.IsZero() {
		return
	}
	d.advance(at)
	changed := slowdown > previousSlowdown*(1+changeTolerance) || slowdown < previousSlowdown*(1-changeTolerance)
	if !changed {
		return
	}
	d.recordChange(bracket{previousTime.Add(-timingError), at.Add(timingError)})
}

// advance moves lastExpected to the latest expected change before at. Its bracket
// grows by periodError at both ends with each period.
func (d *Detector) advance(at time.Time) {
	if d.period == 0 {
		return
	}
	for d.lastExpected.to.Add(d.period).Before(at) {
		d.lastExpected = d.lastExpected.add(d.period)
		d.lastExpected.from = d.lastExpected.from.Add(-d.periodError)
		d.lastExpected.to = d.lastExpected.to.Add(d.periodError)
		d.periodsSinceCheck++
	}
}

// recordChange stores an observed change. It matches the change with the known
// period, or tries to find a period if none is known.
func (d *Detector) recordChange(b bracket) {
	d.changes = append(d.changes, b)
	if len(d.changes) > maxChanges {
		d.changes = d.changes[1:]
	}
	if d.period > 0 {
		d.matchChange(b)
		return
	}
	if d.acceptHint() {
		return
	}
	if len(d.changes) >= minSearchChanges {
		d.search()
	}
}

// acceptHint sets the period to that of similar servers if it fits the latest stored
// changes. If not, the stored changes are kept for the search.
func (d *Detector) acceptHint() bool {
	if d.hintPeriod == 0 {
		return false
	}
	all := slices.Clone(d.changes)
	d.period, d.periodError = d.hintPeriod, 0
	if d.refine() {
		return true
	}
	d.period, d.changes = 0, all
	return false
}

// evidence returns how unlikely it is that the stored changes fit period by chance, as
// a number of bits: a change at a random time falls into the bracket of an earlier
// change, shifted by whole periods, with the probability bracket length / period.
func (d *Detector) evidence(period time.Duration) float64 {
	bits := 0.0
	for _, c := range d.changes[:max(len(d.changes)-1, 0)] {
		bits += max(math.Log2(float64(period)/float64(c.length())), 0)
	}
	return bits
}

// matchChange uses an observed change to narrow the bracket of the expected
// change. If the observed change does not fit, it discards the period and starts
// a new search.
func (d *Detector) matchChange(observed bracket) {
	if d.coversExpected(observed) {
		// A bracket that contains the expected one adds no information about
		// the time of the changes.
		d.changes = d.changes[:len(d.changes)-1]
		return
	}
	if d.fitsExpected(observed) && d.refine() {
		return
	}
	// The period was wrong, or the changes now come earlier or later with the same
	// period. In the latter case that period fits again, so it is tried first.
	d.hintPeriod, d.period = d.period, 0
	d.searchStart = d.lastTime
	d.changes = []bracket{observed}
}

// fitsExpected reports whether observed overlaps the bracket of the latest
// expected change, of the one before it or of the one after it.
func (d *Detector) fitsExpected(observed bracket) bool {
	for n := time.Duration(-1); n <= 1; n++ {
		if _, ok := intersect(d.lastExpected.add(n*d.period), observed); ok {
			return true
		}
	}
	return false
}

// coversExpected reports whether observed contains the whole bracket of the latest
// expected change, of the one before it or of the one after it.
func (d *Detector) coversExpected(observed bracket) bool {
	for n := time.Duration(-1); n <= 1; n++ {
		expected := d.lastExpected.add(n * d.period)
		if both, ok := intersect(expected, observed); ok && both == expected {
			return true
		}
	}
	return false
}

// refine finds the periods close to the known one that fit all stored changes.
// It sets period to the middle of their range and lastExpected to the union of the
// results of fit for these periods. If no period fits, it drops the oldest change and
// tries again. It returns false if too few changes are left as evidence.
func (d *Detector) refine() bool {
	for len(d.changes) >= minHintChanges && d.evidence(d.period) >= minHintEvidence {
		var low, high time.Duration
		var expected bracket
		refineRange := min(max(4*d.periodError, minRefineRange), maxRefineRange)
		if d.periodError == 0 {
			refineRange = maxRefineRange
		}
		step := 2 * refineRange / refineSteps
		for p := d.period - refineRange; p <= d.period+refineRange; p += step {
			lastChange, ok := d.fit(p)
			if !ok {
				continue
			}
			if low == 0 {
				low, expected = p, lastChange
			}
			high = p
			expected = union(expected, lastChange)
		}
		if low > 0 {
			d.period, d.periodError, d.lastExpected = (low+high)/2, (high-low+step)/2, expected
			d.advance(d.lastTime)
			return true
		}
		d.changes = d.changes[1:]
	}
	return false
}

// union returns the shortest bracket that contains a and b.
func union(a, b bracket) bracket {
	if b.from.Before(a.from) {
		a.from = b.from
	}
	if b.to.After(a.to) {
		a.to = b.to
	}
	return a
}

// intersect returns the common part of a and b, and whether there is one.
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

// search looks for the longest period that fits all stored changes. It takes the
// longest because, if a period fits, the period divided by any integer fits as
// well.
func (d *Detector) search() {
	shorter := func(period time.Duration) time.Duration {
		return period - time.Duration(float64(period)*periodStep)
	}
	for period := maxPeriod; period >= minPeriod; period = shorter(period) {
		lastChange, ok := d.fit(period)
		if !ok || d.evidence(period) < minSearchEvidence {
			continue
		}
		// The middle of the range of periods that fit is the best estimate.
		lowest := period
		for next := shorter(period); next >= minPeriod; next = shorter(next) {
			if _, ok := d.fit(next); !ok {
				break
			}
			lowest = next
		}
		if middle := (period + lowest) / 2; middle != period {
			if p, ok := d.fit(middle); ok {
				period, lastChange = middle, p
			}
		}
		d.period, d.periodError, d.lastExpected, d.periodsSinceCheck = period, 0, lastChange, 0
		d.refine()
		return
	}
}

// fit shifts the bracket of each earlier stored change forward by a whole number of
// periods, onto the latest change, and returns the intersection of all brackets. It
// returns false if the intersection is empty.
func (d *Detector) fit(period time.Duration) (bracket, bool) {
	last := d.changes[len(d.changes)-1]
	lastChange := last
	for _, c := range d.changes[:len(d.changes)-1] {
		distance := lastChange.middle().Sub(c.middle())
		n := (distance + period/2) / period
		var ok bool
		if lastChange, ok = intersect(lastChange, c.add(n*period)); !ok {
			return bracket{}, false
		}
	}
	return lastChange, true
}

// Next returns the time at which the server should be measured next. If that is the
// time of a check (see periodsPerCheck), Next restarts the count of periods until the
// next check. It must therefore be called exactly once for each measurement.
func (d *Detector) Next(now time.Time) time.Time {
	if d.period == 0 {
		return d.lastTime.Add(d.interval(now))
	}
	next := d.lastExpected.add(d.period)
	afterLastExpected := d.lastExpected.to.Add(bracketMargin)
	tooWide := d.lastExpected.length() > targetBracketLength
	beforeNext := next.from.Add(-bracketMargin)
	switch {
	case d.lastTime.Before(afterLastExpected):
		return afterLastExpected
	case (tooWide || d.periodsSinceCheck >= periodsPerCheck) && d.lastTime.Before(beforeNext):
		d.periodsSinceCheck = 0
		return beforeNext
	case tooWide && d.lastTime.Before(next.from):
		// A measurement in the middle of the bracket shows in which half the
		// change happens.
		return next.middle()
	default:
		return next.to.Add(bracketMargin)
	}
}

// interval returns the pause between two measurements while no period is known.
func (d *Detector) interval(now time.Time) time.Duration {
	shortest := searchInterval
	if now.Sub(d.searchStart) > searchDuration {
		shortest = fallbackInterval
	}
	since := d.searchStart
	if len(d.changes) > 0 {
		since = d.changes[0].from
	}
	meanGap := now.Sub(since) / time.Duration(max(len(d.changes), 1))
	return min(max(meanGap/measurementsPerChange, shortest), maxInterval)
}

// ValidUntil returns the time until which the latest measured speed is expected
// to stay valid. It returns false if no period is known.
func (d *Detector) ValidUntil() (time.Time, bool) {
	if d.period == 0 {
		return time.Time{}, false
	}
	if d.lastTime.Before(d.lastExpected.to) {
		return d.lastTime, true // the change may have happened after the measurement
	}
	return d.lastExpected.add(d.period).from, true
}
