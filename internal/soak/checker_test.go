package soak_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"goldcresthinge.example/goldcresthinge/platform/platformtest"
)

// request is a request of a caller and what callers and servers saw of it.
type request struct {
	id, method, path, digest string
	route                    platformtest.Route
	services                 []string // to which any configuration allowed it to go
	version                  int      // of the configuration that added the route
	vm                       string
	generation               int
	patience                 time.Duration
	sent, ended              time.Time
	kept                     bool // sent on a connection that had carried an answer
	behind                   bool // sent behind a request that had no answer yet

	status  int // 0: no answer
	genuine bool
	err     error

	runs []platformtest.RecordedRequest
}

func (r *request) String() string {
	text := fmt.Sprintf("%s %s %s via %s#%d, sent %s, ended after %v with status %d, %v", r.id, r.method, r.path, r.vm, r.generation,
		r.sent.Format("05.000"), r.ended.Sub(r.sent).Round(time.Millisecond), r.status, r.err)
	for _, run := range r.runs {
		text += fmt.Sprintf("; at %s (%s) %s ran=%v status=%d", run.Server, run.Service, run.At.Format("05.000"), run.Ran, run.Status)
	}
	return text
}

// span is a time in which something was the case. A zero end means still.
type span struct{ from, to time.Time }

func (s span) overlaps(from, to time.Time) bool {
	return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
}

// absence is a time in which a server or a failure domain must get no requests.
type absence struct {
	server, domain string
	span
	announced time.Time
}

// change is a configuration that was stored.
type change struct {
	version int
	stored  time.Time
}

// ledger records what callers and servers see.
type ledger struct {
	mu        sync.Mutex
	requests  map[string]*request
	trouble   []*span            // unplanned faults
	linkFault map[string][]*span // by server: its link was disturbed
	absences  []*absence
	changes   []change
	broken    []string
}

func newLedger() *ledger {
	return &ledger{requests: map[string]*request{}, linkFault: map[string][]*span{}}
}

// fail records a broken promise.
func (l *ledger) fail(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failLocked(format, args...)
}

func (l *ledger) failLocked(format string, args ...any) {
	l.broken = append(l.broken, fmt.Sprintf(format, args...))
}

func (l *ledger) add(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[r.id] = r
}

// reached is called by servers for each request.
func (l *ledger) reached(run platformtest.RecordedRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.requests[run.ID]
	if !ok {
		l.failLocked("unasked: %s got a request %q that no caller sent", run.Server, run.ID)
		return
	}
	r.runs = append(r.runs, run)
	if run.Method != r.method || run.Path != r.path || run.Digest != r.digest {
		l.failLocked("changed: %s got %s %s %s instead of %s", run.Server, run.Method, run.Path, run.Digest, r)
	}
	if run.Timeout <= 0 || run.Timeout > r.patience {
		l.failLocked("deadline: %s was given %v of %v: %s", run.Server, run.Timeout, r.patience, r)
	}
	if !slices.Contains(r.services, run.Service) {
		l.failLocked("route: service %s is none of %v: %s", run.Service, r.services, r)
	}
}

// begin records the start of an unplanned fault and returns its end.
func (l *ledger) begin() (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &span{from: time.Now()}
	l.trouble = append(l.trouble, s)
	return l.ender(s)
}

// beginLink records that the link to a server is disturbed.
func (l *ledger) beginLink(server string) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &span{from: time.Now()}
	l.linkFault[server] = append(l.linkFault[server], s)
	return l.ender(s)
}

// beginAbsence records that a server or failure domain must get no requests
// after within.
func (l *ledger) beginAbsence(a absence, within time.Duration) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.announced = time.Now()
	a.from = a.announced.Add(within)
	l.absences = append(l.absences, &a)
	return l.ender(&a.span)
}

func (l *ledger) ender(s *span) func() {
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		s.to = time.Now()
	}
}

// calm reports whether no unplanned fault was there from some time before from
// until to.
func (l *ledger) calm(from, to time.Time) bool {
	for _, s := range l.trouble {
		if s.overlaps(from.Add(-settleAfterTrouble), to) {
			return false
		}
	}
	return true
}

// check returns the broken promises. With bounds, those in time count as well.
func (l *ledger) check(bounds bool) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.requests {
		l.checkRequest(r)
		if bounds {
			l.checkInTime(r)
		}
	}
	l.checkVersions()
	l.checkCold()
	l.checkRetries()
	return l.broken
}

func (l *ledger) checkRequest(r *request) {
	ran := 0
	servers := map[string]bool{}
	failures := 0
	for _, run := range r.runs {
		if run.Ran {
			ran++
			servers[run.Server] = true
		}
		if run.Status >= 300 {
			failures++
		}
	}
	refused := r.status == 429 || r.status == 503 || r.status == 408 || r.status == 421
	switch {
	case !r.route.Idempotent && ran > 1:
		l.failLocked("twice: %s", r)
	case !r.route.Idempotent && refused && ran > 0:
		l.failLocked("refused as not run: %s", r)
	case len(servers) > r.route.MaxAttempts:
		l.failLocked("attempts: %s", r)
	case r.status >= 300 && r.genuine && failures == 0:
		l.failLocked("mixed: no server failed: %s", r)
	case r.status == 200 && ran == 0:
		l.failLocked("mixed: no server ran it: %s", r)
	}
	// Planned work must not cost an answer.
	if ran > 0 && failures == 0 && r.status != 200 && r.ended.Sub(r.sent) < r.patience && l.calm(r.sent, r.ended) {
		l.failLocked("lost without a fault: %s", r)
	}
}

// checkInTime checks the promises that hold some time after an event.
func (l *ledger) checkInTime(r *request) {
	for _, run := range r.runs {
		for _, a := range l.absences {
			if (a.server == run.Server || a.domain == run.FailureDomain) && a.overlaps(run.At, run.At.Add(1)) &&
				l.calm(a.announced, run.At) {
				l.failLocked("left %v before: %s", run.At.Sub(a.announced), r)
			}
		}
	}
	for _, c := range l.changes {
		if c.version == r.version && r.status == 404 && r.sent.After(c.stored.Add(configureWithin)) && l.calm(c.stored, r.ended) {
			l.failLocked("configuration is late: %s", r)
		}
	}
	if r.status == 0 && r.kept && !r.behind && r.ended.Sub(r.sent) > lossSlack && r.ended.Sub(r.sent) < r.patience && l.calm(r.sent, r.ended) {
		l.failLocked("no answer without a fault: %s", r)
	}
}

// checkVersions checks that no process goes back to an older configuration.
func (l *ledger) checkVersions() {
	type process struct {
		vm         string
		generation int
	}
	first := map[process]map[int]time.Time{} // end of the first request that showed a version
	for _, r := range l.requests {
		if r.version == 0 || r.status != 200 {
			continue
		}
		p := process{r.vm, r.generation}
		if first[p] == nil {
			first[p] = map[int]time.Time{}
		}
		if at, ok := first[p][r.version]; !ok || r.ended.Before(at) {
			first[p][r.version] = r.ended
		}
	}
	for _, r := range l.requests {
		if r.status != 404 {
			continue
		}
		for version, at := range first[process{r.vm, r.generation}] {
			if version >= r.version && at.Before(r.sent) {
				l.failLocked("went back to a version before %d: %s", version, r)
			}
		}
	}
}

// checkCold checks the requests of each second at cold servers.
func (l *ledger) checkCold() {
	type arrival struct {
		at   time.Time
		from string // the VM's process
	}
	arrivals := map[string][]arrival{}
	for _, r := range l.requests {
		for _, run := range r.runs {
			if run.Cold {
				arrivals[run.Server] = append(arrivals[run.Server], arrival{run.At, fmt.Sprintf("%s#%d", r.vm, r.generation)})
			}
		}
	}
	const limit = coldPerSecond*coldFactor + coldSlack
	for server, list := range arrivals {
		slices.SortFunc(list, func(a, b arrival) int { return a.at.Compare(b.at) })
		for i, first := range list {
			n := 0
			senders := map[string]int{}
			for n = 0; i+n < len(list) && list[i+n].at.Sub(first.at) < time.Second; n++ {
				senders[list[i+n].from]++
			}
			// Requests held up by a link were not sent in the same second.
			disturbed := slices.ContainsFunc(l.linkFault[server], func(s *span) bool {
				return s.overlaps(first.at.Add(-settleAfterTrouble), first.at.Add(time.Second))
			})
			if float64(n) > limit && !disturbed {
				l.failLocked("cold: %s got %d requests in the second from %s, %v allowed, by VM %v", server, n, first.at.Format("05.000"), limit, senders)
				break
			}
		}
	}
}

// checkRetries checks the arrivals beyond the first of each request.
func (l *ledger) checkRetries() {
	for _, service := range []string{serviceOne, serviceTwo} {
		var asked, again []time.Time
		for _, r := range l.requests {
			if slices.Contains(r.services, service) {
				asked = append(asked, r.sent)
			}
			for i, run := range r.runs {
				if i > 0 && run.Service == service {
					again = append(again, run.At)
				}
			}
		}
		count := func(list []time.Time, from time.Time) (n int) {
			for _, at := range list {
				if !at.Before(from) && at.Before(from.Add(retryWindow)) {
					n++
				}
			}
			return n
		}
		for _, from := range again {
			earned := max(count(asked, from), count(asked, from.Add(-retryWindow)), count(asked, from.Add(-retryWindow/2)))
			if n := count(again, from); float64(n) > retryRatio*float64(earned)+retrySlack {
				l.failLocked("retries: %d at %s from %s with %d requests", n, service, from.Format("05.000"), earned)
				break
			}
		}
	}
}

// summary counts outcomes, which shows that a run had something to check.
func (l *ledger) summary() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := map[int]int{}
	ran, again := 0, 0
	for _, r := range l.requests {
		count[r.status]++
		if len(r.runs) > 0 {
			ran++
			again += len(r.runs) - 1
		}
	}
	var parts []string
	for status, n := range count {
		parts = append(parts, fmt.Sprintf("%d: %d", status, n))
	}
	slices.Sort(parts)
	return fmt.Sprintf("%d requests (by status %s), %d reached servers, %d arrivals beyond the first, %d faults",
		len(l.requests), strings.Join(parts, ", "), ran, again, len(l.trouble))
}
