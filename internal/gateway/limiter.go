package gateway

import "sync"

// limiter bounds the calls of each service and the bytes of request bodies held
// at once, so that a thundering herd cannot use up the memory of the VM and one
// service cannot crowd out the others.
type limiter struct {
	maxCalls int
	maxBytes int64

	mu    sync.Mutex
	calls map[string]int // by service
	total int
	bytes int64
}

func newLimiter(maxCalls int, maxBytes int64) *limiter {
	return &limiter{maxCalls: maxCalls, maxBytes: maxBytes, calls: map[string]int{}}
}

func (l *limiter) enter(service string, bytes int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.calls[service] >= l.maxCalls || l.bytes+bytes > l.maxBytes {
		return false
	}
	l.calls[service]++
	l.total++
	l.bytes += bytes
	return true
}

func (l *limiter) leave(service string, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[service]--
	l.total--
	l.bytes -= bytes
}

func (l *limiter) inFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}
