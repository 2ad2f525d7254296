// Package front listens for callers. Its connections are read ahead of the
// server, so that a caller who leaves is noticed although further requests of
// the same connection wait behind the one in progress.
package front

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// readAhead is how much of a connection is read before the server asks for it.
// It holds several pipelined requests without body. Unit: bytes.
const readAhead = 32 << 10

// Conn is a caller's connection. Read follows net.Conn.
type Conn struct {
	net.Conn
	gone   context.CancelCauseFunc
	ctx    context.Context
	limits func() Timeouts

	mu       sync.Mutex
	cond     *sync.Cond
	buf      []byte
	err      error // end of the input
	deadline time.Time
	timer    *time.Timer

	watch *time.Timer // closes the connection when a limit is reached
}

// Timeouts bound how long a caller may take. A zero field means no limit.
type Timeouts struct {
	Header time.Duration // from the first byte of a request to the end of its head
	Idle   time.Duration // between two requests
}

// errCallerLeft is the cause of the context of a caller's requests after the
// caller closed the connection.
var errCallerLeft = errors.New("the caller closed the connection")

// Listener accepts Conns.
type Listener struct {
	net.Listener
	limits func() Timeouts
}

// NewListener wraps l. limits is asked whenever a limit starts to run.
func NewListener(l net.Listener, limits func() Timeouts) *Listener {
	return &Listener{Listener: l, limits: limits}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(nc, l.limits), nil
}

func newConn(nc net.Conn, limits func() Timeouts) *Conn {
	c := &Conn{Conn: nc, limits: limits}
	c.cond = sync.NewCond(&c.mu)
	c.ctx, c.gone = context.WithCancelCause(context.Background())
	go c.pump()
	return c
}

// Context ends when the caller has closed the connection.
func (c *Conn) Context() context.Context { return c.ctx }

// pump reads ahead until the connection ends.
func (c *Conn) pump() {
	chunk := make([]byte, 4<<10)
	for {
		n, err := c.Conn.Read(chunk)
		c.mu.Lock()
		c.buf = append(c.buf, chunk[:n]...)
		if err != nil {
			c.err = err
		}
		c.cond.Broadcast()
		for len(c.buf) >= readAhead && c.err == nil {
			c.cond.Wait()
		}
		ended := c.err != nil
		c.mu.Unlock()
		if ended {
			c.gone(errCallerLeft)
			return
		}
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		if !c.deadline.IsZero() && !time.Now().Before(c.deadline) {
			return 0, os.ErrDeadlineExceeded
		}
		if len(c.buf) > 0 {
			n := copy(p, c.buf)
			c.buf = c.buf[n:]
			if len(c.buf) == 0 {
				c.buf = nil
			}
			c.cond.Broadcast()
			return n, nil
		}
		if c.err != nil {
			return 0, c.err
		}
		c.cond.Wait()
	}
}

// SetReadDeadline implements net.Conn. It bounds Read, not the reading ahead.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	if !t.IsZero() {
		c.timer = time.AfterFunc(time.Until(t), func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.cond.Broadcast()
		})
	}
	c.cond.Broadcast()
	return nil
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = net.ErrClosed
	}
	c.stopWatch()
	c.cond.Broadcast()
	return err
}

// ReadingHead starts the limit for the head of a request.
func (c *Conn) ReadingHead() { c.startWatch(c.limits().Header) }

// Idle starts the limit for the time between two requests.
func (c *Conn) Idle() { c.startWatch(c.limits().Idle) }

// Serving ends the limits while a request is served.
func (c *Conn) Serving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopWatch()
}

func (c *Conn) startWatch(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopWatch()
	if d > 0 && c.err == nil {
		c.watch = time.AfterFunc(d, func() { _ = c.Close() })
	}
}

func (c *Conn) stopWatch() {
	if c.watch != nil {
		c.watch.Stop()
		c.watch = nil
	}
}
