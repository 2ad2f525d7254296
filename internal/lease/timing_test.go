package lease

import (
	"testing"
	"time"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// Guards against a holder in full or reduced mode whose successor finds enough
// witnesses that do not support it: the two sets must share a VM.
func TestQuorumsIntersect(t *testing.T) {
	for n := 1; n <= 50; n++ {
		if fullQuorum(n)+beginQuorum(n) <= n {
			t.Errorf("%d witnesses: full mode with %d, start with %d", n, fullQuorum(n), beginQuorum(n))
		}
		if reducedQuorum(n)+liftQuorum(n) <= n {
			t.Errorf("%d witnesses: reduced mode with %d, lift with %d", n, reducedQuorum(n), liftQuorum(n))
		}
		if beginQuorum(n) > liftQuorum(n) || reducedQuorum(n) > fullQuorum(n) {
			t.Errorf("%d witnesses: the weaker right needs more of them", n)
		}
	}
}

// Guards against a mode that counts only the witnesses of the last renewal with
// an answer, while the row may hold those of a later one.
func TestWindowCountsEveryPossibleWitnessSet(t *testing.T) {
	c := newCore(vm.Info{ID: "a1", Region: "r"}, epoch, 1, func() uint64 { return 1 }, func() *inventory.Snapshot { return nil })
	c.own.incarnation, c.own.renewed, c.own.witnesses = 1, epoch, []uint64{1, 2, 3}
	now := epoch.Add(time.Minute)
	for _, w := range []uint64{2, 3} {
		c.statement[w], c.contact[w] = now, now
	}
	if m := c.computeWindow().mode(now); m != ModeFull {
		t.Errorf("mode %v with the word of all witnesses, want full", m)
	}
	c.own.tries = []attempt{{row: &siblingpb.LeaseRow{Witnesses: []uint64{1, 2, 3, 4, 5}}}}
	if m := c.computeWindow().mode(now); m != ModeReduced {
		t.Errorf("mode %v with 3 of 5 witnesses of a lost renewal, want reduced", m)
	}
	c.own.tries[0].row.Witnesses = []uint64{1, 4, 5, 6, 7}
	if m := c.computeWindow().mode(now); m != ModeLost {
		t.Errorf("mode %v without a witness of a lost renewal, want lost", m)
	}
}

// Guards against modes that outlast the statements they rest on.
func TestModeEndsWithItsStatements(t *testing.T) {
	w := &window{renewed: epoch, full: epoch.Add(2 * time.Second), reduced: epoch.Add(3 * time.Second)}
	for _, tt := range []struct {
		at   time.Duration
		want Mode
	}{
		{0, ModeValid},
		{TTL - safetyMargin - 1, ModeValid},
		{TTL - safetyMargin, ModeFull},
		{2*time.Second + statementAge - 1, ModeFull},
		{2*time.Second + statementAge, ModeReduced},
		{3*time.Second + statementAge - 1, ModeReduced},
		{3*time.Second + statementAge, ModeLost},
	} {
		if got := w.mode(epoch.Add(tt.at)); got != tt.want {
			t.Errorf("mode %v after %v, want %v", got, tt.at, tt.want)
		}
	}
}
