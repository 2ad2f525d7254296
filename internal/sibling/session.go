// Package sibling carries forwards and control messages between entry VMs:
// one yamux session per direction and pair, one stream per exchange, protobuf
// messages with a length prefix.
package sibling

import (
	"bufio"
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

// stream reads and writes length-delimited messages.
type stream struct {
	net.Conn
	r *bufio.Reader
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
	buf, err := appendDelimited(nil, m)
	if err != nil {
		return err
	}
	_, err = s.Write(buf)
	return err
}
