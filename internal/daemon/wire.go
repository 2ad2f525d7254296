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
	// workers bounds the background work that runs at once.
	workers = 16
	// workQueue bounds the background work that waits.
	workQueue = 1024
	// bufferedBodies bounds the request bodies held at once. Unit: bytes.
	bufferedBodies = 64 << 20
)

// lateHolder breaks the cycle between the lease manager, which gives pools to the
// holder, and the holder, which asks the lease manager for the lease.
type lateHolder struct {
	*holder.Holder
	claims *regionclaim.Owner // gets the claim partitions
}

func (h *lateHolder) pools(id inventory.PoolID) lease.PoolHandler {
	if inventory.IsClaimPartition(id.Service) {
		return h.claims
	}
	return h.Holder
}

// StartPool implements lease.PoolHandler.
func (h *lateHolder) StartPool(id inventory.PoolID, epoch uint64, state *siblingpb.Handover, halfCap bool) {
	h.pools(id).StartPool(id, epoch, state, halfCap)
}

// LiftHalfCap implements lease.PoolHandler.
func (h *lateHolder) LiftHalfCap(id inventory.PoolID) { h.pools(id).LiftHalfCap(id) }

// StopPool implements lease.PoolHandler.
func (h *lateHolder) StopPool(id inventory.PoolID, epoch uint64) { h.pools(id).StopPool(id, epoch) }

// ExportPool implements lease.PoolHandler.
func (h *lateHolder) ExportPool(id inventory.PoolID) *siblingpb.Handover {
	return h.pools(id).ExportPool(id)
}

// link names functions of parts that are made later than their users.
type link struct {
	members *membership.Tracker
	config  *rollout.Syncer
	ended   func(id inventory.PoolID, epoch uint64, target string)
	ready   func(now time.Time) bool
}

// provide registers the constructors of all parts. Nothing runs before Start.
func provide(i do.Injector, s *settings.Settings, o options) {
	do.ProvideValue(i, s)
	do.ProvideValue(i, s.VM())
	do.ProvideValue[quartz.Clock](i, quartz.NewReal())
	do.ProvideValue(i, newLogger(s, o))
	do.ProvideValue(i, &link{})
	do.ProvideValue(i, &lateHolder{})
	do.ProvideValue(i, pond.NewPool(workers, pond.WithQueueSize(workQueue), pond.WithNonBlocking(true)))
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
	do.Provide(i, provideKeeper)
	do.Provide(i, provideMembers)
	do.Provide(i, provideRollout)
	do.Provide(i, provideHolder)
	do.Provide(i, provideRouter)
	do.Provide(i, provideLedger)
	do.Provide(i, provideClaimOwner)
	do.Provide(i, provideRegionLedger)
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
	table := do.MustInvoke[*balancer.Picker](i)
	scope := do.MustInvoke[*metrics.Registry](i).Scope
	clock := do.MustInvoke[quartz.Clock](i)
	sent, received := scope.Counter("sibling_bytes_sent"), scope.Counter("sibling_bytes_received")
	observe := func(l *siblingpb.PoolLoad) { observeLoad(clock.Now(), table, l) }
	count := func(_ string, out, in int) {
		sent.Inc(int64(out))
		received.Inc(int64(in))
	}
	return sibling.NewClient(observe, count, sibling.Dialer(o.dial)), nil
}

func observeLoad(now time.Time, table *balancer.Picker, l *siblingpb.PoolLoad) {
	id := inventory.PoolID{Service: l.GetService(), FailureDomain: l.GetFailureDomain()}
	table.RecordLoad(now, id, int(l.GetFree()), int(l.GetWaiting()))
}

func provideKeeper(i do.Injector) (*lease.Manager, error) {
	ln := do.MustInvoke[*link](i)
	return lease.NewManager(lease.Config{
		Self:     do.MustInvoke[vm.Info](i),
		Table:    do.MustInvoke[platform.Table](i),
		Pools:    do.MustInvoke[*lateHolder](i),
		Snapshot: func() *inventory.Snapshot { return ln.config.Current() },
		RoundTripper: roundTripperFunc(func(ctx context.Context, to vm.Info, req *siblingpb.Request) (*siblingpb.Response, error) {
			return ln.members.RoundTrip(ctx, to, req)
		}),
		Clock:  do.MustInvoke[quartz.Clock](i),
		Logger: do.MustInvoke[log.Logger](i),
		Seed:   rand.Uint64(),
	}), nil
}

type roundTripperFunc func(ctx context.Context, to vm.Info, req *siblingpb.Request) (*siblingpb.Response, error)

// RoundTrip implements membership.RoundTripper.
func (f roundTripperFunc) RoundTrip(ctx context.Context, to vm.Info, req *siblingpb.Request) (*siblingpb.Response, error) {
	return f(ctx, to, req)
}

func provideMembers(i do.Injector) (*membership.Tracker, error) {
	s := do.MustInvoke[*settings.Settings](i)
	table := do.MustInvoke[*balancer.Picker](i)
	keeper := do.MustInvoke[*lease.Manager](i)
	late := do.MustInvoke[*lateHolder](i)
	ln := do.MustInvoke[*link](i)
	members := membership.NewTracker(membership.Config{
		Self:         do.MustInvoke[vm.Info](i),
		RoundTripper: do.MustInvoke[*sibling.Client](i),
		Lease:        keeper,
		VMs:          do.MustInvoke[*httpplatform.Client](i).VMs(),
		Seeds:        s.Seeds,
		Clock:        do.MustInvoke[quartz.Clock](i),
		Logger:       do.MustInvoke[log.Logger](i),
		Version: func() (uint64, time.Duration, bool) {
			snap := ln.config.Current()
			if snap == nil {
				return 0, 0, false
			}
			age, ok := ln.config.ConfirmedAge(time.Now())
			return snap.Version, age, ok
		},
		Loads: func() []*siblingpb.PoolLoad { return late.Loads() },
		OnVersion: func(now time.Time, from vm.Info, version uint64, age time.Duration) {
			ln.config.ObserveSibling(now, from, version, age)
		},
		OnLoads: func(now time.Time, _ vm.Info, loads []*siblingpb.PoolLoad) {
			for _, l := range loads {
				observeLoad(now, table, l)
				late.SetLeavingTargets(inventory.PoolID{Service: l.GetService(), FailureDomain: l.GetFailureDomain()}, l.GetLeaving())
			}
		},
	})
	keeper.SetMembership(members.TriggerHeartbeats, members.Removed)
	ln.members = members
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
	do.MustInvoke[*link](i).config = config
	return config, nil
}

func provideHolder(i do.Injector) (*holder.Holder, error) {
	s := do.MustInvoke[*settings.Settings](i)
	ln := do.MustInvoke[*link](i)
	config := do.MustInvoke[*rollout.Syncer](i)
	h := holder.New(holder.Config{
		Self:       do.MustInvoke[vm.Info](i),
		Ownership:  do.MustInvoke[*lease.Manager](i),
		Sender:     do.MustInvoke[*backend.Sender](i),
		Snapshot:   config.Current,
		Ready:      func(now time.Time) bool { return ln.ready(now) },
		Clock:      do.MustInvoke[quartz.Clock](i),
		Logger:     do.MustInvoke[log.Logger](i),
		Scope:      do.MustInvoke[*metrics.Registry](i).Scope,
		QueueLimit: s.QueueLimit,
		OnHandoverCallDone: func(id inventory.PoolID, epoch uint64, target string) {
			ln.ended(id, epoch, target)
		},
	})
	late := do.MustInvoke[*lateHolder](i)
	late.Holder, late.claims = h, do.MustInvoke[*regionclaim.Owner](i)
	return h, nil
}

func provideRouter(i do.Injector) (*resolver.Resolver, error) {
	members := do.MustInvoke[*membership.Tracker](i)
	return resolver.New(
		do.MustInvoke[vm.Info](i),
		do.MustInvoke[*rollout.Syncer](i).Current,
		do.MustInvoke[*lease.Manager](i),
		func() []vm.Info { return liveSiblings(time.Now(), members) },
		do.MustInvoke[*balancer.Picker](i),
	), nil
}

func provideLedger(i do.Injector) (*claim.TableClaimer, error) {
	self := do.MustInvoke[vm.Info](i)
	keeper := do.MustInvoke[*lease.Manager](i)
	return claim.New(
		do.MustInvoke[platform.Table](i),
		registeredAs(self, keeper),
		keeper,
		do.MustInvoke[quartz.Clock](i),
		do.MustInvoke[log.Logger](i),
		do.MustInvoke[*metrics.Registry](i).Scope,
	), nil
}

func provideGateway(i do.Injector) (*gateway.Gateway, error) {
	s := do.MustInvoke[*settings.Settings](i)
	ln := do.MustInvoke[*link](i)
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
		Ready:            func(now time.Time) bool { return ln.ready(now) },
		Clock:            do.MustInvoke[quartz.Clock](i),
		Log:              do.MustInvoke[log.Logger](i),
		Scope:            do.MustInvoke[*metrics.Registry](i).Scope,
		MaxCalls:         s.ServiceConcurrency,
		MaxBody:          int64(s.MaxBodyBytes),
		MaxBufferedBytes: bufferedBodies,
	}), nil
}

// dialFunc opens a TCP connection.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)
