package simulation_test

import (
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/internal/simulation"
)

// TestReport writes the tables of all measurements. EXPERIMENT=full runs the
// full length; otherwise short runs guard against a report that fails.
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

// Guards against runs that depend on anything but their seed.
func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	g := NewWithT(t)
	o := simulation.DefaultOptions()
	o.Duration = time.Second
	for _, d := range simulation.Designs() {
		a, ca := o.TailLatency(d, 0.8, 7)
		b, cb := o.TailLatency(d, 0.8, 7)
		g.Expect(a).To(Equal(b), d.Name)
		g.Expect(ca).To(Equal(cb), d.Name)
	}
}
