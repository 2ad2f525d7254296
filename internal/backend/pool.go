package backend

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/fleet"
)

const (
	// connectTimeout bounds a dial. A lost opening packet is sent again after
	// 1 s, which is too late for most callers.
	connectTimeout = 700 * time.Millisecond
	// defaultIdle is how long an idle connection is kept for a server that
	// names no timeout of its own.
	defaultIdle = 4 * time.Second
	// idleMargin is subtracted from the idle timeout that a server names, so
	// that it does not close a connection while a request is written to it.
	idleMargin = 1500 * time.Millisecond
	// readBuffer holds the head of an answer. Unit: bytes.
	readBuffer = 4 << 10
	// unacknowledged is how long written bytes may stay unacknowledged before
	// the connection counts as broken.
	unacknowledged = 3 * time.Second
	// ioctlUserTimeout is TCP_USER_TIMEOUT of Linux.
	ioctlUserTimeout = 0x12
)

// conn is a connection to a backend server that carries one request at a time.
type conn struct {
	net.Conn
	r       *bufio.Reader
	raw     syscall.RawConn
	server  string // ID of the backend server
	address string
	idleFor time.Duration // how long it may stay idle
	since   time.Time     // start of the idle time
}

// usable reports whether an idle connection is still open and has no bytes
// waiting, which would belong to no request.
func (c *conn) usable(now time.Time) bool {
	if now.Sub(c.since) >= c.idleFor || c.r.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	quiet := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// ConnPool keeps idle connections to backend servers. It may be used from any
// goroutine.
type ConnPool struct {
	dial Dialer

	mu     sync.Mutex
	idle   map[string][]*conn // by server, the latest used last
	dialed int64
	closed bool
}

// NewConnPool returns a pool without connections. dial may be nil.
func NewConnPool(dial Dialer) *ConnPool {
	if dial == nil {
		dial = (&net.Dialer{Timeout: connectTimeout, Control: setUserTimeout}).DialContext
	}
	return &ConnPool{dial: dial, idle: map[string][]*conn{}}
}

// setUserTimeout makes a connection fail whose peer no longer acknowledges.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, ioctlUserTimeout, int(unacknowledged.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// get returns an idle connection or a new one.
func (p *ConnPool) get(ctx context.Context, server fleet.Server) (*conn, error) {
	now := time.Now()
	for {
		c := p.takeIdle(server.ID)
		if c == nil {
			break
		}
		if c.address == server.Address && c.usable(now) {
			return c, nil
		}
		_ = c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	nc, err := p.dial(ctx, "tcp", server.Address)
	if err != nil {
		return nil, fmt.Errorf("connect to backend server %s at %s: %w", server.ID, server.Address, err)
	}
	c := &conn{
		Conn: nc, r: bufio.NewReaderSize(nc, readBuffer), server: server.ID, address: server.Address, idleFor: defaultIdle,
	}
	if sc, ok := nc.(syscall.Conn); ok {
		c.raw, err = sc.SyscallConn()
		if err != nil {
			_ = nc.Close()
			return nil, fmt.Errorf("connection to backend server %s: %w", server.ID, err)
		}
	}
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	return c, nil
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

// put keeps c for a later request.
func (p *ConnPool) put(c *conn, keepAlive string) {
	if d, ok := parseKeepAlive(keepAlive); ok {
		c.idleFor = max(d-idleMargin, 0)
	}
	c.since = time.Now()
	if c.idleFor == 0 || c.SetDeadline(time.Time{}) != nil {
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

// parseKeepAlive reads the timeout of a Keep-Alive header.
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

// Sweep closes idle connections that are too old or belong to servers for
// which keep returns false.
func (p *ConnPool) Sweep(now time.Time, keep func(server string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for server, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.since) < c.idleFor && keep(server) {
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

// HasIdle reports whether an idle connection to server is kept.
func (p *ConnPool) HasIdle(server string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[server]) > 0
}

// Close closes all idle connections.
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
