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

// maxBody bounds the request bodies that a target reads. Unit: bytes.
const maxBody = 16 << 20

// listenRetry is the wait between attempts to listen again on the own port.
const listenRetry = 50 * time.Millisecond

// Server is one running stand-in. Its methods may be called from any
// goroutine.
type Server struct {
	cfg     Config
	address string
	mux     *http.ServeMux

	mu       sync.Mutex
	rng      *rand.Rand
	warm     warmth
	faults   Faults
	draining bool
	down     bool
	stopped  bool
	starts   int
	life     *life
	timer    *quartz.Timer
	inFlight int
	running  int
	conns    int
	history  []loadSample
	last     *reply
	rec      Record
}

// life is the time between a start and the next fall or stop.
type life struct {
	ctx    context.Context
	cancel context.CancelFunc
	server *http.Server
	slots  *semaphore.Weighted
	done   chan struct{}
}

// Start starts a target. It fails if the address cannot be listened on.
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
	t.beginLocked(listener)
	return t, nil
}

// Address returns the host:port that the target listens on.
func (t *Server) Address() string { return t.address }

// Config returns the configuration with defaults filled in.
func (t *Server) Config() Config { return t.cfg }

// Instance returns the id of the current instance; it changes when the target
// goes down.
func (t *Server) Instance() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.instanceLocked()
}

func (t *Server) instanceLocked() string { return fmt.Sprintf("%s.%d", t.cfg.Name, t.starts) }

func (t *Server) beginLocked(listener net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &life{ctx: ctx, cancel: cancel, slots: semaphore.NewWeighted(int64(t.cfg.Slots)), done: make(chan struct{})}
	l.server = &http.Server{
		Handler:     t.mux,
		ConnContext: withConn,
		ConnState:   t.connState,
		BaseContext: func(net.Listener) context.Context { return context.WithValue(ctx, lifeKey{}, l) },
		ErrorLog:    log.New(io.Discard, "", 0),
	}
	t.life = l
	t.down = false
	t.starts++
	t.inFlight = 0
	t.history = nil
	t.warm = newWarmth(t.cfg.ColdStart, t.cfg.Slots, t.cfg.Clock.Now())
	go func() {
		defer close(l.done)
		_ = l.server.Serve(countingListener{listener, t})
	}()
}

type lifeKey struct{}

// goDownLocked ends the current life. answer503 keeps the listener and answers
// 503 meanwhile.
func (t *Server) goDownLocked(d time.Duration, answer503 bool) {
	if t.down || t.stopped {
		return
	}
	t.down = true
	if !answer503 {
		l := t.life
		l.cancel()
		go func() { _ = l.server.Close() }()
	}
	t.timer = t.cfg.Clock.AfterFunc(d, func() { t.comeBack(answer503) })
}

func (t *Server) comeBack(answer503 bool) {
	if answer503 {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.down = false
		t.starts++
		t.warm = newWarmth(t.cfg.ColdStart, t.cfg.Slots, t.cfg.Clock.Now())
		return
	}
	t.mu.Lock()
	l := t.life
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
		t.timer = t.cfg.Clock.AfterFunc(listenRetry, func() { t.comeBack(false) })
	default:
		t.beginLocked(listener)
	}
}

// Stop stops the target at once and cuts off its calls.
func (t *Server) Stop() {
	t.mu.Lock()
	t.stopped = true
	if t.timer != nil {
		t.timer.Stop()
	}
	l := t.life
	t.mu.Unlock()
	l.cancel()
	_ = l.server.Close()
	<-l.done
}
