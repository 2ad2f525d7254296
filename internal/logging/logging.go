// Package logging writes the log of a process. Lines are queued and written by a
// background goroutine, so requests do not wait for the output of log lines.
package logging

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// maxQueuedLines is the number of lines that can be queued. While the queue is
// full, further lines are dropped and counted.
const maxQueuedLines = 4096

// Writer is an io.Writer that queues log lines and writes them in a background
// goroutine. Write never blocks. Writer is safe for concurrent use.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewWriter returns a Writer whose goroutine writes the lines to w. Close stops the
// goroutine.
func NewWriter(w io.Writer) *Writer {
	writer := &Writer{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go func() {
		defer close(writer.done)
		for line := range writer.lines {
			// A nil line, sent by Close, ends the goroutine. The channel stays open,
			// since Write may still be called.
			if line == nil {
				return
			}
			// The error is ignored: there is no other place to report that
			// the log cannot be written.
			_, _ = w.Write(line)
		}
	}()
	return writer
}

// Write implements io.Writer. It queues a copy of p, which must be one log line.
// If the queue is full, the line is dropped, and Write still reports success.
func (w *Writer) Write(p []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that were dropped because the queue was full.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close returns after all queued lines have been written. Lines that are passed to
// Write after Close are lost. Close may be called more than once.
func (w *Writer) Close() {
	w.once.Do(func() { w.lines <- nil })
	<-w.done
}

// New returns a logger that writes lines to w, as JSON if format is "json" and as
// logfmt otherwise. Each line has the time and the name of the VM.
func New(w io.Writer, format, vm string) log.Logger {
	logger := log.NewLogfmtLogger(w)
	if format == "json" {
		logger = log.NewJSONLogger(w)
	}
	// Lines logged without a level are meant for operators and get the level info.
	logger = level.NewInjector(logger, level.InfoValue())
	return log.With(logger, "ts", log.DefaultTimestampUTC, "vm", vm)
}
