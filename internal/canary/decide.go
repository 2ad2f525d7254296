package canary

import "time"

const (
	// moveTime is the time kept free at the end of Order.Duration for moving all requests to the
	// target: rampTime, the end of the requests in progress at the present version, and the
	// exchange between VMs. Until then the target stays on trial, since some
	// versions turn bad only after a while.
	moveTime = 7 * time.Second
	// minTrialShare is the least part of Order.Duration for the trial.
	minTrialShare = 0.4
	// endMargin is the time before the end of Order.Duration at which a roll-out whose trial has not
	// succeeded is rolled back, so that the verdict is written in time.
	endMargin = 700 * time.Millisecond
	// overtimeFactor multiplies Order.Duration: a move that has not ended by then is rolled back.
	overtimeFactor = 2
	// minCapacityFactor is the least number of slots of the target per request in progress with
	// which the requests move to it.
	minCapacityFactor = 1.25
)

// Observation is what a VM knows of a roll-out.
type Observation struct {
	Age     time.Duration // time since the order
	Finding Finding
	// Slots is the number of slots of the target's servers that are warm and reachable, and Busy
	// that of the requests in progress at all servers of the service.
	Slots, Busy int
	// VMs, Alive and Moved are the numbers of registered VMs, of those in contact, and of those
	// that no longer use the present version.
	VMs, Alive, Moved int
	// MissingFor is the time since when some registered VMs have been without contact.
	MissingFor time.Duration
}

// Step is a change of Progress.
type Step uint8

// Steps.
const (
	None     Step = iota
	Start         // the order is recorded as running
	Move          // the trial has succeeded
	Complete      // no VM uses the present version
	RollBack
)

// String returns the form used in logs.
func (s Step) String() string {
	return [...]string{"none", "start", "move", "complete", "roll-back"}[s]
}

// Decide returns the next step of a roll-out and its reason. started is false if the store has
// no progress of the order yet.
func Decide(o Order, p Progress, started bool, obs Observation, l Limits) (Step, string) {
	switch {
	case !started:
		return Start, "order received"
	case p.State != Running:
		return None, "ended"
	case obs.Finding.Quality == Bad:
		return RollBack, obs.Finding.Reason
	case p.Moving:
		return decideMove(o, obs, l)
	}
	switch {
	case obs.Age >= o.Duration-endMargin:
		return RollBack, "trial not passed in time: " + obs.Finding.Quality.String() + " " + obs.Finding.Reason
	case obs.Age < max(o.Duration-moveTime, time.Duration(minTrialShare*float64(o.Duration))):
		return None, "on trial"
	case obs.Finding.Quality != Good:
		return None, obs.Finding.Reason
	case float64(obs.Slots) < minCapacityFactor*float64(obs.Busy) || obs.Slots == 0:
		return None, "too few warm servers of the target"
	}
	return Move, "trial passed"
}

func decideMove(o Order, obs Observation, l Limits) (Step, string) {
	switch {
	case obs.Finding.Quality == Suspect && obs.Age < o.Duration:
		return None, obs.Finding.Reason
	case obs.Finding.Quality == Suspect:
		return RollBack, obs.Finding.Reason
	case obs.Moved >= obs.Alive && (obs.Alive >= obs.VMs || obs.MissingFor >= l.ContactTimeout):
		return Complete, "no VM in contact uses the present version"
	case obs.Age >= overtimeFactor*o.Duration:
		return RollBack, "VMs still use the present version long after the end"
	}
	return None, "VMs still use the present version"
}
