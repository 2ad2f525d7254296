// Package capacity accounts for the memory and the sockets that the callers of a VM use, so
// that no number of callers exhausts those of the process. The ledger counts what callers make
// the process hold: their connections, request heads by what they take once parsed, bytes read
// ahead, bodies, and the headers of the answers to their requests.
package capacity

import "sync/atomic"

// Use names what memory is used for.
type Use int

// The uses of memory that the ledger tells apart.
const (
	Connections Use = iota
	ReadAhead       // bytes received and not yet read by the HTTP server
	Heads           // parsed heads of requests
	Bodies          // bodies of requests and answers
	AnswerHeads     // heads of answers of backend servers while they are parsed
	uses
)

// String returns the name of the use in metrics.
func (u Use) String() string {
	return [...]string{"connections", "read-ahead", "heads", "bodies", "answer-heads"}[u]
}

// Limits bound what callers use. A field of zero means no limit.
type Limits struct {
	Bytes       int64 // memory, for all uses together
	BodyBytes   int64 // memory for Bodies
	CallerConns int   // open connections of callers
	Sockets     int   // open connections of callers and to backend servers together
}

const (
	// reservedFiles is the number of descriptors for files and the runtime.
	reservedFiles = 200
	// minReservedSockets is the least number of sockets for listeners, siblings, the store,
	// readiness checks, metrics and health checks of backend servers.
	minReservedSockets = 100
	// memoryLimitShare is the share of the process's memory at which the garbage collector
	// works as often as needed to stay below. The rest is for the program itself, stacks that
	// grow and garbage between two collections.
	memoryLimitShare = 0.8
)

// LimitsFor returns the limits for a process that may use memory bytes and the given number of
// descriptors; 0 means not stated, and no limit. Half of the memory is for callers; the other half
// is for the registry, siblings, the store and garbage. An eighth of the sockets is kept for
// listeners, siblings, the store, readiness checks and metrics, and a quarter of the others for
// connections to backend servers.
func LimitsFor(memory int64, descriptors int, bodyBytes int64) Limits {
	l := Limits{Bytes: memory / 2, BodyBytes: bodyBytes}
	if descriptors > 0 {
		sockets := max(descriptors-reservedFiles, descriptors/2)
		l.Sockets = max(sockets-max(sockets/8, minReservedSockets), 2)
		l.CallerConns = l.Sockets - l.Sockets/4
	}
	return l
}

// GoMemoryLimit returns the limit to set with debug.SetMemoryLimit for a process that may use
// memory bytes.
func GoMemoryLimit(memory int64) int64 { return int64(float64(memory) * memoryLimitShare) }

// Ledger counts what callers use. It is safe for concurrent use.
type Ledger struct {
	limits  atomic.Pointer[Limits]
	bytes   atomic.Int64
	byUse   [uses]atomic.Int64
	callers atomic.Int64
	servers atomic.Int64
	reclaim atomic.Pointer[func(bytes int64) bool]
}

// New returns a ledger with the given limits.
func New(limits Limits) *Ledger {
	l := &Ledger{}
	l.SetLimits(limits)
	return l
}

// SetLimits replaces the limits. What is in use beyond them stays.
func (l *Ledger) SetLimits(limits Limits) { l.limits.Store(&limits) }

// Limits returns the limits.
func (l *Ledger) Limits() Limits { return *l.limits.Load() }

// OnShortage sets the function that is called if memory is short. It frees about the given
// number of bytes by closing connections, and reports whether it closed any. It is called by
// the goroutines that call Take.
func (l *Ledger) OnShortage(reclaim func(bytes int64) bool) { l.reclaim.Store(&reclaim) }

// Take reserves n bytes and reports whether they were available. If not, it tries to free
// others first. The caller of Take holds no lock that the function of OnShortage needs.
func (l *Ledger) Take(use Use, n int64) bool {
	if l.take(use, n) {
		return true
	}
	reclaim := l.reclaim.Load()
	return reclaim != nil && (*reclaim)(n) && l.take(use, n)
}

func (l *Ledger) take(use Use, n int64) bool {
	limits := l.limits.Load()
	if used := l.bytes.Add(n); limits.Bytes > 0 && used > limits.Bytes {
		l.bytes.Add(-n)
		return false
	}
	if used := l.byUse[use].Add(n); use == Bodies && limits.BodyBytes > 0 && used > limits.BodyBytes {
		l.Release(use, n)
		return false
	}
	return true
}

// Release returns n bytes that were taken for a use.
func (l *Ledger) Release(use Use, n int64) {
	l.byUse[use].Add(-n)
	l.bytes.Add(-n)
}

// Used returns the bytes in use for a use.
func (l *Ledger) Used(use Use) int64 { return l.byUse[use].Load() }

// Uses returns all uses.
func Uses() []Use { return []Use{Connections, ReadAhead, Heads, Bodies, AnswerHeads} }

// TakeCaller counts a connection of a caller and reports whether there is room for it.
func (l *Ledger) TakeCaller() bool {
	limits := l.limits.Load()
	n := l.callers.Add(1)
	if (limits.CallerConns > 0 && n > int64(limits.CallerConns)) || l.socketsExceeded(limits) {
		l.callers.Add(-1)
		return false
	}
	return true
}

// ReleaseCaller ends the count of a connection of a caller.
func (l *Ledger) ReleaseCaller() { l.callers.Add(-1) }

// TakeServer counts a connection to a backend server and reports whether there is room for it.
func (l *Ledger) TakeServer() bool {
	limits := l.limits.Load()
	l.servers.Add(1)
	if l.socketsExceeded(limits) {
		l.servers.Add(-1)
		return false
	}
	return true
}

// AddServer counts a connection to a backend server that uses a reserved socket if there is no room.
func (l *Ledger) AddServer() { l.servers.Add(1) }

// ReleaseServer ends the count of a connection to a backend server.
func (l *Ledger) ReleaseServer() { l.servers.Add(-1) }

// Connections returns the numbers of open connections of callers and to backend servers.
func (l *Ledger) Connections() (callers, servers int64) { return l.callers.Load(), l.servers.Load() }

func (l *Ledger) socketsExceeded(limits *Limits) bool {
	return limits.Sockets > 0 && l.callers.Load()+l.servers.Load() > int64(limits.Sockets)
}
