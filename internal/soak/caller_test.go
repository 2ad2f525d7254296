package soak_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"time"

	"goldcresthinge.example/goldcresthinge/platform"
	"goldcresthinge.example/goldcresthinge/platform/platformtest"
)

const (
	callerTimeout = 1500 * time.Millisecond // sent as the deadline of each request
	dialTimeout   = time.Second
	// defaultRequestInterval is the mean time between two requests of a caller. With
	// the default number of callers, the load is well below the servers' capacity.
	defaultRequestInterval = 20 * time.Millisecond
	// longBodyBytes is the size of a long request body. It is larger than the bodies
	// that a VM buffers for a second attempt.
	longBodyBytes = 150 << 10
)

// caller sends requests to VMs and records the answers. It keeps a connection to each
// VM that it has used.
type caller struct {
	name            string
	cluster         *cluster
	rng             *rand.Rand
	requestInterval time.Duration // between two requests, on average
	conns           map[string]*callerConn
	requestNumber   int
	// successCount is the number of answers with a status below 300.
	successCount int
}

// callerConn is a connection of a caller. reused is true once it has carried an answer.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
	reused bool
}

func (c *caller) run(ctx context.Context) {
	defer func() {
		for _, conn := range c.conns {
			_ = conn.Close()
		}
	}()
	for ctx.Err() == nil {
		if v := c.cluster.pickVM(c.rng); v != nil {
			c.sendRequests(v)
		}
		time.Sleep(c.requestInterval/2 + time.Duration(c.rng.Int64N(int64(c.requestInterval))))
	}
}

// sendRequests sends one request, or with a probability of 1/10 two or three pipelined
// ones, to a VM and reads the answers. It keeps the connection until the VM or the
// network ends it, or an answer is wrong.
func (c *caller) sendRequests(v *vm) {
	generation := v.generation()
	conn := c.conns[v.callerAddress]
	if conn == nil {
		tcpConn, err := net.DialTimeout("tcp", v.callerAddress, dialTimeout) //nolint:noctx // bounded
		if err != nil {
			return // the VM is down
		}
		conn = &callerConn{Conn: tcpConn, reader: bufio.NewReader(tcpConn)}
		c.conns[v.callerAddress] = conn
	}
	n := 1
	if c.rng.IntN(10) == 0 {
		n = 2 + c.rng.IntN(2)
	}
	var sent []*request
	for range n {
		r, body := c.newRequest(v, generation, n > 1)
		r.connReused, r.pipelined = conn.reused, len(sent) > 0
		c.cluster.checker.addRequest(r)
		if err := c.send(conn, r, body); err != nil {
			c.recordResult(r, 0, false, err)
			c.closeConn(v)
			c.recordLostConn(sent, err)
			return
		}
		sent = append(sent, r)
	}
	for i, r := range sent {
		if err := c.receive(conn, r); err != nil {
			c.closeConn(v)
			c.recordLostConn(sent[i+1:], err)
			return
		}
		conn.reused = true
	}
	if conn.reader.Buffered() > 0 {
		c.cluster.checker.recordViolation("wrong answer: %s sent more bytes than the answers to %s and %d other requests", v.id, sent[0].id, len(sent)-1)
		c.closeConn(v)
	}
}

func (c *caller) closeConn(v *vm) {
	_ = c.conns[v.callerAddress].Close()
	delete(c.conns, v.callerAddress)
}

// newRequest draws a request and its body. Pipelined requests are idempotent and have
// no body.
func (c *caller) newRequest(v *vm, generation int, pipelined bool) (*request, []byte) {
	c.requestNumber++
	r := &request{
		id: fmt.Sprintf("%s-%d", c.name, c.requestNumber), method: http.MethodGet, vm: v.id, generation: generation, processStarted: v.started(), timeout: callerTimeout,
	}
	c.cluster.drawRoute(c.rng, r, pipelined)
	r.path = r.route.Prefix + strconv.Itoa(c.requestNumber) + "?q=" + c.name
	var body []byte
	if !r.route.Idempotent {
		r.method = http.MethodPost
		size := c.rng.IntN(400)
		if c.rng.IntN(30) == 0 {
			size = longBodyBytes
		}
		body = bytes.Repeat([]byte(r.id+" "), size/len(r.id)+1)
	}
	r.digest = platformtest.Digest(body)
	return r, body
}

func (c *caller) send(conn *callerConn, r *request, body []byte) error {
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", r.method, r.path, platformtest.Host,
		platform.HeaderRequestID, r.id, platform.HeaderDeadlineMs, r.timeout.Milliseconds())
	switch {
	case r.method == http.MethodGet:
		out.WriteString("\r\n")
	case c.rng.IntN(2) == 0:
		fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n%s", len(body), body)
	default:
		out.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		chunks := httputil.NewChunkedWriter(&out)
		for part := body; len(part) > 0; {
			n := min(len(part), 1+c.rng.IntN(20000))
			_, _ = chunks.Write(part[:n]) // writes into memory and cannot fail
			part = part[n:]
		}
		_ = chunks.Close()
		out.WriteString("\r\n")
	}
	r.sent = time.Now()
	_ = conn.SetDeadline(r.sent.Add(r.timeout + time.Second))
	_, err := conn.Write(out.Bytes())
	return err
}

// receive reads the answer to a request, checks it and records the result. It returns an
// error if the connection cannot be used again.
func (c *caller) receive(conn *callerConn, r *request) error {
	resp, err := http.ReadResponse(conn.reader, &http.Request{Method: r.method})
	if err != nil {
		c.recordResult(r, 0, false, err)
		return err
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		c.recordResult(r, 0, false, fmt.Errorf("answer with status %d is incomplete: %w", resp.StatusCode, err))
		return err
	}
	fromServer := resp.Header.Get(platform.HeaderStamp) != ""
	if id := resp.Header.Get(platform.HeaderRequestID); id != "" && id != r.id {
		c.cluster.checker.recordViolation("wrong answer: answer to request %s received for %s", id, r)
	}
	if resp.StatusCode < 300 {
		if want := platformtest.AnswerBody(r.id, r.method, r.path, r.digest); !fromServer || string(body) != want {
			c.cluster.checker.recordViolation("wrong answer: sent by a backend server: %v, body %q, want %q; request %s", fromServer, body, want, r)
		}
	}
	c.recordResult(r, resp.StatusCode, fromServer, nil)
	if resp.StatusCode < 300 {
		c.successCount++
	}
	if resp.Close {
		return io.EOF
	}
	return nil
}

func (c *caller) recordResult(r *request, status int, fromServer bool, err error) {
	c.cluster.checker.mu.Lock()
	defer c.cluster.checker.mu.Unlock()
	r.ended, r.status, r.fromServer, r.err = time.Now(), status, fromServer, err
}

// recordLostConn records that the connection ended before the answers to these requests.
func (c *caller) recordLostConn(unanswered []*request, err error) {
	for _, r := range unanswered {
		c.recordResult(r, 0, false, fmt.Errorf("connection ended before the answer: %w", err))
	}
}
