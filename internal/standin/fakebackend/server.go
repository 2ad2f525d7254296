package fakebackend

import (
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/quartz"
	"golang.org/x/sync/semaphore"
)

// maxBodyBytes is the size of the largest request body that a target accepts.
const maxBodyBytes = 16 << 20

// listenRetryInterval is the time between attempts of a restarting target to listen
// on its address again.
const listenRetryInterval = 50 * time.Millisecond

// Server is one running stand-in for a backend server, also called a target. Its
// methods may be called from any goroutine.
type Server struct {
	cfg     Config
	address string
	mux     *http.ServeMux

	mu           sync.Mutex
	rng          *rand.Rand
	warmup       warmupState
	faults       Faults
	draining     bool
	down         bool
	stopped      bool
	startCount   int
	lifetime     *lifetime
	restartTimer *quartz.Timer
	inFlight     int
	running      int
	openConns    int
	loadHistory  []loadSample
	lastReply    *reply
	rec          Record
}

// lifetime holds what a target uses between the time it starts listening and the time
// it closes its listener, because it goes down or is stopped. done is closed when the
// HTTP server has ended.
type lifetime struct {
	ctx    context.Context
	cancel context.CancelFunc
	server *http.Server
	slots  *semaphore.Weighted
	done   chan struct{}
}

// Start starts a target. It returns an error if the target cannot listen on its
// address. The caller must call Stop.
func Start(cfg Config) (*Server, error) {
	cfg.setDefaults()
	t := &Server{
		cfg: cfg,
		rng: rand.New(rand.NewPCG(cfg.Seed, 0)),
		rec: Record{Name: cfg.Name, Region: cfg.Region, FailureDomain: cfg.FailureDomain},
	}
	t.mux = http.NewServeMux()
	t.mux.HandleFunc("GET /load", t.serveLoad)
	t.mux.HandleFunc("GET /healthz", t.serveHealth)
	t.mux.HandleFunc("GET /record", t.serveRecord)
	t.mux.HandleFunc("GET /faults", t.serveFaults)
	t.mux.HandleFunc("POST /faults", t.changeFaults)
	t.mux.HandleFunc("/", t.serveCall)
	listener, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("listen for target %s: %w", cfg.Name, err)
	}
	t.address = listener.Addr().String()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startLocked(listener)
	return t, nil
}

// Address returns the host:port that the target listens on.
func (t *Server) Address() string { return t.address }

// Config returns the configuration with defaults filled in.
func (t *Server) Config() Config { return t.cfg }

// Instance returns the id of the current instance. A target that has been down comes
// back with another id.
func (t *Server) Instance() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.instanceLocked()
}

func (t *Server) instanceLocked() string { return fmt.Sprintf("%s.%d", t.cfg.Name, t.startCount) }

func (t *Server) startLocked(listener net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &lifetime{ctx: ctx, cancel: cancel, slots: semaphore.NewWeighted(int64(t.cfg.Slots)), done: make(chan struct{})}
	l.server = &http.Server{
		Handler:     t.mux,
		ConnContext: withConn,
		ConnState:   t.connState,
		BaseContext: func(net.Listener) context.Context { return context.WithValue(ctx, lifetimeKey{}, l) },
		ErrorLog:    log.New(io.Discard, "", 0),
	}
	t.lifetime = l
	t.down = false
	t.startCount++
	t.inFlight = 0
	t.loadHistory = nil
	t.warmup = newWarmupState(t.cfg.ColdStart, t.cfg.Slots, t.cfg.Clock.Now())
	go func() {
		defer close(l.done)
		_ = l.server.Serve(countingListener{listener, t})
	}()
}

type lifetimeKey struct{}

// goDownLocked takes the target down for downtime, after which it restarts cold.
// With answer503, the listener stays open and calls are answered with status 503
// during that time; otherwise the current lifetime ends.
func (t *Server) goDownLocked(downtime time.Duration, answer503 bool) {
	if t.down || t.stopped {
		return
	}
	t.down = true
	if !answer503 {
		l := t.lifetime
		l.cancel()
		go func() { _ = l.server.Close() }()
	}
	t.restartTimer = t.cfg.Clock.AfterFunc(downtime, func() { t.restart(answer503) })
}

func (t *Server) restart(answer503 bool) {
	if answer503 {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.down = false
		t.startCount++
		t.warmup = newWarmupState(t.cfg.ColdStart, t.cfg.Slots, t.cfg.Clock.Now())
		return
	}
	t.mu.Lock()
	l := t.lifetime
	t.mu.Unlock()
	<-l.done
	listener, err := net.Listen("tcp", t.address)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.stopped:
		if err == nil {
			_ = listener.Close()
		}
	case err != nil:
		t.restartTimer = t.cfg.Clock.AfterFunc(listenRetryInterval, func() { t.restart(false) })
	default:
		t.startLocked(listener)
	}
}

// Stop stops the target immediately and aborts its calls.
func (t *Server) Stop() {
	t.mu.Lock()
	t.stopped = true
	if t.restartTimer != nil {
		t.restartTimer.Stop()
	}
	l := t.lifetime
	t.mu.Unlock()
	l.cancel()
	_ = l.server.Close()
	<-l.done
}
