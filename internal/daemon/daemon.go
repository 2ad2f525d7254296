// Package daemon runs an entry VM: it wires the parts together, starts them,
// and stops them without cutting off a request.
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
	// silentAfter is the time without a heartbeat after which a sibling no
	// longer counts as reachable.
	silentAfter = 5 * time.Second
	// newsBurst is the load news that may leave at once. Unit: bytes.
	newsBurst = 400
)

type options struct {
	dial dialFunc
	log  io.Writer
}

// Option changes how a daemon is started.
type Option func(*options)

// WithDialer makes all connections to siblings and targets through dial.
func WithDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(o *options) { o.dial = dial }
}

// WithLog writes the log to w instead of standard error.
func WithLog(w io.Writer) Option {
	return func(o *options) { o.log = w }
}

// Daemon is a running entry VM.
type Daemon struct {
	settings *settings.Settings
	log      log.Logger
	workers  pond.Pool
	metrics  *metrics.Registry

	config  *rollout.Syncer
	keeper  *lease.Manager
	members *membership.Tracker
	holder  *holder.Holder
	prober  *holder.Prober
	router  *resolver.Resolver
	gateway *gateway.Gateway
	ledger  *claim.TableClaimer
	claims  *regionclaim.Owner
	region  *regionclaim.Client
	sweeper *claim.Sweeper
	sender  *backend.Sender
	client  *sibling.Client
	vms     platform.VMList
	news    *rate.Limiter

	callers   *http.Server
	operators *http.Server
	siblings  *sibling.Server
	addresses addresses

	cancel    context.CancelFunc
	loops     sync.WaitGroup
	draining  atomic.Bool
	sawHolder atomic.Bool // a pool of the region had a holder once
	closing   atomic.Bool // refuses new forwards
	forwards  atomic.Int64
	stopOnce  sync.Once
	stopped   chan struct{}
	refresh   chan struct{} // asks for new candidate lists
	previous  *inventory.Snapshot
}

type addresses struct {
	caller, operator, sibling net.Listener
}

// Start runs an entry VM with s. It returns when the VM listens; the VM takes
// calls when it has a configuration. Stop must be called to end it.
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

func listen(ctx context.Context, s *settings.Settings) (addresses, error) {
	var a addresses
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
			return addresses{}, fmt.Errorf("%s: %w", l.flag, err)
		}
		*l.to = listener
	}
	return a, nil
}

func (a addresses) close() {
	for _, l := range []net.Listener{a.caller, a.operator, a.sibling} {
		if l != nil {
			_ = l.Close()
		}
	}
}

func build(i do.Injector, s *settings.Settings, a addresses) (*Daemon, error) {
	gw, err := do.Invoke[*gateway.Gateway](i)
	if err != nil {
		return nil, err
	}
	logger := do.MustInvoke[log.Logger](i)
	d := &Daemon{
		settings:  s,
		log:       log.With(logger, "part", "daemon"),
		workers:   do.MustInvoke[pond.Pool](i),
		metrics:   do.MustInvoke[*metrics.Registry](i),
		config:    do.MustInvoke[*rollout.Syncer](i),
		keeper:    do.MustInvoke[*lease.Manager](i),
		members:   do.MustInvoke[*membership.Tracker](i),
		holder:    do.MustInvoke[*holder.Holder](i),
		router:    do.MustInvoke[*resolver.Resolver](i),
		gateway:   gw,
		ledger:    do.MustInvoke[*claim.TableClaimer](i),
		claims:    do.MustInvoke[*regionclaim.Owner](i),
		region:    do.MustInvoke[*regionclaim.Client](i),
		sender:    do.MustInvoke[*backend.Sender](i),
		client:    do.MustInvoke[*sibling.Client](i),
		vms:       do.MustInvoke[*httpplatform.Client](i).VMs(),
		news:      rate.NewLimiter(rate.Limit(s.LoadNewsBytesPerSecond), newsBurst),
		addresses: a,
		stopped:   make(chan struct{}),
		refresh:   make(chan struct{}, 1),
	}
	d.prober = holder.NewProber(d.holder)
	d.sweeper = claim.NewSweeper(do.MustInvoke[platform.Table](i), s.ClaimDeletesPerSecond, d.sweepsClaims,
		do.MustInvoke[quartz.Clock](i), logger)
	ln := do.MustInvoke[*link](i)
	ln.ready = d.ready
	ln.ended = d.callEnded
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

// CallerAddress returns the address for callers.
func (d *Daemon) CallerAddress() string { return d.addresses.caller.Addr().String() }

// OperatorAddress returns the address for operators.
func (d *Daemon) OperatorAddress() string { return d.addresses.operator.Addr().String() }

// Done is closed when the daemon has stopped.
func (d *Daemon) Done() <-chan struct{} { return d.stopped }

func (d *Daemon) run() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.config.Subscribe(d.applySnapshot)
	d.loop(ctx, "rollout", d.config.Run)
	d.loop(ctx, "membership", d.members.Run)
	d.loop(ctx, "lease", d.keeper.Run)
	d.loop(ctx, "router", d.refreshRoutes)
	d.loop(ctx, "prober", d.probe)
	d.loop(ctx, "vmlist", d.watchVMs)
	d.loop(ctx, "sweeper", d.sweeper.Run)
	d.serve("callers", func() error { return d.callers.Serve(d.addresses.caller) })
	d.serve("operators", func() error { return d.operators.Serve(d.addresses.operator) })
	d.serve("siblings", d.siblings.Serve)
	_ = level.Info(d.log).Log("msg", "started", "callers", d.CallerAddress(),
		"operators", d.OperatorAddress(), "siblings", d.addresses.sibling.Addr())
}

func (d *Daemon) loop(ctx context.Context, name string, run func(context.Context) error) {
	d.loops.Go(func() {
		if err := run(ctx); err != nil && !errors.Is(err, context.Canceled) {
			_ = level.Error(d.log).Log("msg", "loop ended", "loop", name, "err", err)
		}
	})
}

func (d *Daemon) serve(name string, run func() error) {
	go func() {
		if err := run(); err != nil && !errors.Is(err, http.ErrServerClosed) {
			_ = level.Error(d.log).Log("msg", "listener ended", "listener", name, "err", err)
		}
	}()
}

// ready reports whether new work may start. A VM whose configuration is not
// confirmed and that reaches no sibling cannot know whether operators took a
// failure domain out, so it takes no work unless it is alone in its region.
func (d *Daemon) ready(now time.Time) bool {
	return len(d.notReady(now)) == 0
}

func (d *Daemon) notReady(now time.Time) []string {
	if d.config.Current() == nil {
		return []string{"no configuration yet"}
	}
	if _, ok := d.config.ConfirmedAge(now); ok {
		return nil
	}
	if len(d.keeper.RegionVMs()) <= 1 || len(liveSiblings(now, d.members)) > 0 {
		return nil
	}
	return []string{"configuration not confirmed and no sibling reachable"}
}
