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
	printf("%d targets of %d slots, 2 failure domains, %d VMs, work 20 ms (exponential), slowed fivefold 5%% of the time in phases of %s, seeds %v, %s each\n\n",
		o.Targets, slotsPerTarget, o.VMs, o.SlowPhase, o.Seeds, o.Duration)
	printf("p99 in ms (per seed; refused and failed calls)\n")
	printf("design\t")
	for _, load := range Loads {
		printf("%.1f\t\t", load)
	}
	printf("\n")
	for _, d := range Designs() {
		printf("%s\t", d.Name)
		for _, load := range Loads {
			var sum time.Duration
			var seeds []string
			notAnswered := 0
			for _, seed := range o.Seeds {
				p99, c := o.MeasureTailLatency(d, load, seed)
				sum += p99
				seeds = append(seeds, fmt.Sprintf("%.0f", milliseconds(p99)))
				notAnswered += c.Refused + c.Failed
			}
			printf("%.0f\t%v %d\t", milliseconds(sum)/float64(len(o.Seeds)), seeds, notAnswered)
		}
		printf("\n")
	}
	printf("\nuseful share of the capacity at ten times the capacity for %s\n", o.Duration/10)
	printf("queue\tdeadline\tseed\tshare\tlate\trefused\n")
	for _, limit := range []time.Duration{callDeadline, 200 * ms, 100 * ms} {
		for _, q := range []struct {
			name string
			kind Baseline
		}{{"design", NoBaseline}, {"plain FIFO", FIFO}} {
			for _, seed := range o.Seeds {
				share, c := o.MeasureOverload(q.kind, limit, seed)
				printf("%s\t%s\t%d\t%.3f\t%d\t%d\n", q.name, limit, seed, share, c.Late, c.Refused)
			}
		}
	}
	printf("\nload during a total outage of %s\n", o.Duration*3/20)
	printf("retries\tload\tseed\toffered\tsent\tsends per first send\tsends per offered call\n")
	for _, r := range []struct {
		name  string
		share float64
	}{{"budget of 10 %", 0.1}, {"up to 3 attempts", -1}} {
		for _, load := range []float64{0.1, 0.5} {
			for _, seed := range o.Seeds {
				m, c := o.MeasureOutage(r.share, load, seed)
				printf("%s\t%.1f\t%d\t%d\t%d\t%.3f\t%.3f\n", r.name, load, seed, c.Offered, c.Sends, m, float64(c.Sends)/float64(c.Offered))
			}
		}
	}
	printf("\nfrom cold to full capacity at a load of 0.8\n")
	printf("seed\tfirst target\tall targets\n")
	var steps []ColdStep
	for _, seed := range o.Seeds {
		c := o.MeasureColdStart(seed)
		printf("%d\t%s\t%s\n", seed, c.FirstWarm, c.AllWarm)
		steps = c.Steps
	}
	printf("\nmost work of a cold target (last seed)\n")
	printf("rate limit\tconcurrency limit\tmost in flight\tleast gap, ms\n")
	for _, s := range steps {
		printf("%.1f\t%d\t%d\t%.1f (limit %.1f)\n", s.Rate, s.Limit, s.MaxInFlight, milliseconds(s.MinInterval), 1000/s.Rate)
	}
	return t.Flush()
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(ms) }
