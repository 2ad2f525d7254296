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

// maxBodyBytes is the size of the largest request body that a server accepts.
const maxBodyBytes = 16 << 20

// listenRetryInterval is the time between attempts of a restarting server to listen
// on its address again.
const listenRetryInterval = 50 * time.Millisecond

// Server is one running stand-in for a backend server. Its methods may be called from
// any goroutine.
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
	record       Record
}

// lifetime holds what a server uses between the time it starts listening and the time
// it closes its listener, because it goes down or is stopped. done is closed when the
// HTTP server has ended.
type lifetime struct {
	ctx    context.Context
	cancel context.CancelFunc
	server *http.Server
	slots  *semaphore.Weighted
	done   chan struct{}
}

// Start starts a server. It returns an error if the server cannot listen on its
// address. The caller must call Stop.
func Start(cfg Config) (*Server, error) {
	cfg.setDefaults()
	s := &Server{
		cfg:    cfg,
		rng:    rand.New(rand.NewPCG(cfg.Seed, 0)),
		record: Record{Name: cfg.Name, Region: cfg.Region, FailureDomain: cfg.FailureDomain},
	}
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("GET /load", s.serveLoad)
	s.mux.HandleFunc("GET /healthz", s.serveHealth)
	s.mux.HandleFunc("GET /record", s.serveRecord)
	s.mux.HandleFunc("GET /faults", s.serveFaults)
	s.mux.HandleFunc("POST /faults", s.changeFaults)
	s.mux.HandleFunc("/", s.serveCall)
	listener, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("listen for server %s: %w", cfg.Name, err)
	}
	s.address = listener.Addr().String()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startLocked(listener)
	return s, nil
}

// Address returns the host:port that the server listens on.
func (s *Server) Address() string { return s.address }

// Config returns the configuration with defaults filled in.
func (s *Server) Config() Config { return s.cfg }

// Instance returns the id of the current instance. A server that has been down comes
// back with another id.
func (s *Server) Instance() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instanceLocked()
}

func (s *Server) instanceLocked() string { return fmt.Sprintf("%s.%d", s.cfg.Name, s.startCount) }

func (s *Server) startLocked(listener net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &lifetime{ctx: ctx, cancel: cancel, slots: semaphore.NewWeighted(int64(s.cfg.Slots)), done: make(chan struct{})}
	l.server = &http.Server{
		Handler:     s.mux,
		ConnContext: withConn,
		ConnState:   s.connState,
		BaseContext: func(net.Listener) context.Context { return context.WithValue(ctx, lifetimeKey{}, l) },
		ErrorLog:    log.New(io.Discard, "", 0),
	}
	s.lifetime = l
	s.down = false
	s.startCount++
	s.inFlight = 0
	s.loadHistory = nil
	s.warmup = newWarmupState(s.cfg.ColdStart, s.cfg.Slots, s.cfg.Clock.Now())
	go func() {
		defer close(l.done)
		_ = l.server.Serve(countingListener{listener, s})
	}()
}

type lifetimeKey struct{}

// goDownLocked takes the server down for downtime, after which it restarts cold.
// With answer503, the listener stays open and calls are answered with status 503
// during that time; otherwise the current lifetime ends.
func (s *Server) goDownLocked(downtime time.Duration, answer503 bool) {
	if s.down || s.stopped {
		return
	}
	s.down = true
	if !answer503 {
		l := s.lifetime
		l.cancel()
		go func() { _ = l.server.Close() }()
	}
	s.restartTimer = s.cfg.Clock.AfterFunc(downtime, func() { s.restart(answer503) })
}

func (s *Server) restart(answer503 bool) {
	if answer503 {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.down = false
		s.startCount++
		s.warmup = newWarmupState(s.cfg.ColdStart, s.cfg.Slots, s.cfg.Clock.Now())
		return
	}
	s.mu.Lock()
	l := s.lifetime
	s.mu.Unlock()
	<-l.done
	listener, err := net.Listen("tcp", s.address)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.stopped:
		if err == nil {
			_ = listener.Close()
		}
	case err != nil:
		s.restartTimer = s.cfg.Clock.AfterFunc(listenRetryInterval, func() { s.restart(false) })
	default:
		s.startLocked(listener)
	}
}

// Stop stops the server immediately and aborts its calls.
func (s *Server) Stop() {
	s.mu.Lock()
	s.stopped = true
	if s.restartTimer != nil {
		s.restartTimer.Stop()
	}
	l := s.lifetime
	s.mu.Unlock()
	l.cancel()
	_ = l.server.Close()
	<-l.done
}
