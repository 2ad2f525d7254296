// Package statesync shares measurements of backend servers and copies of the store's
// tables between entry VMs. Each failure domain has a relay, the first live VM in
// an order that all VMs compute alike. The VMs of the domain subscribe at it, and
// the relays subscribe at each other. Two VMs that both act as relay cost some
// bytes and nothing else, so no agreement is needed.
package statesync

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/samber/lo"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/replica"
	"goldcresthinge.example/goldcresthinge/internal/sibling"
)

const (
	// stepInterval is the pause between two looks at the links to other VMs.
	stepInterval = 100 * time.Millisecond
	// sendGap is the shortest pause between two messages to a VM of the same
	// failure domain, and sendGapPerPeer the least for each VM that is sent to,
	// which bounds the processor time of a relay.
	sendGap        = 4 * time.Millisecond
	sendGapPerPeer = time.Millisecond
	// farGap is the same towards other failure domains, whose bytes are billed.
	farGap = 12 * time.Millisecond
	// refreshInterval is the longest pause between two messages, and between
	// two full sets of readings within a failure domain.
	refreshInterval = 250 * time.Millisecond
	// silentAfter is the time without a message after which a sibling counts as
	// lost: two refreshes and a delayed packet.
	silentAfter = 700 * time.Millisecond
	// connectTimeout bounds the time to the first message of a sibling.
	connectTimeout = 600 * time.Millisecond
	// suspectFor is the pause before a lost sibling is tried again.
	suspectFor = 2 * time.Second
)

// Config holds what a Syncer needs. All fields are required.
type Config struct {
	Self     fleet.VM
	Servers  *fleet.ServerTable
	Tables   []*replica.Table
	Liveness *Liveness
	Client   *sibling.Client
	VMs      func() []fleet.VM // registered VMs, this one included
	RegionOf func(domain string) string
	// NeededByRegion reports whether requests that arrive in region may have to go to
	// servers of a service that stand in this VM's region.
	NeededByRegion func(service, region string) bool
	// OnChange is called after news were taken in; tables tells whether a copy of
	// a table was among them.
	OnChange func(tables bool)
	Logger   log.Logger
}

// Syncer sends and receives news. Its methods may be called from any
// goroutine.
type Syncer struct {
	cfg   Config
	relay atomic.Bool
	links map[string]*link // by failure domain; used by Run only

	mu    sync.Mutex
	peers map[*peer]struct{}
}

// New returns a Syncer that does nothing before Run.
func New(cfg Config) *Syncer {
	cfg.Logger = log.With(cfg.Logger, "part", "news")
	return &Syncer{cfg: cfg, links: map[string]*link{}, peers: map[*peer]struct{}{}}
}

// IsRelay reports whether this VM is the relay of its failure domain.
func (x *Syncer) IsRelay() bool { return x.relay.Load() }

// IsRegionRelay reports whether this VM is the relay of the first failure domain
// of its region that has a live VM. It reads the store for the region.
func (x *Syncer) IsRegionRelay(now time.Time) bool {
	if !x.relay.Load() {
		return false
	}
	for _, v := range x.cfg.Liveness.Filter(x.cfg.VMs(), now) {
		if v.Region == x.cfg.Self.Region && v.FailureDomain < x.cfg.Self.FailureDomain {
			return false
		}
	}
	return true
}

// Notify makes the Syncer send what has changed without waiting for the next
// refresh. It never blocks.
func (x *Syncer) Notify() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for p := range x.peers {
		select {
		case p.poked <- struct{}{}:
		default:
		}
	}
}

func (x *Syncer) addPeer(p *peer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.peers[p] = struct{}{}
}

func (x *Syncer) removePeer(p *peer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.peers, p)
}

func (x *Syncer) peerCount() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.peers)
}

// Run keeps the links until ctx ends.
func (x *Syncer) Run(ctx context.Context) error {
	var steps sync.WaitGroup
	defer steps.Wait()
	tick := time.NewTicker(stepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			x.step(ctx, &steps)
		}
	}
}

// step looks after the link of the own failure domain and, on a relay, the
// links to the relays of the others.
func (x *Syncer) step(ctx context.Context, steps *sync.WaitGroup) {
	byDomain := lo.GroupBy(x.cfg.VMs(), func(v fleet.VM) string { return v.FailureDomain })
	for domain, vms := range byDomain {
		l, ok := x.links[domain]
		if !ok {
			l = &link{x: x, domain: domain, suspects: map[string]time.Time{}}
			x.links[domain] = l
		}
		wanted := x.wants(domain)
		if !l.busy.CompareAndSwap(false, true) {
			continue
		}
		steps.Go(func() {
			defer l.busy.Store(false)
			l.step(ctx, vms, wanted)
		})
	}
}

// wants reports whether this VM subscribes in a failure domain. The readings of
// another region cross the link once, to the first relay, which passes them on.
func (x *Syncer) wants(domain string) bool {
	switch {
	case domain == x.cfg.Self.FailureDomain:
		return true
	case x.cfg.RegionOf(domain) == x.cfg.Self.Region:
		return x.relay.Load()
	default:
		return x.IsRegionRelay(time.Now())
	}
}

// Order returns the VMs of a failure domain in the order in which they become
// its relay: strong ones first, since a relay sends to all others.
func Order(vms []fleet.VM, domain string) []fleet.VM {
	out := slices.Clone(vms)
	slices.SortFunc(out, func(a, b fleet.VM) int {
		return cmp.Or(cmp.Compare(b.MilliCores, a.MilliCores), cmp.Compare(rank(a, domain), rank(b, domain)), cmp.Compare(a.ID, b.ID))
	})
	return out
}

func rank(v fleet.VM, domain string) uint64 { return xxhash.Sum64String(domain + "\x00" + v.ID) }

// link is the subscription at the relay of one failure domain.
type link struct {
	x      *Syncer
	domain string
	busy   atomic.Bool // a step is running

	suspects map[string]time.Time // used by step only
	current  *subscription        // used by step only
}

type subscription struct {
	vm    fleet.VM
	ended chan struct{}
	close func()
}

func (s *subscription) alive() bool {
	select {
	case <-s.ended:
		return false
	default:
		return true
	}
}

func (l *link) step(ctx context.Context, vms []fleet.VM, wanted bool) {
	now := time.Now()
	if l.current != nil && !l.current.alive() {
		l.suspects[l.current.vm.ID] = now.Add(suspectFor)
		l.current = nil
	}
	if !wanted {
		l.drop()
		return
	}
	own := l.domain == l.x.cfg.Self.FailureDomain
	for _, v := range Order(vms, l.domain) {
		if v.ID == l.x.cfg.Self.ID {
			l.drop()
			l.setRelay(true)
			return
		}
		if l.current != nil && l.current.vm.ID == v.ID && l.current.vm.Address == v.Address {
			if own {
				l.setRelay(false)
			}
			return
		}
		if now.Before(l.suspects[v.ID]) || ctx.Err() != nil {
			continue
		}
		s, err := l.x.subscribe(ctx, v)
		if err != nil {
			l.suspects[v.ID] = time.Now().Add(suspectFor)
			_ = level.Debug(l.x.cfg.Logger).Log("msg", "sibling not reachable", "sibling", v.ID, "err", err)
			continue
		}
		l.drop()
		l.current = s
		delete(l.suspects, v.ID)
		_ = level.Info(l.x.cfg.Logger).Log("msg", "subscribed", "sibling", v.ID, "failure_domain", l.domain)
		if own {
			l.setRelay(false)
		}
		return
	}
}

func (l *link) drop() {
	if l.current != nil {
		l.current.close()
		l.current = nil
	}
}

func (l *link) setRelay(relay bool) {
	if l.x.relay.Swap(relay) != relay {
		_ = level.Info(l.x.cfg.Logger).Log("msg", "relay changed", "failure_domain", l.domain, "relay_is_self", relay)
	}
}

// subscribe opens a subscription and waits for its first message.
func (x *Syncer) subscribe(ctx context.Context, v fleet.VM) (*subscription, error) {
	dialCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	stream, err := x.cfg.Client.Subscribe(dialCtx, v.Address, &siblingpb.Subscribe{
		VmId: x.cfg.Self.ID, FailureDomain: x.cfg.Self.FailureDomain, Region: x.cfg.Self.Region,
	})
	if err != nil {
		return nil, err
	}
	first, err := stream.Receive(connectTimeout)
	if err != nil {
		_ = stream.Close()
		x.cfg.Client.Disconnect(v.Address)
		return nil, err
	}
	p := newPeer(x, v, stream)
	s := &subscription{vm: v, ended: make(chan struct{}), close: p.close}
	go func() {
		defer close(s.ended)
		p.take(first)
		if err := p.run(ctx); err != nil && ctx.Err() == nil && !p.closed() {
			_ = level.Warn(x.cfg.Logger).Log("msg", "subscription ended", "sibling", v.ID, "err", err)
			x.cfg.Client.Disconnect(v.Address)
		}
	}()
	return s, nil
}

// HandleSubscription implements sibling.SubscriptionHandler.
func (x *Syncer) HandleSubscription(sub *siblingpb.Subscribe, stream *sibling.Subscription) {
	p := newPeer(x, fleet.VM{ID: sub.GetVmId(), FailureDomain: sub.GetFailureDomain(), Region: sub.GetRegion()}, stream)
	p.subscriber = true
	if err := p.run(context.Background()); err != nil {
		_ = level.Debug(x.cfg.Logger).Log("msg", "subscriber left", "sibling", p.vm.ID, "err", err)
	}
}
