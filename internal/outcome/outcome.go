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
	HeaderOutcome       = "Goldcresthinge-Outcome"
	HeaderReason        = "Goldcresthinge-Reason"
	HeaderHomeRegions   = "Goldcresthinge-Home-Regions"
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
	// Answered means that the complete answer of the target is available.
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
	ReasonNoRoute          Reason = "no-route"
	ReasonBadRequest       Reason = "bad-request"
	ReasonBodyTooLarge     Reason = "body-too-large"
	ReasonNoKey            Reason = "no-idempotency-key"
	ReasonWrongRegion      Reason = "wrong-region"
	ReasonDepth            Reason = "depth-exceeded"
	ReasonDeadline         Reason = "deadline"
	ReasonQueueFull        Reason = "queue-full"
	ReasonNoTarget         Reason = "no-target"
	ReasonNoHolder         Reason = "no-holder"
	ReasonNotHolder        Reason = "not-holder"
	ReasonLeaseLost        Reason = "lease-lost"
	ReasonOutOfService     Reason = "failure-domain-out-of-service"
	ReasonShed             Reason = "target-shed"
	ReasonConnectFailed    Reason = "connect-failed"
	ReasonSiblingLost      Reason = "sibling-lost"
	ReasonTargetLost       Reason = "target-lost"
	ReasonCanceled         Reason = "caller-gone"
	ReasonStoreDown        Reason = "store-unavailable"
	ReasonNoClaimStore     Reason = "no-claim-store"
	ReasonDuplicate        Reason = "duplicate"
	ReasonInProgress       Reason = "duplicate-in-progress"
	ReasonClaimUncertain   Reason = "claim-uncertain"
	ReasonNotReady         Reason = "not-ready"
	ReasonBandwidthLimit   Reason = "link-budget"
	ReasonResponseMismatch Reason = "crossed-answer"
	ReasonBadAnswer        Reason = "bad-answer"
)

// Error is the result of a call that did not end with a complete answer of the
// target.
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

// NewUnavailable returns a NotRun error with status 503. retryAfter is the
// advice to the caller when to retry; zero means none.
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
// because nothing is certain about such a call.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return NewUnknown(ReasonTargetLost, err.Error())
}
