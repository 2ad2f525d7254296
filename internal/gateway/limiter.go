package gateway

import "sync"

// limiter bounds the number of calls of each service and the bytes of the bodies of
// all calls that are processed at once. The limit of bytes keeps a burst of calls
// from exhausting the memory of the VM; the limit of calls keeps one service from
// blocking the others. It is safe for concurrent use.
type limiter struct {
	maxCallsPerService int
	maxBytes           int64

	mu             sync.Mutex
	callsByService map[string]int // by service
	totalCalls     int
	reservedBytes  int64
}

func newLimiter(maxCallsPerService int, maxBytes int64) *limiter {
	return &limiter{maxCallsPerService: maxCallsPerService, maxBytes: maxBytes, callsByService: map[string]int{}}
}

// acquire adds one call to service and reserves bytes for its body. It returns
// false and changes nothing if one of the limits would be exceeded.
func (l *limiter) acquire(service string, bytes int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.callsByService[service] >= l.maxCallsPerService || l.reservedBytes+bytes > l.maxBytes {
		return false
	}
	l.callsByService[service]++
	l.totalCalls++
	l.reservedBytes += bytes
	return true
}

// release undoes a successful acquire with the same arguments.
func (l *limiter) release(service string, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.callsByService[service]--
	l.totalCalls--
	l.reservedBytes -= bytes
}

func (l *limiter) inFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totalCalls
}
