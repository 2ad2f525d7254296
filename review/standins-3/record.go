package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what happens to a file, one line an event, with the time in seconds since the start of
// traffic. It is safe for concurrent use.
type record struct {
	mu     sync.Mutex
	file   *os.File
	origin time.Time // start of traffic
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, origin: time.Now()}, nil
}

// setOrigin sets the start of traffic.
func (r *record) setOrigin(t time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.origin = t
}

func (r *record) printf(format string, args ...any) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", now.Sub(r.origin).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() { _ = r.file.Close() }
