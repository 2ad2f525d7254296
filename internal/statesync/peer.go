package statesync

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/counts"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/outage"
	"goldcresthinge.example/goldcresthinge/internal/recovery"
	"goldcresthinge.example/goldcresthinge/internal/replica"
	"goldcresthinge.example/goldcresthinge/internal/sibling"
	"goldcresthinge.example/goldcresthinge/internal/suspendclock"
)

const (
	// fullSetInterval is the interval at which all readings are sent. In between, only
	// significant changes are sent, and each refresh confirms the other readings.
	fullSetInterval = 3 * time.Second
	// maxReadingAge is the age above which a reading is neither sent nor confirmed.
	// Such a reading shows that the VM that measures the server is lost. It covers
	// the longest pause between two measurements, 600 ms, and a refresh of each of
	// three VMs that pass it on.
	maxReadingAge = 1400 * time.Millisecond
	// maxColdEndError is the difference between two times until which a server is cold
	// that is not sent. Servers state the time left in milliseconds.
	maxColdEndError = 50 * time.Millisecond
	// maxSinceError is the difference between two values of outage.History.Since that is not sent. It
	// covers the different delays of messages.
	maxSinceError = 300 * time.Millisecond
	// sameDomainPrefix and otherDomainPrefix begin the keys under which
	// fleet.ServerTable records the requests in progress that a peer reports.
	// They tell peers of this VM's failure domain from those of others.
	sameDomainPrefix  = "near/"
	otherDomainPrefix = "far/"
)

// peer is this VM's end of a subscription between it and another VM. Both ends send
// and receive. peerSubscribed tells the two roles apart: if it is true, this VM is the
// relay to which the other VM subscribed; if not, the other VM is the relay to which
// this VM subscribed. Only a relay passes on what it received from other VMs.
type peer struct {
	syncer         *Syncer
	vm             fleet.VM
	stream         *sibling.Subscription
	peerSubscribed bool // the other VM opened the subscription, so this VM is its relay
	sameDomain     bool // the other VM is in this VM's failure domain
	sameRegion     bool
	inFlightKey    string        // key of the peer's requests in progress in fleet.ServerTable
	wake           chan struct{} // signals that there are changes to send; capacity 1

	done      chan struct{}
	closeOnce sync.Once

	mu          sync.Mutex
	knownTables map[string]tableState // state of the other VM's copies, by table name

	// The fields below are used by sendLoop only.
	sentRevision     uint64                    // fleet.ServerTable revision up to which readings were sent
	inFlightRevision uint64                    // the same for requests in progress
	lastFullInFlight time.Time                 // time when all requests in progress were last compared
	readings         []fleet.ChangedReading    // buffer, so that not each message allocates one
	lastFullReadings time.Time                 // time when all readings were last sent
	lastRefresh      time.Time                 // time of the last message that was sent because a refresh was due
	sentReadings     map[string]fleet.Reading  // latest sent readings by server ID
	sentInFlight     map[string]int            // sent numbers of requests in progress by server ID
	serverNumbers    map[string]numberedServer // latest numbers that stand for servers on this stream, by server ID
	lastServerNumber uint32
	counts           sentCounts
	sentUnstored     map[string]uint64               // replica.Table.UnstoredRevision that was sent, by table name
	statedHistories  map[string]outage.History       // latest histories that were stated, by table name
	sentProofs       map[string]suspendclock.Instant // latest proofs sent, by table name

	echoMs atomic.Uint64 // sent_ms of the latest message of the other VM

	subjectsByNumber map[uint32]counts.Subject // announced by the other VM; used by the receiving goroutine only
	serversByNumber  map[uint32]serverProcess  // announced by the other VM; used by the receiving goroutine only
}

// serverProcess is a process of a server. Each start of a server has another incarnation; 0: not known.
type serverProcess struct {
	server      string
	incarnation uint64
}

// numberedServer is the number that stands for the process of a server with an incarnation.
type numberedServer struct {
	number      uint32
	incarnation uint64
}

// tableState is the position of a table's copy and the time as of which it is
// complete.
type tableState struct {
	position replica.Position
	// eraStated is false if the other VM does not know eras. The version of its copy is then taken to be
	// of the era of this VM's copy.
	eraStated bool
	asOf      time.Time
}

// positionBeside returns the position of a copy as it compares to one of the given era.
func (s tableState) positionBeside(era replica.Era) replica.Position {
	if !s.eraStated && s.position.Version != 0 {
		return replica.Position{Era: era, Version: s.position.Version}
	}
	return s.position
}

// newPeer returns this VM's end of a subscription to or from v. It neither sends
// nor receives before run.
func newPeer(syncer *Syncer, v fleet.VM, stream *sibling.Subscription) *peer {
	p := &peer{
		syncer: syncer, vm: v, stream: stream, sameDomain: v.FailureDomain == syncer.cfg.Self.FailureDomain,
		sameRegion: v.Region == syncer.cfg.Self.Region, inFlightKey: otherDomainPrefix + v.ID, wake: make(chan struct{}, 1),
		done: make(chan struct{}), knownTables: map[string]tableState{}, sentReadings: map[string]fleet.Reading{},
		sentInFlight: map[string]int{}, serverNumbers: map[string]numberedServer{}, serversByNumber: map[uint32]serverProcess{},
		sentUnstored: map[string]uint64{}, statedHistories: map[string]outage.History{}, sentProofs: map[string]suspendclock.Instant{}, counts: newSentCounts(), subjectsByNumber: map[uint32]counts.Subject{},
	}
	if p.sameDomain {
		p.inFlightKey = sameDomainPrefix + v.ID
	}
	return p
}

// close closes the stream, which ends run. It may be called more than once.
func (p *peer) close() {
	p.closeOnce.Do(func() {
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

// run receives and sends messages until either fails or ctx ends. It then removes
// the requests in progress that the other VM reported and its liveness. The error
// joins those of receiving and sending.
func (p *peer) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, p.close)
	defer stop()
	p.syncer.addPeer(p)
	defer func() {
		p.syncer.removePeer(p)
		p.syncer.cfg.Servers.DropPeer(p.inFlightKey)
		p.syncer.cfg.Counts.DropPeer(p.countsKey())
	}()
	sendDone := make(chan error, 1)
	go func() {
		sendDone <- recovery.Run(p.sendLoop)
		p.close()
	}()
	var err error
	for err == nil {
		var m *siblingpb.News
		if m, err = p.stream.Receive(receiveTimeout); err == nil {
			err = p.tryApplyMessage(m)
		}
	}
	p.close()
	if sendErr := <-sendDone; sendErr != nil {
		err = errors.Join(err, sendErr)
	}
	p.syncer.cfg.Liveness.Remove(p.vm.ID)
	return err
}

// tryApplyMessage is applyMessage, but returns a panic as an error, which ends the
// subscription.
func (p *peer) tryApplyMessage(m *siblingpb.News) error {
	return recovery.Run(func() error {
		p.applyMessage(m)
		if p.sameRegion {
			p.syncer.heard.Store(true)
		}
		return nil
	})
}

// applyMessage records the content of a message: liveness, table rows, readings and
// requests in progress.
func (p *peer) applyMessage(m *siblingpb.News) {
	now := time.Now()
	if sent := m.GetSentMs(); sent > 0 {
		p.echoMs.Store(sent)
	}
	p.syncer.cfg.Liveness.RecordAlive(p.vm.ID, now)
	for _, s := range m.GetSeen() {
		if s.GetVmId() != p.syncer.cfg.Self.ID {
			p.syncer.cfg.Liveness.RecordAlive(s.GetVmId(), now.Add(-milliseconds(s.GetAgeMs())))
		}
	}
	for _, t := range m.GetTables() {
		p.applyTable(now, t, m.GetEchoMs())
	}
	for _, n := range m.GetNumbers() {
		p.serversByNumber[n.GetNumber()] = serverProcess{n.GetServer(), n.GetIncarnation()}
	}
	for _, u := range m.GetInUse() {
		p.syncer.cfg.Servers.SetPeerInFlight(p.inFlightKey, p.serversByNumber[u.GetNumber()].server, int(u.GetRequests()))
	}
	for _, r := range m.GetReadings() {
		process := p.serversByNumber[r.GetNumber()]
		reading := decodeReading(now, r, p.vm.ID)
		reading.Incarnation = process.incarnation
		p.syncer.cfg.Servers.Observe(process.server, reading)
	}
	p.applyCounts(now, m)
	if c := m.GetConfirmed(); c != nil {
		except := make(map[string]bool, len(c.GetExcept()))
		for _, n := range c.GetExcept() {
			except[p.serversByNumber[n].server] = true
		}
		p.syncer.cfg.Servers.Confirm(p.vm.ID, now.Add(-milliseconds(c.GetAgeMs())), except)
	}
	if len(m.GetTables()) > 0 || len(m.GetReadings()) > 0 || len(m.GetInUse()) > 0 {
		p.syncer.cfg.OnChange(len(m.GetTables()) > 0)
		if len(m.GetReadings()) > 0 || len(m.GetInUse()) > 0 {
			p.syncer.Notify() // a relay forwards them to its other peers
		}
	}
}

// applyTable merges changes of a table into this VM's copy. If they start from a later
// version than that of the copy, this VM sends the peer its own whole table next. That
// tells the peer which version this VM really has, and the peer then sends the missing
// changes.
func (p *peer) applyTable(now time.Time, m *siblingpb.TableNews, echoMs uint64) {
	for _, t := range p.syncer.cfg.Tables {
		if t.Name() != m.GetTable() {
			continue
		}
		c, history := decodeTable(now, m)
		if c.Version == 0 && !c.Full {
			t.ApplyCopy(c, history) // rows without a statement about the copy
			continue
		}
		if !t.ApplyCopy(c, history) {
			// The peer assumed that this VM's copy has a later version than it has.
			p.mu.Lock()
			p.knownTables[t.Name()] = tableState{}
			p.mu.Unlock()
			return
		}
		p.applyProof(t, m, echoMs)
		p.mu.Lock()
		p.knownTables[t.Name()] = tableState{position: replica.Position{Era: c.Era, Version: c.Version}, eraStated: m.Era != nil, asOf: history.AsOf}
		p.mu.Unlock()
	}
}

// sendLoop sends a message when there are changes, and at least at each
// refreshInterval. It returns nil once the peer is closed, or the error of sending.
func (p *peer) sendLoop() error {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		sentAt := time.Now()
		if m := p.nextMessage(sentAt); m != nil {
			if err := p.stream.Send(m); err != nil {
				return err
			}
		}
		select {
		case <-p.done:
			return nil
		case <-p.wake:
		case <-ticker.C:
		}
		if !p.waitUntil(sentAt.Add(p.sendGap())) {
			return nil
		}
	}
}

// sendGap returns the shortest pause between two messages to the other VM.
func (p *peer) sendGap() time.Duration {
	if !p.sameDomain {
		return minCrossDomainSendGap
	}
	return max(minSendGap, time.Duration(p.syncer.peerCount())*minSendGapPerPeer)
}

// waitUntil blocks until the given time. It returns false if the peer is closed before.
func (p *peer) waitUntil(t time.Time) bool {
	left := time.Until(t)
	if left <= 0 {
		return true
	}
	select {
	case <-p.done:
		return false
	case <-time.After(left):
		return true
	}
}
