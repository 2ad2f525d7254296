package regionclaim

import (
	"crypto/rand"
	mrand "math/rand/v2"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/claim"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// attempt is one attempt of a receiver, the entry VM that got the request, to
// claim a key from the owner, the VM that holds the key's claim partition. All its messages carry the same nonce, so repeated messages
// never make a second claim.
type attempt struct {
	id      inventory.PoolID // claim partition of the key; partitions are identified like pools
	request *siblingpb.RegionClaim
	startBy time.Time // latest start of the call, if the claim is granted
}

func newAttempt(id inventory.PoolID, self vm.Info, key [digestSize]byte) *attempt {
	var n nonce
	_, _ = rand.Read(n[:]) // never fails, see crypto/rand
	return &attempt{id: id, request: &siblingpb.RegionClaim{
		Service: id.Service, FailureDomain: id.FailureDomain, Op: stateClaimed,
		Digest: key[:], Nonce: n[:], VmId: string(self.ID), Incarnation: self.Incarnation,
	}}
}

// reportMessage returns the message that reports the outcome of the call to the
// owner.
func (a *attempt) reportMessage(op siblingpb.RegionClaimOp, status int) *siblingpb.RegionClaim {
	r := proto.CloneOf(a.request)
	r.Op, r.Status = op, uint32(max(status, 0)) //nolint:gosec // an HTTP status
	return r
}

// applyAnswer evaluates the owner's answer to a message sent at sentAt or
// later. If askAgain is true, the owner must be asked again. If refusal is not
// nil, the claim is refused. Otherwise the claim is granted, and the call may
// start until startBy.
func (a *attempt) applyAnswer(sentAt time.Time, answer *siblingpb.RegionClaimAnswer) (askAgain bool, refusal error) {
	switch answer.GetResult() {
	case resultOK:
		a.startBy = sentAt.Add(time.Duration(answer.GetGoodForMs()) * time.Millisecond)
		return false, nil
	case resultDone:
		return false, &claim.DuplicateError{
			Err:           duplicateError(outcome.Answered, outcome.ReasonDuplicate, 0),
			EarlierStatus: int(answer.GetStatus()),
		}
	case resultInProgress:
		return false, duplicateError(outcome.Unknown, outcome.ReasonInProgress, retryAfter())
	case resultUnknown: // an earlier call with this key ended with an unknown outcome
		return false, duplicateError(outcome.Unknown, outcome.ReasonClaimUncertain, 0)
	case resultUncertain: // the owner does not know whether a former owner granted the key
		left := time.Duration(answer.GetRetryAfterMs()) * time.Millisecond
		return false, duplicateError(outcome.Unknown, outcome.ReasonClaimUncertain, left)
	case resultFull:
		return false, outcome.NewUnavailable(outcome.ReasonQueueFull, retryAfter())
	case resultReleased:
		return false, outcome.NewUnavailable(outcome.ReasonNoHolder, retryAfter())
	default:
		return true, nil
	}
}

// canStart reports whether the call may be started at now. It compares by
// monotonic and by wall clock, since the monotonic clock may stop while the VM
// is suspended.
func (a *attempt) canStart(now time.Time) bool {
	return now.Before(a.startBy) && now.Round(0).Before(a.startBy.Round(0))
}

func duplicateError(kind outcome.Kind, reason outcome.Reason, delay time.Duration) *outcome.Error {
	return &outcome.Error{Kind: kind, Reason: reason, Status: http.StatusConflict, RetryAfter: delay}
}

// retryAfter returns a random duration from 1 to 3 s, so refused callers do not
// all retry at the same time.
func retryAfter() time.Duration {
	return time.Second + mrand.N(2*time.Second)
}
