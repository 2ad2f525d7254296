package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeat     = 1500 * time.Millisecond // heartbeat_ms
	healthPath    = "/health"
	queuePerSlot  = 2
	keepAliveTime = 10 // seconds that an idle connection of a target stays open, stated in Keep-Alive
)

// run is a request that a target has begun to work on.
type run struct {
	id, target, service, path, tenant string
	at                                time.Time
}

// target is a stand-in for a backend server. It writes its row to the store at each heartbeat until it
// is closed.
type target struct {
	id, service, zone string
	slots             int
	work              time.Duration
	born              time.Time
	record            *record
	store             *store
	onRun             func(run)

	address  string
	server   *http.Server
	sequence atomic.Int64
	busy     chan struct{}
	waiting  atomic.Int64
	stopped  chan struct{}
	closing  sync.Once
}

func startTarget(t *target, ip string) error {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	t.address, t.born = l.Addr().String(), time.Now()
	t.busy, t.stopped = make(chan struct{}, t.slots), make(chan struct{})
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: time.Minute, IdleTimeout: keepAliveTime * time.Second}
	go func() { _ = t.server.Serve(l) }()
	go t.beat()
	t.record.printf("target %s of %s in %s starts at %s", t.id, t.service, t.zone, t.address)
	return nil
}

// beat writes the row of the target until it is closed: at once, and then at each heartbeat from a random
// moment on, so that the targets don't write together.
func (t *target) beat() {
	t.register()
	next := time.Duration(rand.Float64() * float64(heartbeat)) //nolint:gosec // no secret
	for {
		select {
		case <-t.stopped:
			return
		case <-time.After(next):
		}
		t.register()
		next = heartbeat
	}
}

func (t *target) register() {
	t.store.put("servers", t.id, map[string]any{
		"address": t.address, "born": t.born.UnixMilli(),
		"info":   map[string]any{"service": t.service, "version": "v1", "zone": t.zone, "slots": t.slots},
		"status": map[string]any{"state": "ready", "sequence": t.sequence.Add(1), "warmup_left_ms": 0},
	})
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Instance-Id", t.id)
	h.Set("Instance-Load", fmt.Sprintf("%d,%d,%d,100", len(t.busy), t.waiting.Load(), t.slots))
	h.Set("Keep-Alive", fmt.Sprintf("timeout=%d", keepAliveTime))
	if r.URL.Path == healthPath {
		return
	}
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != t.id {
		h.Set("Request-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if t.waiting.Add(1) > int64(t.slots*queuePerSlot) {
		t.waiting.Add(-1)
		h.Set("Request-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case t.busy <- struct{}{}:
		t.waiting.Add(-1)
	case <-r.Context().Done():
		t.waiting.Add(-1)
		return
	}
	defer func() { <-t.busy }()
	t.record.printf("ran %s at target %s of %s: %s %s tenant=%q", id, t.id, t.service, r.Method, r.RequestURI, r.Header.Get("Tenant"))
	t.onRun(run{id: id, target: t.id, service: t.service, path: r.RequestURI, tenant: r.Header.Get("Tenant"), at: time.Now()})
	select {
	case <-time.After(t.work):
	case <-r.Context().Done():
		return
	}
	h.Set("Response-Stamp", t.id+"."+id)
	_, _ = fmt.Fprintf(w, "%s %s %d\n", t.service, id, len(body))
}

func (t *target) close() {
	t.closing.Do(func() {
		close(t.stopped)
		_ = t.server.Close()
	})
}
