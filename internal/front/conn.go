// Package front accepts the connections and requests of callers and sends the
// requests to backend servers. It reads connections ahead of net/http to detect
// that a caller has closed the connection even if further pipelined requests
// wait behind the one in progress.
package front

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// maxReadAhead is the number of unread bytes of a connection at which reading ahead
// pauses until the HTTP server has read some of them. It is enough for several pipelined
// requests without a body.
const maxReadAhead = 32 << 10

// Conn is a connection of a caller that is read ahead of the HTTP server. Its
// methods are safe for concurrent use.
type Conn struct {
	net.Conn
	cancel   context.CancelCauseFunc
	ctx      context.Context
	timeouts func() Timeouts

	mu           sync.Mutex
	cond         *sync.Cond
	unread       []byte
	err          error // why the input ended; nil while it goes on
	readDeadline time.Time
	readTimer    *time.Timer

	closeTimer *time.Timer // closes the connection when a timeout expires
	idleSince  time.Time   // start of the wait for a request; zero during one
	onClose    func()      // called once when the connection is closed by this side
}

// Timeouts bound how long a caller may take. A field of zero means no limit.
type Timeouts struct {
	Header time.Duration // from the first byte of a request, or the start of a connection, to the end of the header
	Idle   time.Duration // between two requests
}

// errCallerLeft is the cause with which the context of a caller's requests is
// cancelled after the connection has ended, by either side.
var errCallerLeft = errors.New("the caller closed the connection")

// Listener accepts connections as Conns. It is safe for concurrent use.
type Listener struct {
	net.Listener
	timeouts func() Timeouts

	mu    sync.Mutex // taken before Conn.mu
	conns map[*Conn]struct{}
}

// Listen returns a TCP listener on an address. It does without Multipath TCP, which supports
// no socket filter (see Drain).
func Listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	return config.Listen(ctx, "tcp", address)
}

// NewListener wraps l. timeouts is called whenever a timeout starts and must be
// safe for concurrent use.
func NewListener(l net.Listener, timeouts func() Timeouts) *Listener {
	return &Listener{Listener: l, timeouts: timeouts, conns: map[*Conn]struct{}{}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := newConn(nc, l.timeouts)
	c.onClose = func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, c)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// closeIdle closes the connections that have waited for a request since before the given
// time, and returns the number of the others.
func (l *Listener) closeIdle(before time.Time) int {
	l.mu.Lock()
	var idle []*Conn
	for c := range l.conns {
		if c.endIfIdle(before) {
			idle = append(idle, c)
		}
	}
	left := len(l.conns) - len(idle)
	l.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
	return left
}

func newConn(nc net.Conn, timeouts func() Timeouts) *Conn {
	c := &Conn{Conn: nc, timeouts: timeouts, idleSince: time.Now()}
	c.cond = sync.NewCond(&c.mu)
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	go c.readLoop()
	return c
}

// endIfIdle ends the input of the connection if it has waited for a request since before the
// given time, and reports whether it did.
func (c *Conn) endIfIdle(before time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince.IsZero() || !c.idleSince.Before(before) || len(c.unread) > 0 {
		return false
	}
	if c.err == nil {
		c.err = net.ErrClosed
	}
	c.cond.Broadcast()
	return true
}

// Context returns a context that is cancelled when the connection has ended,
// by either side.
func (c *Conn) Context() context.Context { return c.ctx }

// readLoop reads ahead until the connection ends.
func (c *Conn) readLoop() {
	chunk := make([]byte, 4<<10)
	for {
		n, err := c.Conn.Read(chunk)
		c.mu.Lock()
		c.unread = append(c.unread, chunk[:n]...)
		if err != nil {
			c.err = err
		}
		c.cond.Broadcast()
		for len(c.unread) >= maxReadAhead && c.err == nil {
			c.cond.Wait()
		}
		ended := c.err != nil
		c.mu.Unlock()
		if ended {
			c.cancel(errCallerLeft)
			return
		}
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		if !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline) {
			return 0, os.ErrDeadlineExceeded
		}
		if len(c.unread) > 0 {
			n := copy(p, c.unread)
			c.unread = c.unread[n:]
			c.idleSince = time.Time{}
			if len(c.unread) == 0 {
				c.unread = nil
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

// SetReadDeadline implements net.Conn. The deadline applies to Read, not to
// reading ahead.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.readTimer != nil {
		c.readTimer.Stop()
		c.readTimer = nil
	}
	if !t.IsZero() {
		c.readTimer = time.AfterFunc(time.Until(t), func() {
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
	if c.err == nil {
		c.err = net.ErrClosed
	}
	c.stopCloseTimer()
	c.cond.Broadcast()
	onClose := c.onClose
	c.onClose = nil
	c.mu.Unlock()
	if onClose != nil {
		onClose()
	}
	return err
}

// StartHeaderTimeout starts the timeout for the header of a request.
func (c *Conn) StartHeaderTimeout() { c.startCloseTimer(c.timeouts().Header) }

// StartIdleTimeout starts the timeout for the time between two requests.
func (c *Conn) StartIdleTimeout() {
	c.startCloseTimer(c.timeouts().Idle)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = time.Now()
}

// StartRequest stops the running timeout and ends the idle time. It is called once the header
// of a request has been read. Read does not see the start of each request: net/http may have read
// it together with the one before.
func (c *Conn) StartRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopCloseTimer()
	c.idleSince = time.Time{}
}

func (c *Conn) startCloseTimer(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopCloseTimer()
	if d > 0 && c.err == nil {
		c.closeTimer = time.AfterFunc(d, func() { _ = c.Close() })
	}
}

func (c *Conn) stopCloseTimer() {
	if c.closeTimer != nil {
		c.closeTimer.Stop()
		c.closeTimer = nil
	}
}
