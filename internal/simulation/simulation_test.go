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
	for _, v := range simulation.Variants() {
		p99A, countsA := o.MeasureTailLatency(v, 0.8, 7)
		p99B, countsB := o.MeasureTailLatency(v, 0.8, 7)
		g.Expect(p99A).To(Equal(p99B), v.Name)
		g.Expect(countsA).To(Equal(countsB), v.Name)
	}
}
