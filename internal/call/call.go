// Package call defines a call and its answer as the packages of the request
// path pass them on.
package call

import (
	"io"
	"net/http"
	"time"
)

// Call is one request of a caller on its way to a target. The packages of the
// path treat it as read-only, except for FailureDomain and Attempt, which the
// receiver sets before each attempt.
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
	Attempt       int // retries so far, those of enclosing calls included
	NonIdempotent bool
	HomeRegions   []string
	ConfigVersion uint64
	Forwarded     bool // came from a sibling; is not forwarded again
	// CrossRegion asks a VM of another region to act as the receiver there.
	CrossRegion bool
}

// Answer is the answer of a target. The reader of Body gets io.EOF only after
// the whole body; a truncated body ends in io.ErrUnexpectedEOF or another
// error. Body must be closed.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	Length int64 // declared length of the body, -1 if not known
}
