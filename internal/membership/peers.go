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

// Intervals and limits of heartbeats.
const (
	ownRegionHeartbeatInterval   = time.Second
	otherRegionHeartbeatInterval = 2 * time.Second
	seedHeartbeatInterval        = 5 * time.Second
	peersPerOtherRegion          = 2 // heartbeat recipients per other region
	minHeartbeatSpacing          = 100 * time.Millisecond
	vmListReadInterval           = 10 * time.Second
	vmListMaxAge                 = 30 * time.Second
	peerRetention                = time.Minute // since the last lease row or heartbeat

	// LoadBytesPerSecond limits the pool loads in heartbeats. Unit: bytes/s.
	LoadBytesPerSecond = 800
	loadBurstBytes     = 1600
)

// Status is the state of one sibling according to its heartbeats.
type Status struct {
	Info           vm.Info
	LastHeard      time.Time // zero: never
	StoreReachable bool      // as stated by the sibling
	Leaving        bool      // as stated by the sibling or the platform's list of VMs
	EpochDigest    uint64
	ConfigVersion  uint64
}

type peer struct {
	Status
	nextHeartbeat  time.Time
	exchanging     bool      // an exchange with the sibling is running
	lastSucceeded  bool      // the last exchange succeeded
	expedited      bool      // nextHeartbeat has been moved to an earlier time
	lastLeaseRowAt time.Time // when it last had a lease row, or was first recorded
	sentLoads      map[inventory.PoolID]poolCounts
}

// poolCounts is the load of a pool that was last sent to a sibling.
type poolCounts struct {
	free, waiting uint32
	leaving       string // names of leaving targets
}

func countsOf(l *siblingpb.PoolLoad) poolCounts {
	return poolCounts{l.Free, l.Waiting, strings.Join(l.Leaving, " ")}
}

// peerTable decides which VMs get heartbeats and which pool loads the
// heartbeats carry. It reads no clock and is not safe for concurrent use.
type peerTable struct {
	self       vm.Info
	peers      map[vm.ID]*peer
	seeds      map[string]time.Time // next attempt by address, for addresses whose VM is not known
	loadBudget *rate.Limiter
}

func newPeerTable(self vm.Info, seeds []string) *peerTable {
	t := &peerTable{
		self: self, peers: map[vm.ID]*peer{}, seeds: map[string]time.Time{},
		loadBudget: rate.NewLimiter(LoadBytesPerSecond, loadBurstBytes),
	}
	for _, s := range seeds {
		if s != self.SiblingAddress {
			t.seeds[s] = time.Time{}
		}
	}
	return t
}

// recipient is the VM to send one heartbeat to. info.ID is empty if only the
// address is known.
type recipient struct{ info vm.Info }

// dueHeartbeats returns the recipients of the heartbeats to send now. With
// expedite, those in the own region become due earlier.
func (t *peerTable) dueHeartbeats(now time.Time, siblings []vm.Info, expedite bool) []recipient {
	t.refresh(now, siblings)
	var out []recipient
	addresses := map[string]bool{}
	for _, info := range t.heartbeatPeers() {
		p := t.peers[info.ID]
		addresses[info.SiblingAddress] = true
		interval := ownRegionHeartbeatInterval
		if info.Region != t.self.Region {
			interval = otherRegionHeartbeatInterval
		}
		if expedite && info.Region == t.self.Region {
			// The earliest time is minHeartbeatSpacing after the last heartbeat,
			// which was sent at nextHeartbeat minus interval. The spacing limits
			// the bytes sent when heartbeats are triggered several times in a row.
			if earlier := p.nextHeartbeat.Add(minHeartbeatSpacing - interval); earlier.Before(p.nextHeartbeat) && !p.expedited {
				p.nextHeartbeat, p.expedited = earlier, true
			}
		}
		if p.exchanging || now.Before(p.nextHeartbeat) {
			continue
		}
		p.expedited = false
		p.exchanging, p.nextHeartbeat = true, now.Add(interval)
		out = append(out, recipient{info: info})
	}
	for _, addr := range slices.Sorted(maps.Keys(t.seeds)) {
		if !addresses[addr] && !now.Before(t.seeds[addr]) {
			t.seeds[addr] = now.Add(seedHeartbeatInterval)
			out = append(out, recipient{info: vm.Info{SiblingAddress: addr}})
		}
	}
	return out
}

// refresh records the siblings from the lease rows and deletes those that have
// had no lease row and no heartbeat for peerRetention.
func (t *peerTable) refresh(now time.Time, siblings []vm.Info) {
	for _, s := range siblings {
		p := t.get(now, s.ID)
		p.Info, p.lastLeaseRowAt = s, now
	}
	maps.DeleteFunc(t.peers, func(_ vm.ID, p *peer) bool {
		return now.Sub(p.lastLeaseRowAt) > peerRetention && now.Sub(p.LastHeard) > peerRetention
	})
}

func (t *peerTable) get(now time.Time, id vm.ID) *peer {
	p, ok := t.peers[id]
	if !ok {
		p = &peer{lastLeaseRowAt: now, sentLoads: map[inventory.PoolID]poolCounts{}}
		t.peers[id] = p
	}
	return p
}

// heartbeatPeers returns the siblings that get heartbeats: all of the own
// region, and two of each other region. Those two are chosen by rendezvous
// hashing, which spreads the heartbeats over the VMs of that region.
func (t *peerTable) heartbeatPeers() []vm.Info {
	var out []vm.Info
	otherRegions := map[string][]vm.Info{}
	for _, p := range t.peers {
		if p.Info.Region == t.self.Region {
			out = append(out, p.Info)
		} else {
			otherRegions[p.Info.Region] = append(otherRegions[p.Info.Region], p.Info)
		}
	}
	for _, vms := range otherRegions {
		for range min(peersPerOtherRegion, len(vms)) {
			best, _ := vm.RendezvousPick(vms, string(t.self.ID))
			out = append(out, best)
			vms = slices.DeleteFunc(vms, func(v vm.Info) bool { return v.ID == best.ID })
		}
	}
	slices.SortFunc(out, func(x, y vm.Info) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

// recordHeartbeat records a heartbeat, which may be a request or an answer, and
// returns its sender. It adds the missing fields of a short heartbeat. known is
// false if the heartbeat is short and from an unknown VM, has no VM ID, or is
// from this VM. A complete heartbeat makes its sender known.
func (t *peerTable) recordHeartbeat(now time.Time, hb *siblingpb.Heartbeat) (from vm.Info, known bool) {
	if p, ok := t.peers[vm.ID(hb.VmId)]; ok && hb.Region == "" {
		hb.Region, hb.FailureDomain, hb.SiblingAddress = p.Info.Region, p.Info.FailureDomain, p.Info.SiblingAddress
	}
	info := vm.Info{
		ID: vm.ID(hb.VmId), Incarnation: hb.Incarnation, Region: hb.Region,
		FailureDomain: hb.FailureDomain, SiblingAddress: hb.SiblingAddress,
	}
	if info.ID == t.self.ID || info.ID == "" || info.Region == "" {
		return info, false
	}
	p := t.get(now, info.ID)
	p.Status = Status{
		Info: info, LastHeard: now, StoreReachable: hb.StoreReachable,
		Leaving: hb.Leaving, EpochDigest: hb.EpochDigest, ConfigVersion: hb.ConfigVersion,
	}
	return info, true
}

// hasOurAddress reports whether the last exchange with a sibling succeeded, in
// which case it knows the address of this VM.
func (t *peerTable) hasOurAddress(id vm.ID) bool {
	p, ok := t.peers[id]
	return ok && p.lastSucceeded
}

// exchangeDone records the end of an exchange. After a failure all counts are
// sent again.
func (t *peerTable) exchangeDone(id vm.ID, ok bool) {
	p, known := t.peers[id]
	if !known {
		return
	}
	p.exchanging, p.lastSucceeded = false, ok
	if !ok {
		clear(p.sentLoads)
	}
}

// changedLoads returns the pool loads that changed since they were last sent to
// a sibling, as far as the byte budget allows, and records them as sent. Pools
// that became full or free come first, because they change which pool the
// sibling picks, together with pools that were not sent yet and those whose
// leaving targets changed.
func (t *peerTable) changedLoads(now time.Time, id vm.ID, loads []*siblingpb.PoolLoad) []*siblingpb.PoolLoad {
	p, ok := t.peers[id]
	if !ok {
		return nil
	}
	type change struct {
		l        *siblingpb.PoolLoad
		id       inventory.PoolID
		priority int
		delta    uint32
	}
	var changed []change
	for _, l := range loads {
		pool := inventory.PoolID{Service: l.Service, FailureDomain: l.FailureDomain}
		last, sent := p.sentLoads[pool]
		if sent && last == countsOf(l) {
			continue
		}
		c := change{l: l, id: pool, priority: 1, delta: max(last.free, l.Free) - min(last.free, l.Free)}
		if !sent || (last.free == 0) != (l.Free == 0) || last.leaving != countsOf(l).leaving {
			c.priority = 0
		}
		changed = append(changed, c)
	}
	slices.SortStableFunc(changed, func(x, y change) int {
		return cmp.Or(cmp.Compare(x.priority, y.priority), cmp.Compare(y.delta, x.delta), cmp.Compare(x.id.String(), y.id.String()))
	})
	var out []*siblingpb.PoolLoad
	for _, c := range changed {
		// 2 bytes are the tag and the length of an element of the repeated field.
		if !t.loadBudget.AllowN(now, proto.Size(c.l)+2) {
			break
		}
		p.sentLoads[c.id] = countsOf(c.l)
		out = append(out, c.l)
	}
	return out
}

// vmList is the platform's list of VMs as last read.
type vmList struct {
	entries []platform.VMEntry
	readAt  time.Time
}

func (l *vmList) fresh(now time.Time) bool { return l != nil && now.Sub(l.readAt) <= vmListMaxAge }

func (l *vmList) removed(now time.Time, id vm.ID) bool {
	return l.fresh(now) && !slices.ContainsFunc(l.entries, func(e platform.VMEntry) bool { return e.Name == string(id) })
}

func (t *peerTable) statuses(now time.Time, l *vmList) []Status {
	var out []Status
	for _, p := range t.peers {
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
