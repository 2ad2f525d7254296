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

	"goldcresthinge.example/goldcresthinge/internal/capacity"
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

	guard *guard

	mu           sync.Mutex
	cond         *sync.Cond
	unread       []byte
	err          error // why the input ended; nil while it goes on
	phase        phase
	head         headScanner
	headSince    time.Time    // arrival of the first byte of the head that is received; zero before
	admitting    bool         // the head is complete and memory for it is being taken
	passable     int64        // bytes of unread that Read may return in phaseParsing and phaseBody
	chunks       chunkScanner // in phaseChunks
	headCost     int64        // bytes of capacity.Heads
	readAhead    int64        // bytes of capacity.ReadAhead
	readDeadline time.Time
	readTimer    *time.Timer

	closed     bool        // this side has ended the input
	lingering  bool        // readLoop discards the input and then closes the socket
	closeTimer *time.Timer // closes the connection when a timeout expires
	idleTimer  bool        // closeTimer is that of the idle timeout
	idleSince  time.Time   // start of the wait for a request; zero during one
	onClose    func()      // called once, under mu, when the socket is closed
}

// Timeouts bound how long a caller may take. A field of zero means no limit.
type Timeouts struct {
	Header time.Duration // from the first byte of a request, or the start of a connection, to the end of the header
	Idle   time.Duration // between two requests
}

// errCallerLeft is the cause with which the context of a caller's requests is
// cancelled after the connection has ended, by either side.
var errCallerLeft = errors.New("the caller closed the connection")

func newConn(nc net.Conn, timeouts func() Timeouts, g *guard, onClose func(*Conn)) *Conn {
	c := &Conn{Conn: nc, timeouts: timeouts, guard: g, idleSince: time.Now()}
	c.onClose = func() { onClose(c) }
	c.cond = sync.NewCond(&c.mu)
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	go c.readLoop()
	return c
}

// Context returns a context that is cancelled when the connection has ended,
// by either side.
func (c *Conn) Context() context.Context { return c.ctx }

// readLoop reads ahead until the input ends.
func (c *Conn) readLoop() {
	chunk := make([]byte, readAheadFree)
	for c.waitForMemory() {
		n, err := c.Conn.Read(chunk)
		if !c.keep(chunk[:n], err) {
			break
		}
	}
	c.cancel(errCallerLeft)
	c.discardInput(chunk)
}

// keep stores what readLoop has read, waits while it is too much, and reports whether the input
// goes on. Input that arrives after Close is dropped.
func (c *Conn) keep(p []byte, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return false
	}
	c.unread = append(c.unread, p...)
	c.err = err
	if len(p) > 0 && c.phase == phaseHead && c.headSince.IsZero() {
		c.startHeadLocked()
	}
	c.cond.Broadcast()
	for len(c.unread) >= c.maxUnreadLocked() && c.err == nil {
		c.cond.Wait()
	}
	return c.err == nil
}

// Read implements net.Conn. It returns the bytes of a head only once all of it has been
// received and is within the limits, and nothing of the next request before the one in progress
// has ended.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		if !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline) {
			return 0, os.ErrDeadlineExceeded
		}
		if c.phase == phaseHead && len(c.unread) > 0 {
			if err := c.admitHeadLocked(); err != nil {
				return 0, err
			}
		}
		n, err := c.passLocked(p)
		if n > 0 || err != nil {
			return n, err
		}
		if c.err != nil && (len(c.unread) == 0 || c.phase == phaseHead) {
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

// StartHeaderTimeout starts the timeout for the header of a request unless it is running.
func (c *Conn) StartHeaderTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeTimer == nil || c.idleTimer {
		c.startCloseTimerLocked(c.timeouts().Header)
	}
}

// StartIdleTimeout ends the request in progress and starts the timeout for the time until the
// next one.
func (c *Conn) StartIdleTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.head, c.headSince = phaseHead, headScanner{}, time.Time{}
	c.guard.release(capacity.Heads, c.headCost)
	c.headCost = 0
	c.idleSince = time.Now()
	if len(c.unread) > 0 {
		c.startHeadLocked()
	} else {
		c.startCloseTimerLocked(c.timeouts().Idle)
		c.idleTimer = true
	}
	c.cond.Broadcast()
}

// StartRequest stops the running timeout and ends the idle time. It is called once the header
// of a request has been read. StartRequest reports false if the connection has been closed
// meanwhile, so that the request cannot be answered.
func (c *Conn) StartRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopCloseTimer()
	c.idleSince = time.Time{}
	return !c.closed
}

// StartBody lets Read return the body of the request that has started. length is that of the body,
// or -1 if it is sent in chunks.
func (c *Conn) StartBody(length int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.passable = phaseBody, length
	if length < 0 {
		c.phase, c.chunks = phaseChunks, chunkScanner{}
	}
	c.cond.Broadcast()
}

func (c *Conn) startCloseTimerLocked(d time.Duration) {
	c.stopCloseTimer()
	if d <= 0 || c.err != nil {
		return
	}
	var t *time.Timer
	t = time.AfterFunc(d, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		// The timer may have been stopped after it expired.
		if c.closeTimer == t {
			_ = c.closeLocked()
		}
	})
	c.closeTimer = t
}

func (c *Conn) stopCloseTimer() {
	c.idleTimer = false
	if c.closeTimer != nil {
		c.closeTimer.Stop()
		c.closeTimer = nil
	}
}
