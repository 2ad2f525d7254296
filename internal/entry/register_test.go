package entry

import (
	"testing"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/replica"
)

// Guards against the row of a VM that is not written again after the store came back from a copy, is
// written again and again, or is written by all VMs at the same moment.
func TestRowIsWrittenAgainOnceInAnEra(t *testing.T) {
	const step = 250 * time.Millisecond
	for _, c := range []struct {
		name   string
		era    func(ms int) replica.Era // latest known era
		listed func(ms int) bool        // whether the copy of the table has the row
		jitter float64
		want   []int // times of the writes, in ms
	}{
		{"calm", func(int) replica.Era { return 1 }, func(int) bool { return true }, 0.5, nil},
		{"not in the copy yet", func(int) replica.Era { return 1 }, func(ms int) bool { return ms >= 4000 }, 0.5, nil},
		{"removed", func(int) replica.Era { return 1 }, func(ms int) bool { return ms < 6000 }, 0.5, []int{6000, 11000}},
		{"restored", func(ms int) replica.Era { return replica.Era(1 + min(ms/1000, 1)) }, func(int) bool { return true }, 0.5, []int{1500}},
		{"restored, with another delay", func(ms int) replica.Era { return replica.Era(1 + min(ms/1000, 1)) }, func(int) bool { return true }, 0, []int{1000}},
		{
			"restored without the row, and the copy is late", func(ms int) replica.Era { return replica.Era(1 + min(ms/1000, 1)) },
			func(ms int) bool { return ms < 1000 || ms > 5000 }, 0.5,
			[]int{1500},
		},
		{"two drills", func(ms int) replica.Era { return replica.Era(1 + min(ms/2000, 2)) }, func(int) bool { return true }, 0.5, []int{2500, 4500}},
		{"no eras", func(int) replica.Era { return 0 }, func(int) bool { return true }, 0.5, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			var w rowWrites
			w.confirmed(after(0), c.era(0))
			var got []int
			for ms := 0; ms <= 12000; ms += int(step.Milliseconds()) {
				if w.due(after(ms), c.era(ms), c.listed(ms), c.jitter) {
					got = append(got, ms)
					w.confirmed(after(ms), c.era(ms))
				}
			}
			if len(got) != len(c.want) {
				t.Fatalf("the row is written at %v ms, want %v", got, c.want)
			}
			for i := range got {
				if got[i] != c.want[i] {
					t.Errorf("the row is written at %v ms, want %v", got, c.want)
				}
			}
		})
	}
}
