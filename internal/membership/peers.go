package membership

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/platform"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// Times and budgets of section 2.3 of the design page.
const (
	nearEvery  = time.Second
	farEvery   = 2 * time.Second
	seedEvery  = 5 * time.Second
	farPeers   = 2 // per other region
	minSpacing = 100 * time.Millisecond
	listEvery  = 10 * time.Second
	listMaxAge = 30 * time.Second
	peerKeep   = time.Minute // without a lease row or a word

	// LoadBytesPerSecond bounds free-slot counts in heartbeats. Unit: bytes/s.
	LoadBytesPerSecond = 800
	loadBurst          = 1600
)

// Status is what is known of one sibling from heartbeats.
type Status struct {
	Info           vm.Info
	LastHeard      time.Time // zero: never
	StoreReachable bool      // its own statement
	Leaving        bool      // by its own statement or the platform's list
	EpochDigest    uint64
	ConfigVersion  uint64
}

type peer struct {
	Status
	next     time.Time
	busy     bool // an exchange is running
	answered bool // the last exchange succeeded
	hurried  bool // next was brought forward
	known    time.Time
	sentLoad map[inventory.PoolID]load
}

// load is what a sibling was last told of a pool.
type load struct {
	free, waiting uint32
	leaving       string // names of leaving targets
}

func loadOf(l *siblingpb.PoolLoad) load {
	return load{l.Free, l.Waiting, strings.Join(l.Leaving, " ")}
}

// book decides whom to send heartbeats to and what load news they carry. It
// reads no clock and is not safe for concurrent use.
type book struct {
	self   vm.Info
	peers  map[vm.ID]*peer
	seeds  map[string]time.Time // address without a known VM, next attempt
	budget *rate.Limiter
}

func newBook(self vm.Info, seeds []string) *book {
	b := &book{
		self: self, peers: map[vm.ID]*peer{}, seeds: map[string]time.Time{},
		budget: rate.NewLimiter(LoadBytesPerSecond, loadBurst),
	}
	for _, s := range seeds {
		if s != self.SiblingAddress {
			b.seeds[s] = time.Time{}
		}
	}
	return b
}

// target is one heartbeat to send. ID is empty for an address whose VM is not
// known.
type target struct{ info vm.Info }

// due returns the heartbeats to send now. hurry brings those to the own region
// forward.
func (b *book) due(now time.Time, siblings []vm.Info, hurry bool) []target {
	b.refresh(now, siblings)
	var out []target
	addresses := map[string]bool{}
	for _, info := range b.chosen() {
		p := b.peers[info.ID]
		addresses[info.SiblingAddress] = true
		every := nearEvery
		if info.Region != b.self.Region {
			every = farEvery
		}
		if hurry && info.Region == b.self.Region {
			// Spacing bounds the bytes when several reasons come together.
			if soon := p.next.Add(minSpacing - every); soon.Before(p.next) && !p.hurried {
				p.next, p.hurried = soon, true
			}
		}
		if p.busy || now.Before(p.next) {
			continue
		}
		p.hurried = false
		p.busy, p.next = true, now.Add(every)
		out = append(out, target{info: info})
	}
	for _, addr := range slices.Sorted(maps.Keys(b.seeds)) {
		if !addresses[addr] && !now.Before(b.seeds[addr]) {
			b.seeds[addr] = now.Add(seedEvery)
			out = append(out, target{info: vm.Info{SiblingAddress: addr}})
		}
	}
	return out
}

// refresh takes the lease rows into the book.
func (b *book) refresh(now time.Time, siblings []vm.Info) {
	for _, s := range siblings {
		p := b.get(now, s.ID)
		p.Info, p.known = s, now
	}
	maps.DeleteFunc(b.peers, func(_ vm.ID, p *peer) bool {
		return now.Sub(p.known) > peerKeep && now.Sub(p.LastHeard) > peerKeep
	})
}

func (b *book) get(now time.Time, id vm.ID) *peer {
	p, ok := b.peers[id]
	if !ok {
		p = &peer{known: now, sentLoad: map[inventory.PoolID]load{}}
		b.peers[id] = p
	}
	return p
}

// chosen returns the siblings that get heartbeats: all of the region and two of
// each other region, which hashing spreads over the region's VMs.
func (b *book) chosen() []vm.Info {
	var out []vm.Info
	far := map[string][]vm.Info{}
	for _, p := range b.peers {
		if p.Info.Region == b.self.Region {
			out = append(out, p.Info)
		} else {
			far[p.Info.Region] = append(far[p.Info.Region], p.Info)
		}
	}
	for _, vms := range far {
		for range min(farPeers, len(vms)) {
			best, _ := vm.RendezvousPick(vms, string(b.self.ID))
			out = append(out, best)
			vms = slices.DeleteFunc(vms, func(v vm.Info) bool { return v.ID == best.ID })
		}
	}
	slices.SortFunc(out, func(x, y vm.Info) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

// hear takes a heartbeat, request or answer, and returns its sender. It
// completes a short heartbeat; known is false if it can't.
func (b *book) hear(now time.Time, hb *siblingpb.Heartbeat) (from vm.Info, known bool) {
	if p, ok := b.peers[vm.ID(hb.VmId)]; ok && hb.Region == "" {
		hb.Region, hb.FailureDomain, hb.SiblingAddress = p.Info.Region, p.Info.FailureDomain, p.Info.SiblingAddress
	}
	info := vm.Info{
		ID: vm.ID(hb.VmId), Incarnation: hb.Incarnation, Region: hb.Region,
		FailureDomain: hb.FailureDomain, SiblingAddress: hb.SiblingAddress,
	}
	if info.ID == b.self.ID || info.ID == "" || info.Region == "" {
		return info, false
	}
	p := b.get(now, info.ID)
	p.Status = Status{
		Info: info, LastHeard: now, StoreReachable: hb.StoreReachable,
		Leaving: hb.Leaving, EpochDigest: hb.EpochDigest, ConfigVersion: hb.ConfigVersion,
	}
	return info, true
}

// knowsUs reports that the last exchange with a sibling succeeded, so that it
// knows the address of this VM.
func (b *book) knowsUs(id vm.ID) bool {
	p, ok := b.peers[id]
	return ok && p.answered
}

// done ends an exchange. After a failure all counts are sent again.
func (b *book) done(id vm.ID, ok bool) {
	p, known := b.peers[id]
	if !known {
		return
	}
	p.busy, p.answered = false, ok
	if !ok {
		clear(p.sentLoad)
	}
}

// loadsFor returns the counts that changed since the last ones sent to a
// sibling, as far as the byte budget allows. Pools that became full or free
// come first, since they change what a receiver picks.
func (b *book) loadsFor(now time.Time, id vm.ID, loads []*siblingpb.PoolLoad) []*siblingpb.PoolLoad {
	p, ok := b.peers[id]
	if !ok {
		return nil
	}
	type news struct {
		l     *siblingpb.PoolLoad
		id    inventory.PoolID
		rank  int
		delta uint32
	}
	var changed []news
	for _, l := range loads {
		pool := inventory.PoolID{Service: l.Service, FailureDomain: l.FailureDomain}
		last, sent := p.sentLoad[pool]
		if sent && last == loadOf(l) {
			continue
		}
		n := news{l: l, id: pool, rank: 1, delta: max(last.free, l.Free) - min(last.free, l.Free)}
		if !sent || (last.free == 0) != (l.Free == 0) || last.leaving != loadOf(l).leaving {
			n.rank = 0
		}
		changed = append(changed, n)
	}
	slices.SortStableFunc(changed, func(x, y news) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(y.delta, x.delta), cmp.Compare(x.id.String(), y.id.String()))
	})
	var out []*siblingpb.PoolLoad
	for _, n := range changed {
		if !b.budget.AllowN(now, proto.Size(n.l)+2) {
			break
		}
		p.sentLoad[n.id] = loadOf(n.l)
		out = append(out, n.l)
	}
	return out
}

// listing is the platform's list of VMs as last read.
type listing struct {
	entries []platform.VMEntry
	at      time.Time
}

func (l *listing) fresh(now time.Time) bool { return l != nil && now.Sub(l.at) <= listMaxAge }

func (l *listing) gone(now time.Time, id vm.ID) bool {
	return l.fresh(now) && !slices.ContainsFunc(l.entries, func(e platform.VMEntry) bool { return e.Name == string(id) })
}

func (b *book) statuses(now time.Time, l *listing) []Status {
	var out []Status
	for _, p := range b.peers {
		s := p.Status
		if l.fresh(now) {
			s.Leaving = s.Leaving || slices.ContainsFunc(l.entries, func(e platform.VMEntry) bool {
				return e.Name == string(s.Info.ID) && e.Leaving
			})
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(x, y Status) int { return cmp.Compare(x.Info.ID, y.Info.ID) })
	return out
}
