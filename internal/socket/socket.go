// Package socket distinguishes a connection that the peer has closed from one that broke off.
//
// The kernel reports to one call only that a connection was reset or has timed out. If a write in
// another goroutine gets that error, the next read returns io.EOF, as if the peer had closed the
// connection. A message that ends with its connection would then seem complete.
package socket

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Dialer opens a connection, like net.Dialer.DialContext.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// NewDialer returns a Dialer whose connections are those of dial, wrapped by New.
func NewDialer(dial Dialer) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(c), nil
	}
}

// Conn is a connection whose Read returns io.EOF only if the peer has closed its side. Concurrent
// writes wait for each other.
type Conn struct {
	net.Conn
	raw syscall.RawConn // nil if the connection is not a socket

	writing  sync.Mutex
	writeErr error // of the first write that failed
}

// New returns a Conn that uses c. If c is not a socket, its errors are returned unchanged.
func New(c net.Conn) *Conn {
	out := &Conn{Conn: c}
	if s, ok := c.(syscall.Conn); ok {
		out.raw, _ = s.SyscallConn()
	}
	return out
}

// RawConn gives access to the socket. It is nil if the connection is not a socket.
func (c *Conn) RawConn() syscall.RawConn { return c.raw }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.endOfInput()
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// CloseWrite closes the connection for writes, if it can be closed for them alone.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// endOfInput returns the error of a read that has found no more input: io.EOF if the peer has closed
// its side, and otherwise the error that a write got in place of the read.
func (c *Conn) endOfInput() error {
	// A write on a connection that is still open may wait for the peer; on one that is gone, it
	// returns at once.
	if c.raw == nil || !c.gone() {
		return io.EOF
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	// EPIPE means that the peer closed its side before it reset the connection.
	var errno syscall.Errno
	if errors.As(c.writeErr, &errno) && errno != syscall.EPIPE {
		return fmt.Errorf("connection lost: %w", c.writeErr)
	}
	return io.EOF
}

// gone reports whether the kernel has given up the connection.
func (c *Conn) gone() bool {
	gone := true
	err := c.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		gone = err != nil || info.State == unix.BPF_TCP_CLOSE
	})
	return err != nil || gone
}
