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

// attempt is one request of a receiver for a claim. All its messages carry the
// same nonce, so that asking again never makes a second claim.
type attempt struct {
	id      inventory.PoolID
	request *siblingpb.RegionClaim
	startBy time.Time // of a granted attempt
}

func newAttempt(id inventory.PoolID, self vm.Info, key [digestSize]byte) *attempt {
	var n nonce
	_, _ = rand.Read(n[:]) // never fails, see crypto/rand
	return &attempt{id: id, request: &siblingpb.RegionClaim{
		Service: id.Service, FailureDomain: id.FailureDomain, Op: stateClaimed,
		Digest: key[:], Nonce: n[:], VmId: string(self.ID), Incarnation: self.Incarnation,
	}}
}

// report returns the message that tells the owner how the call ended.
func (a *attempt) report(op siblingpb.RegionClaimOp, status int) *siblingpb.RegionClaim {
	r := proto.CloneOf(a.request)
	r.Op, r.Status = op, uint32(max(status, 0)) //nolint:gosec // an HTTP status
	return r
}

// answered takes the answer to a request that was sent after asked. again
// reports that the owner must be asked again. Without it and without a refusal
// the claim is granted until startBy.
func (a *attempt) answered(asked time.Time, got *siblingpb.RegionClaimAnswer) (again bool, refusal error) {
	switch got.GetResult() {
	case ok:
		a.startBy = asked.Add(time.Duration(got.GetGoodForMs()) * time.Millisecond)
		return false, nil
	case ranBefore:
		return false, &claim.DuplicateError{
			Err:           duplicate(outcome.Answered, outcome.ReasonDuplicate, 0),
			EarlierStatus: int(got.GetStatus()),
		}
	case inProgress:
		return false, duplicate(outcome.Unknown, outcome.ReasonInProgress, retryAfter())
	case unknown:
		return false, duplicate(outcome.Unknown, outcome.ReasonClaimUncertain, 0)
	case uncertain:
		left := time.Duration(got.GetRetryAfterMs()) * time.Millisecond
		return false, duplicate(outcome.Unknown, outcome.ReasonClaimUncertain, left)
	case full:
		return false, outcome.NewUnavailable(outcome.ReasonQueueFull, retryAfter())
	case released:
		return false, outcome.NewUnavailable(outcome.ReasonNoHolder, retryAfter())
	default:
		return true, nil
	}
}

// startable compares by monotonic and by wall clock, since a suspended VM may
// stop the monotonic one.
func (a *attempt) startable(now time.Time) bool {
	return now.Before(a.startBy) && now.Round(0).Before(a.startBy.Round(0))
}

func duplicate(kind outcome.Kind, reason outcome.Reason, after time.Duration) *outcome.Error {
	return &outcome.Error{Kind: kind, Reason: reason, Status: http.StatusConflict, RetryAfter: after}
}

// retryAfter is 1 to 3 s, so that refused callers do not come back at once.
func retryAfter() time.Duration {
	return time.Second + mrand.N(2*time.Second)
}
