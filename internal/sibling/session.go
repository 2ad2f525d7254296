// Package sibling carries forwarded calls and control messages between entry VMs.
// A VM opens one yamux session to each sibling that it sends to. Messages are
// protobuf with a length prefix.
//
// An exchange is one request and its answer on a stream. The request that forwards
// a call holds the call and the number of the exchange on its stream. Its answer consists
// of a head (outcome, status, header fields and load of the pool) and, unless the
// head reports an error, chunks with the body. The head and the chunks repeat the
// number, so that a late answer is not taken for that of a later call. Once such an
// exchange has ended completely, its stream is reused for the next forwarded
// call.
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
	streamWindow      = 512 << 10 // bytes sent on a stream before the receiver reads them
	acceptBacklog     = 1024      // streams opened by a sibling and not yet accepted
	maxMessageSize    = 4 << 20   // bytes
	chunkSize         = 32 << 10  // bytes
	maxRetainedBuffer = 8 << 10   // bytes; larger buffers are released after a message
	// maxStreamsPerSibling limits the exchanges that this VM serves at once for one
	// sibling; it accepts further streams only after one has ended. Without it the exchanges that accumulate while a holder is
	// paused could exhaust the memory of its siblings.
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

// frameHeaderSize is the length of a yamux frame header in bytes.
const frameHeaderSize = 12

// frameConn writes the header and the body of a yamux frame in one call. yamux
// writes them separately, from one goroutine. A Subscription, on which
// both VMs send News messages, has many short frames, and each write costs a system call and usually a packet.
type frameConn struct {
	net.Conn
	pendingHeader []byte // header whose body is not written yet
}

// Write implements net.Conn.
func (c *frameConn) Write(p []byte) (int, error) {
	if len(c.pendingHeader) == 0 && len(p) == frameHeaderSize && hasBody(p) {
		c.pendingHeader = append(c.pendingHeader, p...)
		return len(p), nil
	}
	if len(c.pendingHeader) == 0 {
		return c.Conn.Write(p)
	}
	out := append(c.pendingHeader, p...) //nolint:gocritic // pendingHeader is reset below
	headerSize := len(c.pendingHeader)
	c.pendingHeader = out[:0]
	n, err := c.Conn.Write(out)
	return max(n-headerSize, 0), err
}

// hasBody reports whether a body follows the frame header: the frame is a data
// frame (type 0) and its length is not 0.
func hasBody(header []byte) bool {
	return header[1] == 0 && binary.BigEndian.Uint32(header[8:]) > 0
}

// stream reads and writes length-delimited messages. One goroutine may read
// while another writes.
type stream struct {
	net.Conn
	r   *bufio.Reader
	out []byte // reused by write

	// The following fields are used only by the VM that opened the stream.
	session     *yamux.Session
	idle        *idleStreams
	exchange    uint64 // number of the current or last exchange
	idleSince   time.Time
	deadlineSet bool // the yamux stream has a deadline
}

func newStream(conn net.Conn) *stream {
	return &stream{Conn: conn, r: bufio.NewReaderSize(conn, 4<<10)}
}

func (s *stream) read(m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessageSize}.UnmarshalFrom(s.r, m)
}

// write sends m in a single write. If it fails before that, for example while
// encoding, the sibling has received no part of the message.
func (s *stream) write(m proto.Message) error {
	buf, err := appendDelimited(s.out[:0], m)
	if err != nil {
		return err
	}
	s.retainBuffer(buf)
	_, err = s.Write(buf)
	return err
}

// retainBuffer keeps buf for later messages unless it is larger than
// maxRetainedBuffer, which would be too much for an idle stream. yamux keeps no
// reference to buf after Write.
func (s *stream) retainBuffer(buf []byte) {
	if cap(buf) <= maxRetainedBuffer {
		s.out = buf
	}
}

// applyDeadline sets the deadline of an exchange on the stream. If ctx
// expires no later than deadline, applyDeadline sets no deadline, because the stream
// is closed when ctx ends, and clears that of an earlier exchange: each read under a
// deadline costs a timer.
func (s *stream) applyDeadline(ctx context.Context, deadline time.Time) {
	if end, ok := ctx.Deadline(); ok && !end.After(deadline) {
		if s.deadlineSet {
			_ = s.SetDeadline(time.Time{})
			s.deadlineSet = false
		}
		return
	}
	_ = s.SetDeadline(deadline)
	s.deadlineSet = true
}

// shrinkReceiveBuffer releases the receive buffer of yamux, which otherwise keeps
// the largest size it ever had.
func (s *stream) shrinkReceiveBuffer() {
	if conn, ok := s.Conn.(*yamux.Stream); ok {
		conn.Shrink()
	}
}
