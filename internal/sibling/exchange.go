package sibling

import (
	"fmt"
	"io"
	"net"
	"time"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
)

// exchange is one forward on a stream that this VM opened.
type exchange struct {
	st *stream
	// cancelWatch stops the function that closes the stream when the caller's
	// context ends. It returns false if that function has already started.
	cancelWatch func() bool
	// largeChunk is set after a chunk larger than maxRetainedBuffer, for which
	// yamux may have enlarged the receive buffer of the stream.
	largeChunk bool
}

// end returns the stream to the idle streams or closes it. The stream is reused
// only if the answer was read completely, no further bytes are buffered, and the
// caller's context has not ended: the function that runs at the end of the context
// closes the stream, possibly during a later exchange.
func (e *exchange) end(complete bool) {
	notCanceled := e.cancelWatch()
	if complete && notCanceled && e.st.r.Buffered() == 0 {
		if e.largeChunk {
			e.st.shrinkReceiveBuffer()
		}
		e.st.idle.put(e.st, time.Now())
		return
	}
	_ = e.st.Close()
}

// chunkReader reads the body of a forwarded answer. It returns io.EOF only after
// the chunk marked as the last one, and io.ErrUnexpectedEOF if the stream ends
// before. It is not safe for concurrent use.
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
			return 0, fmt.Errorf("answer body from sibling ended before its last chunk: %w", io.ErrUnexpectedEOF)
		}
		if chunk.GetExchange() != r.ex.st.exchange {
			return 0, fmt.Errorf("sibling returned a chunk with another exchange number: %w", io.ErrUnexpectedEOF)
		}
		r.data, r.last = chunk.GetData(), chunk.GetLast()
		r.ex.largeChunk = r.ex.largeChunk || len(r.data) > maxRetainedBuffer
	}
	n := copy(p, r.data)
	r.data = r.data[n:]
	return n, nil
}

// Close implements io.Closer. Before the end of the body it closes the stream,
// which cancels the call at the holder. It must not run concurrently with Read.
func (r *chunkReader) Close() error {
	if r.closed {
		return nil // the stream may already be in use by another call
	}
	r.closed = true
	r.ex.end(r.last)
	return nil
}
