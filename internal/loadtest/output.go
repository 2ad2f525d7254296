package loadtest

import (
	"fmt"
	"image/color"
	"io"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"

	"github.com/ansel1/merry/v2"
	"github.com/olekukonko/tablewriter"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// WriteTable writes the report to w as a text table. Write errors are ignored.
func (rep *Report) WriteTable(w io.Writer) {
	t := tablewriter.NewWriter(w)
	t.SetHeader([]string{"measure", "value", "unit"})
	t.SetAutoWrapText(false)
	t.SetAlignment(tablewriter.ALIGN_LEFT)
	row := func(name string, value any, unit string) {
		text := fmt.Sprint(value)
		if f, ok := value.(float64); ok {
			text = strconv.FormatFloat(f, 'f', 2, 64)
		}
		t.Append([]string{name, text, unit})
	}
	row("scenario, seed", fmt.Sprintf("%s, %d", rep.Scenario, rep.Seed), "")
	row("duration", rep.Duration.Seconds(), "s")
	row("calls", rep.Calls, "")
	row("answered", rep.Answered, "")
	row("refused, not run", rep.NotRun, "")
	row("unknown", rep.Unknown, "")
	for _, p := range []float64{50, 99, 99.9} {
		row(fmt.Sprintf("end to end p%g", p), percentileMs(rep.EndToEnd, p), "ms")
	}
	for _, p := range []float64{50, 99, 99.9} {
		row(fmt.Sprintf("added latency (end to end minus service time) p%g", p), percentileMs(rep.Added, p), "ms")
	}
	row("refusal p99", percentileMs(rep.Refused, 99), "ms")
	row("calls sent late by the tool, longest", float64(rep.MaxSendDelay.Microseconds())/1000, "ms")
	row("wrong answers", rep.WrongAnswer, "")
	for _, cause := range slices.Sorted(maps.Keys(rep.WrongByCause)) {
		row("  "+cause, rep.WrongByCause[cause], "")
	}
	row("truncated answers detected by callers", rep.CutOff, "")
	row("non-idempotent requests run twice", rep.RunTwice, "")
	row("observations of requests outside their home regions", rep.OutsideHomeRegions, "")
	row("  of these, occurrences of request ids on the link between regions", rep.BoundIDsOnLink, "")
	row("link between regions, A to B", float64(rep.LinkBytes[0])/rep.Duration.Seconds(), "bytes/s")
	row("link between regions, B to A", float64(rep.LinkBytes[1])/rep.Duration.Seconds(), "bytes/s")
	row("refused as not run, but ran", rep.FalseNotRun, "")
	row("overloads of cold targets", rep.ColdOverloads, "")
	row(fmt.Sprintf("requests started more than %v after their failure domain was taken out", changeGracePeriod), rep.LateRuns, "")
	row(fmt.Sprintf("requests started more than %v after the drain of their target began", changeGracePeriod), rep.LateDrainRuns, "")
	for _, c := range rep.ProbeCosts() {
		seconds := rep.Duration.Seconds()
		row("probes in "+c.Region, float64(c.Probes)/seconds/float64(c.Targets), "1/s per target")
		row("  mean rate at the target with the most probes", c.MaxPerTargetS, "1/s")
		row("  bytes", float64(c.Bytes)/seconds, "bytes/s")
	}
	for _, reason := range slices.Sorted(maps.Keys(rep.Reasons)) {
		row(reason, rep.Reasons[reason], "")
	}
	for _, err := range rep.Errors {
		row("error", err, "")
	}
	t.Render()
}

// WriteFiles writes table.txt, seconds.csv, targets.csv, latency.png and
// outcomes.png to dir. It creates dir if it does not exist, and stops at the
// first error.
func (rep *Report) WriteFiles(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return merry.Wrap(err)
	}
	write := func(name string, fn func(io.Writer)) error {
		f, err := os.Create(filepath.Join(dir, name))
		if err != nil {
			return merry.Wrap(err)
		}
		fn(f)
		return merry.Wrap(f.Close())
	}
	if err := write("table.txt", func(w io.Writer) {
		rep.WriteTable(w)
		_, _ = fmt.Fprintln(w, rep.SummaryLine())
	}); err != nil {
		return err
	}
	if err := write("seconds.csv", rep.writeSeconds); err != nil {
		return err
	}
	if err := write("targets.csv", rep.writeTargets); err != nil {
		return err
	}
	if err := rep.plotLatency(filepath.Join(dir, "latency.png")); err != nil {
		return err
	}
	return rep.plotOutcomes(filepath.Join(dir, "outcomes.png"))
}

func (rep *Report) writeSeconds(w io.Writer) {
	_, _ = fmt.Fprintln(w, "second,answered,refused_not_run,unknown,p50_ms,p99_ms")
	for i, s := range rep.Seconds {
		_, _ = fmt.Fprintf(w, "%d,%d,%d,%d,%.3f,%.3f\n", i, s.Answered, s.NotRun, s.Unknown, percentileMs(s.Latency, 50), percentileMs(s.Latency, 99))
	}
}

func (rep *Report) writeTargets(w io.Writer) {
	_, _ = fmt.Fprintln(w, "target,region,failure_domain,runs,sheds,canceled,cold_overloads,cold_high_water,connection_high_water,probes,probe_bytes")
	for i := range rep.Targets {
		t := &rep.Targets[i]
		_, _ = fmt.Fprintf(w, "%s,%s,%s,%d,%d,%d,%d,%d,%d,%d,%d\n", t.Name, t.Region, t.FailureDomain, len(t.Runs), t.Sheds, t.Canceled,
			t.ColdOverloads, t.ColdHighWater, t.ConnectionHighWater, t.Probes, t.ProbeBytes)
	}
}

// Size of the plots.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 5 * vg.Inch
	// Distance of the legend from the right border. With 0, the line samples of
	// the legend touch the border.
	legendInset = vg.Inch / 4
)

// lineColors are the colors of the lines of a plot. Readers with red-green color
// blindness can distinguish them.
var lineColors = []color.Color{
	color.RGBA{R: 0x00, G: 0x72, B: 0xb2, A: 0xff},
	color.RGBA{R: 0xd5, G: 0x5e, B: 0x00, A: 0xff},
	color.RGBA{R: 0x44, G: 0x44, B: 0x44, A: 0xff},
}

func (rep *Report) plotLatency(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, seed %d: latency percentiles (added: end to end minus service time)", rep.Scenario, rep.Seed)
	p.X.Label.Text = "percentile"
	p.X.Max = 3.1 // leaves space for the last label
	p.Y.Label.Text = "ms"
	p.X.Tick.Marker = plot.ConstantTicks{{Value: 0, Label: "0"}, {Value: 1, Label: "90"}, {Value: 2, Label: "99"}, {Value: 3, Label: "99.9"}}
	// The x axis is the number of nines of the percentile, which gives 90 to 99
	// as much width as 0 to 90.
	line := func(q func(float64) float64) plotter.XYs {
		var points plotter.XYs
		for nines := 0.0; nines <= 3.0001; nines += 0.05 {
			points = append(points, plotter.XY{X: nines, Y: q(percentile(nines))})
		}
		return points
	}
	for i, h := range []struct {
		name string
		at   func(float64) float64
	}{
		{"end to end", func(q float64) float64 { return float64(rep.EndToEnd.ValueAtQuantile(q)) / 1000 }},
		{"added", func(q float64) float64 { return float64(rep.Added.ValueAtQuantile(q)) / 1000 }},
	} {
		if err := addLine(p, h.name, line(h.at), i); err != nil {
			return err
		}
	}
	return merry.Wrap(p.Save(plotWidth, plotHeight, path))
}

func (rep *Report) plotOutcomes(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, seed %d: outcomes by the second a call was due", rep.Scenario, rep.Seed)
	p.X.Label.Text = "s"
	p.Y.Label.Text = "calls/s"
	lines := make([]plotter.XYs, 3)
	for i, s := range rep.Seconds {
		for j, n := range []int{s.Answered, s.NotRun, s.Unknown} {
			lines[j] = append(lines[j], plotter.XY{X: float64(i), Y: float64(n)})
		}
	}
	for i, name := range []string{"answered", "refused, not run", "unknown"} {
		if err := addLine(p, name, lines[i], i); err != nil {
			return err
		}
	}
	return merry.Wrap(p.Save(plotWidth, plotHeight, path))
}

func addLine(p *plot.Plot, name string, points plotter.XYs, i int) error {
	if len(points) == 0 {
		return nil
	}
	l, err := plotter.NewLine(points)
	if err != nil {
		return merry.Wrap(err)
	}
	l.Color = lineColors[i]
	p.Add(l)
	p.Legend.Add(name, l)
	p.Legend.Top = true
	p.Legend.XOffs = -legendInset
	return nil
}

// percentile returns the percentile with the given number of nines: 1 gives 90,
// 2 gives 99.
func percentile(nines float64) float64 { return 100 * (1 - math.Pow(10, -nines)) }
