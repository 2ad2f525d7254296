package simulation

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Loads are the measured loads, as shares of the capacity without slow targets.
var Loads = []float64{0.5, 0.7, 0.8}

// Report runs all measurements and writes their results to out as tables. This
// takes about a minute with DefaultOptions. It returns the first write error.
func Report(out io.Writer, o Options) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printf := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format, args...) }
	printf("%d targets of %d slots, 2 failure domains, %d VMs, service time 20 ms (exponential); first table: each target is five times slower for 5%% of the time, in phases of %s on average; seeds %v, runs of %s unless stated otherwise\n\n",
		o.Targets, slotsPerTarget, o.VMs, o.SlowPhase, o.Seeds, o.Duration)
	printf("mean p99 in ms, [p99 per seed], number of refused and failed calls, for loads given as shares of the capacity\n")
	printf("variant\t")
	for _, load := range Loads {
		printf("%.1f\t\t", load)
	}
	printf("\n")
	for _, v := range Variants() {
		printf("%s\t", v.Name)
		for _, load := range Loads {
			var sum time.Duration
			var seeds []string
			notAnswered := 0
			for _, seed := range o.Seeds {
				p99, c := o.MeasureTailLatency(v, load, seed)
				sum += p99
				seeds = append(seeds, fmt.Sprintf("%.0f", milliseconds(p99)))
				notAnswered += c.Refused + c.Failed
			}
			printf("%.0f\t%v %d\t", milliseconds(sum)/float64(len(o.Seeds)), seeds, notAnswered)
		}
		printf("\n")
	}
	printf("\ncalls answered within their deadline, as a share of the capacity, at a load of ten times the capacity for %s; queue \"design\" is that of the load balancer\n", o.Duration/10)
	printf("queue\tdeadline\tseed\tshare\tlate\trefused\n")
	for _, deadline := range []time.Duration{callDeadline, 200 * ms, 100 * ms} {
		for _, q := range []struct {
			name string
			kind Baseline
		}{{"design", NoBaseline}, {"plain FIFO", FIFO}} {
			for _, seed := range o.Seeds {
				share, c := o.MeasureOverload(q.kind, deadline, seed)
				printf("%s\t%s\t%d\t%.3f\t%d\t%d\n", q.name, deadline, seed, share, c.Late, c.Refused)
			}
		}
	}
	printf("\nload during a total outage of %s; a call that is refused before its first send counts only as offered\n", o.Duration*3/20)
	printf("retries\tload\tseed\toffered\tsent\tsends per call sent at least once\tsends per offered call\n")
	for _, r := range []struct {
		name  string
		share float64
	}{{"budget of 10 %", 0.1}, {"up to 3 attempts", -1}} { // a negative share means no budget
		for _, load := range []float64{0.1, 0.5} {
			for _, seed := range o.Seeds {
				m, c := o.MeasureOutage(r.share, load, seed)
				printf("%s\t%.1f\t%d\t%d\t%d\t%.3f\t%.3f\n", r.name, load, seed, c.Offered, c.Sends, m, float64(c.Sends)/float64(c.Offered))
			}
		}
	}
	printf("\ntime from a cold start until targets are warm, at a load of 0.8 of the capacity (runs of 10s)\n")
	printf("seed\tfirst target\tall targets\n")
	var steps []ColdStep
	for _, seed := range o.Seeds {
		c := o.MeasureColdStart(seed)
		printf("%d\t%s\t%s\n", seed, c.FirstWarm, c.AllWarm)
		steps = c.Steps
	}
	printf("\nhighest load on any cold target, by its rate limit in calls/s (last seed)\n")
	printf("rate limit\tconcurrency limit\tmost calls in flight\tshortest interval between calls, ms\n")
	for _, s := range steps {
		printf("%.1f\t%d\t%d\t%.1f (limit %.1f)\n", s.Rate, s.Limit, s.MaxInFlight, milliseconds(s.MinInterval), 1000/s.Rate)
	}
	return t.Flush()
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(ms) }
