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

// changeGracePeriod is the time after an accepted change during which new calls
// may still reach a failure domain that was taken out of service, or a target
// that drains. The load balancer guarantees that both receive no new calls after
// a few seconds (G3 and G8 in docs/guarantees.md).
const changeGracePeriod = 7 * time.Second

// Range of the latency histograms in microseconds. They keep 3 significant
// digits.
const (
	histogramMinMicros = 1
	histogramMaxMicros = 120_000_000
)

// Report is the result of a run: the outcomes and latencies that callers saw,
// checked against the records of the targets.
type Report struct {
	Scenario string
	Seed     uint64
	Duration time.Duration
	// Calls counts all calls, including those that callers sent again because of
	// Scenario.ResendUnknown. It is the sum of Answered, NotRun and Unknown.
	Calls, Answered, NotRun, Unknown int
	// WrongAnswer counts HTTP answers that callers received without an error but
	// that are not the answer to their request. WrongByCause counts them by cause:
	// "foreign" is an answer to another request or with a changed body, "truncated"
	// a body that is shorter than the target sent although the HTTP answer looks
	// complete, "unreadable" a body that does not begin with the metadata of a
	// target. CutOff counts answers that ended with a read error, so that the caller
	// detected the truncation; they count as Unknown, not as WrongAnswer.
	WrongAnswer  int
	WrongByCause map[string]int
	CutOff       int
	// RunTwice counts idempotency keys whose non-idempotent request ran more than
	// once.
	RunTwice int
	// OutsideHomeRegions counts observations of requests outside their home
	// regions: one for each arrival of a request at a target, and one for each
	// occurrence of a request id in the bytes on the link between regions. One
	// request can therefore count more than once. BoundIDsOnLink is the number of
	// the occurrences on the link, where only ids with RegionBoundMarker are
	// searched for.
	OutsideHomeRegions int
	BoundIDsOnLink     int
	// LinkBytes holds the bytes that crossed the emulated link between regions, by
	// direction (netem.AToB, netem.BToA). Region A is the one that first connected
	// to the other.
	LinkBytes [2]int64
	// FalseNotRun counts requests that were refused as not run although a target
	// ran them.
	FalseNotRun int
	// ColdOverloads counts calls that exceeded the rate or concurrency that a
	// cold target can handle.
	ColdOverloads int
	// LateRuns counts requests that started in a failure domain more than
	// changeGracePeriod after it was taken out of service. LateDrainRuns counts
	// those that started at a target more than changeGracePeriod after its drain
	// began.
	LateRuns, LateDrainRuns int
	// MaxSendDelay is the longest time between the moment at which a call was due
	// and the moment at which the load test sent it.
	MaxSendDelay time.Duration
	// EndToEnd holds the latencies of answered calls and of calls with unknown
	// outcome. For a call with unknown outcome, at least its deadline is recorded.
	// Added holds the latencies of answered calls minus the service time at the
	// target. Refused holds the latencies of refusals. All three include only calls
	// with Arrival.Measured. Unit: microseconds.
	EndToEnd, Added, Refused *hdrhistogram.Histogram
	Reasons                  map[string]int // calls not answered, by outcome and reason
	Seconds                  []Second
	Targets                  []fakebackend.Record
	Errors                   []error // errors while running events, stopping the system and checking the results
}

// Second holds the outcomes and latencies of the calls that were due within one
// second of the run.
type Second struct {
	Answered, NotRun, Unknown int
	Latency                   *hdrhistogram.Histogram // of answered calls and calls with unknown outcome
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMinMicros, histogramMaxMicros, 3)
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is clamped to the range of the histogram, so RecordValue cannot
	// fail.
	_ = h.RecordValue(min(max(d.Microseconds(), histogramMinMicros), histogramMaxMicros))
}

func newReport(r *runner, duration time.Duration) *Report {
	rep := &Report{
		Scenario: r.scenario.Name, Seed: r.scenario.Seed, Duration: duration,
		WrongByCause: map[string]int{}, Reasons: map[string]int{},
		EndToEnd: newHistogram(), Added: newHistogram(), Refused: newHistogram(),
		Targets: r.system.Records(), Errors: r.errs,
	}
	for i := range r.results {
		rep.addResult(&r.results[i])
	}
	rep.checkGuarantees(r.results, r.changes)
	rep.checkLink(r.system.interRegion)
	return rep
}

func (rep *Report) addResult(r *Result) {
	rep.Calls++
	rep.MaxSendDelay = max(rep.MaxSendDelay, r.SendDelay)
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
	if r.AnswerError != nil {
		rep.WrongAnswer++
		rep.WrongByCause[wrongCause(r.AnswerError)]++
	}
	switch r.Kind {
	case outcome.Answered:
		rep.Answered++
		s.Answered++
	case outcome.NotRun:
		rep.NotRun++
		s.NotRun++
		if r.Arrival.Measured {
			recordLatency(rep.Refused, r.Latency)
		}
		return
	default:
		rep.Unknown++
		s.Unknown++
	}
	latency := r.Latency
	if r.Kind == outcome.Unknown {
		// Without this minimum, calls that fail fast would improve the latency.
		latency = max(latency, time.Duration(r.Arrival.Route.DeadlineMs)*time.Millisecond)
	}
	recordLatency(s.Latency, latency)
	if !r.Arrival.Measured {
		return
	}
	recordLatency(rep.EndToEnd, latency)
	if r.Kind == outcome.Answered && r.ServiceTime > 0 {
		recordLatency(rep.Added, r.Latency-r.ServiceTime)
	}
}

// wrongCause returns the key of err in Report.WrongByCause, where the keys are
// described.
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

// checkGuarantees compares the results of callers with the records of the
// targets, and counts the violations of guarantees.
func (rep *Report) checkGuarantees(results []Result, changes []outOfServiceChange) {
	runsByKey := map[string]int{}
	ran := map[string]bool{}
	for i := range rep.Targets {
		t := &rep.Targets[i]
		rep.OutsideHomeRegions += len(t.OutsideHomeRegions)
		rep.ColdOverloads += t.ColdOverloads
		for j := range t.Runs {
			run := &t.Runs[j]
			ran[run.RequestID] = true
			if run.IdempotencyKey != "" {
				runsByKey[run.IdempotencyKey]++
			}
			if outBeyondGracePeriod(changes, t.FailureDomain, run.Started) {
				rep.LateRuns++
			}
			if run.DrainingFor > changeGracePeriod {
				rep.LateDrainRuns++
			}
		}
	}
	for _, n := range runsByKey {
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

// checkLink counts the bytes recorded on the link between regions, and in them the
// ids of requests that are bound to one home region.
func (rep *Report) checkLink(link *netem.Link) {
	for _, d := range []netem.Direction{netem.AToB, netem.BToA} {
		rep.LinkBytes[d] = link.Bytes(d)
		n, err := link.CountMatches(d, []byte(RegionBoundMarker))
		if err != nil {
			rep.Errors = append(rep.Errors, err)
		}
		rep.BoundIDsOnLink += n
	}
	rep.OutsideHomeRegions += rep.BoundIDsOnLink
}

// outBeyondGracePeriod reports whether, at the given time, a failure domain had
// been out of service for longer than changeGracePeriod.
func outBeyondGracePeriod(changes []outOfServiceChange, domain string, at time.Time) bool {
	out := false
	for _, c := range changes {
		if c.domain != domain {
			continue
		}
		switch {
		case c.out && at.After(c.at.Add(changeGracePeriod)):
			out = true
		case !c.out && at.After(c.at):
			out = false
		}
	}
	return out
}

// Failed reports whether the run violated a guarantee that it can check with
// certainty: no wrong answer, no request run twice, none outside its home regions,
// and none refused as not run that ran.
func (rep *Report) Failed() bool {
	return rep.WrongAnswer > 0 || rep.RunTwice > 0 || rep.OutsideHomeRegions > 0 || rep.FalseNotRun > 0
}

// SummaryLine summarizes the run in one line of key=value pairs for use by
// programs. p99_added_ms is -1 if no call was measured.
func (rep *Report) SummaryLine() string {
	p99Added := -1.0
	if rep.Added.TotalCount() > 0 {
		p99Added = percentileMs(rep.Added, 99)
	}
	return fmt.Sprintf("calls=%d answered=%d refused_not_run=%d unknown=%d wrong_answer=%d run_twice=%d outside_home_regions=%d p99_added_ms=%.2f",
		rep.Calls, rep.Answered, rep.NotRun, rep.Unknown, rep.WrongAnswer, rep.RunTwice, rep.OutsideHomeRegions, p99Added)
}

// percentileMs returns the p-th percentile (0 to 100) of h in ms, or NaN if h is
// empty.
func percentileMs(h *hdrhistogram.Histogram, p float64) float64 {
	if h.TotalCount() == 0 {
		return math.NaN()
	}
	return float64(h.ValueAtQuantile(p)) / 1000
}

// ProbeCost is the cost of probing the targets of one region.
type ProbeCost struct {
	Region        string
	Targets       int
	Probes        int
	Bytes         int64
	MaxPerTargetS float64 // mean rate over the run at the target with the most probes, 1/s
}

// ProbeCosts returns the cost of probing for each region, in the order in which
// the regions occur in rep.Targets.
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
