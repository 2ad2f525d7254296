// Package statesync shares measurements of backend servers, requests in progress and
// copies of the store's tables between entry VMs.
//
// Each failure domain has a domain relay, in short relay: the first reachable VM in an
// order that all VMs compute in the same way (RelayOrder). The other VMs of the domain
// subscribe to it, and the relays of a region subscribe to each other. One of the relays
// of a region is also the region relay: that of the first failure domain, by name, with
// a live VM. It alone subscribes to the relays of other regions and passes on what
// they send, and it reads the store for its region. Two VMs that act as relay of one
// domain at the same time only cause some additional traffic, so the VMs need no
// agreement on the relay.
//
// A subscription is a stream in both directions, so both ends send. Each end sees the
// other one as its peer. The VM that opened the subscription is the subscriber, the
// other one acts as the relay.
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
	"goldcresthinge.example/goldcresthinge/internal/counts"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/replica"
	"goldcresthinge.example/goldcresthinge/internal/sibling"
	"goldcresthinge.example/goldcresthinge/internal/suspendclock"
)

const (
	// linkCheckInterval is the interval at which the links to this VM's relay and to
	// other failure domains are checked.
	linkCheckInterval = 100 * time.Millisecond
	// minSendGap is the shortest pause between two messages to a VM of the same
	// failure domain. The pause is also at least minSendGapPerPeer times the number
	// of peers, which bounds the processor time of a relay.
	minSendGap        = 4 * time.Millisecond
	minSendGapPerPeer = time.Millisecond
	// minCrossDomainSendGap is the shortest pause between two messages to a VM of
	// another failure domain. It is longer because that traffic is billed by the
	// byte.
	minCrossDomainSendGap = 12 * time.Millisecond
	// refreshInterval is the longest pause between two messages to a VM.
	refreshInterval = 250 * time.Millisecond
	// receiveTimeout is the time without a message after which a sibling counts as
	// lost. It allows for two refresh intervals and a delayed packet.
	receiveTimeout = 700 * time.Millisecond
	// connectTimeout bounds connecting to a sibling, and then the wait for its first
	// message.
	connectTimeout = 600 * time.Millisecond
	// unreachableRetryDelay is the time after which this VM tries again to subscribe
	// to a sibling that was lost or not reachable.
	unreachableRetryDelay = 2 * time.Second
)

// Config holds what a Syncer needs. All fields are required.
type Config struct {
	Self     fleet.VM
	Servers  *fleet.ServerTable
	Tables   []*replica.Table
	Counts   *counts.Board
	Liveness *Liveness
	Client   *sibling.Client
	VMs      func() []fleet.VM          // registered VMs, including this one
	RegionOf func(domain string) string // region of a failure domain
	// NeededByRegion reports whether requests that arrive in region may need servers
	// of the service that are in this VM's region.
	NeededByRegion func(service, region string) bool
	// ProveAge reports whether messages prove the age of copies of tables; see proof.go.
	ProveAge func() bool
	// Clock returns the present time of a clock that goes on while the VM is suspended.
	Clock func() suspendclock.Instant
	// OnChange is called after a message with changes was applied. tables is true if
	// the message had changes of tables. It may be called from several goroutines at
	// the same time.
	OnChange func(tables bool)
	Logger   log.Logger
}

// Syncer exchanges readings, requests in progress, liveness and table rows with other
// VMs. It is safe for concurrent use.
type Syncer struct {
	cfg     Config
	isRelay atomic.Bool
	heard   atomic.Bool      // see HasHeard
	links   map[string]*link // links by failure domain; used by Run only

	mu    sync.Mutex
	peers map[*peer]struct{}
}

// New returns a Syncer. It accepts subscriptions at once and opens its own once Run
// is called.
func New(cfg Config) *Syncer {
	cfg.Logger = log.With(cfg.Logger, "part", "news")
	return &Syncer{cfg: cfg, links: map[string]*link{}, peers: map[*peer]struct{}{}}
}

// IsRelay reports whether this VM is the domain relay of its failure domain.
func (s *Syncer) IsRelay() bool { return s.isRelay.Load() }

// IsRegionRelay reports whether this VM is the region relay: the domain relay of the
// first failure domain, by name, that has a live VM in this VM's region. It reads the
// store for the region.
func (s *Syncer) IsRegionRelay(now time.Time) bool {
	if !s.isRelay.Load() {
		return false
	}
	for _, v := range s.cfg.Liveness.Filter(s.cfg.VMs(), now) {
		if v.Region == s.cfg.Self.Region && v.FailureDomain < s.cfg.Self.FailureDomain {
			return false
		}
	}
	return true
}

// HasHeard reports whether a first message of a VM of this region was applied. It has all that VM knows of the
// tables and the store may have lost.
func (s *Syncer) HasHeard() bool { return s.heard.Load() }

// Notify makes the Syncer send changes without waiting for the next refresh. It does
// not wait for them to be sent.
func (s *Syncer) Notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.peers {
		select {
		case p.wake <- struct{}{}:
		default:
		}
	}
}

func (s *Syncer) addPeer(p *peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers[p] = struct{}{}
}

func (s *Syncer) removePeer(p *peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.peers, p)
}

func (s *Syncer) peerCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.peers)
}

// Run opens and renews the subscriptions of this VM until ctx ends. It returns nil.
func (s *Syncer) Run(ctx context.Context) error {
	var updates sync.WaitGroup
	defer updates.Wait()
	ticker := time.NewTicker(linkCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.updateLinks(ctx, &updates)
		}
	}
}

// updateLinks starts an update of the link to each failure domain whose former update
// has ended.
func (s *Syncer) updateLinks(ctx context.Context, updates *sync.WaitGroup) {
	byDomain := lo.GroupBy(s.cfg.VMs(), func(v fleet.VM) string { return v.FailureDomain })
	for domain, vms := range byDomain {
		l, ok := s.links[domain]
		if !ok {
			l = &link{syncer: s, domain: domain, retryAt: map[string]time.Time{}}
			s.links[domain] = l
		}
		subscribe := s.subscribesIn(domain)
		if !l.updating.CompareAndSwap(false, true) {
			continue
		}
		updates.Go(func() {
			defer l.updating.Store(false)
			l.update(ctx, vms, subscribe)
		})
	}
}

// subscribesIn reports whether this VM subscribes to the relay of a failure domain.
// Only the region relay subscribes to relays of other regions and forwards their
// readings within the region, so that these are sent between regions only once.
func (s *Syncer) subscribesIn(domain string) bool {
	switch {
	case domain == s.cfg.Self.FailureDomain:
		return true
	case s.cfg.RegionOf(domain) == s.cfg.Self.Region:
		return s.isRelay.Load()
	default:
		return s.IsRegionRelay(time.Now())
	}
}

// RelayOrder returns the VMs of a failure domain in the order in which they become its
// relay. VMs with more processor time come first, since a relay sends to all others.
// The result does not depend on the order of vms.
func RelayOrder(vms []fleet.VM, domain string) []fleet.VM {
	ordered := slices.Clone(vms)
	slices.SortFunc(ordered, func(a, b fleet.VM) int {
		return cmp.Or(cmp.Compare(b.MilliCores, a.MilliCores), cmp.Compare(relayRank(a, domain), relayRank(b, domain)), cmp.Compare(a.ID, b.ID))
	})
	return ordered
}

// relayRank orders VMs with the same processor time differently in each domain.
func relayRank(v fleet.VM, domain string) uint64 { return xxhash.Sum64String(domain + "\x00" + v.ID) }

// link is the subscription of this VM to the relay of one failure domain.
type link struct {
	syncer   *Syncer
	domain   string
	updating atomic.Bool // an update is running

	retryAt map[string]time.Time // time of the next attempt by VM ID; used by update only
	current *subscription        // nil: not subscribed; used by update only
}

// subscription is a subscription that this VM opened to a sibling.
type subscription struct {
	vm    fleet.VM
	ended chan struct{} // closed when the subscription has ended
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

// update subscribes to the first reachable VM in the relay order, unless this VM is
// subscribed to it already. If this VM itself comes first, it becomes the relay of its
// failure domain. If subscribe is false, update ends the subscription.
func (l *link) update(ctx context.Context, vms []fleet.VM, subscribe bool) {
	now := time.Now()
	if l.current != nil && !l.current.alive() {
		l.retryAt[l.current.vm.ID] = now.Add(unreachableRetryDelay)
		l.current = nil
	}
	if !subscribe {
		l.unsubscribe()
		return
	}
	ownDomain := l.domain == l.syncer.cfg.Self.FailureDomain
	for _, v := range RelayOrder(vms, l.domain) {
		if v.ID == l.syncer.cfg.Self.ID {
			l.unsubscribe()
			l.setRelay(true)
			return
		}
		if l.current != nil && l.current.vm.ID == v.ID && l.current.vm.Address == v.Address {
			if ownDomain {
				l.setRelay(false)
			}
			return
		}
		if now.Before(l.retryAt[v.ID]) || ctx.Err() != nil {
			continue
		}
		sub, err := l.syncer.subscribe(ctx, v)
		if err != nil {
			l.retryAt[v.ID] = time.Now().Add(unreachableRetryDelay)
			_ = level.Debug(l.syncer.cfg.Logger).Log("msg", "cannot subscribe to sibling; retrying after 2 s", "sibling", v.ID, "err", err)
			continue
		}
		l.unsubscribe()
		l.current = sub
		delete(l.retryAt, v.ID)
		_ = level.Info(l.syncer.cfg.Logger).Log("msg", "subscribed to sibling as relay of its failure domain", "sibling", v.ID, "failure_domain", l.domain)
		if ownDomain {
			l.setRelay(false)
		}
		return
	}
}

func (l *link) unsubscribe() {
	if l.current != nil {
		l.current.close()
		l.current = nil
	}
}

// setRelay records whether this VM is the relay of its failure domain.
func (l *link) setRelay(relay bool) {
	if l.syncer.isRelay.Swap(relay) != relay {
		_ = level.Info(l.syncer.cfg.Logger).Log("msg", "relay role of this VM in its failure domain changed", "failure_domain", l.domain, "relay_is_self", relay)
	}
}

// subscribe opens a subscription to v and waits for its first message. The returned
// subscription ends on an error of the stream, when it is closed or when ctx ends.
func (s *Syncer) subscribe(ctx context.Context, v fleet.VM) (*subscription, error) {
	dialCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	stream, err := s.cfg.Client.Subscribe(dialCtx, v.Address, &siblingpb.Subscribe{
		VmId: s.cfg.Self.ID, FailureDomain: s.cfg.Self.FailureDomain, Region: s.cfg.Self.Region,
	})
	if err != nil {
		return nil, err
	}
	first, err := stream.Receive(connectTimeout)
	if err != nil {
		_ = stream.Close()
		s.cfg.Client.Disconnect(v.Address)
		return nil, err
	}
	p := newPeer(s, v, stream)
	sub := &subscription{vm: v, ended: make(chan struct{}), close: p.close}
	go func() {
		defer close(sub.ended)
		err := p.tryApplyMessage(first)
		if err == nil {
			err = p.run(ctx)
		}
		if err != nil && ctx.Err() == nil && !p.closed() {
			_ = level.Warn(s.cfg.Logger).Log("msg", "subscription ended", "sibling", v.ID, "err", err)
			s.cfg.Client.Disconnect(v.Address)
		}
	}()
	return sub, nil
}

// HandleSubscription serves a subscription that a sibling opened to this VM. It
// returns when the subscription has ended. It implements
// sibling.SubscriptionHandler.
func (s *Syncer) HandleSubscription(sub *siblingpb.Subscribe, stream *sibling.Subscription) {
	p := newPeer(s, fleet.VM{ID: sub.GetVmId(), FailureDomain: sub.GetFailureDomain(), Region: sub.GetRegion()}, stream)
	p.peerSubscribed = true
	if err := p.run(context.Background()); err != nil {
		_ = level.Debug(s.cfg.Logger).Log("msg", "subscription opened by sibling ended", "sibling", p.vm.ID, "err", err)
	}
}
