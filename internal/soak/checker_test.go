package soak_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"goldcresthinge.example/goldcresthinge/platform/platformtest"
)

// request is a request of a caller, with its result at the caller and its arrivals at
// servers. The checker's mu guards it once the request is added.
type request struct {
	id, method, path, digest string
	route                    platformtest.Route
	allowedServices          []string // services of the route in any configuration
	configVersion            int      // configuration that added the route; 0: the route is in all
	vm                       string
	generation               int // process of the VM
	processStarted           time.Time
	timeout                  time.Duration
	sent, ended              time.Time
	connReused               bool // sent on a connection that had carried an answer
	pipelined                bool // sent on a connection with an unanswered request

	status     int  // 0: no answer
	fromServer bool // the answer has the header platform.HeaderStamp, so a backend server sent it
	err        error

	arrivals []platformtest.RecordedRequest
}

func (r *request) String() string {
	text := fmt.Sprintf("%s %s %s via %s#%d, sent %s, ended after %v with status %d, %v", r.id, r.method, r.path, r.vm, r.generation,
		r.sent.Format("15:04:05.000"), r.ended.Sub(r.sent).Round(time.Millisecond), r.status, r.err)
	for _, arrival := range r.arrivals {
		text += fmt.Sprintf("; at %s (%s) %s ran=%v status=%d", arrival.Server, arrival.Service, arrival.At.Format("15:04:05.000"), arrival.Ran, arrival.Status)
	}
	return text
}

// interval is the time in which a condition held. If end is zero, it still holds.
type interval struct{ start, end time.Time }

func (s interval) overlaps(from, to time.Time) bool {
	return s.start.Before(to) && (s.end.IsZero() || s.end.After(from))
}

// exclusion is an interval in which a server or a failure domain must get no requests.
// It is announced to the VMs before it starts.
type exclusion struct {
	server, domain string
	interval
	announced time.Time
	// lateWrite is true if the row of the server says again that it is ready. Only VMs that have run
	// for faultSettleTime are bound then: a process that starts after the late write has no other
	// row until its first message from a sibling.
	lateWrite bool
}

// configChange is the version of a configuration and the time at which it was stored.
type configChange struct {
	version int
	stored  time.Time
}

// checker records the requests that callers send and servers get, and the faults and
// planned changes meanwhile, and checks the guarantees of the load balancer. A guarantee
// that does not hold is recorded as a violation. mu guards the other fields.
//
// Unplanned faults are the actions that unplannedFault wraps, such as killing a VM.
// Planned changes, such as replacing a server, are those of plannedActions. The
// checks that use withoutFault apply during planned changes, but not during unplanned
// faults.
type checker struct {
	mu               sync.Mutex
	requests         map[string]*request
	unplannedFaults  []*interval
	serverLinkFaults map[string][]*interval // faults of the link to a server, by server ID
	exclusions       []*exclusion
	configChanges    []configChange
	violations       []string
}

func newChecker() *checker {
	return &checker{requests: map[string]*request{}, serverLinkFaults: map[string][]*interval{}}
}

// recordViolation records that a guarantee does not hold, or that the test itself failed.
func (ck *checker) recordViolation(format string, args ...any) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	ck.recordViolationLocked(format, args...)
}

func (ck *checker) recordViolationLocked(format string, args ...any) {
	ck.violations = append(ck.violations, fmt.Sprintf(format, args...))
}

func (ck *checker) addRequest(r *request) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	ck.requests[r.id] = r
}

// recordArrival records and checks a request that reached a server. Servers call it.
func (ck *checker) recordArrival(arrival platformtest.RecordedRequest) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	r, ok := ck.requests[arrival.ID]
	if !ok {
		ck.recordViolationLocked("unknown request: server %s got a request %q that no caller sent", arrival.Server, arrival.ID)
		return
	}
	r.arrivals = append(r.arrivals, arrival)
	if arrival.Method != r.method || arrival.Path != r.path || !arrival.Incomplete && arrival.Digest != r.digest {
		ck.recordViolationLocked("request changed: server %s got method %s, path %s, body digest %s instead of %s", arrival.Server, arrival.Method, arrival.Path, arrival.Digest, r)
	}
	if arrival.Timeout <= 0 || arrival.Timeout > r.timeout {
		ck.recordViolationLocked("wrong timeout: server %s got %v, the caller's timeout is %v: %s", arrival.Server, arrival.Timeout, r.timeout, r)
	}
	if !slices.Contains(r.allowedServices, arrival.Service) {
		ck.recordViolationLocked("wrong service: request reached service %s, allowed are %v: %s", arrival.Service, r.allowedServices, r)
	}
}

// beginFault records the start of an unplanned fault. The returned function records its
// end.
func (ck *checker) beginFault() (end func()) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	fault := &interval{start: time.Now()}
	ck.unplannedFaults = append(ck.unplannedFaults, fault)
	return ck.endFunc(fault)
}

// beginServerLinkFault records the start of a fault of the link to a server. The returned
// function records its end.
func (ck *checker) beginServerLinkFault(server string) (end func()) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	fault := &interval{start: time.Now()}
	ck.serverLinkFaults[server] = append(ck.serverLinkFaults[server], fault)
	return ck.endFunc(fault)
}

// beginExclusion records that a server or failure domain was announced as excluded now,
// and must get no requests once gracePeriod has passed. The returned function records
// the end of the exclusion.
func (ck *checker) beginExclusion(ex exclusion, gracePeriod time.Duration) (end func()) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	ex.announced = time.Now()
	ex.start = ex.announced.Add(gracePeriod)
	ck.exclusions = append(ck.exclusions, &ex)
	return ck.endFunc(&ex.interval)
}

func (ck *checker) endFunc(s *interval) func() {
	return func() {
		ck.mu.Lock()
		defer ck.mu.Unlock()
		s.end = time.Now()
	}
}

// withoutFault reports whether no unplanned fault was active between
// start-faultSettleTime and end. The caller holds mu.
func (ck *checker) withoutFault(start, end time.Time) bool {
	for _, fault := range ck.unplannedFaults {
		if fault.overlaps(start.Add(-faultSettleTime), end) {
			return false
		}
	}
	return true
}

// check checks all requests and returns the violations of the run. timeBounds says
// whether the time bounds are checked as well. A time bound is the longest time that the
// load balancer may take to react to an event, such as drainTimeout. Checking them needs
// a machine without other load.
func (ck *checker) check(timeBounds bool) []string {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	for _, r := range ck.requests {
		ck.checkRequest(r)
		if timeBounds {
			ck.checkTimeBounds(r)
		}
	}
	ck.checkConfigVersions()
	ck.checkColdServers()
	ck.checkRetryBudget()
	return ck.violations
}

// checkRequest checks the result of one request against its arrivals at servers.
func (ck *checker) checkRequest(r *request) {
	ran := 0
	servers := map[string]bool{}
	failures := 0
	for _, arrival := range r.arrivals {
		if arrival.Ran {
			ran++
			servers[arrival.Server] = true
		}
		if arrival.Status >= 300 {
			failures++
		}
	}
	refused := r.status == 429 || r.status == 503 || r.status == 408 || r.status == 421
	switch {
	case !r.route.Idempotent && ran > 1:
		ck.recordViolationLocked("non-idempotent request ran more than once: %s", r)
	case !r.route.Idempotent && refused && ran > 0:
		ck.recordViolationLocked("non-idempotent request refused as not run although it ran: %s", r)
	case len(servers) > r.route.MaxAttempts:
		ck.recordViolationLocked("ran at more servers than the route allows attempts: %s", r)
	case r.status >= 300 && r.fromServer && failures == 0:
		ck.recordViolationLocked("wrong answer: error answer marked as a backend server's although no server failed: %s", r)
	case r.status == 200 && ran == 0:
		ck.recordViolationLocked("wrong answer: status 200 although no server ran the request: %s", r)
	}
	// Planned actions must not cause the loss of an answer.
	if ran > 0 && failures == 0 && r.status != 200 && r.ended.Sub(r.sent) < r.timeout && ck.withoutFault(r.sent, r.ended) {
		ck.recordViolationLocked("answer lost without an unplanned fault: %s", r)
	}
}

// checkTimeBounds checks the time bounds, which are guarantees that hold a certain time
// after an event. It also checks that no request on a reused connection ends without an
// answer between lossTolerance and its timeout.
func (ck *checker) checkTimeBounds(r *request) {
	for _, arrival := range r.arrivals {
		for _, ex := range ck.exclusions {
			// The interval of 1 ns stands for the time of the arrival.
			if (ex.server == arrival.Server || ex.domain == arrival.FailureDomain) && ex.overlaps(arrival.At, arrival.At.Add(1)) &&
				ck.withoutFault(ex.announced, arrival.At) && (!ex.lateWrite || r.sent.Sub(r.processStarted) > faultSettleTime) {
				ck.recordViolationLocked("request reached a server that was announced as excluded, itself or with its failure domain, %v before: %s", arrival.At.Sub(ex.announced), r)
			}
		}
	}
	for _, c := range ck.configChanges {
		if c.version == r.configVersion && r.status == 404 && r.sent.After(c.stored.Add(configApplyTimeout)) && ck.withoutFault(c.stored, r.ended) {
			ck.recordViolationLocked("configuration not applied in time: %s", r)
		}
	}
	if r.status == 0 && r.connReused && !r.pipelined && r.ended.Sub(r.sent) > lossTolerance && r.ended.Sub(r.sent) < r.timeout && ck.withoutFault(r.sent, r.ended) {
		ck.recordViolationLocked("no answer, without an unplanned fault: %s", r)
	}
}

// checkConfigVersions checks that no process of a VM goes back to an older
// configuration.
func (ck *checker) checkConfigVersions() {
	type process struct {
		vm         string
		generation int
	}
	firstShown := map[process]map[int]time.Time{} // earliest end of a request that shows that a process had applied a version
	for _, r := range ck.requests {
		if r.configVersion == 0 || r.status != 200 {
			continue
		}
		p := process{r.vm, r.generation}
		if firstShown[p] == nil {
			firstShown[p] = map[int]time.Time{}
		}
		if at, ok := firstShown[p][r.configVersion]; !ok || r.ended.Before(at) {
			firstShown[p][r.configVersion] = r.ended
		}
	}
	for _, r := range ck.requests {
		if r.status != 404 {
			continue
		}
		for version, at := range firstShown[process{r.vm, r.generation}] {
			if version >= r.configVersion && at.Before(r.sent) {
				ck.recordViolationLocked("process went back to a configuration before version %d: %s", version, r)
			}
		}
	}
}

// checkColdServers checks that cold servers get no more requests in any second than
// allowed.
func (ck *checker) checkColdServers() {
	type coldArrival struct {
		at   time.Time
		from string // process of a VM
	}
	arrivals := map[string][]coldArrival{}
	for _, r := range ck.requests {
		for _, arrival := range r.arrivals {
			if arrival.Cold {
				arrivals[arrival.Server] = append(arrivals[arrival.Server], coldArrival{arrival.At, fmt.Sprintf("%s#%d", r.vm, r.generation)})
			}
		}
	}
	const limit = coldRequestsPerSecond*coldRateFactor + coldRateSlack
	for server, coldArrivals := range arrivals {
		slices.SortFunc(coldArrivals, func(a, b coldArrival) int { return a.at.Compare(b.at) })
		for i, first := range coldArrivals {
			n := 0
			senders := map[string]int{}
			for n = 0; i+n < len(coldArrivals) && coldArrivals[i+n].at.Sub(first.at) < time.Second; n++ {
				senders[coldArrivals[i+n].from]++
			}
			// Requests delayed by a link fault may arrive in the same second although
			// they were not sent in the same second.
			disturbed := slices.ContainsFunc(ck.serverLinkFaults[server], func(linkFault *interval) bool {
				return linkFault.overlaps(first.at.Add(-faultSettleTime), first.at.Add(time.Second))
			})
			if float64(n) > limit && !disturbed {
				ck.recordViolationLocked("cold server overloaded: %s got %d requests in the second from %s, %v allowed, by process %v", server, n, first.at.Format("15:04:05.000"), limit, senders)
				break
			}
		}
	}
}

// checkRetryBudget checks the retries of each service, which are the arrivals of a
// request after its first one. The retries within any retryWindow may be at most
// retryRatio times the number of requests, plus retrySlack. The number of requests is
// the largest of three counts: of the requests sent in the same window as the retries,
// in the window that starts retryWindow/2 earlier, and in the window that starts
// retryWindow earlier.
func (ck *checker) checkRetryBudget() {
	for _, service := range []string{serviceOne, serviceTwo} {
		var sentAt, retriedAt []time.Time
		for _, r := range ck.requests {
			if slices.Contains(r.allowedServices, service) {
				sentAt = append(sentAt, r.sent)
			}
			for i, arrival := range r.arrivals {
				if i > 0 && arrival.Service == service {
					retriedAt = append(retriedAt, arrival.At)
				}
			}
		}
		count := func(times []time.Time, from time.Time) (n int) {
			for _, at := range times {
				if !at.Before(from) && at.Before(from.Add(retryWindow)) {
					n++
				}
			}
			return n
		}
		for _, from := range retriedAt {
			requests := max(count(sentAt, from), count(sentAt, from.Add(-retryWindow)), count(sentAt, from.Add(-retryWindow/2)))
			if n := count(retriedAt, from); float64(n) > retryRatio*float64(requests)+retrySlack {
				ck.recordViolationLocked("retry budget exceeded: %d retries at service %s in the window from %s, with %d requests", n, service, from.Format("15:04:05.000"), requests)
				break
			}
		}
	}
}

// summary returns counts of requests, results and faults. They show whether a run had
// enough to check.
func (ck *checker) summary() string {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	count := map[int]int{}
	reachedServer, retries := 0, 0
	for _, r := range ck.requests {
		count[r.status]++
		if len(r.arrivals) > 0 {
			reachedServer++
			retries += len(r.arrivals) - 1
		}
	}
	var parts []string
	for status, n := range count {
		parts = append(parts, fmt.Sprintf("%d: %d", status, n))
	}
	slices.Sort(parts)
	return fmt.Sprintf("%d requests (by status, 0 if without an answer: %s), %d reached servers, %d retries, %d unplanned faults",
		len(ck.requests), strings.Join(parts, ", "), reachedServer, retries, len(ck.unplannedFaults))
}
