package loadtest

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/standin/fakebackend"
	"goldcresthinge.example/goldcresthinge/internal/standin/netem"
)

// outGrace is how long after an accepted change new work may still reach a
// failure domain that was taken out, or a target that drains (G3 and G8).
const outGrace = 7 * time.Second

// Range of the histograms in microseconds, with 3 significant digits.
const (
	histogramMin = 1
	histogramMax = 120_000_000
)

// Report is the result of a run.
type Report struct {
	Scenario string
	Seed     uint64
	Duration time.Duration
	// Calls counts all calls, Answered, NotRun and Unknown split them.
	Calls, Answered, NotRun, Unknown int
	// WrongAnswer counts complete answers that were not the right ones, by
	// cause in WrongBy. CutOff counts answers whose end the caller missed and
	// noticed; they are also in Unknown.
	WrongAnswer int
	WrongBy     map[string]int
	CutOff      int
	// RunTwice counts non-idempotent requests that ran more than once.
	RunTwice int
	// OutsideHomeRegions counts requests seen outside their home regions: by
	// targets there, or on the link between regions (LinkBound, the number of
	// times that the id of a bound request crossed).
	OutsideHomeRegions int
	LinkBound          int
	LinkBytes          [2]int64 // per direction, over the relays of the run
	// FalseNotRun counts requests refused as not run that did run.
	FalseNotRun int
	// ColdOverloads counts how often a cold target got more than it bears.
	ColdOverloads int
	// LateRuns counts runs in a failure domain later than outGrace after it
	// was taken out; LateDrainRuns the same for draining targets.
	LateRuns, LateDrainRuns int
	// MaxBehind is the longest time the tool itself sent a call late.
	MaxBehind time.Duration
	// EndToEnd holds answered calls and, charged with at least their deadline,
	// unknown ones. Added holds answered calls without the service time at the
	// target, Refused holds refusals. Measured phases only. Unit: microseconds.
	EndToEnd, Added, Refused *hdrhistogram.Histogram
	Reasons                  map[string]int // of calls not answered
	Seconds                  []Second
	Targets                  []fakebackend.Record
	Errors                   []error // of events and stops
}

// Second is what callers saw of the calls due within one second.
type Second struct {
	Answered, NotRun, Unknown int
	Latency                   *hdrhistogram.Histogram // answered and unknown
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, 3)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// In range by the clamp, so it cannot fail.
	_ = h.RecordValue(min(max(d.Microseconds(), histogramMin), histogramMax))
}

func newReport(r *runner, duration time.Duration) *Report {
	rep := &Report{
		Scenario: r.scenario.Name, Seed: r.scenario.Seed, Duration: duration,
		WrongBy: map[string]int{}, Reasons: map[string]int{},
		EndToEnd: newHistogram(), Added: newHistogram(), Refused: newHistogram(),
		Targets: r.system.Records(), Errors: r.errs,
	}
	for i := range r.results {
		rep.addResult(&r.results[i])
	}
	rep.check(r.results, r.changes)
	rep.checkLink(r.system.link)
	return rep
}

func (rep *Report) addResult(r *Result) {
	rep.Calls++
	rep.MaxBehind = max(rep.MaxBehind, r.Behind)
	second := int(r.Scheduled / time.Second)
	for len(rep.Seconds) <= second {
		rep.Seconds = append(rep.Seconds, Second{Latency: newHistogram()})
	}
	s := &rep.Seconds[second]
	if r.Kind != outcome.Answered {
		rep.Reasons[fmt.Sprintf("%s %s", r.Kind, r.Reason)]++
	}
	if r.CutOff {
		rep.CutOff++
	}
	if r.Wrong != nil {
		rep.WrongAnswer++
		rep.WrongBy[wrongCause(r.Wrong)]++
	}
	switch r.Kind {
	case outcome.Answered:
		rep.Answered++
		s.Answered++
	case outcome.NotRun:
		rep.NotRun++
		s.NotRun++
		if r.Arrival.Measured {
			record(rep.Refused, r.Latency)
		}
		return
	default:
		rep.Unknown++
		s.Unknown++
	}
	latency := r.Latency
	if r.Kind == outcome.Unknown {
		// A call that fails fast must not look like a fast call.
		latency = max(latency, time.Duration(r.Arrival.Route.DeadlineMs)*time.Millisecond)
	}
	record(s.Latency, latency)
	if !r.Arrival.Measured {
		return
	}
	record(rep.EndToEnd, latency)
	if r.Kind == outcome.Answered && r.Service > 0 {
		record(rep.Added, r.Latency-r.Service)
	}
}

func wrongCause(err error) string {
	switch {
	case errors.Is(err, fakebackend.ErrRequestMismatch):
		return "foreign"
	case errors.Is(err, fakebackend.ErrTruncated):
		return "truncated"
	default:
		return "unreadable"
	}
}

// check compares what callers were told with what targets recorded.
func (rep *Report) check(results []Result, changes []change) {
	byKey := map[string]int{}
	ran := map[string]bool{}
	for i := range rep.Targets {
		t := &rep.Targets[i]
		rep.OutsideHomeRegions += len(t.OutsideHomeRegions)
		rep.ColdOverloads += t.ColdOverloads
		for j := range t.Runs {
			run := &t.Runs[j]
			ran[run.RequestID] = true
			if run.IdempotencyKey != "" {
				byKey[run.IdempotencyKey]++
			}
			if isOut(changes, t.FailureDomain, run.Started) {
				rep.LateRuns++
			}
			if run.DrainingFor > outGrace {
				rep.LateDrainRuns++
			}
		}
	}
	for _, n := range byKey {
		if n > 1 {
			rep.RunTwice++
		}
	}
	for i := range results {
		if results[i].Kind == outcome.NotRun && ran[results[i].ID] {
			rep.FalseNotRun++
		}
	}
}

// checkLink searches the recorded bytes of the link between regions.
func (rep *Report) checkLink(link *netem.Link) {
	for _, d := range []netem.Direction{netem.AToB, netem.BToA} {
		rep.LinkBytes[d] = link.Bytes(d)
		n, err := link.CountMatches(d, []byte(BoundMark))
		if err != nil {
			rep.Errors = append(rep.Errors, err)
		}
		rep.LinkBound += n
	}
	rep.OutsideHomeRegions += rep.LinkBound
}

// isOut reports whether a failure domain had been out for longer than outGrace.
func isOut(changes []change, domain string, at time.Time) bool {
	out := false
	for _, c := range changes {
		if c.domain != domain {
			continue
		}
		switch {
		case c.out && at.After(c.at.Add(outGrace)):
			out = true
		case !c.out && at.After(c.at):
			out = false
		}
	}
	return out
}

// Failed reports whether a guarantee did not hold that the run can decide.
func (rep *Report) Failed() bool {
	return rep.WrongAnswer > 0 || rep.RunTwice > 0 || rep.OutsideHomeRegions > 0 || rep.FalseNotRun > 0
}

// LastLine sums the run up in one line for programs to read. The added latency
// is -1 when no call was measured.
func (rep *Report) LastLine() string {
	added := -1.0
	if rep.Added.TotalCount() > 0 {
		added = quantile(rep.Added, 99)
	}
	return fmt.Sprintf("calls=%d answered=%d refused_not_run=%d unknown=%d wrong_answer=%d run_twice=%d outside_home_regions=%d p99_added_ms=%.2f",
		rep.Calls, rep.Answered, rep.NotRun, rep.Unknown, rep.WrongAnswer, rep.RunTwice, rep.OutsideHomeRegions, added)
}

// quantile returns a quantile in ms, or NaN without values.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	if h.TotalCount() == 0 {
		return math.NaN()
	}
	return float64(h.ValueAtQuantile(q)) / 1000
}

// ProbeCost is the cost of measuring of a group of targets.
type ProbeCost struct {
	Region        string
	Targets       int
	Probes        int
	Bytes         int64
	MaxPerTargetS float64 // highest rate of probes of one target, 1/s
}

// ProbeCosts returns the cost of measuring per region.
func (rep *Report) ProbeCosts() []ProbeCost {
	var costs []ProbeCost
	for _, t := range rep.Targets {
		i := slices.IndexFunc(costs, func(c ProbeCost) bool { return c.Region == t.Region })
		if i < 0 {
			i = len(costs)
			costs = append(costs, ProbeCost{Region: t.Region})
		}
		c := &costs[i]
		c.Targets++
		c.Probes += t.Probes
		c.Bytes += t.ProbeBytes
		c.MaxPerTargetS = max(c.MaxPerTargetS, float64(t.Probes)/rep.Duration.Seconds())
	}
	return costs
}
