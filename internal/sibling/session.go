// Package sibling carries forwards and control messages between entry VMs:
// one yamux session per direction and pair, protobuf messages with a length
// prefix. Streams of forwards are reused after exchanges that ended completely.
package sibling

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

const (
	keepAliveInterval = 2 * time.Second
	writeTimeout      = 2 * time.Second
	streamWindow      = 512 << 10 // bytes a sibling may send ahead on a stream
	acceptBacklog     = 1024      // streams a sibling may open ahead
	maxMessageSize    = 4 << 20   // bytes
	chunkSize         = 32 << 10  // bytes
	maxKeptBuffer     = 8 << 10   // bytes an idle stream holds for its next message
	// maxStreamsPerSibling bounds the exchanges that one sibling may have open,
	// so that a paused holder cannot use up the memory of its siblings.
	maxStreamsPerSibling = 4096
)

func newConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.MaxStreamWindowSize = streamWindow
	c.AcceptBacklog = acceptBacklog
	c.StreamOpenTimeout = 0 // exchanges have their own deadlines
	c.StreamCloseTimeout = 5 * time.Second
	c.LogOutput = io.Discard
	return c
}

// frameHeader is the length of the header of a yamux frame. Unit: bytes.
const frameHeader = 12

// frameConn sends the header of a yamux frame together with its body, which
// yamux writes one after the other from one goroutine. News are many short
// frames; each write costs a system call and mostly a packet.
type frameConn struct {
	net.Conn
	held []byte // header that waits for its body
}

// Write implements net.Conn.
func (c *frameConn) Write(p []byte) (int, error) {
	if len(c.held) == 0 && len(p) == frameHeader && carriesBody(p) {
		c.held = append(c.held, p...)
		return len(p), nil
	}
	if len(c.held) == 0 {
		return c.Conn.Write(p)
	}
	out := append(c.held, p...) //nolint:gocritic // held is emptied below
	held := len(c.held)
	c.held = out[:0]
	n, err := c.Conn.Write(out)
	return max(n-held, 0), err
}

// carriesBody reports whether a frame's body follows its header: data frames
// (type 0) of some length.
func carriesBody(header []byte) bool {
	return header[1] == 0 && binary.BigEndian.Uint32(header[8:]) > 0
}

// stream reads and writes length-delimited messages. One goroutine may read
// while another writes.
type stream struct {
	net.Conn
	r   *bufio.Reader
	out []byte // reused by write

	// The opener of the stream alone uses the following fields.
	mux       *yamux.Session
	idle      *idleStreams
	exchange  uint64 // number of the latest exchange
	idleSince time.Time
	limited   bool // yamux has a deadline
}

func newStream(conn net.Conn) *stream {
	return &stream{Conn: conn, r: bufio.NewReaderSize(conn, 4<<10)}
}

func (s *stream) read(m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessageSize}.UnmarshalFrom(s.r, m)
}

// write sends m in a single write, so that a failure before it leaves no
// partial message at the sibling.
func (s *stream) write(m proto.Message) error {
	buf, err := appendDelimited(s.out[:0], m)
	if err != nil {
		return err
	}
	s.keep(buf)
	_, err = s.Write(buf)
	return err
}

// keep makes buf the buffer of later messages unless it is too large to hold
// for an idle stream. yamux keeps no reference to it after Write.
func (s *stream) keep(buf []byte) {
	if cap(buf) <= maxKeptBuffer {
		s.out = buf
	}
}

// limit sets the deadline of an exchange. A context that ends no later and
// closes the stream makes it unnecessary, which saves a timer for each read.
func (s *stream) limit(ctx context.Context, deadline time.Time) {
	if end, ok := ctx.Deadline(); ok && !end.After(deadline) {
		if s.limited {
			_ = s.SetDeadline(time.Time{})
			s.limited = false
		}
		return
	}
	_ = s.SetDeadline(deadline)
	s.limited = true
}

// shrink releases the receive buffer of yamux, which otherwise stays as large
// as the most that ever waited in it.
func (s *stream) shrink() {
	if conn, ok := s.Conn.(*yamux.Stream); ok {
		conn.Shrink()
	}
}
