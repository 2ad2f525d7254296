package backend

import (
	"errors"
	"io"
)

// exchangeBody is the body of a response. Close returns the connection to the
// pool if the body was read completely.
type exchangeBody struct {
	io.ReadCloser
	ex        *exchange
	reusable  bool
	keepAlive string
	complete  bool
	closed    bool
}

// Read implements io.Reader.
func (b *exchangeBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.complete = true
	}
	return n, err
}

// Close implements io.Closer. The connection is kept only if the complete
// request was written before the response began, the complete response was read,
// and no further bytes follow it.
func (b *exchangeBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	// stopWatchingContext returns false if the context has ended: the deadline
	// of the connection is then set to the past, which makes it unusable.
	contextActive := b.ex.stopWatchingContext()
	c := b.ex.conn
	if contextActive && b.complete && b.reusable && c.r.Buffered() == 0 {
		b.ex.pool.put(c, b.keepAlive)
		return nil
	}
	return c.Close()
}

// unexpectedEOF turns io.EOF into io.ErrUnexpectedEOF, which is not mistaken
// for the end of a body.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
