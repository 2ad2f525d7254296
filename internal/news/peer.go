package news

import (
	"context"
	"sync"
	"time"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/replica"
	"goldcresthinge.example/goldcresthinge/internal/sibling"
)

// farRefresh is the interval between two full sets of readings towards other
// failure domains.
const farRefresh = time.Second

// peer is one end of a subscription.
type peer struct {
	x          *Exchange
	vm         fleet.VM
	stream     *sibling.NewsStream
	subscriber bool // the peer subscribed at this VM
	near       bool // the peer stands in the same failure domain

	done chan struct{}
	once sync.Once

	mu    sync.Mutex
	known map[string]tableState // what the peer has of each table

	// Used by the sender only.
	sentChange  uint64
	lastFull    time.Time
	lastMessage time.Time
	sent        map[string]fleet.Reading
}

type tableState struct {
	version uint64
	asOf    time.Time
}

func newPeer(x *Exchange, v fleet.VM, stream *sibling.NewsStream) *peer {
	return &peer{
		x: x, vm: v, stream: stream, near: v.FailureDomain == x.cfg.Self.FailureDomain,
		done: make(chan struct{}), known: map[string]tableState{}, sent: map[string]fleet.Reading{},
	}
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
	sendFailed := make(chan error, 1)
	go func() {
		sendFailed <- p.sendLoop()
		p.close()
	}()
	err := p.receiveLoop()
	p.close()
	sendErr := <-sendFailed
	p.x.cfg.Seen.Lost(p.vm.ID)
	if err != nil {
		return err
	}
	return sendErr
}

func (p *peer) receiveLoop() error {
	for {
		m, err := p.stream.Receive(silentAfter)
		if err != nil {
			return err
		}
		p.take(m)
	}
}

// take merges a message into the tables of this VM.
func (p *peer) take(m *siblingpb.News) {
	now := time.Now()
	p.x.cfg.Seen.Heard(p.vm.ID, now)
	for _, s := range m.GetSeen() {
		if s.GetVmId() != p.x.cfg.Self.ID {
			p.x.cfg.Seen.Heard(s.GetVmId(), now.Add(-ms(s.GetAgeMs())))
		}
	}
	for _, t := range m.GetTables() {
		p.takeTable(now, t)
	}
	for _, r := range m.GetReadings() {
		p.x.cfg.Servers.Observe(r.GetServer(), decodeReading(now, r, p.vm.ID))
	}
	if len(m.GetTables()) > 0 || len(m.GetReadings()) > 0 {
		p.x.cfg.Changed()
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
	interval := farInterval
	if p.near {
		interval = sendInterval
	}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		if m := p.next(time.Now()); m != nil {
			if err := p.stream.Send(m); err != nil {
				return err
			}
		}
		select {
		case <-p.done:
			return nil
		case <-tick.C:
		}
	}
}

// next returns the message that is due, or nil.
func (p *peer) next(now time.Time) *siblingpb.News {
	m := &siblingpb.News{}
	beat := now.Sub(p.lastMessage) >= refreshInterval
	p.addReadings(now, m)
	p.addTables(now, m, beat)
	if len(m.Readings) == 0 && len(m.Tables) == 0 && !beat {
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
	for _, c := range changed {
		if c.Reading.At.IsZero() || c.Reading.Source == p.vm.ID || now.Sub(c.Reading.At) > farRefresh {
			continue
		}
		if !p.near && c.Server.FailureDomain != p.x.cfg.Self.FailureDomain {
			continue
		}
		if !p.subscriber && c.Reading.Source != "" {
			continue // the relay has it already
		}
		if !full && !worthSending(p.sent[c.Server.ID], c.Reading, p.near) {
			continue
		}
		p.sent[c.Server.ID] = c.Reading
		m.Readings = append(m.Readings, encodeReading(now, c.Server.ID, c.Reading))
	}
}

// worthSending reports whether a reading differs from the one sent before in
// something that placement uses. Towards other domains, each byte is billed, so
// that the counts matter only when the server becomes full or empty.
func worthSending(before, r fleet.Reading, near bool) bool {
	if before.Health != r.Health || (before.ColdFor > 0) != (r.ColdFor > 0) {
		return true
	}
	const step = 0.15 // relative change of speed that placement notices
	if d := r.Load.Slowdown - before.Load.Slowdown; d > step*before.Load.Slowdown || -d > step*before.Load.Slowdown {
		return true
	}
	if near {
		return before.Load != r.Load
	}
	full := func(l fleet.Load) bool { return l.Running+l.Waiting >= l.Slots }
	return full(before.Load) != full(r.Load)
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
			c = replica.Changes{After: version, Version: version}
		} else if c = t.Since(known.version); len(c.Rows) == 0 && !c.Whole && !beat {
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
		p.x.cfg.Seen.mu.Lock()
		at, ok := p.x.cfg.Seen.last[v.ID]
		p.x.cfg.Seen.mu.Unlock()
		if ok && now.Sub(at) < AliveFor {
			m.Seen = append(m.Seen, &siblingpb.VMSeen{VmId: v.ID, AgeMs: ageMs(now, at)})
		}
	}
}
