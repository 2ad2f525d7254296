package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"goldcresthinge.example/goldcresthinge/platform"
	"goldcresthinge.example/goldcresthinge/platform/platformtest"
)

// request is a request of a caller, with its answer and its arrivals at servers.
type request struct {
	id, method, path string
	safe             bool
	vm               string
	sent, ended      time.Time
	status           int // 0: no answer
	fromServer       bool
	err              error
	arrivals         []arrival
}

// arrival is the arrival of a request at a server.
type arrival struct {
	at     time.Time
	server string
	ran    bool
	status int
}

func (q *request) lines() []line {
	out := []line{{q.sent, fmt.Sprintf("sent     %s %s %s to %s", q.id, q.method, q.path, q.vm)}}
	for _, a := range q.arrivals {
		out = append(out, line{a.at, fmt.Sprintf("arrives  %s at %s, run: %v, status %d", q.id, a.server, a.ran, a.status)})
	}
	if !q.ended.IsZero() {
		out = append(out, line{q.ended, fmt.Sprintf("answered %s with status %d, from a server: %v, error: %v", q.id, q.status, q.fromServer, q.err)})
	}
	return out
}

// add registers a request before it is sent.
func (r *run) add(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[q.id] = q
	r.order = append(r.order, q)
}

// arrived records the arrival of a request at a server.
func (r *run) arrived(x platformtest.RecordedRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q, ok := r.requests[x.ID]; ok {
		q.arrivals = append(q.arrivals, arrival{x.At, x.Server, x.Ran, x.Status})
	}
}

// caller sends one request after another to a VM, on a connection that it keeps.
type caller struct {
	run      *run
	name     string
	vm       *vm
	interval time.Duration // mean time between two requests
	rng      *rand.Rand
	conn     net.Conn
	reader   *bufio.Reader
	n        int
}

const (
	// callerDeadline is the time for which callers wait for an answer.
	callerDeadline = 1500 * time.Millisecond
	// unsafeShare is the share of the requests that go to the route whose requests may run once.
	unsafeShare = 0.5
)

// callAll starts perVM callers for each VM, which send a request at each interval on average. end
// ends them and waits for their last answers.
func (r *run) callAll(perVM int, interval time.Duration) (end func()) {
	stop := make(chan struct{})
	var callers sync.WaitGroup
	total := uint64(0)
	for _, v := range r.vms {
		for k := range perVM {
			total++
			c := &caller{
				run: r, name: fmt.Sprintf("%s.%d", v.id, k), vm: v, interval: interval,
				rng: rand.New(rand.NewPCG(r.seed, total)), //nolint:gosec // no secret
			}
			callers.Go(func() { c.loop(stop) })
		}
	}
	return func() {
		close(stop)
		callers.Wait()
	}
}

func (c *caller) loop(stop <-chan struct{}) {
	defer c.close()
	for {
		select {
		case <-stop:
			return
		case <-time.After(c.interval/2 + time.Duration(c.rng.Int64N(int64(c.interval)))):
		}
		c.call()
	}
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// call sends a request and waits for its answer.
func (c *caller) call() {
	c.n++
	q := &request{id: fmt.Sprintf("%s-%d", c.name, c.n), method: http.MethodGet, safe: true, vm: c.vm.id}
	prefix, body := "/lookup/", ""
	if c.rng.Float64() < unsafeShare {
		q.method, q.safe, prefix, body = http.MethodPost, false, "/order/", "order "+q.id
	}
	q.path = prefix + strconv.Itoa(c.n)
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.vm.callers, time.Second) //nolint:noctx // bounded
		if err != nil {
			return
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	c.run.add(q)
	q.sent = time.Now()
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s", q.method, q.path, platformtest.Host,
		platform.HeaderRequestID, q.id, platform.HeaderDeadlineMs, callerDeadline.Milliseconds(), len(body), body)
	_ = c.conn.SetDeadline(q.sent.Add(callerDeadline))
	status, fromServer, keep, err := c.exchange(out.Bytes(), q.method)
	c.run.mu.Lock()
	q.ended, q.status, q.fromServer, q.err = time.Now(), status, fromServer, err
	c.run.mu.Unlock()
	if !keep {
		c.close()
	}
}

func (c *caller) exchange(out []byte, method string) (status int, fromServer, keep bool, err error) {
	if _, err := c.conn.Write(out); err != nil {
		return 0, false, false, err
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return 0, false, false, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get(platform.HeaderStamp) != "", err == nil && !resp.Close, err
}
