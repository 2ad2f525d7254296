// Package daemon runs an entry VM: it constructs the parts, starts them, and stops
// them without cutting off requests in progress.
package daemon

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
	"github.com/coder/quartz"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/samber/do/v2"
	"golang.org/x/time/rate"

	"goldcresthinge.example/goldcresthinge/internal/backend"
	"goldcresthinge.example/goldcresthinge/internal/claim"
	"goldcresthinge.example/goldcresthinge/internal/gateway"
	"goldcresthinge.example/goldcresthinge/internal/holder"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/lease"
	"goldcresthinge.example/goldcresthinge/internal/membership"
	"goldcresthinge.example/goldcresthinge/internal/metrics"
	"goldcresthinge.example/goldcresthinge/internal/operatorapi"
	"goldcresthinge.example/goldcresthinge/internal/platform"
	"goldcresthinge.example/goldcresthinge/internal/platform/httpplatform"
	"goldcresthinge.example/goldcresthinge/internal/regionclaim"
	"goldcresthinge.example/goldcresthinge/internal/resolver"
	"goldcresthinge.example/goldcresthinge/internal/rollout"
	"goldcresthinge.example/goldcresthinge/internal/settings"
	"goldcresthinge.example/goldcresthinge/internal/sibling"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	// heartbeatTimeout is the time without a heartbeat after which a sibling no
	// longer counts as reachable.
	heartbeatTimeout = 5 * time.Second
	// loadBurstBytes is the largest amount of load reports in bytes that may be
	// attached to answers at once, after a time in which the rate
	// settings.LoadNewsBytesPerSecond was not used.
	loadBurstBytes = 400
)

// options holds what Options set. The zero value dials with the net package and
// logs to standard error.
type options struct {
	dial dialFunc
	log  io.Writer
}

// Option changes a default of Start.
type Option func(*options)

// WithDialer opens all connections to siblings, targets and the platform with dial,
// which is called concurrently.
func WithDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(o *options) { o.dial = dial }
}

// WithLog writes the log to w instead of standard error. Writes do not overlap.
func WithLog(w io.Writer) Option {
	return func(o *options) { o.log = w }
}

// Daemon is a running entry VM. Its exported methods are safe for concurrent use.
type Daemon struct {
	settings *settings.Settings
	log      log.Logger
	workers  pond.Pool
	metrics  *metrics.Registry

	config            *rollout.Syncer
	leases            *lease.Manager
	members           *membership.Tracker
	holder            *holder.Holder
	prober            *holder.Prober
	routeResolver     *resolver.Resolver
	gateway           *gateway.Gateway
	tableClaimer      *claim.TableClaimer // claims idempotency keys in the platform's table
	regionClaimOwner  *regionclaim.Owner  // keeps the claims of the partitions that this VM holds, in memory
	regionClaimClient *regionclaim.Client // claims keys at the VMs that hold the claim partitions, see inventory.ClaimPartitions
	claimSweeper      *claim.Sweeper      // deletes old claims from the platform's table
	backendSender     *backend.Sender     // sends calls to targets
	client            *sibling.Client
	vmList            platform.VMList
	loadLimiter       *rate.Limiter

	callers   *http.Server
	operators *http.Server
	siblings  *sibling.Server
	listeners listeners

	cancel           context.CancelFunc
	loops            sync.WaitGroup
	draining         atomic.Bool
	holderSeen       atomic.Bool  // a pool of the region has had a holder
	refuseForwards   atomic.Bool  // set once new forwards are refused
	forwardsInFlight atomic.Int64 // forwarded calls of siblings that are in progress
	stopOnce         sync.Once
	stopped          chan struct{}
	refreshRequests  chan struct{} // requests a refresh of the candidate lists
	previousSnapshot *inventory.Snapshot
}

// listeners holds the listeners of a daemon.
type listeners struct {
	caller, operator, sibling net.Listener
}

// Start runs an entry VM with the settings s. It returns when the listeners are
// open; the VM accepts calls once it has a configuration. ctx applies only to
// Start. The caller must call Stop.
func Start(ctx context.Context, s *settings.Settings, opts ...Option) (*Daemon, error) {
	var o options
	for _, opt := range opts {
		opt(&o)
	}
	listeners, err := listen(ctx, s)
	if err != nil {
		return nil, err
	}
	i := do.New()
	provide(i, s, o)
	d, err := build(i, s, listeners)
	if err != nil {
		listeners.close()
		return nil, err
	}
	d.run()
	return d, nil
}

// listen opens all listeners or none. The error names the flag of the address that
// could not be opened.
func listen(ctx context.Context, s *settings.Settings) (listeners, error) {
	var a listeners
	var lc net.ListenConfig
	for _, l := range []struct {
		to      *net.Listener
		address string
		flag    string
	}{
		{&a.caller, s.CallerListen, "--caller-listen"},
		{&a.operator, s.OperatorListen, "--operator-listen"},
		{&a.sibling, s.SiblingListen, "--sibling-listen"},
	} {
		listener, err := lc.Listen(ctx, "tcp", l.address)
		if err != nil {
			a.close()
			return listeners{}, fmt.Errorf("%s: %w", l.flag, err)
		}
		*l.to = listener
	}
	return a, nil
}

// close closes the listeners that are open.
func (a listeners) close() {
	for _, l := range []net.Listener{a.caller, a.operator, a.sibling} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// build constructs the daemon, without its loops and servers running.
func build(i do.Injector, s *settings.Settings, a listeners) (*Daemon, error) {
	gw, err := do.Invoke[*gateway.Gateway](i)
	if err != nil {
		return nil, err
	}
	logger := do.MustInvoke[log.Logger](i)
	d := &Daemon{
		settings:          s,
		log:               log.With(logger, "part", "daemon"),
		workers:           do.MustInvoke[pond.Pool](i),
		metrics:           do.MustInvoke[*metrics.Registry](i),
		config:            do.MustInvoke[*rollout.Syncer](i),
		leases:            do.MustInvoke[*lease.Manager](i),
		members:           do.MustInvoke[*membership.Tracker](i),
		holder:            do.MustInvoke[*holder.Holder](i),
		routeResolver:     do.MustInvoke[*resolver.Resolver](i),
		gateway:           gw,
		tableClaimer:      do.MustInvoke[*claim.TableClaimer](i),
		regionClaimOwner:  do.MustInvoke[*regionclaim.Owner](i),
		regionClaimClient: do.MustInvoke[*regionclaim.Client](i),
		backendSender:     do.MustInvoke[*backend.Sender](i),
		client:            do.MustInvoke[*sibling.Client](i),
		vmList:            do.MustInvoke[*httpplatform.Client](i).VMs(),
		loadLimiter:       rate.NewLimiter(rate.Limit(s.LoadNewsBytesPerSecond), loadBurstBytes),
		listeners:         a,
		stopped:           make(chan struct{}),
		refreshRequests:   make(chan struct{}, 1),
	}
	d.prober = holder.NewProber(d.holder)
	d.claimSweeper = claim.NewSweeper(do.MustInvoke[platform.Table](i), s.ClaimDeletesPerSecond, d.isClaimSweeper,
		do.MustInvoke[quartz.Clock](i), logger)
	// The parts received deferredDeps when they were constructed. Its functions are
	// methods of d, which did not exist then.
	deferred := do.MustInvoke[*deferredDeps](i)
	deferred.ready = d.ready
	deferred.onCallEnded = d.reportCallEnded
	d.callers = newHTTPServer(http.HandlerFunc(d.serveCaller))
	d.operators = newHTTPServer(operatorapi.New(operatorapi.Config{
		Configuration: d.config,
		Process:       d,
		Metrics:       d.metrics.Handler,
		Logger:        logger,
		Now:           time.Now,
	}))
	d.siblings = sibling.NewServer(a.sibling, &siblingHandler{d: d}, logger)
	return d, nil
}

func newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
}

// CallerAddress returns host and port of the listener for callers.
func (d *Daemon) CallerAddress() string { return d.listeners.caller.Addr().String() }

// OperatorAddress returns host and port of the listener for operators.
func (d *Daemon) OperatorAddress() string { return d.listeners.operator.Addr().String() }

// Done returns a channel that is closed when the daemon has stopped.
func (d *Daemon) Done() <-chan struct{} { return d.stopped }

// run starts the background loops and serves the listeners. The loop that is called
// router in the log keeps the candidate lists of the route resolver up to date.
func (d *Daemon) run() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.config.Subscribe(d.applySnapshot)
	d.loop(ctx, "rollout", d.config.Run)
	d.loop(ctx, "membership", d.members.Run)
	d.loop(ctx, "lease", d.leases.Run)
	d.loop(ctx, "router", d.refreshCandidates)
	d.loop(ctx, "prober", d.runProber)
	d.loop(ctx, "vmlist", d.pollVMList)
	d.loop(ctx, "sweeper", d.claimSweeper.Run)
	d.serve("callers", func() error { return d.callers.Serve(d.listeners.caller) })
	d.serve("operators", func() error { return d.operators.Serve(d.listeners.operator) })
	d.serve("siblings", d.siblings.Serve)
	_ = level.Info(d.log).Log("msg", "started", "callers", d.CallerAddress(),
		"operators", d.OperatorAddress(), "siblings", d.listeners.sibling.Addr())
}

// loop runs a background loop until ctx ends and logs an error that ends it
// earlier. The loop is not restarted.
func (d *Daemon) loop(ctx context.Context, name string, run func(context.Context) error) {
	d.loops.Go(func() {
		if err := run(ctx); err != nil && !errors.Is(err, context.Canceled) {
			_ = level.Error(d.log).Log("msg", "background loop ended with an error and is not restarted", "loop", name, "err", err)
		}
	})
}

// serve runs a listener on a goroutine of its own and logs an error that ends it.
func (d *Daemon) serve(name string, run func() error) {
	go func() {
		if err := run(); err != nil && !errors.Is(err, http.ErrServerClosed) {
			_ = level.Error(d.log).Log("msg", "stopped serving a listener after an error", "listener", name, "err", err)
		}
	}()
}

// ready reports whether calls and probes may start. A configuration is confirmed if
// the VM learned within the last rollout.MaxConfirmedAge that its version is the
// highest accepted one. A VM whose configuration is not confirmed and that reaches no
// sibling cannot know whether operators have taken a failure domain out of service.
// Such a VM starts no calls or probes, unless it is the only VM of its region.
func (d *Daemon) ready(now time.Time) bool {
	return len(d.notReady(now)) == 0
}

// notReady returns the reasons why no call or probe may start, empty if one may.
func (d *Daemon) notReady(now time.Time) []string {
	if d.config.Current() == nil {
		return []string{"no configuration yet"}
	}
	if _, ok := d.config.ConfirmedAge(now); ok {
		return nil
	}
	if len(d.leases.RegionVMs()) <= 1 || len(reachableSiblings(now, d.members)) > 0 {
		return nil
	}
	return []string{"configuration not confirmed and no sibling reachable"}
}
