package lease

import (
	"testing"
	"time"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// Guards against quorums that do not intersect. A holder in full or reduced
// mode and its successor must depend on at least one common witness; otherwise,
// the successor could start, or lift the half cap, while the holder still
// serves.
func TestQuorumsIntersect(t *testing.T) {
	for n := 1; n <= 50; n++ {
		if fullQuorum(n)+startQuorum(n) <= n {
			t.Errorf("%d witnesses: full mode with %d, start of pools with %d", n, fullQuorum(n), startQuorum(n))
		}
		if reducedQuorum(n)+halfCapLiftQuorum(n) <= n {
			t.Errorf("%d witnesses: reduced mode with %d, lift of the half cap with %d", n, reducedQuorum(n), halfCapLiftQuorum(n))
		}
		if startQuorum(n) > halfCapLiftQuorum(n) || reducedQuorum(n) > fullQuorum(n) {
			t.Errorf("%d witnesses: a start of pools needs more of them than the lift of the half cap, or reduced mode more than full mode", n)
		}
	}
}

// Guards against a mode that counts only the witnesses of the last answered
// renewal, while the lease row may hold the witnesses of a later renewal whose
// answer was lost.
func TestModeTimesCountEveryPossibleWitnessSet(t *testing.T) {
	c := newCore(vm.Info{ID: "a1", Region: "r"}, simStart, 1, func() uint64 { return 1 }, func() *inventory.Snapshot { return nil })
	c.own.incarnation, c.own.renewed, c.own.witnesses = 1, simStart, []uint64{1, 2, 3}
	now := simStart.Add(time.Minute)
	for _, w := range []uint64{2, 3} {
		c.promisesReceived[w], c.supportReceived[w] = now, now
	}
	if m := c.computeModeTimes().mode(now); m != ModeFull {
		t.Errorf("mode %v with promises and answers of all witnesses, want full", m)
	}
	c.own.pendingWrites = []leaseWrite{{row: &siblingpb.LeaseRow{Witnesses: []uint64{1, 2, 3, 4, 5}}}}
	if m := c.computeModeTimes().mode(now); m != ModeReduced {
		t.Errorf("mode %v with 3 of 5 witnesses of a lost renewal, want reduced", m)
	}
	c.own.pendingWrites[0].row.Witnesses = []uint64{1, 4, 5, 6, 7}
	if m := c.computeModeTimes().mode(now); m != ModeLost {
		t.Errorf("mode %v without a witness of a lost renewal, want lost", m)
	}
}

// Guards against modes that last longer than the answers of the witnesses on
// which they depend.
func TestModeEndsWithWitnessAnswers(t *testing.T) {
	w := &modeTimes{renewed: simStart, full: simStart.Add(2 * time.Second), reduced: simStart.Add(3 * time.Second)}
	for _, tt := range []struct {
		at   time.Duration
		want Mode
	}{
		{0, ModeValid},
		{TTL - safetyMargin - 1, ModeValid},
		{TTL - safetyMargin, ModeFull},
		{2*time.Second + answerValidity - 1, ModeFull},
		{2*time.Second + answerValidity, ModeReduced},
		{3*time.Second + answerValidity - 1, ModeReduced},
		{3*time.Second + answerValidity, ModeLost},
	} {
		if got := w.mode(simStart.Add(tt.at)); got != tt.want {
			t.Errorf("mode %v after %v, want %v", got, tt.at, tt.want)
		}
	}
}
