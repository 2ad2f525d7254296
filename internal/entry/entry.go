// Package entry runs an entry VM on the platform (see package platform). Each VM sends requests
// to backend servers itself. VMs share their measurements of the servers and
// their copies of the store's tables, but make every decision without agreement
// among each other.
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

	"goldcresthinge.example/goldcresthinge/internal/attemptage"
	"goldcresthinge.example/goldcresthinge/internal/backend"
	"goldcresthinge.example/goldcresthinge/internal/canary"
	"goldcresthinge.example/goldcresthinge/internal/capacity"
	"goldcresthinge.example/goldcresthinge/internal/counts"
	"goldcresthinge.example/goldcresthinge/internal/fairshare"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/front"
	"goldcresthinge.example/goldcresthinge/internal/metrics"
	"goldcresthinge.example/goldcresthinge/internal/recovery"
	"goldcresthinge.example/goldcresthinge/internal/replica"
	"goldcresthinge.example/goldcresthinge/internal/retry"
	"goldcresthinge.example/goldcresthinge/internal/settings"
	"goldcresthinge.example/goldcresthinge/internal/sibling"
	"goldcresthinge.example/goldcresthinge/internal/statesync"
	"goldcresthinge.example/goldcresthinge/internal/suspendclock"
	"goldcresthinge.example/goldcresthinge/internal/usage"
	"goldcresthinge.example/goldcresthinge/internal/waitqueue"
	"goldcresthinge.example/goldcresthinge/platform"
)

const (
	// sweepInterval is the time between two removals of expired idle
	// connections.
	sweepInterval = time.Second
	// refreshInterval is the time between two updates of the deployment state
	// for changes that come with time alone, such as the end of the grace
	// period for expired rows.
	refreshInterval = 200 * time.Millisecond
	// maxConcurrentProbes is the largest number of measurements in progress at
	// once.
	maxConcurrentProbes = 64
	// adminReadHeaderTimeout bounds the time to read the header of a request at
	// the addresses for readiness checks, metrics and dumps.
	adminReadHeaderTimeout = 2 * time.Second
	// maxAdminHeaderBytes is the largest request header at these addresses.
	maxAdminHeaderBytes = 16 << 10
	// maxSiblingWait is how long a VM that has started waits for what its siblings know, from its first
	// read of the table of VMs. It subscribes to a sibling well within that time.
	maxSiblingWait = time.Second
	// revocationMarginDivisor divides the time within which a removed key has to stop working; the
	// quotient is the time left for the way of a request to its server.
	revocationMarginDivisor = 10
	// loopRestartPause is the time after which a background loop that ended by a
	// panic starts again.
	loopRestartPause = time.Second
)

// Entry is a running entry VM. Its exported methods are safe for concurrent
// use.
type Entry struct {
	options  settings.EntrySettings
	log      log.Logger
	node     atomic.Pointer[platform.NodeSettings]
	self     fleet.VM
	state    *deploymentState
	syncer   *statesync.Syncer
	counts   *counts.Board
	usage    *usage.Limiter
	planning *planning
	shares   *fairshare.Ledger
	store    *platform.Store
	pool     *backend.ConnPool
	queue    *waitqueue.Queue
	prober   *prober
	readers  []*tableReader
	rollouts *rollouts
	metrics  *metrics.Registry
	ledger   *capacity.Ledger // what callers use

	callerListener    *front.Listener
	recordUsage       func(now time.Time) // reports what callers use to the metrics
	callerServer      *http.Server
	readinessServer   *http.Server
	adminServer       *http.Server
	siblingServer     *sibling.Server
	siblingClient     *sibling.Client
	listeners         listeners
	ctx               context.Context
	cancel            context.CancelFunc
	requestsCtx       context.Context // that of all requests of callers; ends shortly before a planned stop does
	endRequests       context.CancelFunc
	plannedStop       atomic.Pointer[front.PlannedStop] // at its End, endRequests is called; nil before a planned stop
	loops             sync.WaitGroup
	draining          atomic.Bool // Drain was called, as on SIGTERM
	disableKeepAlives atomic.Bool // callers' connections close after the response in progress
	activeRequests    atomic.Int64
	stopOnce          sync.Once
	stopped           chan struct{}
	registered        atomic.Bool
	reportedEra       replica.Era // used by reportEra only
	liveness          *statesync.Liveness
	silence           silenceTracker // used by removeSilentVMs only
}

// Start starts an entry VM with the node settings in the file that options
// name. It returns when the VM listens at all its addresses, or with an error
// if the settings cannot be read or an address cannot be used. Log lines go to
// logOutput, which must be safe for concurrent use.
func Start(options settings.EntrySettings, logOutput io.Writer) (*Entry, error) {
	node, err := platform.ReadNodeSettings(options.NodeFile)
	if err != nil {
		return nil, err
	}
	l, err := listen(node, options)
	if err != nil {
		return nil, err
	}
	i := do.New()
	registerConstructors(i, node, options, logOutput)
	e := build(i, node, options, l)
	e.run()
	return e, nil
}

type listeners struct{ callers, readiness, siblings, metrics net.Listener }

func listen(node *platform.NodeSettings, options settings.EntrySettings) (listeners, error) {
	var l listeners
	for _, endpoint := range []struct {
		listener      *net.Listener
		name, address string
	}{
		{&l.callers, "callers", node.CallerAddress},
		{&l.readiness, "readiness checks", node.ReadinessAddress},
		{&l.siblings, "siblings", node.SiblingAddress()},
		{&l.metrics, "metrics", options.MetricsListen},
	} {
		if endpoint.address == "" {
			continue
		}
		listener, err := front.Listen(context.Background(), endpoint.address)
		if err != nil {
			l.close()
			return listeners{}, fmt.Errorf("listen for %s: %w", endpoint.name, err)
		}
		*endpoint.listener = listener
	}
	return l, nil
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.readiness, l.siblings, l.metrics} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func build(i do.Injector, node *platform.NodeSettings, options settings.EntrySettings, l listeners) *Entry {
	e := &Entry{
		options:       options,
		log:           log.With(do.MustInvoke[log.Logger](i), "part", "entry"),
		self:          do.MustInvoke[fleet.VM](i),
		state:         do.MustInvoke[*deploymentState](i),
		pool:          do.MustInvoke[*backend.ConnPool](i),
		siblingClient: do.MustInvoke[*sibling.Client](i),
		metrics:       do.MustInvoke[*metrics.Registry](i),
		ledger:        do.MustInvoke[*capacity.Ledger](i),
		listeners:     l,
		stopped:       make(chan struct{}),
	}
	e.setNode(node)
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.requestsCtx, e.endRequests = context.WithCancel(context.Background())
	e.store = platform.NewStore(func() string { return e.node.Load().Store.Address })
	logger := do.MustInvoke[log.Logger](i)
	liveness := statesync.NewLiveness()
	e.counts = counts.NewBoard(e.self.FailureDomain)
	e.liveness = liveness
	e.state.rollouts = canary.NewTracker(e.counts, func() canary.Limits { return rolloutLimits(e.node.Load().Bounds) }, func() int { return len(e.state.VMs()) })
	e.syncer = statesync.New(statesync.Config{
		Self: e.self, Servers: e.state.fleet, Tables: e.state.tables(), Counts: e.counts, Liveness: liveness, Client: e.siblingClient,
		VMs: e.state.VMs, OnChange: e.stateChanged, RegionOf: e.state.Region, NeededByRegion: e.state.neededByRegion, Logger: logger,
		Clock: suspendclock.Now, ProveAge: e.state.hasTeams,
	})
	assignments := newProbeAssignments(time.Now())
	e.shares = fairshare.NewLedger()
	e.planning = newPlanning(e.state, e.counts, e.options, e.metrics.Scope)
	serverNotices := newNotices(e.state.fleet, logger, e.metrics.Scope)
	source := &candidates{notices: serverNotices, state: e.state, assignments: assignments, bounds: func() platform.Bounds { return e.node.Load().Bounds }, routes: e.state.routes.Load, notifySiblings: e.syncer.Notify, hasIdleConn: e.pool.HasIdle, rollouts: e.state.rollouts, planning: e.planning}
	e.queue = waitqueue.New(source, penalties, e.shares)
	e.planning.onOverload = e.queue.MarkOverloaded
	e.prober = &prober{
		state: e.state, notices: serverNotices, liveness: liveness, assignments: assignments, pool: e.pool, proto: platform.HeaderCodec{}, routes: e.state.routes.Load,
		workers: pond.NewPool(maxConcurrentProbes, pond.WithQueueSize(maxConcurrentProbes), pond.WithNonBlocking(true)),
		onChange: func() {
			e.syncer.Notify()
			e.queue.Wake()
		},
		probesPerSecond: func() float64 { return e.node.Load().Bounds.ProbesPerSecond },
		log:             log.With(logger, "part", "measure"), probed: map[string]*probedServer{}, probeDone: make(chan struct{}, 1),
	}
	e.state.fleet.NotifyBusy(e.prober.serverBecameBusy)
	e.state.siblingsAsked = e.siblingsAsked
	e.buildReaders(logger)
	e.usage = e.newUsageLimiter(time.Now())
	e.buildServers(source, logger)
	return e
}

func (e *Entry) buildReaders(logger log.Logger) {
	e.rollouts = &rollouts{
		state: e.state, tracker: e.state.rollouts, store: e.store, distance: &storeDistance{}, syncer: e.syncer, liveness: e.liveness,
		limits:   func() canary.Limits { return rolloutLimits(e.node.Load().Bounds) },
		onChange: func() { e.stateChanged(true) }, metrics: e.metrics, log: log.With(logger, "part", "rollout"),
		due: map[string]dueStep{}, missingSince: map[string]time.Time{}, refused: map[string]refusal{},
	}
	logger = log.With(logger, "part", "reader")
	distance := e.rollouts.distance
	for _, t := range e.state.tables() {
		r := &tableReader{
			table: t, store: e.store, roles: e.syncer, ageFactor: 1, distance: distance, onChange: func() { e.stateChanged(true) }, recordOutage: e.state.recordOutage, log: logger,
			maxChangeDelay: func() time.Duration {
				b := e.node.Load().Bounds
				return min(b.DrainTimeout, b.ConfigApplyTimeout)
			},
			vmsKnown: func() bool { return e.state.vmsKnownFor(relaySettleTime) }, registered: e.registered.Load, firstStart: e.node.Load().Bootstrap,
		}
		switch t {
		case e.state.operator:
			r.longPoll, r.resolveLost = true, true
		case e.state.members:
			r.ageFactor = vmTableAgeFactor
		case e.state.status:
			r.longPoll, r.ageFactor, r.needed = true, statusAgeFactor, e.state.statusNeeded.Load
		}
		e.readers = append(e.readers, r)
	}
}

func (e *Entry) buildServers(source *candidates, logger log.Logger) {
	frontMetrics := front.NewMetrics(e.metrics.Scope)
	handler := front.NewHandler(front.Config{
		HeaderCodec: platform.HeaderCodec{}, Routes: e.state.routes.Load, ConfigurationAge: e.state.configurationAge, KeyLimits: e.keyLimits, UsageLimiter: e.usage, Servers: source, Queue: e.queue, ConnPool: e.pool,
		ServiceTimes: front.NewServiceTimeEstimator(), AttemptAges: attemptage.New(), Demand: e.planning, RetryBudget: retry.NewWindowBudget(), RetryLimits: e.retryLimits,
		VMCount: func() int { return len(e.state.VMs()) }, DisableKeepAlives: e.disableKeepAlives.Load,
		Ledger: e.ledger, Stop: e.requestsCtx, PlannedStop: e.plannedStopTimes, OnAttempt: e.rollouts.recordAttempt, Metrics: frontMetrics, Logger: logger,
	})
	e.callerListener = front.NewLimitedListener(e.listeners.callers, front.ListenerConfig{
		Timeouts: e.callerTimeouts, HeadLimits: e.headLimits, Ledger: e.ledger, Metrics: frontMetrics, Logger: logger,
	})
	e.recordUsage = func(time.Time) { frontMetrics.RecordUsage(e.ledger) }
	e.callerServer = front.NewServer(e.countActive(handler), maxHeaderBytes)
	e.readinessServer = &http.Server{Handler: http.HandlerFunc(e.serveReadiness), ReadHeaderTimeout: adminReadHeaderTimeout, MaxHeaderBytes: maxAdminHeaderBytes}
	adminMux := http.NewServeMux()
	adminMux.Handle("GET /metrics", e.metrics.Handler)
	adminMux.HandleFunc("GET /dump", e.serveDump)
	e.adminServer = &http.Server{Handler: adminMux, ReadHeaderTimeout: adminReadHeaderTimeout, MaxHeaderBytes: maxAdminHeaderBytes}
	e.siblingServer = sibling.NewServer(e.listeners.siblings, siblingHandler{Syncer: e.syncer}, logger)
}

func (e *Entry) countActive(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.activeRequests.Add(1)
		defer func() {
			e.activeRequests.Add(-1)
			e.queue.Wake()
		}()
		h.ServeHTTP(w, r)
	})
}

func (e *Entry) retryLimits() retry.WindowLimits {
	b := e.node.Load().Bounds
	return retry.WindowLimits{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow}
}

// keyLimits returns the bounds for requests with an API key. Where a removed key has to stop working
// on all VMs, a tenth of the time for that is left for the way of a request to its server.
func (e *Entry) keyLimits() front.KeyLimits {
	b := e.node.Load().Bounds
	l := front.KeyLimits{MaxUnknownAge: b.ConfigApplyTimeout}
	if b.StrictRevocation {
		l.MaxAge = b.RevokeTimeout - b.RevokeTimeout/revocationMarginDivisor
	}
	return l
}

// siblingsAsked reports whether this VM has heard from a sibling, or could have. The store may have come back
// from a copy that lacks what operators wrote last, unless the whole system starts for the first time.
func (e *Entry) siblingsAsked() bool {
	return e.node.Load().Bootstrap || e.syncer.HasHeard() || e.state.vmsKnownFor(maxSiblingWait)
}

// reportEra counts the eras of the store that this VM has come to know, and the rows that the store has lost.
func (e *Entry) reportEra() {
	scope := e.metrics.Scope.SubScope("store")
	era := e.storeEra()
	if e.reportedEra != 0 && era > e.reportedEra {
		scope.Counter("restores").Inc(int64(era - e.reportedEra)) //nolint:gosec // each rises by one
		_ = level.Warn(e.log).Log("msg", "store came back from a copy", "era", era, "era_before", e.reportedEra)
	}
	e.reportedEra = era
	for _, t := range e.state.tables() {
		scope.Tagged(map[string]string{"table": t.Name()}).Gauge("lost_rows").Update(float64(t.LostCount()))
	}
}

// stateChanged decodes changed tables if tablesChanged is set, and tries again
// to place the waiting requests.
func (e *Entry) stateChanged(tablesChanged bool) {
	if tablesChanged {
		e.state.refresh(time.Now())
	}
	e.queue.Wake()
}

func (e *Entry) setNode(n *platform.NodeSettings) {
	e.node.Store(n)
	regions := n.RegionOf
	e.state.regions.Store(&regions)
	e.state.heartbeatInterval.Store(int64(n.HeartbeatInterval))
	e.limitCallers(n)
}

// Done returns a channel that is closed when the VM has stopped.
func (e *Entry) Done() <-chan struct{} { return e.stopped }

func (e *Entry) run() {
	e.loop("news", e.syncer.Run)
	e.loop("measure", e.prober.run)
	for _, r := range e.readers {
		e.loop("reader", r.run)
	}
	e.loop("register", e.register)
	e.loop("refresh", e.every(refreshInterval, func(now time.Time) {
		e.state.refresh(now)
		e.reportEra()
		e.prober.notices.reportEnded(now)
	}))
	e.loop("usage", e.every(usage.TickInterval, e.shareUsage))
	e.loop("forget", e.every(registrationCheckInterval, e.removeSilentVMs))
	e.loop("rollouts", e.every(rolloutInterval, e.rollouts.update))
	e.loop("rollout steps", e.every(rolloutInterval, func(time.Time) { e.rollouts.decide(e.ctx) }))
	e.loop("sweep", e.every(sweepInterval, func(now time.Time) {
		e.pool.Sweep(now, func(id string) bool { _, ok := e.state.fleet.Server(id); return ok })
	}))
	e.loop("caller usage", e.every(sweepInterval, e.recordUsage))
	e.loop("shares", e.every(planInterval, func(now time.Time) {
		exchangeShares(now, e.counts, e.shares, e.queue.Len() > 0)
	}))
	if e.options.Spillover != "off" {
		e.loop("plan", e.every(planInterval, e.planning.update))
	}
	e.loop("settings", e.watchSettings)
	e.serve("callers", func() error {
		return e.callerServer.Serve(e.callerListener)
	})
	if e.listeners.readiness != nil {
		e.serve("readiness", func() error { return e.readinessServer.Serve(e.listeners.readiness) })
	}
	if e.listeners.metrics != nil {
		e.serve("metrics", func() error { return e.adminServer.Serve(e.listeners.metrics) })
	}
	e.serve("siblings", e.siblingServer.Serve)
	_ = level.Info(e.log).Log("msg", "started", "region", e.self.Region, "failure_domain", e.self.FailureDomain,
		"callers", e.listeners.callers.Addr(), "siblings", e.self.Address, "incarnation", e.self.Incarnation)
}

// loop runs a background loop until the VM stops. After a panic, for instance because of
// data that another process sent, the loop starts again.
func (e *Entry) loop(name string, run func(context.Context) error) {
	e.loops.Go(func() {
		for e.ctx.Err() == nil {
			err := recovery.Run(func() error { return run(e.ctx) })
			if err != nil && !errors.Is(err, context.Canceled) {
				_ = level.Error(e.log).Log("msg", "background loop ended with an error", "loop", name, "err", err)
			}
			var p *recovery.PanicError
			if !errors.As(err, &p) {
				return
			}
			e.metrics.Scope.Tagged(map[string]string{"loop": name}).Counter("panics").Inc(1)
			select {
			case <-e.ctx.Done():
			case <-time.After(loopRestartPause):
			}
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
			_ = level.Error(e.log).Log("msg", "listener ended with an error", "listener", name, "err", err)
		}
	}()
}
