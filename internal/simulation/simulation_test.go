package simulation_test

import (
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/internal/simulation"
)

// TestReport logs the tables of all measurements. With the environment variable
// EXPERIMENT=full it runs the measurements at full length. Otherwise it uses one
// seed and 2 s per run, which guards against a report that fails.
func TestReport(t *testing.T) {
	g := NewWithT(t)
	o := simulation.DefaultOptions()
	if os.Getenv("EXPERIMENT") != "full" {
		o.Seeds, o.Duration = o.Seeds[:1], 2*time.Second
	}
	var out strings.Builder
	g.Expect(simulation.Report(&out, o)).To(Succeed())
	t.Log("\n" + out.String())
}

// Guards against runs whose result depends on anything but configuration and seed,
// such as the iteration order of maps.
func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	g := NewWithT(t)
	o := simulation.DefaultOptions()
	o.Duration = time.Second
	for _, d := range simulation.Designs() {
		a, ca := o.MeasureTailLatency(d, 0.8, 7)
		b, cb := o.MeasureTailLatency(d, 0.8, 7)
		g.Expect(a).To(Equal(b), d.Name)
		g.Expect(ca).To(Equal(cb), d.Name)
	}
}
