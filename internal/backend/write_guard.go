package backend

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

// errAlreadySent is the error of a second attempt to write a call, which
// net/http makes after a connection has broken.
var errAlreadySent = errors.New("call was already sent on another connection")

// writeGuard decides whether the bytes of one call may be written. It allows
// the first write only if check returns no error, and records the connection,
// which prevents writes of the call to any other connection. If check returns an error,
// cancel is called.
type writeGuard struct {
	check    func() error
	cancel   func()
	sentOn   atomic.Pointer[guardedConn]
	checkErr atomic.Pointer[error]
	// reusedConn is true if an earlier call was sent on the connection of this one.
	reusedConn atomic.Bool
}

// allowWrite is called before each write on c. It returns an error if the write
// must not take place.
func (g *writeGuard) allowWrite(c *guardedConn) error {
	sentOn := g.sentOn.Load()
	if sentOn == c {
		return nil
	}
	if sentOn != nil {
		return errAlreadySent
	}
	if err := g.check(); err != nil {
		g.checkErr.Store(&err)
		g.cancel()
		return err
	}
	c.heads.expect()
	g.sentOn.Store(c)
	return nil
}

// sent reports whether a byte of the call may have left this process.
func (g *writeGuard) sent() bool { return g.sentOn.Load() != nil }

// guardedConn is a connection to a target that asks the writeGuard of the call
// in progress before each write. HTTP/1.1 without pipelining has one call per
// connection at a time.
type guardedConn struct {
	net.Conn
	guard    atomic.Pointer[writeGuard]
	rejected atomic.Bool // see reject
	heads    responseHeads
}

// responseHeads checks the heads of the response to the call in progress. It is safe for concurrent
// use: net/http writes and reads in two goroutines.
type responseHeads struct {
	mu      sync.Mutex
	scanner headScanner
}

// expect is called before the first byte of a call is written.
func (h *responseHeads) expect() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.scanner.start()
}

// check is called for all bytes that are read.
func (h *responseHeads) check(p []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(p) > 0 && h.scanner.inHead {
		n, err := h.scanner.scan(p)
		if err != nil {
			return err
		}
		p = p[n:]
		if !h.scanner.inHead && h.scanner.statusClass == '1' {
			h.scanner.start() // the final response follows
		}
	}
	return nil
}

// Read implements net.Conn.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if headErr := c.heads.check(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// reject closes the connection. net/http may still choose it for the next call until it has
// noticed. Nothing is written then, so that the call can go to another connection.
func (c *guardedConn) reject() {
	c.rejected.Store(true)
	_ = c.Close()
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	if c.rejected.Load() {
		return 0, net.ErrClosed
	}
	if g := c.guard.Load(); g != nil {
		if err := g.allowWrite(c); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}
