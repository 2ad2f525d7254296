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
	patience    = 1500 * time.Millisecond
	dialTimeout = time.Second
	// usualPause leaves the servers well below their limit.
	usualPause = 20 * time.Millisecond
	// longBody is above what a VM keeps for a second attempt.
	longBody = 150 << 10
)

// caller sends requests on kept connections, one to each VM that it has used.
type caller struct {
	name  string
	world *world
	rng   *rand.Rand
	pause time.Duration // between two requests, on average
	conns map[string]*callerConn
	next  int
	// served counts successful answers.
	served int
}

type callerConn struct {
	net.Conn
	in   *bufio.Reader
	used bool
}

func (c *caller) run(ctx context.Context) {
	defer func() {
		for _, conn := range c.conns {
			_ = conn.Close()
		}
	}()
	for ctx.Err() == nil {
		if v := c.world.pickVM(c.rng); v != nil {
			c.use(v)
		}
		time.Sleep(c.pause/2 + time.Duration(c.rng.Int64N(int64(c.pause))))
	}
}

// use sends one request, or several behind one another, to a VM. The connection
// is kept until the VM or the network ends it.
func (c *caller) use(v *vm) {
	generation := v.generation()
	conn := c.conns[v.callers]
	if conn == nil {
		raw, err := net.DialTimeout("tcp", v.callers, dialTimeout) //nolint:noctx // bounded
		if err != nil {
			return // the VM is down
		}
		conn = &callerConn{Conn: raw, in: bufio.NewReader(raw)}
		c.conns[v.callers] = conn
	}
	n := 1
	if c.rng.IntN(10) == 0 {
		n = 2 + c.rng.IntN(2)
	}
	var sent []*request
	for range n {
		r, body := c.draw(v, generation, n > 1)
		r.kept, r.behind = conn.used, len(sent) > 0
		c.world.ledger.add(r)
		if err := c.send(conn, r, body); err != nil {
			c.finish(r, 0, false, err)
			c.drop(v)
			c.finishAll(sent, err)
			return
		}
		sent = append(sent, r)
	}
	for i, r := range sent {
		if err := c.receive(conn, r); err != nil {
			c.drop(v)
			c.finishAll(sent[i+1:], err)
			return
		}
		conn.used = true
	}
	if conn.in.Buffered() > 0 {
		c.world.ledger.fail("mixed: %s has sent more than the answers to %s and %d others", v.id, sent[0].id, len(sent)-1)
		c.drop(v)
	}
}

func (c *caller) drop(v *vm) {
	_ = c.conns[v.callers].Close()
	delete(c.conns, v.callers)
}

// draw returns a new request. Requests that are sent behind one another are
// idempotent and short.
func (c *caller) draw(v *vm, generation int, short bool) (*request, []byte) {
	c.next++
	r := &request{
		id: fmt.Sprintf("%s-%d", c.name, c.next), method: http.MethodGet, vm: v.id, generation: generation, patience: patience,
	}
	c.world.drawRoute(c.rng, r, short)
	r.path = r.route.Prefix + strconv.Itoa(c.next) + "?q=" + c.name
	var body []byte
	if !r.route.Idempotent {
		r.method = http.MethodPost
		size := c.rng.IntN(400)
		if c.rng.IntN(30) == 0 {
			size = longBody
		}
		body = bytes.Repeat([]byte(r.id+" "), size/len(r.id)+1)
	}
	r.digest = platformtest.Digest(body)
	return r, body
}

func (c *caller) send(conn *callerConn, r *request, body []byte) error {
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", r.method, r.path, platformtest.Host,
		platform.HeaderRequestID, r.id, platform.HeaderDeadlineMs, r.patience.Milliseconds())
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
			_, _ = chunks.Write(part[:n]) // into memory
			part = part[n:]
		}
		_ = chunks.Close()
		out.WriteString("\r\n")
	}
	r.sent = time.Now()
	_ = conn.SetDeadline(r.sent.Add(r.patience + time.Second))
	_, err := conn.Write(out.Bytes())
	return err
}

// receive reads the answer to a request. An error means that the connection
// cannot be used again.
func (c *caller) receive(conn *callerConn, r *request) error {
	resp, err := http.ReadResponse(conn.in, &http.Request{Method: r.method})
	if err != nil {
		c.finish(r, 0, false, err)
		return err
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		c.finish(r, 0, false, fmt.Errorf("answer with status %d broke off: %w", resp.StatusCode, err))
		return err
	}
	genuine := resp.Header.Get(platform.HeaderStamp) != ""
	if id := resp.Header.Get(platform.HeaderRequestID); id != "" && id != r.id {
		c.world.ledger.fail("mixed: answer to %s for %s", id, r)
	}
	if resp.StatusCode < 300 {
		if want := platformtest.AnswerBody(r.id, r.method, r.path, r.digest); !genuine || string(body) != want {
			c.world.ledger.fail("mixed: proof %v, %q instead of %q: %s", genuine, body, want, r)
		}
	}
	c.finish(r, resp.StatusCode, genuine, nil)
	if resp.StatusCode < 300 {
		c.served++
	}
	if resp.Close {
		return io.EOF
	}
	return nil
}

func (c *caller) finish(r *request, status int, genuine bool, err error) {
	c.world.ledger.mu.Lock()
	defer c.world.ledger.mu.Unlock()
	r.ended, r.status, r.genuine, r.err = time.Now(), status, genuine, err
}

func (c *caller) finishAll(rest []*request, err error) {
	for _, r := range rest {
		c.finish(r, 0, false, fmt.Errorf("sent behind another request: %w", err))
	}
}
