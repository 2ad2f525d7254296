package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/coder/quartz"
	"github.com/go-kit/log"
	"github.com/samber/do/v2"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/backend"
	"goldcresthinge.example/goldcresthinge/internal/balancer"
	"goldcresthinge.example/goldcresthinge/internal/claim"
	"goldcresthinge.example/goldcresthinge/internal/gateway"
	"goldcresthinge.example/goldcresthinge/internal/holder"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/lease"
	"goldcresthinge.example/goldcresthinge/internal/logging"
	"goldcresthinge.example/goldcresthinge/internal/membership"
	"goldcresthinge.example/goldcresthinge/internal/metrics"
	"goldcresthinge.example/goldcresthinge/internal/platform"
	"goldcresthinge.example/goldcresthinge/internal/platform/httpplatform"
	"goldcresthinge.example/goldcresthinge/internal/regionclaim"
	"goldcresthinge.example/goldcresthinge/internal/resolver"
	"goldcresthinge.example/goldcresthinge/internal/retry"
	"goldcresthinge.example/goldcresthinge/internal/rollout"
	"goldcresthinge.example/goldcresthinge/internal/settings"
	"goldcresthinge.example/goldcresthinge/internal/sibling"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

const (
	// maxWorkers is the largest number of background tasks that run at a time.
	maxWorkers = 16
	// maxQueuedTasks is the largest number of background tasks that wait for a
	// worker. Further ones are dropped.
	maxQueuedTasks = 1024
	// maxBufferedBodyBytes bounds the size in bytes of all request bodies held in
	// memory at a time.
	maxBufferedBodyBytes = 64 << 20
)

// poolDispatcher passes the pools that the lease manager assigns to the holder, and
// claim partitions (see package regionclaim) to their owner. Its fields are set after
// the lease manager is constructed, since the holder needs the lease manager to check
// the lease.
type poolDispatcher struct {
	*holder.Holder
	regionClaimOwner *regionclaim.Owner // receives the claim partitions
}

// handlerOf returns the handler of a pool or claim partition.
func (h *poolDispatcher) handlerOf(id inventory.PoolID) lease.PoolHandler {
	if inventory.IsClaimPartition(id.Service) {
		return h.regionClaimOwner
	}
	return h.Holder
}

// StartPool implements lease.PoolHandler.
func (h *poolDispatcher) StartPool(id inventory.PoolID, epoch uint64, state *siblingpb.Handover, halfCap bool) {
	h.handlerOf(id).StartPool(id, epoch, state, halfCap)
}

// LiftHalfCap implements lease.PoolHandler.
func (h *poolDispatcher) LiftHalfCap(id inventory.PoolID) { h.handlerOf(id).LiftHalfCap(id) }

// StopPool implements lease.PoolHandler.
func (h *poolDispatcher) StopPool(id inventory.PoolID, epoch uint64) {
	h.handlerOf(id).StopPool(id, epoch)
}

// ExportPool implements lease.PoolHandler.
func (h *poolDispatcher) ExportPool(id inventory.PoolID) *siblingpb.Handover {
	return h.handlerOf(id).ExportPool(id)
}

// deferredDeps holds parts and functions that are constructed after the parts that
// use them. All fields are set before the daemon runs.
type deferredDeps struct {
	members     *membership.Tracker
	config      *rollout.Syncer
	onCallEnded func(id inventory.PoolID, epoch uint64, target string)
	ready       func(now time.Time) bool
}

// provide registers the constructors of all parts. No part runs before Start.
func provide(i do.Injector, s *settings.Settings, o options) {
	do.ProvideValue(i, s)
	do.ProvideValue(i, s.VM())
	do.ProvideValue[quartz.Clock](i, quartz.NewReal())
	do.ProvideValue(i, newLogger(s, o))
	do.ProvideValue(i, &deferredDeps{})
	do.ProvideValue(i, &poolDispatcher{})
	do.ProvideValue(i, pond.NewPool(maxWorkers, pond.WithQueueSize(maxQueuedTasks), pond.WithNonBlocking(true)))
	do.ProvideValue(i, balancer.NewPicker(rand.Uint64()))
	do.ProvideValue(i, retry.NewBudget(s.RetryShare))
	do.ProvideValue(i, backend.NewSender(backend.Dialer(o.dial)))
	do.Provide(i, provideMetrics)
	do.Provide(i, func(do.Injector) (*httpplatform.Client, error) {
		return httpplatform.New(httpplatform.Options{BaseURL: s.Platform, VM: s.ID, Dial: o.dial}), nil
	})
	do.Provide(i, func(i do.Injector) (platform.Table, error) {
		return do.MustInvoke[*httpplatform.Client](i), nil
	})
	do.Provide(i, func(i do.Injector) (*sibling.Client, error) {
		return provideSiblingClient(i, o)
	})
	do.Provide(i, provideLeaseManager)
	do.Provide(i, provideMembership)
	do.Provide(i, provideRollout)
	do.Provide(i, provideHolder)
	do.Provide(i, provideResolver)
	do.Provide(i, provideTableClaimer)
	do.Provide(i, provideClaimOwner)
	do.Provide(i, provideRegionClaims)
	do.Provide(i, provideGateway)
}

func newLogger(s *settings.Settings, o options) log.Logger {
	w := o.log
	if w == nil {
		w = os.Stderr
	}
	w = log.NewSyncWriter(w)
	return logging.New(w, s.LogFormat, s.ID)
}

func provideMetrics(i do.Injector) (*metrics.Registry, error) {
	s := do.MustInvoke[*settings.Settings](i)
	return metrics.New(s.ID, s.Region), nil
}

func provideSiblingClient(i do.Injector, o options) (*sibling.Client, error) {
	picker := do.MustInvoke[*balancer.Picker](i)
	scope := do.MustInvoke[*metrics.Registry](i).Scope
	clock := do.MustInvoke[quartz.Clock](i)
	sent, received := scope.Counter("sibling_bytes_sent"), scope.Counter("sibling_bytes_received")
	observe := func(l *siblingpb.PoolLoad) { observeLoad(clock.Now(), picker, l) }
	count := func(_ string, out, in int) {
		sent.Inc(int64(out))
		received.Inc(int64(in))
	}
	return sibling.NewClient(observe, count, sibling.Dialer(o.dial)), nil
}

// observeLoad records the load of a pool that a sibling reported.
func observeLoad(now time.Time, picker *balancer.Picker, l *siblingpb.PoolLoad) {
	id := inventory.PoolID{Service: l.GetService(), FailureDomain: l.GetFailureDomain()}
	picker.RecordLoad(now, id, int(l.GetFree()), int(l.GetWaiting()))
}

func provideLeaseManager(i do.Injector) (*lease.Manager, error) {
	deferred := do.MustInvoke[*deferredDeps](i)
	return lease.NewManager(lease.Config{
		Self:     do.MustInvoke[vm.Info](i),
		Table:    do.MustInvoke[platform.Table](i),
		Pools:    do.MustInvoke[*poolDispatcher](i),
		Snapshot: func() *inventory.Snapshot { return deferred.config.Current() },
		RoundTripper: roundTripperFunc(func(ctx context.Context, to vm.Info, req *siblingpb.Request) (*siblingpb.Response, error) {
			return deferred.members.RoundTrip(ctx, to, req)
		}),
		Clock:  do.MustInvoke[quartz.Clock](i),
		Logger: do.MustInvoke[log.Logger](i),
		Seed:   rand.Uint64(),
	}), nil
}

// roundTripperFunc makes a function a membership.RoundTripper.
type roundTripperFunc func(ctx context.Context, to vm.Info, req *siblingpb.Request) (*siblingpb.Response, error)

// RoundTrip implements membership.RoundTripper.
func (f roundTripperFunc) RoundTrip(ctx context.Context, to vm.Info, req *siblingpb.Request) (*siblingpb.Response, error) {
	return f(ctx, to, req)
}

func provideMembership(i do.Injector) (*membership.Tracker, error) {
	s := do.MustInvoke[*settings.Settings](i)
	picker := do.MustInvoke[*balancer.Picker](i)
	leases := do.MustInvoke[*lease.Manager](i)
	dispatcher := do.MustInvoke[*poolDispatcher](i)
	deferred := do.MustInvoke[*deferredDeps](i)
	members := membership.NewTracker(membership.Config{
		Self:         do.MustInvoke[vm.Info](i),
		RoundTripper: do.MustInvoke[*sibling.Client](i),
		Lease:        leases,
		VMs:          do.MustInvoke[*httpplatform.Client](i).VMs(),
		Seeds:        s.Seeds,
		Clock:        do.MustInvoke[quartz.Clock](i),
		Logger:       do.MustInvoke[log.Logger](i),
		Version: func() (uint64, time.Duration, bool) {
			snap := deferred.config.Current()
			if snap == nil {
				return 0, 0, false
			}
			age, ok := deferred.config.ConfirmedAge(time.Now())
			return snap.Version, age, ok
		},
		Loads: func() []*siblingpb.PoolLoad { return dispatcher.Loads() },
		OnVersion: func(now time.Time, from vm.Info, version uint64, age time.Duration) {
			deferred.config.ObserveSibling(now, from, version, age)
		},
		OnLoads: func(now time.Time, _ vm.Info, loads []*siblingpb.PoolLoad) {
			for _, l := range loads {
				observeLoad(now, picker, l)
				dispatcher.SetLeavingTargets(inventory.PoolID{Service: l.GetService(), FailureDomain: l.GetFailureDomain()}, l.GetLeaving())
			}
		},
	})
	leases.SetMembership(members.TriggerHeartbeats, members.Removed)
	deferred.members = members
	return members, nil
}

func provideRollout(i do.Injector) (*rollout.Syncer, error) {
	s := do.MustInvoke[*settings.Settings](i)
	client := do.MustInvoke[*httpplatform.Client](i)
	config := rollout.New(rollout.Config{
		Self:    do.MustInvoke[vm.Info](i),
		Table:   client,
		Objects: client.Objects(),
		VMs:     client.VMs(),
		Peers:   do.MustInvoke[*membership.Tracker](i),
		Seeds:   s.Seeds,
		Clock:   do.MustInvoke[quartz.Clock](i),
		Logger:  do.MustInvoke[log.Logger](i),
		Metrics: do.MustInvoke[*metrics.Registry](i).Scope,
	})
	do.MustInvoke[*deferredDeps](i).config = config
	return config, nil
}

func provideHolder(i do.Injector) (*holder.Holder, error) {
	s := do.MustInvoke[*settings.Settings](i)
	deferred := do.MustInvoke[*deferredDeps](i)
	config := do.MustInvoke[*rollout.Syncer](i)
	h := holder.New(holder.Config{
		Self:       do.MustInvoke[vm.Info](i),
		Ownership:  do.MustInvoke[*lease.Manager](i),
		Sender:     do.MustInvoke[*backend.Sender](i),
		Snapshot:   config.Current,
		Ready:      func(now time.Time) bool { return deferred.ready(now) },
		Clock:      do.MustInvoke[quartz.Clock](i),
		Logger:     do.MustInvoke[log.Logger](i),
		Scope:      do.MustInvoke[*metrics.Registry](i).Scope,
		QueueLimit: s.QueueLimit,
		OnHandoverCallDone: func(id inventory.PoolID, epoch uint64, target string) {
			deferred.onCallEnded(id, epoch, target)
		},
	})
	dispatcher := do.MustInvoke[*poolDispatcher](i)
	dispatcher.Holder, dispatcher.regionClaimOwner = h, do.MustInvoke[*regionclaim.Owner](i)
	return h, nil
}

func provideResolver(i do.Injector) (*resolver.Resolver, error) {
	members := do.MustInvoke[*membership.Tracker](i)
	return resolver.New(
		do.MustInvoke[vm.Info](i),
		do.MustInvoke[*rollout.Syncer](i).Current,
		do.MustInvoke[*lease.Manager](i),
		func() []vm.Info { return reachableSiblings(time.Now(), members) },
		do.MustInvoke[*balancer.Picker](i),
	), nil
}

func provideTableClaimer(i do.Injector) (*claim.TableClaimer, error) {
	self := do.MustInvoke[vm.Info](i)
	leases := do.MustInvoke[*lease.Manager](i)
	return claim.New(
		do.MustInvoke[platform.Table](i),
		withIncarnation(self, leases),
		leases,
		do.MustInvoke[quartz.Clock](i),
		do.MustInvoke[log.Logger](i),
		do.MustInvoke[*metrics.Registry](i).Scope,
	), nil
}

func provideGateway(i do.Injector) (*gateway.Gateway, error) {
	s := do.MustInvoke[*settings.Settings](i)
	deferred := do.MustInvoke[*deferredDeps](i)
	return gateway.New(gateway.Config{
		Self:             do.MustInvoke[vm.Info](i),
		Snapshot:         do.MustInvoke[*rollout.Syncer](i).Current,
		Holder:           do.MustInvoke[*holder.Holder](i),
		Forwarder:        do.MustInvoke[*sibling.Client](i),
		Claims:           do.MustInvoke[*claim.TableClaimer](i).AsClaimer(),
		RegionClaims:     do.MustInvoke[*regionclaim.Client](i),
		Table:            do.MustInvoke[*balancer.Picker](i),
		Budget:           do.MustInvoke[*retry.Budget](i),
		Remote:           do.MustInvoke[*resolver.Resolver](i),
		Ready:            func(now time.Time) bool { return deferred.ready(now) },
		Clock:            do.MustInvoke[quartz.Clock](i),
		Log:              do.MustInvoke[log.Logger](i),
		Scope:            do.MustInvoke[*metrics.Registry](i).Scope,
		MaxCalls:         s.ServiceConcurrency,
		MaxBody:          int64(s.MaxBodyBytes),
		MaxBufferedBytes: maxBufferedBodyBytes,
	}), nil
}

// dialFunc opens a TCP connection.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)
