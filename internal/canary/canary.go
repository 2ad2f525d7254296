// Package canary decides how the requests of a service move to a new version of its
// backend servers, the target, while an operator has ordered it. The target first gets a
// small share of the requests (the trial). If its answers are as good as those of the
// present version, all VMs move to it, and the roll-out is completed once no VM uses the
// present version any more. Otherwise the roll-out is rolled back.
//
// Each VM limits by itself what it sends to the target (Exposure), judges the answers that
// all VMs have counted (Judge), and stops sending as soon as they show that the target is bad.
// One VM at a time writes the steps that all VMs have to agree on (Decide).
package canary

import "time"

// Order is an operator's request to move a service to a version of its servers.
type Order struct {
	Service  string
	Target   string        // version of the servers that are to serve the service
	Duration time.Duration // time within which the roll-out should end
	Row      uint64        // version of the order's row in the store; differs between two orders
}

// State is the state of a roll-out as told to operators.
type State uint8

// States of a roll-out. There is no way back from Completed and RolledBack.
const (
	Running State = iota
	Completed
	RolledBack
)

// String returns the form used in logs and dumps.
func (s State) String() string {
	switch s {
	case Completed:
		return "completed"
	case RolledBack:
		return "rolled-back"
	default:
		return "running"
	}
}

// Progress is the state of the roll-out of one order, on which all VMs agree through the
// store.
type Progress struct {
	Order  uint64 // Order.Row
	Target string
	State  State
	// Moving is true from the end of the trial: all requests move to the target.
	Moving bool
	// StartedAt is the time of the store's clock at which the order was first seen.
	StartedAt time.Duration
}

// Limits are the bounds for a target that turns out to be bad, for all VMs together.
type Limits struct {
	// Share and Slack bound the requests sent to the target: a share of those of the service
	// since the order, and a number of requests.
	Share float64
	Slack float64
	// ContactTimeout is the time without contact after which a VM no longer holds up the
	// completion of a roll-out.
	ContactTimeout time.Duration
}

const (
	// shareMargin is the part of Limits.Share that VMs use. The rest covers requests that
	// did not arrive at a server.
	shareMargin = 0.9
	// slackMargin is the part of Limits.Slack that VMs use. The rest covers VMs that restart
	// and use their part again.
	slackMargin = 0.5
)

// Exposure counts the requests that this VM has sent since an order. Its limits need no
// contact with other VMs: each VM stays within the share for its own requests, and uses an
// equal part of the slack.
type Exposure struct {
	Sent         uint64 // requests sent to servers of the service
	SentToTarget uint64 // those of them that were sent to servers of the target
}

// Record counts a request that is about to be sent.
func (e *Exposure) Record(toTarget bool) {
	e.Sent++
	if toTarget {
		e.SentToTarget++
	}
}

// Allows reports whether one more request may be sent to the target during the trial. vms is
// the number of VMs that share the slack.
func (e Exposure) Allows(l Limits, vms int) bool {
	limit := shareMargin*l.Share*float64(e.Sent) + slackMargin*l.Slack/float64(max(vms, 1))
	return float64(e.SentToTarget+1) <= limit
}

// Since returns the requests counted after an earlier state of e.
func (e Exposure) Since(earlier Exposure) Exposure {
	return Exposure{Sent: e.Sent - earlier.Sent, SentToTarget: e.SentToTarget - earlier.SentToTarget}
}

// WithinShare reports whether one more request to the target keeps its part within share.
func (e Exposure) WithinShare(share float64) bool {
	return float64(e.SentToTarget+1) <= share*float64(e.Sent+1)
}

// rampTime is the time from the end of the trial until a VM sends all requests to the target.
// It lets overload of the target show while the present version can still take requests.
const rampTime = 1500 * time.Millisecond

// RampShare returns the share of requests for the target a time after the end of the trial.
func RampShare(trialShare float64, since time.Duration) float64 {
	return min(trialShare+(1-trialShare)*float64(since)/float64(rampTime), 1)
}
