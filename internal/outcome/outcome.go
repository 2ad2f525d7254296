// Package outcome defines the result of a call. Every call ends with exactly
// one of three kinds of outcome, which callers can rely on.
package outcome

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Names of the headers used between callers, entry VMs and targets.
const (
	HeaderOutcome     = "Goldcresthinge-Outcome"
	HeaderReason      = "Goldcresthinge-Reason"
	HeaderHomeRegions = "Goldcresthinge-Home-Regions"
	// HeaderEarlierStatus is the HTTP status of the answer to an earlier call
	// with the same idempotency key.
	HeaderEarlierStatus = "Goldcresthinge-Earlier-Status"
	HeaderDeadlineMs    = "Goldcresthinge-Deadline-Ms"
	HeaderDepth         = "Goldcresthinge-Depth"
	HeaderAttempt       = "Goldcresthinge-Attempt"
	HeaderTenant        = "Goldcresthinge-Tenant"
	HeaderInstance      = "Goldcresthinge-Instance"
	HeaderLeaving       = "Goldcresthinge-Leaving"
	// HeaderCallID identifies one attempt at a target. If the target returns
	// the header, the holder can detect an answer that belongs to another call.
	HeaderCallID      = "Goldcresthinge-Call-Id"
	HeaderIdempotency = "Idempotency-Key"
)

// Kind states what is known about the execution of a call.
type Kind uint8

const (
	// Unknown means that the request may or may not have run. It is the zero
	// value, so a kind that was never assigned makes no false statement.
	Unknown Kind = iota
	// Answered means that the target answered the call completely, or, with
	// ReasonDuplicate, an earlier call with the same idempotency key.
	Answered
	// NotRun means that no byte of the request reached a target, or that the
	// target stated that it did not run the request.
	NotRun
)

// String returns the value of the outcome header.
func (k Kind) String() string {
	switch k {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// ParseKind parses the value of an outcome header. Any unknown value is
// Unknown.
func ParseKind(s string) Kind {
	switch s {
	case "answered":
		return Answered
	case "not-run":
		return NotRun
	default:
		return Unknown
	}
}

// Reason is a stable, machine-readable cause of a refusal or failure.
type Reason string

// Reasons of refusals and failures.
const (
	// ReasonNoRoute: no route matches the method and path.
	ReasonNoRoute Reason = "no-route"
	// ReasonBadRequest: a header is malformed, the body ended early, or no request
	// to a target can be made from the call.
	ReasonBadRequest   Reason = "bad-request"
	ReasonBodyTooLarge Reason = "body-too-large"
	// ReasonNoKey: the route is non-idempotent and the request has no header
	// Idempotency-Key.
	ReasonNoKey Reason = "no-idempotency-key"
	// ReasonWrongRegion: the region of the VM is not one of the home regions of
	// the call.
	ReasonWrongRegion Reason = "wrong-region"
	// ReasonDepth: too many nested calls between services.
	ReasonDepth Reason = "depth-exceeded"
	// ReasonDeadline: the deadline has passed, or a queued call cannot meet it.
	ReasonDeadline Reason = "deadline"
	// ReasonQueueFull: a queue is full, or a limit on concurrent calls, on the bytes
	// of their bodies or on claims is reached. The holder also gives this reason if
	// the deadline passes before the call is queued.
	ReasonQueueFull Reason = "queue-full"
	// ReasonNoTarget: the service has no pool in the region of the VM.
	ReasonNoTarget Reason = "no-target"
	// ReasonNoHolder: no VM is known to hold a pool of the service, or the claim
	// partition of the idempotency key. A claim partition is a share of the keys
	// whose claims one VM records.
	ReasonNoHolder Reason = "no-holder"
	// ReasonNotHolder: the VM does not hold the pool, or no longer.
	ReasonNotHolder Reason = "not-holder"
	// ReasonLeaseLost: the VM holds the pool, but its lease has ended.
	ReasonLeaseLost Reason = "lease-lost"
	// ReasonOutOfService: operators took the failure domain out of service.
	ReasonOutOfService Reason = "failure-domain-out-of-service"
	// ReasonShed: the target refused the call because of its load and did not run
	// it.
	ReasonShed Reason = "target-shed"
	// ReasonConnectFailed: the connection to the target failed before a byte of
	// the request was sent.
	ReasonConnectFailed Reason = "connect-failed"
	// ReasonSiblingLost: no connection to the sibling could be made, or it broke
	// before the start of the answer.
	ReasonSiblingLost Reason = "sibling-lost"
	// ReasonTargetLost: the connection to the target broke, or the caller
	// disconnected, after a byte of the request was sent and before the start of
	// the answer.
	ReasonTargetLost Reason = "target-lost"
	// ReasonCanceled: the caller disconnected before the call was sent to a target.
	ReasonCanceled Reason = "caller-gone"
	// ReasonStoreDown: the store did not record the claim of the idempotency key,
	// or not in time.
	ReasonStoreDown Reason = "store-unavailable"
	// ReasonNoClaimStore: the idempotency key must be claimed in another region, or
	// the VM knows no claim partition for it.
	ReasonNoClaimStore Reason = "no-claim-store"
	// ReasonDuplicate: an earlier call with the same idempotency key was answered.
	ReasonDuplicate Reason = "duplicate"
	// ReasonInProgress: an earlier call with the same idempotency key may still be
	// running.
	ReasonInProgress Reason = "duplicate-in-progress"
	// ReasonClaimUncertain: it is not known whether an earlier call with the same
	// idempotency key ran.
	ReasonClaimUncertain Reason = "claim-uncertain"
	// ReasonNotReady: the VM has no configuration that was confirmed recently
	// enough, is shutting down, or was paused after it claimed the idempotency key.
	ReasonNotReady Reason = "not-ready"
	// ReasonBandwidthLimit: the byte budget of the link to the other region is used
	// up.
	ReasonBandwidthLimit Reason = "link-budget"
	// ReasonResponseMismatch: a target or sibling sent the answer of another call.
	ReasonResponseMismatch Reason = "crossed-answer"
	// ReasonBadAnswer: a target sent an answer without a length or with an invalid head, or a
	// sibling sent such an answer or a message of another type.
	ReasonBadAnswer Reason = "bad-answer"
)

// Error is the result of a call for which no complete answer of the target is
// available.
type Error struct {
	Kind       Kind
	Reason     Reason
	Status     int           // HTTP status for the caller
	RetryAfter time.Duration // zero: no Retry-After header
	Detail     string        // must not contain content of a request
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%s: %s", e.Kind, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", e.Kind, e.Reason, e.Detail)
}

// NewNotRun returns a NotRun error.
func NewNotRun(status int, reason Reason, detail string) *Error {
	return &Error{Kind: NotRun, Reason: reason, Status: status, Detail: detail}
}

// NewUnavailable returns a NotRun error with status 503. retryAfter
// tells the caller when to retry; zero means no Retry-After header.
func NewUnavailable(reason Reason, retryAfter time.Duration) *Error {
	return &Error{Kind: NotRun, Reason: reason, Status: http.StatusServiceUnavailable, RetryAfter: retryAfter}
}

// NewUnknown returns an Unknown error with status 502.
func NewUnknown(reason Reason, detail string) *Error {
	return &Error{Kind: Unknown, Reason: reason, Status: http.StatusBadGateway, Detail: detail}
}

// SetHeaders sets the outcome headers of e in h. Retry-After is rounded up to
// whole seconds, its unit in HTTP.
func (e *Error) SetHeaders(h http.Header) {
	h.Set(HeaderOutcome, e.Kind.String())
	h.Set(HeaderReason, string(e.Reason))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
}

// FromError returns err as an *Error. An error of another type becomes Unknown,
// because it is not known whether the target ran the request. ReasonTargetLost
// then stands for any cause.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return NewUnknown(ReasonTargetLost, err.Error())
}
