package entry

import (
	"cmp"
	"runtime/debug"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/capacity"
	"goldcresthinge.example/goldcresthinge/internal/front"
	"goldcresthinge.example/goldcresthinge/platform"
)

const (
	// maxHeaderBytes bounds the limit of a configuration for the head of a request.
	maxHeaderBytes = 1 << 20
	// startHeaderTimeout and startIdleTimeout apply before the first configuration.
	startHeaderTimeout = 10 * time.Second
	startIdleTimeout   = time.Minute
)

// limitCallers sets the limits of what callers use, from the memory and descriptors of the process.
func (e *Entry) limitCallers(n *platform.NodeSettings) {
	e.ledger.SetLimits(capacity.LimitsFor(n.MemoryBytes, n.MaxDescriptors, e.options.MaxBufferedBytes))
	if n.MemoryBytes > 0 {
		debug.SetMemoryLimit(capacity.GoMemoryLimit(n.MemoryBytes))
	}
}

func (e *Entry) callerTimeouts() front.Timeouts {
	routes := e.state.routes.Load()
	if routes == nil {
		return front.Timeouts{Header: startHeaderTimeout, Idle: startIdleTimeout}
	}
	l := routes.Limits()
	return front.Timeouts{Header: l.HeaderTimeout, Idle: l.IdleTimeout}
}

// headLimits returns the limits for the next head of a caller's request.
func (e *Entry) headLimits() front.HeadLimits {
	l := front.HeadLimits{
		Bytes: front.DefaultMaxHeadBytes, Lines: cmp.Or(e.options.MaxRequestHeaderLines, front.DefaultMaxHeadLines),
		LineBytes: cmp.Or(e.options.MaxRequestHeaderLineBytes, front.DefaultMaxHeadLineBytes),
	}
	if routes := e.state.routes.Load(); routes != nil && routes.Limits().HeaderBytes > 0 {
		l.Bytes = min(routes.Limits().HeaderBytes, maxHeaderBytes)
	}
	return l
}
