package e2e_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/standin/fakebackend"
)

// request is a request of a caller.
type request struct {
	method, path, key, tenant, body string
	header                          map[string]string
	timeout                         time.Duration // default 3 s; also sent as deadline
}

func lookup() request { return request{method: http.MethodGet, path: "/certificates"} }

func order(key string) request {
	return request{method: http.MethodPost, path: "/suspensions", key: key, body: "suspend " + key}
}

// result is what a caller saw of one request.
type result struct {
	id, key, vm string
	sent        time.Time
	kind        outcome.Kind
	reason      string
	status      int
	duplicate   bool  // answered from an earlier claim
	err         error // no answer, a cut-off answer, or that to another request
	head        fakebackend.ResponseMetadata
}

// ran reports whether the caller was told that this very request ran.
func (r *result) ran() bool { return r.kind == outcome.Answered && !r.duplicate && r.err == nil }

func (r *result) String() string {
	return fmt.Sprintf("%s via %s: %v %d %s err=%v", r.id, r.vm, r.kind, r.status, r.reason, r.err)
}

var requests atomic.Int64

// call sends one request through a VM and reads its whole answer.
func (c *cluster) call(v *entryVM, q request) *result {
	r := &result{id: fmt.Sprintf("r%d", requests.Add(1)), key: q.key, vm: v.id, sent: time.Now()}
	if q.timeout == 0 {
		q.timeout = 3 * time.Second
	}
	ctx, cancel := context.WithTimeout(context.Background(), q.timeout+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+v.caller+q.path, bytes.NewReader([]byte(q.body)))
	if err != nil {
		r.err = err
		return r
	}
	req.GetBody = nil // net/http would send a request with a key again by itself
	if q.body == "" {
		req.Body = http.NoBody
	}
	req.Header.Set(fakebackend.HeaderRequestID, r.id)
	req.Header.Set(outcome.HeaderDeadlineMs, strconv.FormatInt(q.timeout.Milliseconds(), 10))
	for name, value := range map[string]string{outcome.HeaderTenant: q.tenant, outcome.HeaderIdempotency: q.key} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	for name, value := range q.header {
		req.Header.Set(name, value)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		r.err = err
		return r
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	r.status, r.reason = resp.StatusCode, resp.Header.Get(outcome.HeaderReason)
	if err != nil {
		r.err = fmt.Errorf("answer is cut off: %w", err)
		return r
	}
	r.kind = outcome.ParseKind(resp.Header.Get(outcome.HeaderOutcome))
	r.duplicate = resp.Header.Get(outcome.HeaderEarlierStatus) != ""
	if r.kind == outcome.Answered && !r.duplicate {
		r.head, r.err = fakebackend.CheckResponse(r.id, []byte(q.body), answer)
	}
	return r
}

// untilRan repeats a request while it is refused as not run, since a receiver
// learns of the holders of a new cluster with a delay.
func (c *cluster) untilRan(v *entryVM, q request) *result {
	end := time.Now().Add(waitTimeout)
	for {
		r := c.call(v, q)
		if r.kind != outcome.NotRun || time.Now().After(end) {
			return r
		}
		time.Sleep(pollInterval)
	}
}

// load are callers that send requests until they are stopped.
type load struct {
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	mu      sync.Mutex
	results []*result
}

// startLoad starts n callers. each sends the requests of one round; a caller
// waits for pause between two rounds.
func startLoad(n int, pause time.Duration, each func(caller, round int) []*result) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel}
	for caller := range n {
		l.wg.Go(func() {
			for round := 0; ctx.Err() == nil; round++ {
				l.add(each(caller, round)...)
				select {
				case <-ctx.Done():
				case <-time.After(pause):
				}
			}
		})
	}
	return l
}

func (l *load) add(results ...*result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, results...)
}

// count returns the number of results so far that match.
func (l *load) count(match func(*result) bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.results {
		if match(r) {
			n++
		}
	}
	return n
}

// stop waits for the requests under way and returns all results.
func (l *load) stop() []*result {
	l.cancel()
	l.wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.results
}
