package simulation

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Loads are the measured shares of the nominal slots.
var Loads = []float64{0.5, 0.7, 0.8}

// Report runs all measurements and writes tables. The runs take about a minute
// with DefaultOptions. It returns the first error of out.
func Report(out io.Writer, o Options) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format, args...) }
	p("%d targets of %d slots, 2 failure domains, %d VMs, work 20 ms (exponential), slowed fivefold 5%% of the time in phases of %s, seeds %v, %s each\n\n",
		o.Targets, slots, o.VMs, o.SlowPhase, o.Seeds, o.Duration)
	p("p99 in ms (per seed; refused and failed calls)\n")
	p("design\t")
	for _, load := range Loads {
		p("%.1f\t\t", load)
	}
	p("\n")
	for _, d := range Designs() {
		p("%s\t", d.Name)
		for _, load := range Loads {
			var sum time.Duration
			var seeds []string
			lost := 0
			for _, seed := range o.Seeds {
				p99, c := o.TailLatency(d, load, seed)
				sum += p99
				seeds = append(seeds, fmt.Sprintf("%.0f", msOf(p99)))
				lost += c.Refused + c.Failed
			}
			p("%.0f\t%v %d\t", msOf(sum)/float64(len(o.Seeds)), seeds, lost)
		}
		p("\n")
	}
	p("\nuseful share of the capacity at ten times the capacity for %s\n", o.Duration/10)
	p("queue\tdeadline\tseed\tshare\tlate\trefused\n")
	for _, limit := range []time.Duration{deadline, 200 * ms, 100 * ms} {
		for _, q := range []struct {
			name string
			kind Baseline
		}{{"design", None}, {"plain FIFO", FIFO}} {
			for _, seed := range o.Seeds {
				share, c := o.Overload(q.kind, limit, seed)
				p("%s\t%s\t%d\t%.3f\t%d\t%d\n", q.name, limit, seed, share, c.Late, c.Refused)
			}
		}
	}
	p("\nload during a total outage of %s\n", o.Duration*3/20)
	p("retries\tload\tseed\toffered\tsent\tsends per first send\tsends per offered call\n")
	for _, r := range []struct {
		name  string
		share float64
	}{{"budget of 10 %", 0.1}, {"up to 3 attempts", -1}} {
		for _, load := range []float64{0.1, 0.5} {
			for _, seed := range o.Seeds {
				m, c := o.Outage(r.share, load, seed)
				p("%s\t%.1f\t%d\t%d\t%d\t%.3f\t%.3f\n", r.name, load, seed, c.Offered, c.Sends, m, float64(c.Sends)/float64(c.Offered))
			}
		}
	}
	p("\nfrom cold to full capacity at a load of 0.8\n")
	p("seed\tfirst target\tall targets\n")
	var steps []ColdStep
	for _, seed := range o.Seeds {
		c := o.Cold(seed)
		p("%d\t%s\t%s\n", seed, c.FirstWarm, c.AllWarm)
		steps = c.Steps
	}
	p("\nmost work of a cold target (last seed)\n")
	p("rate limit\tconcurrency limit\tmost in flight\tleast gap, ms\n")
	for _, s := range steps {
		p("%.1f\t%d\t%d\t%.1f (limit %.1f)\n", s.Rate, s.Limit, s.MostInFlight, msOf(s.LeastGap), 1000/s.Rate)
	}
	return t.Flush()
}

func msOf(d time.Duration) float64 { return float64(d) / float64(ms) }
