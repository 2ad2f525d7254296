package sibling

import (
	"encoding/binary"
	"net"
)

const (
	// Layout of a yamux frame header: version, type, flags, stream, length.
	frameHeaderSize = 12
	frameTypeData   = 0
	// maxJoined bounds the buffer that a session keeps. Larger frames are
	// written in two parts, where one more system call matters little.
	maxJoined = 64 << 10
)

// joinedConn writes header and body of a yamux frame together. yamux hands
// them over in two writes by one goroutine, without anything in between, so
// that a header can wait for its body without delay.
type joinedConn struct {
	net.Conn
	buf []byte // a header that waits, at the start of a reused buffer
}

// Write implements net.Conn. It must not be called from several goroutines.
func (c *joinedConn) Write(p []byte) (int, error) {
	if len(c.buf) == 0 {
		if !announcesBody(p) {
			return c.Conn.Write(p)
		}
		c.buf = append(c.buf, p...)
		return len(p), nil
	}
	header := c.buf
	c.buf = c.buf[:0]
	if len(p) > maxJoined {
		if _, err := c.Conn.Write(header); err != nil {
			return 0, err
		}
		return c.Conn.Write(p)
	}
	header = append(header, p...)
	c.buf = header[:0]
	n, err := c.Conn.Write(header)
	return max(n-frameHeaderSize, 0), err
}

// announcesBody reports whether p is the header of a frame with a body.
func announcesBody(p []byte) bool {
	return len(p) == frameHeaderSize && p[1] == frameTypeData && binary.BigEndian.Uint32(p[8:]) > 0
}
