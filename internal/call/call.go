// Package call defines a call and its answer, which the packages of the request
// path pass to each other.
//
// A caller sends its request to any entry VM. That entry VM picks a pool and
// sends the call to the holder of the pool, which is itself or a sibling; the
// holder sends it to a target. If no pool of its region accepts the call, the
// entry VM may send it to a VM of another region, which picks a pool there.
package call

import (
	"io"
	"net/http"
	"time"
)

// Call is a request of a caller on its way to a target. The packages of the
// request path must not modify it, except for FailureDomain and Attempt, which
// the VM that picks the pool sets before each attempt.
type Call struct {
	Service       string
	FailureDomain string // failure domain of the picked pool
	Route         string // name of the matched route
	Tenant        string
	Method        string
	Path          string // path and raw query
	Header        http.Header
	Body          []byte
	Deadline      time.Time
	Depth         int // nesting depth of calls between services
	Attempt       int // number of retries so far, including those of the calls that this one is nested in
	NonIdempotent bool
	HomeRegions   []string // regions that may run the call; empty: all
	ConfigVersion uint64   // configuration version with which the entry VM matched the route
	Forwarded     bool     // received from a sibling; must not be forwarded to another region
	// CrossRegion asks a VM of another region to pick a pool there, as an entry
	// VM does for the calls of its own callers.
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
