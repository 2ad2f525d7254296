package front

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/capacity"
)

// phase is what a connection receives at present.
type phase int

const (
	phaseHead    phase = iota // a head, or nothing before one
	phaseParsing              // a head is complete, and net/http parses it
	phaseBody                 // a body of known length, or what follows it
	phaseChunks               // a chunked body, or what follows it
)

const (
	// readAheadFree is the number of unread bytes that count as part of the connection.
	readAheadFree = 4 << 10
	// memoryPollInterval is the interval at which a connection that waits for memory tries again.
	memoryPollInterval = 200 * time.Millisecond
	// refusalTime bounds the time to write a refusal.
	refusalTime = time.Second
)

// errBodyLimit is the error of reading a body beyond a limit.
var errBodyLimit = errors.New("the body of the request exceeds a limit")

// startHeadLocked records the arrival of the first byte of a head.
func (c *Conn) startHeadLocked() {
	c.headSince = time.Now()
	// On a new connection the timeout for the header has run since its start.
	if c.idleTimer || c.closeTimer == nil {
		c.startCloseTimerLocked(c.timeouts().Header)
	}
}

// maxUnreadLocked returns the number of unread bytes at which reading ahead pauses.
func (c *Conn) maxUnreadLocked() int {
	if c.phase != phaseHead {
		return maxReadAhead
	}
	return max(maxReadAhead, c.guard.limits().Bytes+headAllowance+1)
}

// waitForMemory accounts for the bytes read ahead and waits until there is memory for more. It
// returns false if the input has ended before.
func (c *Conn) waitForMemory() bool {
	for {
		c.mu.Lock()
		missing, ended := c.readAheadLocked()-c.readAhead, c.err != nil
		if missing < 0 && !ended {
			c.guard.release(capacity.ReadAhead, -missing)
			c.readAhead += missing
		}
		c.mu.Unlock()
		if ended || missing <= 0 {
			return !ended
		}
		if c.guard.take(capacity.ReadAhead, missing) {
			c.mu.Lock()
			c.readAhead += missing
			if c.closed {
				c.releaseLocked()
			}
			c.mu.Unlock()
			continue // some of it may have been read meanwhile
		}
		c.guard.count("memory-wait")
		time.Sleep(memoryPollInterval)
	}
}

// readAheadLocked returns the bytes to account for before the next read.
func (c *Conn) readAheadLocked() int64 {
	if len(c.unread) < readAheadFree {
		return 0
	}
	return int64(len(c.unread)) + readAheadFree
}

// admitHeadLocked examines the head that is received. Once it is complete, it takes the
// memory that it needs when parsed, and lets Read pass it on. If it refuses the head, it answers
// and returns an error. c.mu is unlocked meanwhile.
func (c *Conn) admitHeadLocked() error {
	end, v := c.head.scan(c.unread, c.guard.limits())
	if v == nil && end == 0 {
		return nil
	}
	cost := headCost(end, c.head.lines)
	c.admitting = true
	c.mu.Unlock()
	taken := v == nil && c.guard.take(capacity.Heads, cost)
	if !taken {
		if v == nil {
			v = &violation{"memory", http.StatusServiceUnavailable, cost, c.guard.memory.Limits().Bytes}
		}
		c.refuse(v)
	}
	c.mu.Lock()
	c.admitting = false
	if !taken {
		_ = c.closeLocked()
		return io.EOF // net/http answers other errors
	}
	c.headCost = cost
	if c.closed {
		c.releaseLocked()
		return c.err
	}
	c.phase, c.passable = phaseParsing, int64(end)
	return nil
}

// waitsForHeadLocked reports whether the connection has received no head, or a part of one.
func (c *Conn) waitsForHeadLocked() bool {
	if len(c.unread) == 0 {
		return true
	}
	if c.phase != phaseHead || c.admitting {
		return false
	}
	head := c.head
	end, v := head.scan(c.unread, c.guard.limits())
	return end == 0 && v == nil
}

// refuse answers a head that is not passed on to net/http. No answer is being written at that
// time: net/http reads a head only after it has answered the request before.
func (c *Conn) refuse(v *violation) {
	c.guard.record(c.Conn, v)
	retryAfter := ""
	if v.status == http.StatusServiceUnavailable {
		retryAfter = "Retry-After: 1\r\n"
	}
	_ = c.SetWriteDeadline(time.Now().Add(refusalTime))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s\n",
		v.status, http.StatusText(v.status), retryAfter, len(v.reason)+1, v.reason)
}

// passLocked moves bytes that belong to the request in progress to p.
func (c *Conn) passLocked(p []byte) (int, error) {
	if len(c.unread) == 0 {
		return 0, nil
	}
	n := min(len(p), len(c.unread))
	switch c.phase {
	case phaseHead:
		return 0, nil
	case phaseParsing, phaseBody:
		n = int(min(int64(n), c.passable))
		c.passable -= int64(n)
	case phaseChunks:
		var v *violation
		if n, v = c.chunks.scan(c.unread[:n]); v != nil {
			c.guard.record(c.Conn, v)
			return 0, errBodyLimit
		}
	}
	if n == 0 {
		return 0, nil
	}
	copy(p, c.unread[:n])
	c.unread = c.unread[n:]
	c.idleSince = time.Time{}
	if len(c.unread) == 0 {
		c.unread = nil
		c.guard.release(capacity.ReadAhead, c.readAhead)
		c.readAhead = 0
	}
	c.cond.Broadcast()
	return n, nil
}

// releaseLocked gives back what the connection holds beside the connection itself.
func (c *Conn) releaseLocked() {
	c.guard.release(capacity.Heads, c.headCost)
	c.guard.release(capacity.ReadAhead, c.readAhead)
	c.headCost, c.readAhead = 0, 0
}
