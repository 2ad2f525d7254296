package front

import (
	"cmp"
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"goldcresthinge.example/goldcresthinge/internal/capacity"
)

const (
	// connectionCost is the memory of a connection without a request: two goroutines, a buffer
	// for reading ahead, and those of net/http.
	connectionCost = 24 << 10
	// minReclaimAge is the age that an idle time or a head must have before the connection is
	// closed to make room. Most heads arrive in one piece and never reach it.
	minReclaimAge = 200 * time.Millisecond
	// reclaimPause is the time without a further search after one that found nothing to close.
	reclaimPause = 50 * time.Millisecond
	// acceptPollInterval is the interval at which accepting that waits for room tries again.
	acceptPollInterval = 20 * time.Millisecond
	// reclaimBatch is the least number of connections that a search closes if it can.
	reclaimBatch = 16
)

// Listener accepts connections as Conns. It is safe for concurrent use.
type Listener struct {
	net.Listener
	timeouts func() Timeouts
	guard    *guard
	closed   chan struct{}
	close    sync.Once

	mu            sync.Mutex // may be taken under Conn.mu; no Conn.mu is taken under it
	conns         map[*Conn]struct{}
	accepting     int       // calls of Accept in progress
	reclaimFailed time.Time // time of the last search that found nothing to close
}

// ListenerConfig holds the limits for the connections of a Listener.
type ListenerConfig struct {
	// Timeouts is called whenever a timeout starts and must be safe for concurrent use.
	Timeouts func() Timeouts
	// HeadLimits is called for each head that is read and must be safe for concurrent use.
	HeadLimits func() HeadLimits
	// Ledger accounts for what the connections use. The listener calls its OnShortage.
	Ledger  *capacity.Ledger
	Metrics *Metrics
	Logger  log.Logger
}

// Listen returns a TCP listener on an address. It does without Multipath TCP, which supports
// no socket filter (see Drain).
func Listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	return config.Listen(ctx, "tcp", address)
}

// NewListener wraps l without limits other than the default ones of a head. timeouts is called
// whenever a timeout starts and must be safe for concurrent use.
func NewListener(l net.Listener, timeouts func() Timeouts) *Listener {
	return NewLimitedListener(l, ListenerConfig{
		Timeouts: timeouts,
		HeadLimits: func() HeadLimits {
			return HeadLimits{DefaultMaxHeadBytes, DefaultMaxHeadLines, DefaultMaxHeadLineBytes}
		},
		Ledger: capacity.New(capacity.Limits{}), Metrics: NewMetrics(tally.NoopScope), Logger: log.NewNopLogger(),
	})
}

// NewLimitedListener wraps l with the limits of cfg.
func NewLimitedListener(l net.Listener, cfg ListenerConfig) *Listener {
	out := &Listener{
		Listener: l, timeouts: cfg.Timeouts, guard: newGuard(cfg), closed: make(chan struct{}), conns: map[*Conn]struct{}{},
	}
	cfg.Ledger.OnShortage(out.reclaim)
	return out
}

// Accept implements net.Listener. While there is no room for a further connection, it closes
// idle ones, and if there is none, it waits.
func (l *Listener) Accept() (net.Conn, error) {
	if !l.waitForRoom() {
		return nil, net.ErrClosed
	}
	l.countAccepting(1)
	defer l.countAccepting(-1)
	nc, err := l.Listener.Accept()
	if err != nil {
		l.guard.releaseConnection()
		return nil, err
	}
	c := newConn(nc, l.timeouts, l.guard, func(c *Conn) {
		l.guard.releaseConnection()
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, c)
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

func (l *Listener) countAccepting(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepting += n
}

// acceptsConns reports whether a call of Accept is in progress, whose connection closeIdle may not
// count yet.
func (l *Listener) acceptsConns() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accepting > 0
}

// waitForRoom waits until there is room for a connection and takes it. It returns false if the
// listener is closed before.
func (l *Listener) waitForRoom() bool {
	for !l.guard.takeConnection() {
		if l.closeIdlest() {
			continue
		}
		l.guard.count("accept-wait")
		select {
		case <-l.closed:
			return false
		case <-time.After(acceptPollInterval):
		}
	}
	return true
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.close.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// open returns the open connections.
func (l *Listener) open() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.conns))
}

// closeIdle closes the connections that have waited for a request since before the given
// time, and returns the number of those that are still open.
func (l *Listener) closeIdle(before time.Time) int {
	for _, c := range l.open() {
		c.closeIfIdle(before)
	}
	return len(l.open())
}

// candidate is a connection that may be closed to make room.
type candidate struct {
	conn  *Conn
	since time.Time // start of its head or of its idle time
	idle  bool
	bytes int64 // that closing it frees
}

// candidates returns the connections that may be closed to make room.
func (l *Listener) candidates(now time.Time) []candidate {
	var out []candidate
	for _, c := range l.open() {
		if x, ok := c.candidate(); ok && now.Sub(x.since) >= minReclaimAge {
			out = append(out, x)
		}
	}
	return out
}

// reclaim closes connections until about the given number of bytes are free: first those that
// have sent their head for the longest time, then those that have been idle for the longest
// time. It closes none with a request in progress.
func (l *Listener) reclaim(bytes int64) bool {
	now := time.Now()
	l.mu.Lock()
	if now.Sub(l.reclaimFailed) < reclaimPause {
		l.mu.Unlock()
		return false
	}
	l.mu.Unlock()
	found := l.candidates(now)
	if len(found) == 0 {
		l.mu.Lock()
		l.reclaimFailed = now
		l.mu.Unlock()
		return false
	}
	slices.SortFunc(found, func(a, b candidate) int {
		if a.idle != b.idle {
			return map[bool]int{false: -1, true: 1}[a.idle]
		}
		return a.since.Compare(b.since)
	})
	for i, x := range found {
		if bytes <= 0 && i >= reclaimBatch {
			break
		}
		bytes -= x.bytes
		l.guard.recordClosed(x)
		_ = x.conn.closeNow()
	}
	return true
}

// closeIdlest closes the connections that have been idle for the longest time, at most
// reclaimBatch of them, and reports whether there were any.
func (l *Listener) closeIdlest() bool {
	found := slices.DeleteFunc(l.candidates(time.Now()), func(x candidate) bool { return !x.idle })
	slices.SortFunc(found, func(a, b candidate) int { return cmp.Compare(a.since.UnixNano(), b.since.UnixNano()) })
	found = found[:min(len(found), reclaimBatch)]
	for _, x := range found {
		l.guard.recordClosed(x)
		_ = x.conn.closeNow()
	}
	return len(found) > 0
}

// candidate describes the connection if it may be closed to make room.
func (c *Conn) candidate() (candidate, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := candidate{conn: c, since: c.headSince, bytes: connectionCost + c.readAhead}
	if c.phase != phaseHead || c.admitting || c.err != nil {
		return x, false
	}
	if c.headSince.IsZero() {
		x.since, x.idle = c.idleSince, true
	}
	return x, !x.since.IsZero()
}
