package rollout

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// Guards against a confirmation that claims more than was heard: at time t no
// version above the one in force may have been accepted before the confirmed
// moment.
func TestConfirmationIsNeverTooYoung(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p progress
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		accepted := []time.Time{now} // accepted[i]: acceptance of version i+1
		versionAt := func(at time.Time) (v uint64) {
			for i, a := range accepted {
				if !a.After(at) {
					v = uint64(i + 1)
				}
			}
			return v
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				accepted = append(accepted, now)
			case 1: // a read of the head whose answer comes late
				p.confirm(now, versionAt(now))
				now = now.Add(time.Second)
			case 2: // a response of a sibling that was confirmed a while ago
				age := time.Duration(rapid.IntRange(0, 4000).Draw(t, "age")) * time.Millisecond
				p.observe(now, vm.Info{ID: "b"}, versionAt(now.Add(-age)), age)
			case 3:
				if p.behind() {
					p.installed(rapid.Uint64Range(p.current+1, p.highest).Draw(t, "installed"))
				}
			}
			if age, _ := p.confirmed(now); p.current > 0 && !p.confirmedAt.IsZero() {
				if v := versionAt(now.Add(-age)); v > p.current {
					t.Fatalf("version %d is confirmed with age %v, but version %d was accepted before", p.current, age, v)
				}
			}
		}
	})
}

func TestConfirmedEndsAfterLimit(t *testing.T) {
	RegisterTestingT(t)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var p progress
	p.confirm(start, 1)
	_, ok := p.confirmed(start)
	Expect(ok).To(BeFalse(), "the version is not in force yet")
	p.installed(1)
	age, ok := p.confirmed(start.Add(ConfirmLimit))
	Expect(ok).To(BeTrue())
	Expect(age).To(Equal(ConfirmLimit))
	_, ok = p.confirmed(start.Add(ConfirmLimit + time.Millisecond))
	Expect(ok).To(BeFalse())
	p.observe(start.Add(6*time.Second), vm.Info{ID: "b"}, 2, 0)
	_, ok = p.confirmed(start.Add(6 * time.Second))
	Expect(ok).To(BeFalse(), "a sibling has a higher version")
}

// Guards against a VM that is paused between the decision to install a version
// and the installation.
func TestInstallRefusesLowerVersion(t *testing.T) {
	RegisterTestingT(t)
	s := New(Config{})
	for _, number := range []uint64{3, 2, 3} {
		s.install(newVersion(number, &inventory.Document{}, nil, ""), nil)
		Expect(s.Current().Version).To(BeEquivalentTo(3))
		Expect(s.HandlePull(versionOnly).CurrentVersion).To(BeEquivalentTo(3))
	}
}

func TestSettle(t *testing.T) {
	base := headRow{Version: 4, Nonce: "x", Row: 10}
	mine := headRow{Version: 5, Nonce: "mine"}
	for _, c := range []struct {
		name string
		head headRow
		want verdict
	}{
		{"own nonce", headRow{Version: 5, Nonce: "mine", Row: 11}, verdictAccepted},
		{"unchanged head", base, verdictOpen},
		{"another change", headRow{Version: 5, Nonce: "theirs", Row: 11}, verdictRejected},
		{"a later version", headRow{Version: 6, Nonce: "theirs", Row: 12}, verdictPassed},
	} {
		if got := settle(mine, base, c.head); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a VM that loses its confirmation by one lost read, and
// against a store that is read often while it is down.
func TestPollDelay(t *testing.T) {
	RegisterTestingT(t)
	Expect(pollDelay(0, 1) + storeTimeout + pollDelay(1, 1)).To(BeNumerically("<=", ConfirmLimit-400*time.Millisecond))
	for _, failures := range []int{0, 2, 100} {
		Expect(pollDelay(failures, 0)).To(BeNumerically(">", PollInterval/2))
	}
}

func TestAgeOnWire(t *testing.T) {
	RegisterTestingT(t)
	Expect(AgeFromWire(AgeToWire(1500*time.Microsecond, true))).To(Equal(2 * time.Millisecond)) // never younger
	Expect(AgeFromWire(AgeToWire(time.Second, false))).To(Equal(NotConfirmed))
	Expect(AgeFromWire(AgeToWire(1<<62, true))).To(Equal(NotConfirmed))
}
