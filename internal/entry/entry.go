// Package entry runs an entry VM on the users' platform. Every VM sends requests
// to backend servers itself. Measurements of the servers and copies of the
// store's tables are shared between VMs; nothing needs an agreement.
package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/samber/do/v2"

	"goldcresthinge.example/goldcresthinge/internal/backend"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/front"
	"goldcresthinge.example/goldcresthinge/internal/metrics"
	"goldcresthinge.example/goldcresthinge/internal/retry"
	"goldcresthinge.example/goldcresthinge/internal/settings"
	"goldcresthinge.example/goldcresthinge/internal/sibling"
	"goldcresthinge.example/goldcresthinge/internal/statesync"
	"goldcresthinge.example/goldcresthinge/internal/waitqueue"
	"goldcresthinge.example/goldcresthinge/platform"
)

const (
	// wakeInterval is the longest time between two decisions on waiting
	// requests.
	wakeInterval = 10 * time.Millisecond
	// sweepInterval is the pause between two looks at idle connections.
	sweepInterval = time.Second
	// refreshInterval is the pause between two looks at entries that lapsed.
	refreshInterval = 200 * time.Millisecond
	// probeWorkers bounds measurements at once.
	probeWorkers = 64
	// operatorTimeout bounds the head of a request to the addresses for checks,
	// metrics and dumps.
	operatorTimeout = 2 * time.Second
	// maxHeaderBytes bounds what net/http reads of a head. The configuration's
	// own limit is checked afterwards.
	maxHeaderBytes = 1 << 20
)

// Entry is a running entry VM.
type Entry struct {
	options  settings.EntrySettings
	log      log.Logger
	node     atomic.Pointer[platform.NodeSettings]
	self     fleet.VM
	world    *world
	exchange *statesync.Syncer
	store    *platform.Store
	pool     *backend.ConnPool
	room     *waitqueue.Queue
	measurer *measurer
	readers  []*reader
	metrics  *metrics.Registry

	callers    *http.Server
	readiness  *http.Server
	observe    *http.Server
	siblings   *sibling.Server
	client     *sibling.Client
	listeners  listeners
	ctx        context.Context
	cancel     context.CancelFunc
	loops      sync.WaitGroup
	draining   atomic.Bool // SIGTERM came
	closing    atomic.Bool // connections end after their answers
	active     atomic.Int64
	stopOnce   sync.Once
	stopped    chan struct{}
	registered atomic.Bool
	seen       *statesync.Liveness
	silent     silence // used by forgetVMs only
}

// Start runs an entry VM with the node settings that options name. It returns
// when the VM listens. logTo is the log's destination and must be safe for
// concurrent use.
func Start(options settings.EntrySettings, logTo io.Writer) (*Entry, error) {
	node, err := platform.ReadNodeSettings(options.NodeFile)
	if err != nil {
		return nil, err
	}
	l, err := listen(node, options)
	if err != nil {
		return nil, err
	}
	i := do.New()
	provide(i, node, options, logTo)
	e := build(i, node, options, l)
	e.run()
	return e, nil
}

type listeners struct{ callers, readiness, siblings, metrics net.Listener }

func listen(node *platform.NodeSettings, options settings.EntrySettings) (listeners, error) {
	var l listeners
	var lc net.ListenConfig
	for _, one := range []struct {
		to            *net.Listener
		name, address string
	}{
		{&l.callers, "callers", node.CallerAddress},
		{&l.readiness, "readiness checks", node.ReadinessAddress},
		{&l.siblings, "siblings", node.SiblingAddress()},
		{&l.metrics, "metrics", options.MetricsListen},
	} {
		if one.address == "" {
			continue
		}
		listener, err := lc.Listen(context.Background(), "tcp", one.address)
		if err != nil {
			l.close()
			return listeners{}, fmt.Errorf("listen for %s: %w", one.name, err)
		}
		*one.to = listener
	}
	return l, nil
}

func (l listeners) close() {
	for _, one := range []net.Listener{l.callers, l.readiness, l.siblings, l.metrics} {
		if one != nil {
			_ = one.Close()
		}
	}
}

func build(i do.Injector, node *platform.NodeSettings, options settings.EntrySettings, l listeners) *Entry {
	e := &Entry{
		options:   options,
		log:       log.With(do.MustInvoke[log.Logger](i), "part", "entry"),
		self:      do.MustInvoke[fleet.VM](i),
		world:     do.MustInvoke[*world](i),
		pool:      do.MustInvoke[*backend.ConnPool](i),
		client:    do.MustInvoke[*sibling.Client](i),
		metrics:   do.MustInvoke[*metrics.Registry](i),
		listeners: l,
		stopped:   make(chan struct{}),
	}
	e.setNode(node)
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.store = platform.NewStore(func() string { return e.node.Load().Store.Address })
	logger := do.MustInvoke[log.Logger](i)
	seen := statesync.NewLiveness()
	e.seen = seen
	e.exchange = statesync.New(statesync.Config{
		Self: e.self, Servers: e.world.fleet, Tables: e.world.tables(), Liveness: seen, Client: e.client,
		VMs: e.world.VMs, OnChange: e.newsArrived, RegionOf: e.world.Region, NeededByRegion: e.world.needed, Logger: logger,
	})
	work := newDuties(time.Now())
	fl := &candidates{world: e.world, duties: work, bounds: func() platform.Bounds { return e.node.Load().Bounds }, routes: e.world.routes.Load, poke: e.exchange.Notify, connected: e.pool.HasIdle}
	e.room = waitqueue.New(fl, costs)
	e.measurer = &measurer{
		world: e.world, seen: seen, duties: work, pool: e.pool, proto: platform.HeaderCodec{}, routes: e.world.routes.Load,
		workers: pond.NewPool(probeWorkers, pond.WithQueueSize(probeWorkers), pond.WithNonBlocking(true)),
		changed: func() {
			e.exchange.Notify()
			e.room.Wake()
		},
		probesPerSecond: func() float64 { return e.node.Load().Bounds.ProbesPerSecond },
		log:             log.With(logger, "part", "measure"), followed: map[string]*follower{}, done: make(chan struct{}, 1),
	}
	e.buildReaders(logger)
	e.buildServers(fl, logger)
	return e
}

func (e *Entry) buildReaders(logger log.Logger) {
	logger = log.With(logger, "part", "reader")
	for _, t := range e.world.tables() {
		r := &reader{
			table: t, store: e.store, exchange: e.exchange, factor: 1, changed: func() { e.newsArrived(true) }, log: logger,
			bound: func() time.Duration {
				b := e.node.Load().Bounds
				return min(b.DrainTimeout, b.ConfigApplyTimeout)
			},
			registered: e.registered.Load, firstStart: e.node.Load().Bootstrap,
		}
		switch t {
		case e.world.operator:
			r.held = true
		case e.world.members:
			r.factor = membersFactor
		}
		e.readers = append(e.readers, r)
	}
}

func (e *Entry) buildServers(fl *candidates, logger log.Logger) {
	handler := front.NewHandler(front.Config{
		HeaderCodec: platform.HeaderCodec{}, Routes: e.world.routes.Load, Servers: fl, Queue: e.room, ConnPool: e.pool,
		ServiceTimes: front.NewServiceTimeEstimator(), RetryBudget: retry.NewWindowBudget(), RetryLimits: e.retryLimits,
		VMCount: func() int { return len(e.world.VMs()) }, DisableKeepAlives: e.closing.Load,
		Metrics: front.NewMetrics(e.metrics.Scope), Logger: logger,
	})
	e.callers = front.NewServer(e.countActive(handler), maxHeaderBytes)
	e.readiness = &http.Server{Handler: http.HandlerFunc(e.serveReadiness), ReadHeaderTimeout: operatorTimeout}
	observe := http.NewServeMux()
	observe.Handle("GET /metrics", e.metrics.Handler)
	observe.HandleFunc("GET /dump", e.serveDump)
	e.observe = &http.Server{Handler: observe, ReadHeaderTimeout: operatorTimeout}
	e.siblings = sibling.NewServer(e.listeners.siblings, siblingHandler{Syncer: e.exchange}, logger)
}

func (e *Entry) countActive(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.active.Add(1)
		defer e.active.Add(-1)
		h.ServeHTTP(w, r)
		e.room.Wake()
	})
}

func (e *Entry) retryLimits() retry.WindowLimits {
	b := e.node.Load().Bounds
	return retry.WindowLimits{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow}
}

func (e *Entry) callerLimits() front.Timeouts {
	routes := e.world.routes.Load()
	if routes == nil {
		return front.Timeouts{}
	}
	l := routes.Limits()
	return front.Timeouts{Header: l.HeaderTimeout, Idle: l.IdleTimeout}
}

// newsArrived takes in changes of the copies and decides again on waiting
// requests.
func (e *Entry) newsArrived(tables bool) {
	if tables {
		e.world.refresh(time.Now())
	}
	e.room.Wake()
}

func (e *Entry) setNode(n *platform.NodeSettings) {
	e.node.Store(n)
	regions := n.RegionOf
	e.world.regions.Store(&regions)
}

// Done is closed when the VM has stopped.
func (e *Entry) Done() <-chan struct{} { return e.stopped }

func (e *Entry) run() {
	e.loop("news", e.exchange.Run)
	e.loop("measure", e.measurer.run)
	for _, r := range e.readers {
		e.loop("reader", r.run)
	}
	e.loop("register", e.register)
	e.loop("wake", e.every(wakeInterval, func(time.Time) { e.room.Wake() }))
	e.loop("refresh", e.every(refreshInterval, e.world.refresh))
	e.loop("forget", e.every(registeredInterval, e.forgetVMs))
	e.loop("sweep", e.every(sweepInterval, func(now time.Time) {
		e.pool.Sweep(now, func(id string) bool { _, ok := e.world.fleet.Server(id); return ok })
	}))
	e.loop("settings", e.watchSettings)
	e.serve("callers", func() error {
		return e.callers.Serve(front.NewListener(e.listeners.callers, e.callerLimits))
	})
	if e.listeners.readiness != nil {
		e.serve("readiness", func() error { return e.readiness.Serve(e.listeners.readiness) })
	}
	if e.listeners.metrics != nil {
		e.serve("metrics", func() error { return e.observe.Serve(e.listeners.metrics) })
	}
	e.serve("siblings", e.siblings.Serve)
	_ = level.Info(e.log).Log("msg", "started", "region", e.self.Region, "failure_domain", e.self.FailureDomain,
		"callers", e.listeners.callers.Addr(), "siblings", e.self.Address, "incarnation", e.self.Incarnation)
}

func (e *Entry) loop(name string, run func(context.Context) error) {
	e.loops.Go(func() {
		if err := run(e.ctx); err != nil && !errors.Is(err, context.Canceled) {
			_ = level.Error(e.log).Log("msg", "loop ended", "loop", name, "err", err)
		}
	})
}

func (e *Entry) every(d time.Duration, f func(now time.Time)) func(context.Context) error {
	return func(ctx context.Context) error {
		tick := time.NewTicker(d)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-tick.C:
				f(time.Now())
			}
		}
	}
}

func (e *Entry) serve(name string, run func() error) {
	go func() {
		if err := run(); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			_ = level.Error(e.log).Log("msg", "listener ended", "listener", name, "err", err)
		}
	}()
}
