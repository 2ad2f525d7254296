package rollout

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// Guards against a confirmed age that is too low: no version above the one in
// force may have been accepted before the time of the confirmation.
func TestConfirmedAgeIsNeverTooLow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p progress
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		accepted := []time.Time{now} // accepted[i] is the time at which version i+1 was accepted
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
			case 1: // a read of the head whose answer is delayed
				p.recordConfirmation(now, versionAt(now))
				now = now.Add(time.Second)
			case 2: // a response of a sibling whose confirmation has the given age
				age := time.Duration(rapid.IntRange(0, 4000).Draw(t, "age")) * time.Millisecond
				p.recordSibling(now, vm.Info{ID: "b"}, versionAt(now.Add(-age)), age)
			case 3:
				if p.behind() {
					p.recordInstalled(rapid.Uint64Range(p.current+1, p.highest).Draw(t, "installed"))
				}
			}
			if age, _ := p.confirmedAge(now); p.current > 0 && !p.confirmedAt.IsZero() {
				if v := versionAt(now.Add(-age)); v > p.current {
					t.Fatalf("version %d is confirmed with age %v, but version %d was accepted before", p.current, age, v)
				}
			}
		}
	})
}

// Guards against a version that counts as confirmed before it is in force, or
// after MaxConfirmedAge.
func TestConfirmedEndsAfterLimit(t *testing.T) {
	RegisterTestingT(t)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var p progress
	p.recordConfirmation(start, 1)
	_, ok := p.confirmedAge(start)
	Expect(ok).To(BeFalse(), "the version is not in force yet")
	p.recordInstalled(1)
	age, ok := p.confirmedAge(start.Add(MaxConfirmedAge))
	Expect(ok).To(BeTrue())
	Expect(age).To(Equal(MaxConfirmedAge))
	_, ok = p.confirmedAge(start.Add(MaxConfirmedAge + time.Millisecond))
	Expect(ok).To(BeFalse())
	p.recordSibling(start.Add(6*time.Second), vm.Info{ID: "b"}, 2, 0)
	_, ok = p.confirmedAge(start.Add(6 * time.Second))
	Expect(ok).To(BeFalse(), "a confirmation of version 2 does not renew that of version 1")
}

// Guards against installing a lower version: a VM may be paused between the
// decision to install a version and the installation.
func TestInstallRefusesLowerVersion(t *testing.T) {
	RegisterTestingT(t)
	s := New(Config{})
	for _, number := range []uint64{3, 2, 3} {
		s.install(newConfigVersion(number, &inventory.Document{}, nil, ""), nil)
		Expect(s.Current().Version).To(BeEquivalentTo(3))
		Expect(s.HandlePull(versionOnly).CurrentVersion).To(BeEquivalentTo(3))
	}
}

func TestResultFromHead(t *testing.T) {
	base := headRow{Version: 4, Nonce: "x", RowVersion: 10}
	newHead := headRow{Version: 5, Nonce: "mine"}
	for _, c := range []struct {
		name string
		head headRow
		want commitResult
	}{
		{"own nonce", headRow{Version: 5, Nonce: "mine", RowVersion: 11}, commitAccepted},
		{"unchanged head", base, commitUndecided},
		{"another change", headRow{Version: 5, Nonce: "theirs", RowVersion: 11}, commitRejected},
		{"a later version", headRow{Version: 6, Nonce: "theirs", RowVersion: 12}, commitSuperseded},
	} {
		if got := resultFromHead(newHead, base, c.head); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a VM that is no longer confirmed after one lost read, and
// against frequent reads of a store that is down. At least 400 ms of
// MaxConfirmedAge must remain for what the sum leaves out, such as the duration
// of the second read.
func TestPollDelay(t *testing.T) {
	RegisterTestingT(t)
	Expect(pollDelay(0, 1) + storeReadTimeout + pollDelay(1, 1)).To(BeNumerically("<=", MaxConfirmedAge-400*time.Millisecond))
	for _, failures := range []int{0, 2, 100} {
		Expect(pollDelay(failures, 0)).To(BeNumerically(">", PollInterval/2))
	}
}

func TestAgeEncoding(t *testing.T) {
	RegisterTestingT(t)
	Expect(DecodeAge(EncodeAge(1500*time.Microsecond, true))).To(Equal(2 * time.Millisecond)) // rounded up, so the age is never understated
	Expect(DecodeAge(EncodeAge(time.Second, false))).To(Equal(NotConfirmed))
	Expect(DecodeAge(EncodeAge(1<<62, true))).To(Equal(NotConfirmed))
}
