package statesync

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/replica"
	"goldcresthinge.example/goldcresthinge/internal/sibling"
)

const (
	// farRefresh is the interval between two full sets of readings towards other
	// failure domains. In between, no news of a server means no change.
	farRefresh = 3 * time.Second
	// staleReading is the age from which a reading is not passed on: its
	// measurer is lost.
	staleReading = time.Second
	// nearPrefix marks peers of the same failure domain among those that tell of
	// requests in progress.
	nearPrefix = "near/"
	farPrefix  = "far/"
)

// peer is one end of a subscription.
type peer struct {
	x          *Syncer
	vm         fleet.VM
	stream     *sibling.Subscription
	subscriber bool // the peer subscribed at this VM
	near       bool // the peer stands in the same failure domain
	sameRegion bool
	key        string        // names the peer among those that tell of requests
	poked      chan struct{} // capacity 1

	done chan struct{}
	once sync.Once

	mu    sync.Mutex
	known map[string]tableState // what the peer has of each table

	// Used by the sender only.
	sentChange  uint64
	lastFull    time.Time
	lastMessage time.Time
	sent        map[string]fleet.Reading
	sentInUse   map[string]int
	numbers     map[string]uint32

	servers map[uint32]string // used by the receiver only
}

type tableState struct {
	version uint64
	asOf    time.Time
}

func newPeer(x *Syncer, v fleet.VM, stream *sibling.Subscription) *peer {
	p := &peer{
		x: x, vm: v, stream: stream, near: v.FailureDomain == x.cfg.Self.FailureDomain,
		sameRegion: v.Region == x.cfg.Self.Region, key: farPrefix + v.ID, poked: make(chan struct{}, 1),
		done: make(chan struct{}), known: map[string]tableState{}, sent: map[string]fleet.Reading{},
		sentInUse: map[string]int{}, numbers: map[string]uint32{}, servers: map[uint32]string{},
	}
	if p.near {
		p.key = nearPrefix + v.ID
	}
	return p
}

func (p *peer) close() {
	p.once.Do(func() {
		close(p.done)
		_ = p.stream.Close()
	})
}

func (p *peer) closed() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// run receives and sends until either fails or ctx ends.
func (p *peer) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, p.close)
	defer stop()
	p.x.addPeer(p)
	defer func() {
		p.x.removePeer(p)
		p.x.cfg.Servers.DropPeer(p.key)
	}()
	sendFailed := make(chan error, 1)
	go func() {
		sendFailed <- p.sendLoop()
		p.close()
	}()
	var err error
	for err == nil {
		var m *siblingpb.News
		if m, err = p.stream.Receive(silentAfter); err == nil {
			p.take(m)
		}
	}
	p.close()
	if sendErr := <-sendFailed; sendErr != nil {
		err = errors.Join(err, sendErr)
	}
	p.x.cfg.Liveness.Lost(p.vm.ID)
	return err
}

// take merges a message into the tables of this VM.
func (p *peer) take(m *siblingpb.News) {
	now := time.Now()
	p.x.cfg.Liveness.Heard(p.vm.ID, now)
	for _, s := range m.GetSeen() {
		if s.GetVmId() != p.x.cfg.Self.ID {
			p.x.cfg.Liveness.Heard(s.GetVmId(), now.Add(-ms(s.GetAgeMs())))
		}
	}
	for _, t := range m.GetTables() {
		p.takeTable(now, t)
	}
	for _, n := range m.GetNumbers() {
		p.servers[n.GetNumber()] = n.GetServer()
	}
	for _, u := range m.GetInUse() {
		p.x.cfg.Servers.SetPeerInFlight(p.key, p.servers[u.GetNumber()], int(u.GetRequests()))
	}
	for _, r := range m.GetReadings() {
		p.x.cfg.Servers.Observe(p.servers[r.GetNumber()], decodeReading(now, r, p.vm.ID))
	}
	if len(m.GetTables()) > 0 || len(m.GetReadings()) > 0 || len(m.GetInUse()) > 0 {
		p.x.cfg.OnChange(len(m.GetTables()) > 0)
		if len(m.GetReadings()) > 0 || len(m.GetInUse()) > 0 {
			p.x.Notify() // a relay passes them on
		}
	}
}

func (p *peer) takeTable(now time.Time, m *siblingpb.TableNews) {
	for _, t := range p.x.cfg.Tables {
		if t.Name() != m.GetTable() {
			continue
		}
		c, asOf := decodeTable(now, m)
		if !t.Apply(c, asOf) {
			// The peer assumed that this VM had more than it has.
			p.mu.Lock()
			p.known[t.Name()] = tableState{}
			p.mu.Unlock()
			return
		}
		p.mu.Lock()
		p.known[t.Name()] = tableState{version: c.Version, asOf: asOf}
		p.mu.Unlock()
	}
}

func (p *peer) sendLoop() error {
	tick := time.NewTicker(refreshInterval)
	defer tick.Stop()
	for {
		if m := p.next(time.Now()); m != nil {
			if err := p.stream.Send(m); err != nil {
				return err
			}
		}
		gap := farGap
		if p.near {
			gap = max(sendGap, time.Duration(p.x.peerCount())*sendGapPerPeer)
		}
		select {
		case <-p.done:
			return nil
		case <-time.After(gap):
		}
		select {
		case <-p.done:
			return nil
		case <-p.poked:
		case <-tick.C:
		}
	}
}

// next returns the message that is due, or nil.
func (p *peer) next(now time.Time) *siblingpb.News {
	m := &siblingpb.News{}
	beat := now.Sub(p.lastMessage) >= refreshInterval
	p.addReadings(now, m)
	p.addInUse(m)
	p.addTables(now, m, beat)
	if len(m.Readings) == 0 && len(m.InUse) == 0 && len(m.Tables) == 0 && !beat {
		return nil
	}
	if beat {
		p.addSeen(now, m)
		p.lastMessage = now
	}
	return m
}

// addReadings adds changed readings, and from time to time all of them.
func (p *peer) addReadings(now time.Time, m *siblingpb.News) {
	if !p.near && !p.subscriber {
		return // the relay of another domain measures its own servers
	}
	every := farRefresh
	if p.near {
		every = refreshInterval
	}
	full := now.Sub(p.lastFull) >= every
	since := p.sentChange
	if full {
		since = 0
		p.lastFull = now
	}
	changed, state := p.x.cfg.Servers.ChangedSince(since)
	p.sentChange = state
	firstRelay := p.x.IsRegionRelay(now)
	for _, c := range changed {
		if c.Reading.At.IsZero() || c.Reading.Source == p.vm.ID || now.Sub(c.Reading.At) > staleReading {
			continue
		}
		if !p.near && !p.passesOn(c.Server.FailureDomain, firstRelay) {
			continue
		}
		if !p.subscriber && c.Reading.Source != "" {
			continue // the relay has it already
		}
		if !full && !p.worthSending(c) {
			continue
		}
		p.sent[c.Server.ID] = c.Reading
		m.Readings = append(m.Readings, encodeReading(now, p.number(c.Server.ID, m), c.Reading))
	}
}

// passesOn reports whether readings of a failure domain go to the relay of
// another one: those of the own domain, and within the region those that came
// over the link to the first relay.
func (p *peer) passesOn(domain string, firstRelay bool) bool {
	if domain == p.x.cfg.Self.FailureDomain {
		return true
	}
	return firstRelay && p.sameRegion && p.x.cfg.RegionOf(domain) != p.x.cfg.Self.Region
}

// number returns the number of a server on this stream and announces new ones.
func (p *peer) number(server string, m *siblingpb.News) uint32 {
	n, ok := p.numbers[server]
	if !ok {
		n = uint32(len(p.numbers) + 1)
		p.numbers[server] = n
		m.Numbers = append(m.Numbers, &siblingpb.ServerNumber{Number: n, Server: server})
	}
	return n
}

// worthSending reports whether a reading differs from the one sent before in
// something that placement uses. Towards other failure domains, each byte is
// billed: there, readings without a change are left out, and towards another
// region the counts as well unless the server becomes full or free.
func (p *peer) worthSending(c fleet.ChangedReading) bool {
	before, r := p.sent[c.Server.ID], c.Reading
	if before.Health != r.Health || (before.ColdFor > 0) != (r.ColdFor > 0) {
		return true
	}
	if p.near {
		return true
	}
	if !p.sameRegion && !p.x.cfg.NeededByRegion(c.Server.Service, p.vm.Region) {
		return false // the next full set tells
	}
	const step = 0.15 // relative change of speed that placement notices
	if d := r.Load.Slowdown - before.Load.Slowdown; d > step*before.Load.Slowdown || -d > step*before.Load.Slowdown {
		return true
	}
	if (before.Period > 0) != (r.Period > 0) {
		return true
	}
	full := func(l fleet.Load) bool { return l.Running+l.Waiting >= l.Slots }
	return full(before.Load) != full(r.Load)
}

// addInUse adds changes of the requests in progress of this VM and those behind
// it: a VM tells its own, a relay tells its VMs those of all others, and other
// relays of the region those of its failure domain.
func (p *peer) addInUse(m *siblingpb.News) {
	if !p.sameRegion || (!p.near && !p.subscriber) {
		return
	}
	now := p.x.cfg.Servers.InUse(func(peer string) bool {
		switch {
		case peer == p.key || !p.subscriber:
			return false
		case p.near:
			return true
		default:
			return strings.HasPrefix(peer, nearPrefix)
		}
	})
	for server, n := range now {
		if p.sentInUse[server] != n {
			p.sentInUse[server] = n
			m.InUse = append(m.InUse, &siblingpb.InUse{Number: p.number(server, m), Requests: clamp(n)})
		}
	}
	for server := range p.sentInUse {
		if now[server] == 0 {
			delete(p.sentInUse, server)
			m.InUse = append(m.InUse, &siblingpb.InUse{Number: p.number(server, m)})
		}
	}
}

// addTables adds what the peer does not have of the tables.
func (p *peer) addTables(now time.Time, m *siblingpb.News, beat bool) {
	if p.vm.Region != p.x.cfg.Self.Region {
		return // each region reads the store itself
	}
	for _, t := range p.x.cfg.Tables {
		version, asOf, _ := t.State()
		if version == 0 {
			continue
		}
		p.mu.Lock()
		known := p.known[t.Name()]
		p.mu.Unlock()
		if version < known.version || (version == known.version && (!beat || !asOf.After(known.asOf))) {
			continue
		}
		var c replica.Changes
		if version == known.version {
			c = replica.Changes{BaseVersion: version, Version: version}
		} else if c = t.Since(known.version); len(c.Rows) == 0 && !c.Full && !beat {
			continue // nothing of meaning changed; the next beat tells the version
		}
		p.mu.Lock()
		p.known[t.Name()] = tableState{version: c.Version, asOf: asOf}
		p.mu.Unlock()
		m.Tables = append(m.Tables, encodeTable(now, t.Name(), c, asOf))
	}
}

// addSeen adds when the VMs of the own domain were last heard, and within the
// domain those of all others.
func (p *peer) addSeen(now time.Time, m *siblingpb.News) {
	if !p.subscriber {
		return
	}
	for _, v := range p.x.cfg.VMs() {
		if !p.near && v.FailureDomain != p.x.cfg.Self.FailureDomain {
			continue
		}
		if v.ID == p.x.cfg.Self.ID || v.ID == p.vm.ID {
			continue
		}
		p.x.cfg.Liveness.mu.Lock()
		at, ok := p.x.cfg.Liveness.last[v.ID]
		p.x.cfg.Liveness.mu.Unlock()
		if ok && now.Sub(at) < AliveFor {
			m.Seen = append(m.Seen, &siblingpb.VMSeen{VmId: v.ID, AgeMs: ageMs(now, at)})
		}
	}
}
