// Package call defines a call and its answer, which the packages of the request
// path pass to each other.
package call

import (
	"io"
	"net/http"
	"time"
)

// Call is a request of a caller on its way to a target. The packages of the
// request path must not modify it, except for FailureDomain and Attempt, which
// the receiver sets before each attempt.
type Call struct {
	Service       string
	FailureDomain string // failure domain of the picked pool
	Route         string
	Tenant        string
	Method        string
	Path          string // path and raw query
	Header        http.Header
	Body          []byte
	Deadline      time.Time
	Depth         int // nesting depth of calls between services
	Attempt       int // number of retries so far, including those of enclosing calls
	NonIdempotent bool
	HomeRegions   []string
	ConfigVersion uint64
	Forwarded     bool // received from a sibling; must not be forwarded again
	// CrossRegion asks a VM of another region to act as the receiver there.
	CrossRegion bool
}

// Answer is the answer of a target. Body returns io.EOF only after the complete
// body; a truncated body ends with io.ErrUnexpectedEOF or another error. Body
// must be closed.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	Length int64 // declared length of the body; -1: unknown
}
