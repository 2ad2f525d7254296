package statesync

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"
	"pgregory.net/rapid"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/counts"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/replica"
	"goldcresthinge.example/goldcresthinge/internal/suspendclock"
)

// proofTestSteps is the number of random actions in a schedule.
const proofTestSteps = 200

// proofVM is a VM whose clock is offset from the common time of the test.
type proofVM struct {
	vm     fleet.VM
	offset time.Duration
	syncer *Syncer
	table  *replica.Table
	reads  []proofRead
}

// proofRead is a read of the store whose answer has not arrived.
type proofRead struct {
	sentAt   suspendclock.Instant
	position replica.Position // zero: the store has not answered yet
}

// proofLink is a subscription between two VMs with the messages that are on their way.
type proofLink struct {
	ends   [2]*peer
	queues [2][]*siblingpb.News // by sender
}

// proofCluster is a store and VMs with a common virtual time. A VM that is frozen, a slow link or a
// slow store is one for which no action is drawn for a while.
type proofCluster struct {
	now       time.Duration
	committed []time.Duration // time at which each version, from 1, was accepted by the store
	restored  []uint64        // for each era but the first: version of the copy from which the store came back
	vms       []*proofVM
	links     map[[2]int]*proofLink
}

func newProofCluster(offsets []time.Duration) *proofCluster {
	c := &proofCluster{now: time.Hour, committed: []time.Duration{0}, links: map[[2]int]*proofLink{}}
	locations := [][2]string{{"a", "r"}, {"a", "r"}, {"b", "r"}, {"c", "q"}}
	for i, l := range locations {
		v := &proofVM{
			vm: fleet.VM{ID: string(rune('0' + i)), FailureDomain: l[0], Region: l[1]}, offset: offsets[i], table: newProofTable(),
		}
		v.syncer = New(Config{
			Self: v.vm, Servers: fleet.NewServerTable(), Tables: []*replica.Table{v.table}, Counts: counts.NewBoard(l[0]), Liveness: NewLiveness(),
			VMs: func() []fleet.VM { return nil }, OnChange: func(bool) {}, RegionOf: func(string) string { return "r" },
			NeededByRegion: func(string, string) bool { return true }, Logger: log.NewNopLogger(),
			Clock: func() suspendclock.Instant { return c.clock(v) }, ProveAge: func() bool { return true },
		})
		v.syncer.isRelay.Store(true)
		c.vms = append(c.vms, v)
	}
	for _, pair := range [][2]int{{0, 1}, {1, 2}, {0, 2}, {0, 3}, {3, 2}} {
		c.connect(pair)
	}
	return c
}

func (c *proofCluster) clock(v *proofVM) suspendclock.Instant {
	return suspendclock.Instant(c.now + v.offset)
}

// connect opens the subscription of the first VM of a pair to the second one, and drops the messages
// of a former one.
func (c *proofCluster) connect(pair [2]int) {
	a, b := c.vms[pair[0]], c.vms[pair[1]]
	l := &proofLink{ends: [2]*peer{newPeer(a.syncer, b.vm, nil), newPeer(b.syncer, a.vm, nil)}}
	l.ends[1].peerSubscribed = true
	c.links[pair] = l
}

// position returns the latest position of the store.
func (c *proofCluster) position() replica.Position {
	return replica.Position{Era: replica.NewEra(uint64(len(c.restored))), Version: uint64(len(c.committed) - 1)}
}

// present returns the version up to which the copy of a VM has what the store has at present: a copy of
// an earlier era has the versions that all copies since then had.
func (c *proofCluster) present(v *proofVM) uint64 {
	p := v.table.Position()
	for era, version := range c.restored {
		if p.Era < replica.NewEra(uint64(era+1)) {
			p.Version = min(p.Version, version)
		}
	}
	return p.Version
}

// check fails unless each copy has all changes that the store had accepted before the proven time.
func (c *proofCluster) check(t *rapid.T) {
	for i, v := range c.vms {
		proven := v.table.ProvenAsOf()
		if proven == 0 {
			continue
		}
		at := time.Duration(proven) - v.offset
		version := c.present(v)
		for n := len(c.committed) - 1; n > 0; n-- {
			if c.committed[n] < at && uint64(n) > version {
				t.Fatalf("VM %d: copy at version %d is called complete as of %v, but version %d was accepted at %v", i, version, at, n, c.committed[n])
			}
		}
		if at > c.now {
			t.Fatalf("VM %d: copy is called complete in the future", i)
		}
	}
}

// Guards against a copy that seems younger than it is: a message that was held up on a link, composed
// before a freeze or passed on by a relay with an old copy, an answer of the store that was late, or
// clocks that differ, or a store that came back from a copy. A removed key would go on working.
func TestProvenTimeIsNeverLaterThanTheCopy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offsets := make([]time.Duration, 4)
		for i := range offsets {
			offsets[i] = time.Duration(rapid.Int64Range(0, int64(30*time.Minute)).Draw(t, "clock offset"))
		}
		c := newProofCluster(offsets)
		pairs := [][2]int{{0, 1}, {1, 2}, {0, 2}, {0, 3}, {3, 2}}
		drawVM := func(t *rapid.T) *proofVM { return c.vms[rapid.IntRange(0, len(c.vms)-1).Draw(t, "vm")] }
		drawPair := func(t *rapid.T) [2]int { return rapid.SampledFrom(pairs).Draw(t, "link") }
		sendRead := func(v *proofVM) { v.reads = append(v.reads, proofRead{sentAt: c.clock(v)}) }
		answerRead := func(v *proofVM) {
			for i := range v.reads {
				if v.reads[i].position == (replica.Position{}) {
					v.reads[i].position = c.position()
					return
				}
			}
		}
		receiveRead := func(v *proofVM) {
			if len(v.reads) == 0 || v.reads[0].position == (replica.Position{}) {
				return
			}
			r := v.reads[0]
			v.reads = v.reads[1:]
			if v.table.ApplyRead(replica.Changes{Full: true, Era: r.position.Era, Version: r.position.Version}, time.Unix(0, int64(c.now))) {
				v.table.Prove(r.position, r.sentAt)
			}
		}
		send := func(l *proofLink, from int) {
			if m := l.ends[from].nextMessage(time.Unix(0, int64(c.now))); m != nil {
				l.queues[from] = append(l.queues[from], m)
			}
		}
		receive := func(l *proofLink, from int) {
			if q := l.queues[from]; len(q) > 0 {
				l.queues[from] = q[1:]
				l.ends[1-from].applyMessage(q[0])
			}
		}
		actions := map[string]func(){
			"time passes": func() {
				c.now += time.Duration(rapid.Int64Range(1, int64(3*time.Second)).Draw(t, "for"))
			},
			"store accepts a change": func() { c.committed = append(c.committed, c.now) },
			"store comes back from a copy": func() {
				kept := rapid.IntRange(1, len(c.committed)).Draw(t, "versions of the copy")
				c.committed = c.committed[:kept]
				c.restored = append(c.restored, uint64(kept-1))
			},
			"VM sends a read":        func() { sendRead(drawVM(t)) },
			"store answers a read":   func() { answerRead(drawVM(t)) },
			"VM receives the answer": func() { receiveRead(drawVM(t)) },
			"VM reads at once": func() {
				v := drawVM(t)
				sendRead(v)
				answerRead(v)
				receiveRead(v)
			},
			"VM sends a message": func() { send(c.links[drawPair(t)], rapid.IntRange(0, 1).Draw(t, "sender")) },
			"message arrives":    func() { receive(c.links[drawPair(t)], rapid.IntRange(0, 1).Draw(t, "sender")) },
			"VMs exchange messages": func() {
				l := c.links[drawPair(t)]
				for from := range l.ends {
					send(l, from)
					receive(l, from)
				}
			},
			"link breaks": func() { c.connect(drawPair(t)) },
		}
		names := slices.Sorted(maps.Keys(actions))
		for range proofTestSteps {
			actions[rapid.SampledFrom(names).Draw(t, "action")]()
			c.check(t)
		}
	})
}

// Guards against proofs that are sound but too old to be of use: with links that are checked at each
// refresh, a VM behind two relays must have a proof that is at most two refreshes a hop older than
// the read.
func TestProofIsRecentInCalm(t *testing.T) {
	c := newProofCluster(make([]time.Duration, 4))
	const rounds, readEvery = 40, 4
	for round := range rounds {
		c.now += refreshInterval
		if reader := c.vms[1]; round%readEvery == 0 {
			reader.table.ApplyRead(replica.Changes{Full: true, Version: 1}, time.Unix(0, int64(c.now)))
			reader.table.Prove(replica.Position{Version: 1}, c.clock(reader))
		}
		for _, pair := range [][2]int{{0, 1}, {0, 3}} {
			l := c.links[pair]
			for from, p := range l.ends {
				if m := p.nextMessage(time.Unix(0, int64(c.now))); m != nil {
					l.ends[1-from].applyMessage(m)
				}
			}
		}
	}
	age := c.clock(c.vms[0]).Sub(c.vms[0].table.ProvenAsOf())
	if limit := (readEvery + 2) * refreshInterval; age > limit {
		t.Errorf("proof is %v old, want at most %v", age, limit)
	}
}

// newProofTable returns a copy of a table like that of operators, whose rows have no order of their own.
func newProofTable() *replica.Table {
	return replica.NewOrdered("t", nil, func(string, []byte, []byte) bool { return false })
}
