package front

import (
	"net"
	"time"
)

const (
	// lingerTime is how long a connection is read after its last answer, unless the caller
	// closes it before. It covers the time that the answer takes to a slow caller.
	lingerTime = 2 * time.Second
	// maxLingerBytes is the number of bytes that are read and discarded in this time. It
	// exceeds what the socket buffers of both sides hold when the caller learns of the end.
	maxLingerBytes = 16 << 20
)

// Close implements net.Conn. It ends the output and returns. The input is then read and discarded
// until the caller closes the connection, at most for lingerTime and maxLingerBytes: the kernel
// resets a connection that is closed with unread input or gets input afterwards, and the caller
// loses the part of an answer that it has not received yet.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeLocked()
}

// closeIfIdle closes the connection if it has waited for a request, or for the rest of its head,
// since before the given time.
func (c *Conn) closeIfIdle(before time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idleSince.IsZero() && c.idleSince.Before(before) && c.headSince.Before(before) && c.waitsForHeadLocked() {
		_ = c.closeLocked()
	}
}

// closeLocked is Close; c.mu is held.
func (c *Conn) closeLocked() error {
	if c.lingering {
		return nil
	}
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || c.err != nil {
		return c.closeNowLocked()
	}
	c.endInputLocked(net.ErrClosed)
	c.lingering = true
	// readLoop discards the input until this deadline and closes the socket.
	if err := c.Conn.SetReadDeadline(time.Now().Add(lingerTime)); err != nil {
		return c.closeNowLocked()
	}
	return half.CloseWrite()
}

// closeNow closes the connection at once. The caller may lose the end of an answer.
func (c *Conn) closeNow() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeNowLocked()
}

// reset closes the connection at once and discards what has not been sent. The caller's next read
// fails.
func (c *Conn) reset() {
	if s, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = s.SetLinger(0)
	}
	_ = c.closeNow()
}

func (c *Conn) closeNowLocked() error {
	err := c.Conn.Close()
	c.endInputLocked(net.ErrClosed)
	if c.onClose != nil {
		c.onClose()
		c.onClose = nil
	}
	return err
}

// endInputLocked ends the input with an error unless it has ended before, drops what has been
// read ahead, and cancels the requests of the connection.
func (c *Conn) endInputLocked(err error) {
	if c.err == nil {
		c.err = err
	}
	c.closed = true
	c.unread = nil
	c.releaseLocked()
	c.stopCloseTimer()
	c.cancel(errCallerLeft)
	c.cond.Broadcast()
}

// discardInput reads and discards input after Close, and closes the socket. It does nothing if the
// input has ended in another way.
func (c *Conn) discardInput(chunk []byte) {
	c.mu.Lock()
	lingering := c.lingering
	c.mu.Unlock()
	if !lingering {
		return
	}
	for left := maxLingerBytes; left > 0; {
		n, err := c.Conn.Read(chunk)
		if err != nil {
			break
		}
		left -= n
	}
	_ = c.closeNow()
}
