package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/standin/netem"
	"goldcresthinge.example/goldcresthinge/platform"
	"goldcresthinge.example/goldcresthinge/platform/platformtest"
)

// run is one play of a case.
type run struct {
	dir, logs, recordFile string
	trouble               bool
	seed                  uint64
	started               time.Time
	store                 *platformtest.Store
	regions               map[string]string // by zone
	work                  time.Duration     // that a target needs for a request
	coldPerSecond         float64           // warmup_per_s

	closing sync.Once

	mu       sync.Mutex
	vms      []*vm
	closers  []func()
	links    []*netem.Link     // of the VMs to the store, to each other and to the targets
	siblings map[string]string // address of the link to a VM, by VM
	lines    []line
	broken   []string
	requests map[string]*request
	order    []*request
}

type line struct {
	at   time.Time
	text string
}

func newRun(record, logs string, trouble bool, seed uint64) (*run, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	if logs == "" {
		logs = dir
	}
	if err := os.MkdirAll(logs, 0o700); err != nil {
		return nil, err
	}
	r := &run{
		dir: dir, logs: logs, recordFile: record, trouble: trouble, seed: seed, started: time.Now(),
		store: platformtest.NewStore(), regions: regions, work: serviceTime, coldPerSecond: coldRate, requests: map[string]*request{}, siblings: map[string]string{},
	}
	r.store.Stored = r.replaceAddress
	return r, nil
}

// replaceAddress replaces the address in the row of a VM by that of the link to it.
func (r *run) replaceAddress(table, key string, value []byte) []byte {
	if table != platform.TableVMs {
		return value
	}
	v, err := platform.DecodeVM(key, value)
	if err != nil {
		return value
	}
	r.mu.Lock()
	address, ok := r.siblings[key]
	r.mu.Unlock()
	if !ok {
		return value
	}
	v.Address = address
	if out, err := platform.EncodeVM(v); err == nil {
		return out
	}
	return value
}

// close ends all that the run has started. Further calls wait for the first one.
func (r *run) close() {
	r.closing.Do(func() {
		r.mu.Lock()
		vms, closers := slices.Clone(r.vms), slices.Clone(r.closers)
		r.mu.Unlock()
		for _, v := range vms {
			v.stop()
		}
		for _, f := range slices.Backward(closers) {
			f()
		}
		_ = os.RemoveAll(r.dir)
	})
}

// onClose calls f at the end of the run, after the VMs have ended.
func (r *run) onClose(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closers = append(r.closers, f)
}

// notef adds a line to the record.
func (r *run) notef(format string, args ...any) { r.noteAt(time.Now(), format, args...) }

func (r *run) noteAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line{at, fmt.Sprintf(format, args...)})
}

// brokenf records that the rule of the case was broken.
func (r *run) brokenf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

// since returns the time of the run at a moment.
func (r *run) since(t time.Time) string {
	return fmt.Sprintf("%8.3f s", t.Sub(r.started).Seconds())
}

// report prints the result and returns how often the rule was broken.
func (r *run) report() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, b := range r.broken {
		if i == 20 {
			fmt.Printf("and %d more\n", len(r.broken)-i)
			break
		}
		fmt.Println("BROKEN", b)
	}
	fmt.Printf("rule broken %d times; %d requests\n", len(r.broken), len(r.order))
	return len(r.broken)
}

// writeRecord writes what was sent, answered and run, in the order of time.
func (r *run) writeRecord() (err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	lines := slices.Clone(r.lines)
	for _, q := range r.order {
		lines = append(lines, q.lines()...)
	}
	slices.SortStableFunc(lines, func(a, b line) int { return a.at.Compare(b.at) })
	if err := os.MkdirAll(filepath.Dir(r.recordFile), 0o750); err != nil {
		return err
	}
	f, err := os.Create(r.recordFile)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	w := bufio.NewWriter(f)
	for _, b := range r.broken {
		_, _ = fmt.Fprintln(w, "BROKEN", b)
	}
	for _, l := range lines {
		_, _ = fmt.Fprintln(w, r.since(l.at), strings.TrimRight(l.text, "\n"))
	}
	return w.Flush()
}
