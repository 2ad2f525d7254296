package backend

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/capacity"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/socket"
)

const (
	// connectTimeout bounds the time to open a connection. The operating system
	// repeats a lost SYN packet after 1 s, which is too late for most callers.
	connectTimeout = 700 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept for a server
	// that states no timeout of its own.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the idle timeout that a server states.
	// Without it, the server could close a connection while a request is
	// written to it.
	idleMargin = 1500 * time.Millisecond
	// readBufferSize is the size in bytes of the read buffer of a connection.
	// It is enough for the headers of a response.
	readBufferSize = 4 << 10
	// unacknowledgedTimeout is how long written bytes may stay unacknowledged
	// by the peer before the connection counts as broken.
	unacknowledgedTimeout = 3 * time.Second
	// ioctlUserTimeout is the number of the socket option TCP_USER_TIMEOUT of
	// Linux.
	ioctlUserTimeout = 0x12
)

// conn is a connection to a backend server that carries one request at a time.
type conn struct {
	net.Conn
	r           *bufio.Reader
	rawConn     syscall.RawConn
	server      string // ID of the backend server
	address     string
	idleTimeout time.Duration // how long the connection may stay idle
	idleSince   time.Time     // start of the idle time
	used        bool          // an earlier request was sent on the connection
	ledger      *capacity.Ledger
	closed      atomic.Bool
	// head and headCost are the lines and the accounted memory of the response heads in
	// progress. They are used by the reading goroutine, and by put and Close.
	head     headScanner
	headCost atomic.Int64
	// headerBytesLeft is the number of bytes that may still be read for the headers
	// of the responses in progress, or unlimited. It is used by the reading goroutine
	// only.
	headerBytesLeft int
}

// unlimited is the value of conn.headerBytesLeft while a body is read.
const unlimited = -1

// Read implements net.Conn. net/http reads response headers without a limit, so the
// limit is kept here. The bytes of a body that are read together with the headers count.
func (c *conn) Read(p []byte) (int, error) {
	if c.headerBytesLeft == unlimited {
		return c.Conn.Read(p)
	}
	if c.headerBytesLeft == 0 {
		return 0, errHeaderTooLarge
	}
	n, err := c.Conn.Read(p[:min(len(p), c.headerBytesLeft)])
	c.headerBytesLeft -= n
	if headErr := c.countHead(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// countHead checks and limits the lines of a response head and accounts for the memory that the
// head takes once parsed.
func (c *conn) countHead(p []byte) error {
	before := max(c.head.lines, prepaidHeaderLines)
	if _, err := c.head.scan(p); err != nil {
		return err
	}
	if c.head.lines > maxHeaderLines {
		return errTooManyHeaderLines
	}
	cost := int64(max(c.head.lines, prepaidHeaderLines)-before) * headerLineCost
	if cost > 0 && !c.ledger.Take(capacity.AnswerHeads, cost) {
		return ErrNoMemory
	}
	c.headCost.Add(cost)
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	if !c.closed.Swap(true) {
		c.releaseHead()
		c.ledger.ReleaseServer()
	}
	return err
}

func (c *conn) releaseHead() { c.ledger.Release(capacity.AnswerHeads, c.headCost.Swap(0)) }

// usable reports whether an idle connection is still open, has not been idle
// for too long, and has no unread bytes, which would belong to no request.
func (c *conn) usable(now time.Time) bool {
	if now.Sub(c.idleSince) >= c.idleTimeout || c.r.Buffered() > 0 {
		return false
	}
	if c.rawConn == nil {
		return true
	}
	openAndEmpty := false
	err := c.rawConn.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		openAndEmpty = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && openAndEmpty
}

// ConnPool keeps idle connections to backend servers. It is safe for concurrent
// use.
type ConnPool struct {
	dial           Dialer
	maxHeaderBytes int
	ledger         *capacity.Ledger

	mu     sync.Mutex
	idle   map[string][]*conn // by server ID; the most recently used connection is last
	dialed int64
	closed bool
}

// NewConnPool returns a pool without connections. If dial is nil, connections
// are opened with connectTimeout and TCP_USER_TIMEOUT. maxHeaderBytes limits the headers
// of all responses to one request, informational ones and those to other requests
// included.
func NewConnPool(dial Dialer, maxHeaderBytes int) *ConnPool {
	if dial == nil {
		dial = (&net.Dialer{Timeout: connectTimeout, Control: setUserTimeout}).DialContext
	}
	return &ConnPool{
		dial: dial, maxHeaderBytes: maxHeaderBytes, idle: map[string][]*conn{}, ledger: capacity.New(capacity.Limits{}),
	}
}

// SetLedger sets the account of the sockets and of the memory for response heads. It must be
// called before the pool is used. By default there is no limit.
func (p *ConnPool) SetLedger(l *capacity.Ledger) { p.ledger = l }

// setUserTimeout makes a connection fail if its peer acknowledges no written
// bytes for unacknowledgedTimeout.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, ioctlUserTimeout, int(unacknowledgedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// get returns a usable idle connection to the server, or opens one. If fresh is set, it always
// opens one. A health check may use a reserved socket: without its result the server would count
// as unreachable.
func (p *ConnPool) get(ctx context.Context, server fleet.Server, fresh, probe bool) (*conn, error) {
	now := time.Now()
	for !fresh {
		c := p.takeIdle(server.ID)
		if c == nil {
			break
		}
		if c.address == server.Address && c.usable(now) {
			return c, nil
		}
		_ = c.Close()
	}
	if !p.ledger.TakeServer() && (!p.closeOneIdle() || !p.ledger.TakeServer()) {
		if !probe {
			return nil, ErrNoSocket
		}
		p.ledger.AddServer()
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	nc, err := p.dial(ctx, "tcp", server.Address)
	if err != nil {
		p.ledger.ReleaseServer()
		return nil, fmt.Errorf("connect to backend server %s at %s: %w", server.ID, server.Address, err)
	}
	// A body without a length ends with its connection.
	sc := socket.New(nc)
	c := &conn{
		Conn: sc, rawConn: sc.RawConn(), server: server.ID, address: server.Address, idleTimeout: defaultIdleTimeout,
		headerBytesLeft: unlimited, ledger: p.ledger,
	}
	c.r = bufio.NewReaderSize(c, readBufferSize)
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	return c, nil
}

// closeOneIdle closes an idle connection to make room for another one, and reports whether
// there was one.
func (p *ConnPool) closeOneIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for server, list := range p.idle {
		if len(list) > 0 {
			_ = list[0].Close()
			p.idle[server] = list[1:]
			return true
		}
	}
	return false
}

func (p *ConnPool) takeIdle(server string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[server]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[server] = list[:len(list)-1]
	return c
}

// put keeps c for a later request. keepAlive is the Keep-Alive header of the
// latest response, or empty.
func (p *ConnPool) put(c *conn, keepAlive string) {
	if d, ok := parseKeepAlive(keepAlive); ok {
		c.idleTimeout = max(d-idleMargin, 0)
	}
	c.idleSince, c.used = time.Now(), true
	c.releaseHead()
	if c.idleTimeout == 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return
	}
	p.idle[c.server] = append(p.idle[c.server], c)
}

// parseKeepAlive returns the timeout in a Keep-Alive header, and false if there
// is none.
func parseKeepAlive(header string) (time.Duration, bool) {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return time.Duration(n) * time.Second, true
		}
	}
	return 0, false
}

// Sweep closes idle connections that have been idle for too long or belong to
// servers for which keep returns false.
func (p *ConnPool) Sweep(now time.Time, keep func(server string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for server, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < c.idleTimeout && keep(server) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, server)
			continue
		}
		p.idle[server] = kept
	}
}

// Dialed returns the number of connections opened so far.
func (p *ConnPool) Dialed() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// HasIdle reports whether the pool has an idle connection to server.
func (p *ConnPool) HasIdle(server string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[server]) > 0
}

// Close closes all idle connections. Connections in use are closed after their
// requests.
func (p *ConnPool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	p.idle = map[string][]*conn{}
}
