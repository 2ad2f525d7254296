package slowstart_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/internal/slowstart"
)

const ms = time.Millisecond

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newLimiter(slots int) *slowstart.Limiter {
	return slowstart.New(t0, slowstart.Config{Slots: slots, ColdRate: 10, GoodLatency: 500 * ms}, slowstart.FirstSeen)
}

// runCalls makes n calls of 20 ms, one after the other, and returns when the
// next one would start.
func runCalls(s *slowstart.Limiter, from time.Time, n int) time.Time {
	for range n {
		s.CallStarted(from)
		s.Done(from.Add(20*ms), from, 20*ms, true)
		from = from.Add(100 * ms)
	}
	return from
}

// Guards against a ramp that does not grow by rateGrowth per step, raises the
// limit at a wrong step, or takes a wrong number of responses per step.
func TestRampRatesAndLimits(t *testing.T) {
	g := NewWithT(t)
	s := newLimiter(2)
	g.Expect(s.Ready()).To(Equal(t0.Add(100 * ms)))
	now := t0
	for step := range 8 {
		g.Expect(s.Cause()).To(Equal(slowstart.FirstSeen))
		g.Expect(s.Limit()).To(Equal([]int{1, 1, 1, 1, 2, 2, 2, 2}[step]), "step %d", step)
		g.Expect(s.Rate()).To(BeNumerically("~", []float64{10, 15, 22.5, 33.75, 50.625, 75.9375, 113.90625, 170.859375}[step], 1e-9))
		now = runCalls(s, now, 8)
	}
	g.Expect(s.Cause()).To(Equal(slowstart.Warm))
	g.Expect(s.Rate()).To(BeZero())
}

// Guards against calls that started before a restart and advance the new ramp.
func TestCallsFromBeforeTheRestartDoNotCount(t *testing.T) {
	g := NewWithT(t)
	s := newLimiter(2)
	now := runCalls(s, t0, 60)
	s.Restart(now, slowstart.ConnectionLost)
	for range 20 {
		s.Done(now.Add(20*ms), now.Add(-ms), 20*ms, true)
	}
	g.Expect(s.Rate()).To(Equal(10.0))
	g.Expect(s.Ready()).To(BeTemporally(">", now.Add(-100*ms)))
}

// Guards against a sudden rise to limits that the target has not run at when
// the half cap is lifted.
func TestRampStopsAtHalfCap(t *testing.T) {
	g := NewWithT(t)
	s := newLimiter(4)
	s.SetHalfCap(true)
	now := runCalls(s, t0, 200)
	g.Expect(s.Limit()).To(Equal(2))
	s.SetHalfCap(false)
	g.Expect(s.Limit()).To(Equal(2))
	runCalls(s, now, 8)
	g.Expect(s.Limit()).To(Equal(3))
}

// Guards against ramp steps, and calls to cold targets, in the reduced mode.
func TestRampDoesNotAdvanceInReducedMode(t *testing.T) {
	g := NewWithT(t)
	s := newLimiter(2)
	s.SetReduced(true)
	g.Expect(s.Limit()).To(BeZero())
	runCalls(s, t0, 100)
	s.SetReduced(false)
	g.Expect(s.Rate()).To(Equal(10.0))
}

// Guards against missing a sudden slowdown, and against a restart of the ramp
// because of single slow calls.
func TestSlowdown(t *testing.T) {
	g := NewWithT(t)
	s := newLimiter(2)
	now := runCalls(s, t0, 64)
	for range 5 {
		g.Expect(s.Done(now, now, 500*ms, true)).To(BeFalse())
		g.Expect(s.Done(now, now, 500*ms, true)).To(BeFalse())
		g.Expect(s.Done(now, now, 20*ms, true)).To(BeFalse())
	}
	g.Expect(s.Cause()).To(Equal(slowstart.Warm))
	s.Done(now, now, 500*ms, true)
	s.Done(now, now, 500*ms, true)
	g.Expect(s.Done(now, now, 500*ms, true)).To(BeTrue())
	g.Expect(s.Cause()).To(Equal(slowstart.Slowdown))
}

// Guards against a restart of the ramp because of one short stall that slows
// several concurrent calls down.
func TestOverlappingSlowCallsCountOnce(t *testing.T) {
	g := NewWithT(t)
	s := newLimiter(4)
	now := runCalls(s, t0, 64)
	for i := range 4 {
		end := now.Add(500*ms + time.Duration(i)*ms)
		g.Expect(s.Done(end, now, 500*ms, true)).To(BeFalse())
	}
	now = now.Add(600 * ms)
	s.Done(now.Add(500*ms), now, 500*ms, true)
	now = now.Add(600 * ms)
	g.Expect(s.Done(now.Add(500*ms), now, 500*ms, true)).To(BeTrue())
}

// Guards against load shedding that lowers the limit below one, or without a
// later recovery.
func TestLimitRecoversAfterShedding(t *testing.T) {
	g := NewWithT(t)
	s := newLimiter(3)
	now := runCalls(s, t0, 64)
	g.Expect(s.Limit()).To(Equal(3))
	for range 5 {
		s.LowerLimit()
	}
	g.Expect(s.Limit()).To(Equal(1))
	now = runCalls(s, now, 8)
	g.Expect(s.Limit()).To(Equal(2))
	runCalls(s, now, 8)
	g.Expect(s.Limit()).To(Equal(3))
}

// Guards against a handover that raises the limit or the rate of a target.
func TestResumeKeepsTheRampPosition(t *testing.T) {
	g := NewWithT(t)
	cfg := slowstart.Config{Slots: 3, ColdRate: 10, GoodLatency: 500 * ms}
	s := newLimiter(3)
	now := t0
	for range 9 {
		r := slowstart.Resume(now, cfg, s.Rate(), s.UncappedLimit(), s.Baseline())
		g.Expect(r.Rate()).To(BeNumerically("~", s.Rate(), 1e-9))
		g.Expect(r.Limit()).To(Equal(s.Limit()))
		now = runCalls(s, now, 8)
	}
	g.Expect(slowstart.Resume(now, cfg, 0, 1, 0).Limit()).To(Equal(1), "a limit lowered by shedding")
}
