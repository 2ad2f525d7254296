package backend

import (
	"errors"
	"net"
	"sync/atomic"
)

// errAlreadySent refuses a second write of a call that net/http tries after a
// connection broke.
var errAlreadySent = errors.New("call was already sent on another connection")

// gate decides whether the bytes of one call may be written. It lets the first
// write pass only if check allows it, and remembers the connection, so that
// the call cannot be written to a second one.
type gate struct {
	check   func() error
	cancel  func()
	sentOn  atomic.Pointer[gatedConn]
	refused atomic.Pointer[error]
}

// pass is called before each write on c.
func (g *gate) pass(c *gatedConn) error {
	sentOn := g.sentOn.Load()
	if sentOn == c {
		return nil
	}
	if sentOn != nil {
		return errAlreadySent
	}
	if err := g.check(); err != nil {
		g.refused.Store(&err)
		g.cancel()
		return err
	}
	g.sentOn.Store(c)
	return nil
}

// sent reports whether a byte of the call may have left this process.
func (g *gate) sent() bool { return g.sentOn.Load() != nil }

// gatedConn is a connection to a target whose writes pass the gate of the call
// that uses it. HTTP/1.1 without pipelining has one call per connection.
type gatedConn struct {
	net.Conn
	gate atomic.Pointer[gate]
}

// Write implements net.Conn.
func (c *gatedConn) Write(p []byte) (int, error) {
	if g := c.gate.Load(); g != nil {
		if err := g.pass(c); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}
