package front

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bodyStopTime is how long a read of a body that is no longer needed may still wait for
	// the caller.
	bodyStopTime = 100 * time.Millisecond
	// bodyDiscardTime is how long net/http may at least read and discard the rest of a body
	// after the answer. A connection that is closed with unread bytes is reset, and the caller
	// may lose the answer.
	bodyDiscardTime = 500 * time.Millisecond
)

// errBodyStopped is the error of reading a callerBody after its request has ended.
var errBodyStopped = errors.New("the request has ended")

// callerBody is the part of a request body that is streamed to a server. It records whether
// the caller or the server is behind when the request fails. It is read by the goroutine that
// sends the request, and afterwards by that of the request.
type callerBody struct {
	io.Reader
	reading sync.Mutex  // held by Read
	stopped atomic.Bool // Read must return errBodyStopped
	waiting atomic.Bool // a Read waits for the caller
	failed  atomic.Bool // the caller sent no complete body
	ended   atomic.Bool // the whole body has been read
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	b.reading.Lock()
	defer b.reading.Unlock()
	if b.stopped.Load() {
		return 0, errBodyStopped
	}
	b.waiting.Store(true)
	n, err := b.Reader.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.ended.Store(true)
	case err != nil:
		b.failed.Store(true)
	}
	b.waiting.Store(false)
	return n, err
}

// stop ends the reading of the body before its request ends: net/http then reads and discards some
// of the rest until the given time, and uses the buffers of the connection again. It has no effect if
// the whole body has been read.
func (b *callerBody) stop(controller *http.ResponseController, discardUntil time.Time) {
	if b.ended.Load() {
		return
	}
	b.stopped.Store(true)
	// Without a read deadline, a Read in progress and the reads of net/http would wait for as
	// long as the caller keeps the connection open. Setting one can only fail if the connection
	// does not support it, which readBody checks.
	_ = controller.SetReadDeadline(time.Now().Add(bodyStopTime))
	b.reading.Lock()
	defer b.reading.Unlock()
	if earliest := time.Now().Add(bodyDiscardTime); discardUntil.Before(earliest) {
		discardUntil = earliest
	}
	_ = controller.SetReadDeadline(discardUntil)
}

// broken reports whether the caller sent a body that ends early or cannot be read. A nil
// callerBody is not broken.
func (b *callerBody) broken() bool { return b != nil && b.failed.Load() }

// stalled reports whether the rest of the body is missing because of the caller. It is
// meant for the deadline of the request; before, the rest may be on its way.
func (b *callerBody) stalled() bool { return b.broken() || b != nil && b.waiting.Load() }
