// Package logging writes the log of a process. Lines are queued and written by
// one goroutine, so that no request waits for the log.
package logging

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// queued is the number of lines that may wait to be written. Further ones are
// counted and dropped.
const queued = 4096

// Writer writes lines in the background. It never blocks.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewWriter starts writing to w.
func NewWriter(w io.Writer) *Writer {
	out := &Writer{lines: make(chan []byte, queued), done: make(chan struct{})}
	go func() {
		defer close(out.done)
		for line := range out.lines {
			if line == nil {
				return
			}
			// A log that cannot be written has nowhere to report it.
			_, _ = w.Write(line)
		}
	}()
	return out
}

// Write implements io.Writer. It copies p and reports success even if the line
// is dropped.
func (w *Writer) Write(p []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the lines that wait and stops. Later lines are lost.
func (w *Writer) Close() {
	w.once.Do(func() { w.lines <- nil })
	<-w.done
}

// New returns a logger in format logfmt or json that states the VM.
func New(w io.Writer, format, vm string) log.Logger {
	logger := log.NewLogfmtLogger(w)
	if format == "json" {
		logger = log.NewJSONLogger(w)
	}
	// Parts that state no level log what operators should see.
	logger = level.NewInjector(logger, level.InfoValue())
	return log.With(logger, "ts", log.DefaultTimestampUTC, "vm", vm)
}
