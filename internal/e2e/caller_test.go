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

// request is a request that a caller sends to an entry VM.
type request struct {
	method, path, key, tenant, body string
	header                          map[string]string
	timeout                         time.Duration // 0 means 3 s; also sent to the VM as the deadline
}

// lookupRequest returns a request that the route "certificates" leads to service lookups.
func lookupRequest() request { return request{method: http.MethodGet, path: "/certificates"} }

// orderRequest returns a request with an idempotency key that the route "suspensions"
// leads to service orders.
func orderRequest(key string) request {
	return request{method: http.MethodPost, path: "/suspensions", key: key, body: "suspend " + key}
}

// result is the outcome of one request as its caller saw it.
type result struct {
	id, key, vm string
	sent        time.Time
	kind        outcome.Kind
	reason      string
	status      int
	duplicate   bool  // answered from the claim of an earlier request with the same key
	err         error // no response, a truncated response, or the response to another request
	metadata    fakebackend.ResponseMetadata
}

// ran reports whether the response says that this request itself ran, and not an
// earlier one with the same key.
func (r *result) ran() bool { return r.kind == outcome.Answered && !r.duplicate && r.err == nil }

func (r *result) String() string {
	return fmt.Sprintf("%s via %s: %v %d %s err=%v", r.id, r.vm, r.kind, r.status, r.reason, r.err)
}

// requestCount is the number of requests sent by all callers. Request ids are
// derived from it, so they are unique within the test process.
var requestCount atomic.Int64

// call sends one request to VM v and reads the response to its end. Failures are
// reported in the result. It may be called from any goroutine.
func (c *cluster) call(v *entryVM, q request) *result {
	r := &result{id: fmt.Sprintf("r%d", requestCount.Add(1)), key: q.key, vm: v.id, sent: time.Now()}
	if q.timeout == 0 {
		q.timeout = 3 * time.Second
	}
	ctx, cancel := context.WithTimeout(context.Background(), q.timeout+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+v.callerAddress+q.path, bytes.NewReader([]byte(q.body)))
	if err != nil {
		r.err = err
		return r
	}
	req.GetBody = nil // otherwise net/http may resend a request with an idempotency key on its own
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
	resp, err := c.httpClient.Do(req)
	if err != nil {
		r.err = err
		return r
	}
	defer resp.Body.Close()
	responseBody, err := io.ReadAll(resp.Body)
	r.status, r.reason = resp.StatusCode, resp.Header.Get(outcome.HeaderReason)
	if err != nil {
		r.err = fmt.Errorf("response body is truncated: %w", err)
		return r
	}
	r.kind = outcome.ParseKind(resp.Header.Get(outcome.HeaderOutcome))
	r.duplicate = resp.Header.Get(outcome.HeaderEarlierStatus) != ""
	if r.kind == outcome.Answered && !r.duplicate {
		r.metadata, r.err = fakebackend.CheckResponse(r.id, []byte(q.body), responseBody)
	}
	return r
}

// retryWhileNotRun repeats a request while it is refused as not run, for at most
// waitTimeout, and returns the last result. In a new cluster the VM that receives
// the request gets the list of pool holders with a delay.
func (c *cluster) retryWhileNotRun(v *entryVM, q request) *result {
	deadline := time.Now().Add(waitTimeout)
	for {
		r := c.call(v, q)
		if r.kind != outcome.NotRun || time.Now().After(deadline) {
			return r
		}
		time.Sleep(pollInterval)
	}
}

// loadGenerator runs callers that send requests until stop is called, and
// collects their results. Its methods may be called from any goroutine.
type loadGenerator struct {
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	mu      sync.Mutex
	results []*result
}

// startLoad starts n concurrent callers. Each of them calls sendRound, which sends
// the requests of one round and returns their results, and then waits for
// roundPause before the next round.
func startLoad(n int, roundPause time.Duration, sendRound func(caller, round int) []*result) *loadGenerator {
	ctx, cancel := context.WithCancel(context.Background())
	l := &loadGenerator{cancel: cancel}
	for caller := range n {
		l.wg.Go(func() {
			for round := 0; ctx.Err() == nil; round++ {
				l.add(sendRound(caller, round)...)
				select {
				case <-ctx.Done():
				case <-time.After(roundPause):
				}
			}
		})
	}
	return l
}

func (l *loadGenerator) add(results ...*result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, results...)
}

// count returns how many of the results collected so far satisfy match.
func (l *loadGenerator) count(match func(*result) bool) int {
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

// stop ends the callers, waits until their requests in flight have finished, and
// returns all results.
func (l *loadGenerator) stop() []*result {
	l.cancel()
	l.wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.results
}
