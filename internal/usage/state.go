package usage

import (
	"math"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/counts"
	"goldcresthinge.example/goldcresthinge/internal/team"
)

const (
	// burstMargin is the part of Bounds.Overshoot, burstSlack that of Bounds.Slack by which VMs exceed a
	// limit on purpose for a short time, and windowMargin the part of both for a whole window. They
	// keep VMs from refusing a request that lies within the limit because of requests that were counted
	// late. The rest is for what VMs admit before they know of each other's requests.
	burstMargin  = 0.5
	burstSlack   = 0.2
	windowMargin = 0.15
	// minReportDelay is the shortest time for which requests that a VM has admitted may be unknown to
	// others.
	minReportDelay = 300 * time.Millisecond
	// freshCounts is the age up to which counts of other VMs are as recent as they are with all VMs in
	// contact. Older ones may show that the contact to some VMs is lost. From staleCounts on, a VM
	// uses no more than its own part of a limit.
	freshCounts = 500 * time.Millisecond
	staleCounts = 800 * time.Millisecond
	// growthNoise is the number of standard deviations by which a number of requests must exceed an
	// earlier one to count as growth.
	growthNoise = 2
	// demandMargin multiplies what other VMs are expected to admit before this VM knows.
	demandMargin = 1.2
	// minShare is the smallest share of this VM from which the time until there is room is computed.
	minShare = 0.01
	// minRetryAfter and maxRetryAfter bound Decision.RetryAfter.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// limit is the usage limit of a team with the margins.
type limit struct {
	second float64 // requests within a second
	window float64 // requests within Bounds.Window
	burst  float64 // requests at once, after a pause
	rate   float64 // requests per second for longer than a window
}

func limitOf(t *team.Team, b Bounds) limit {
	inWindow := t.RatePerSecond*b.Window.Seconds() + t.Burst
	l := limit{
		window: inWindow*(1+windowMargin*b.Overshoot) + windowMargin*b.Slack,
		burst:  t.Burst*(1+burstMargin*b.Overshoot) + burstSlack*b.Slack,
	}
	l.second = t.RatePerSecond*(1+burstMargin*b.Overshoot) + l.burst
	l.rate = l.window / b.Window.Seconds()
	return l
}

// teamState is the use of one team's limit.
type teamState struct {
	subject counts.Subject
	bounds  Bounds
	limit   limit
	// former is a higher limit that was in force until less than a window ago.
	former      limit
	formerUntil time.Time
	ring        *ring // requests at this VM
	askedAt     time.Time

	others     counts.Counts // of the other VMs, at othersAt
	othersAt   time.Time
	othersTime cumulative // requests that other VMs have admitted, over time
	// lostUse is what other VMs had admitted within the window when the contact to some of them was
	// lost. It counts until lostUntil.
	lostUse   float64
	lostUntil time.Time

	// level is the number of requests that all VMs in contact may admit at once, as in a token
	// bucket. It is negative if VMs have admitted too many before they knew of each other's.
	level   float64
	levelAt time.Time

	// rounding is added to this VM's share of the room before it is rounded down. It is random, so
	// that VMs whose share is a fraction of a request admit that fraction on average.
	rounding   float64
	roundingAt time.Time
}

func (l *Limiter) newState(t *team.Team, b Bounds, now time.Time) *teamState {
	s := &teamState{
		subject: counts.Subject{Kind: counts.Team, Name: t.Name}, bounds: b, limit: limitOf(t, b), ring: newRing(b.Window, now),
		levelAt: now, rounding: l.cfg.Rand(), roundingAt: now,
	}
	s.others, s.othersAt = l.cfg.Counts.Others(s.subject, now), now
	s.othersTime.reset(now, float64(s.others.Values.At(AdmittedIndex)))
	used := float64(s.others.Values.At(WindowIndex)) + s.ownInWindow(l, now)
	s.level = min(s.limit.window-used, s.limit.burst) * l.part()
	if uptime := now.Sub(l.started); l.cfg.FormerProcess && uptime < b.Window {
		// The earlier process may just have used up the burst.
		s.level = min(s.level, s.limit.rate*l.part()*uptime.Seconds())
	}
	return s
}

// setLimit applies the limit of the present configuration. A lower one binds for a whole window only
// once that window has begun.
func (s *teamState) setLimit(next limit, b Bounds, now time.Time) {
	s.askedAt, s.bounds = now, b
	if next == s.limit {
		return
	}
	if next.window < s.limit.window {
		s.former, s.formerUntil = s.maxLimit(now), now.Add(b.Window)
	}
	s.level = min(s.level+max(next.burst-s.limit.burst, 0), next.burst)
	s.limit = next
}

// maxLimit returns the limit that binds now.
func (s *teamState) maxLimit(now time.Time) limit {
	if now.Before(s.formerUntil) {
		return limit{
			second: max(s.limit.second, s.former.second), window: max(s.limit.window, s.former.window),
			burst: max(s.limit.burst, s.former.burst), rate: max(s.limit.rate, s.former.rate),
		}
	}
	return s.limit
}

// ownInWindow returns what this VM has admitted within the window, including what an earlier process
// of it may have.
func (s *teamState) ownInWindow(l *Limiter, now time.Time) float64 {
	return float64(s.ring.admitted(now, s.bounds.Window)) + l.formerUse(s.limit, s.bounds.Window, now)
}

// contactLost divides the level among the VMs that are still in contact and the others, and keeps the
// counts of the others: their requests did run.
func (s *teamState) contactLost(now time.Time, kept float64) {
	s.level = min(s.level, s.level*kept)
	if used := float64(s.others.Values.At(WindowIndex)); used > 0 {
		s.lostUse, s.lostUntil = used, now.Add(s.bounds.Window)
	}
}

// usedElsewhere returns what other VMs have admitted within the window.
func (s *teamState) usedElsewhere(now time.Time) float64 {
	used := float64(s.others.Values.At(WindowIndex))
	if now.Before(s.lostUntil) {
		return max(used, s.lostUse)
	}
	return used
}

// update takes over the counts of other VMs.
func (s *teamState) update(l *Limiter, now time.Time) {
	s.others, s.othersAt = l.cfg.Counts.Others(s.subject, now), now
	s.refill(l, now)
	s.level -= s.othersTime.add(now, float64(s.others.Values.At(AdmittedIndex)))
	s.level = min(s.level, s.limit.burst*l.part())
}

// refill raises the level by what has become available since the latest call.
func (s *teamState) refill(l *Limiter, now time.Time) {
	s.level = min(s.level+s.limit.rate*l.part()*now.Sub(s.levelAt).Seconds(), s.limit.burst*l.part())
	s.levelAt = now
}

// othersAge returns the age of what is known of other VMs.
func (s *teamState) othersAge(now time.Time) time.Duration { return now.Sub(s.othersAt) + s.others.Age }

// room is the room within a limit.
type room struct {
	// requests is the number that all VMs in contact may admit within the delay until they know of
	// each other's requests.
	requests float64
	recent   float64       // requests that this VM has admitted within the delay
	expected float64       // requests that callers send to other VMs within the delay
	share    float64       // part that this VM receives of what callers ask
	own      float64       // requests that this VM may admit if there is too little room for all
	delay    time.Duration // for which the share is rounded in the same way
}

// room returns the least room of three: within a second, within the window and in the token bucket.
func (s *teamState) room(l *Limiter, now time.Time) room {
	s.refill(l, now)
	delay := max(s.othersAge(now), minReportDelay)
	recent := float64(s.ring.admitted(now, delay))
	part, limit := l.part(), s.maxLimit(now)
	ownSecond := max(float64(s.ring.admitted(now, time.Second))-recent, 0)
	ownWindow := max(s.ownInWindow(l, now)-recent, 0)
	inSecond := part*limit.second - float64(s.others.Values.At(AdmittedIndex)) - ownSecond
	inWindow := part*limit.window - float64(s.others.Values.At(WindowIndex)) - ownWindow
	ofAll := limit.window - s.usedElsewhere(now) - ownWindow
	asked, elsewhere := float64(s.ring.asked(now, askedSpan)), float64(s.others.Values.At(AskedIndex))
	// What callers ask of other VMs is known late. It may have grown meanwhile as it has here. Where
	// little was asked before, callers may have come to all VMs alike.
	before := float64(s.ring.askedBefore(now, delay, askedSpan))
	if sure := asked - growthNoise*math.Sqrt(asked); sure > before+growthNoise*math.Sqrt(before)+1 {
		elsewhere = max(elsewhere, sure*(elsewhere+float64(l.group.Alive-1))/(before+1))
	}
	r := room{
		requests: min(inSecond, inWindow, ofAll, s.level+recent), recent: recent, share: asked / max(asked+elsewhere, 1),
		expected: demandMargin * elsewhere * delay.Seconds() / askedSpan.Seconds(), delay: s.roundingSpan(part, delay),
	}
	r.own = r.share * r.requests
	if delay <= freshCounts {
		return r
	}
	// The older the counts, the more this VM relies on its own part of the limit alone.
	single := 1 / float64(max(l.group.Registered, 1))
	alone := min(single*limit.window-ownWindow, ofAll, single*max(s.level+recent, 0))
	weight := max(float64(staleCounts-delay)/float64(staleCounts-freshCounts), 0)
	r.own = min(weight*r.own+(1-weight)*max(alone, 0), r.requests)
	r.requests *= weight
	return r
}

// roundingSpan returns the time for which a share is rounded in the same way. A share of the window must
// not be rounded anew while the window lasts: the highest of the results would count.
func (s *teamState) roundingSpan(part float64, delay time.Duration) time.Duration {
	if part < 1 {
		return s.bounds.Window
	}
	return delay
}

func (s *teamState) decide(l *Limiter, now time.Time) Decision {
	r := s.room(l, now)
	d := Decision{
		Limit: s.maxLimit(now).window * l.part(), Used: s.usedElsewhere(now) + s.ownInWindow(l, now),
		Age: s.othersAge(now), Group: l.group, team: s.subject.Name,
	}
	if now.Sub(s.roundingAt) >= r.delay {
		s.rounding, s.roundingAt = l.cfg.Rand(), now
	}
	// VMs divide the room only if there is too little for what callers ask of all of them.
	enough := r.requests-r.recent >= 1+r.expected
	if enough || r.recent+1 <= math.Floor(r.own+s.rounding) {
		d.Admitted, d.slot = true, s.ring.index(now)
		s.ring.at(now).admitted++
		s.level--
		return d
	}
	d.Reason = OverLimit
	if l.part() < 1 {
		d.Reason = OverShare
	}
	d.RetryAfter = s.retryAfter(l, r)
	return d
}

// retryAfter returns the time until a debt is repaid and there is room for one more request of this
// VM's callers. It is random up to twice that, so that callers that were refused together do not come
// back together.
func (s *teamState) retryAfter(l *Limiter, r room) time.Duration {
	perSecond := l.part() * s.limit.rate
	missing := max(-r.requests, 0) + 1/max(r.share, minShare)
	if perSecond <= 0 || missing > perSecond*maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	wait := max(time.Duration(missing/perSecond*float64(time.Second)), minRetryAfter)
	return min(wait+time.Duration(l.cfg.Rand()*float64(wait)), maxRetryAfter)
}
