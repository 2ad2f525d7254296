package sibling

import (
	"fmt"
	"io"
	"net"
	"time"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
)

// exchange is one forward on a stream of this VM.
type exchange struct {
	st   *stream
	stop func() bool // releases the watch of the caller's context
	// large is set if a chunk may have made the buffer of yamux grow.
	large bool
}

// end gives the stream back. The stream is reused only if the answer was read
// to its end, nothing follows it, and the caller's context did not end: the
// watch of an ended context closes the stream, perhaps during a later exchange.
func (e *exchange) end(whole bool) {
	watching := e.stop()
	if whole && watching && e.st.r.Buffered() == 0 {
		if e.large {
			e.st.shrink()
		}
		e.st.idle.put(e.st, time.Now())
		return
	}
	_ = e.st.Close()
}

// chunkReader reads the body of a forwarded answer. It returns io.EOF only
// after the chunk that is marked as the last one.
type chunkReader struct {
	ex     *exchange
	data   []byte
	last   bool
	closed bool
}

// Read implements io.Reader.
func (r *chunkReader) Read(p []byte) (int, error) {
	if r.closed {
		return 0, net.ErrClosed
	}
	for len(r.data) == 0 {
		if r.last {
			return 0, io.EOF
		}
		chunk := &siblingpb.Chunk{}
		if err := r.ex.st.read(chunk); err != nil {
			return 0, fmt.Errorf("answer of sibling ended early: %w", io.ErrUnexpectedEOF)
		}
		if chunk.GetExchange() != r.ex.st.exchange {
			return 0, fmt.Errorf("sibling returned a chunk of another answer: %w", io.ErrUnexpectedEOF)
		}
		r.data, r.last = chunk.GetData(), chunk.GetLast()
		r.ex.large = r.ex.large || len(r.data) > maxKeptBuffer
	}
	n := copy(p, r.data)
	r.data = r.data[n:]
	return n, nil
}

// Close implements io.Closer. Closing early tells the holder that the caller
// no longer waits. It must not run together with Read.
func (r *chunkReader) Close() error {
	if r.closed {
		return nil // the stream may carry another call by now
	}
	r.closed = true
	r.ex.end(r.last)
	return nil
}
