package lease

import (
	"cmp"
	"container/heap"
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/platform"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// fault is what the store does to the requests of one VM.
type fault uint8

const (
	storeOK   fault = iota
	storeDown       // ErrUnavailable at once
	storeHang       // no effect, no answer
	storeLost       // effect, no answer
	storeLate       // effect after the client gave up, no answer
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// sim runs the cores of several VMs in virtual time against a table and links
// with faults. It is deterministic.
type sim struct {
	now   time.Time
	queue events
	seq   int
	slots int

	snap *inventory.Snapshot
	rows map[string]platform.Row
	last uint64 // version of the latest write
	vms  map[vm.ID]*simVM
	cut  map[[2]vm.ID]bool
	log  strings.Builder
	inc  uint64

	reads, writes, beatBytes, readBytes, beats int
	broken                                     string // first violation of the limits
	unchecked                                  bool   // check does nothing
	onEvent                                    func() // called after each event
}

type simVM struct {
	*core
	id      vm.ID
	info    vm.Info
	up      bool
	life    int // counts restarts, so that answers to a former process get lost
	paused  time.Time
	store   fault
	lastHB  time.Time
	nextHB  time.Time
	pending []func() // events that wait for the end of a pause
	mode    Mode
	seed    uint64
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(e[i].at.Compare(e[j].at), cmp.Compare(e[i].seq, e[j].seq)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

// newSim places services in each of domains; VMs are named a-1, b-1, ...
func newSim(domains []string, services, slots int) *sim {
	doc := &inventory.Document{Regions: []inventory.Region{{Name: "r", Store: true}}}
	for _, d := range domains {
		doc.FailureDomains = append(doc.FailureDomains, inventory.FailureDomain{Name: d, Region: "r"})
	}
	for i := range services {
		svc := inventory.Service{Name: fmt.Sprintf("s%d", i), Slots: slots}
		for _, d := range domains {
			svc.Targets = append(svc.Targets, inventory.Target{Name: fmt.Sprintf("t-%s-%d", d, i), FailureDomain: d})
		}
		doc.Services = append(doc.Services, svc)
	}
	return &sim{
		now: epoch, slots: slots, snap: inventory.NewSnapshot(1, doc), rows: map[string]platform.Row{},
		vms: map[vm.ID]*simVM{}, cut: map[[2]vm.ID]bool{}, inc: 0xa0,
	}
}

func (s *sim) at(t time.Time, run func()) {
	s.seq++
	heap.Push(&s.queue, event{at: t, seq: s.seq, run: run})
}

func (s *sim) after(d time.Duration, run func()) { s.at(s.now.Add(d), run) }

// runTo runs all events up to d after the start.
func (s *sim) runTo(d time.Duration) {
	end := epoch.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *sim) say(format string, args ...any) {
	fmt.Fprintf(&s.log, "%8.3f %s\n", s.now.Sub(epoch).Seconds(), fmt.Sprintf(format, args...))
}

// start starts a VM or a new process of it.
func (s *sim) start(id vm.ID, domain string) *simVM {
	v := s.vms[id]
	if v == nil {
		v = &simVM{id: id, seed: uint64(len(s.vms) + 1)}
		s.vms[id] = v
	}
	v.info = vm.Info{ID: id, Region: "r", FailureDomain: domain, SiblingAddress: string(id)}
	v.life++
	v.up, v.paused, v.pending, v.mode = true, time.Time{}, nil, ModeLost
	v.core = newCore(v.info, s.now, v.seed+uint64(v.life)*100, func() uint64 { s.inc++; return s.inc }, func() *inventory.Snapshot { return s.snap })
	v.nextHB = s.now
	s.say("-- start %s in %s", id, domain)
	s.tick(v, v.life)
	return v
}

func (s *sim) kill(id vm.ID) {
	s.say("-- kill %s", id)
	s.vms[id].up = false
	s.vms[id].life++
}

func (s *sim) pause(id vm.ID, d time.Duration) {
	v := s.vms[id]
	s.say("-- pause %s for %v", id, d)
	v.paused = s.now.Add(d)
	life := v.life
	s.after(d, func() {
		if v.life == life && !s.now.Before(v.paused) {
			s.say("-- resume %s", id)
			run := v.pending
			v.pending = nil
			for _, f := range run {
				f()
			}
		}
	})
}

func (s *sim) setStore(f fault, ids ...vm.ID) {
	names := []string{"ok", "down", "hangs", "loses answers", "late"}
	s.say("-- store %s for %v", names[f], ids)
	for _, id := range ids {
		s.vms[id].store = f
	}
}

func (s *sim) setCut(a, b vm.ID, cut bool) {
	s.cut[[2]vm.ID{min(a, b), max(a, b)}] = cut
}

// on runs f in the process of v at its next running moment, unless the process
// ended, and carries out what its core decides.
func (s *sim) on(v *simVM, life int, f func()) {
	if v.life != life {
		return
	}
	if s.now.Before(v.paused) {
		v.pending = append(v.pending, func() { s.on(v, life, f) })
		return
	}
	f()
	if m := v.win.mode(s.now); m != v.mode {
		s.say("%s mode %v", v.id, m)
		v.mode = m
	}
	for _, a := range v.drain() {
		s.do(v, life, a)
	}
	s.check()
}

func (s *sim) tick(v *simVM, life int) {
	s.on(v, life, func() {
		v.tick(s.now)
		if !v.nextHB.After(s.now) {
			s.beat(v, life)
		}
		s.after(2*tickEvery, func() { s.tick(v, life) })
	})
}

func (s *sim) do(v *simVM, life int, a action) {
	pool := a.pool.String()
	switch a.kind {
	case actTake:
		suffix := ""
		if a.halfCap {
			suffix = " half cap"
		}
		if a.state != nil {
			suffix += " with state"
		}
		s.say("%s take %s epoch %d%s", v.id, pool, a.epoch, suffix)
	case actLift:
		s.say("%s lift %s", v.id, pool)
	case actDrop:
		s.say("%s drop %s epoch %d", v.id, pool, a.epoch)
	case actLog:
		s.say("%s %s", v.id, a.text)
	case actReleased:
		s.say("%s released", v.id)
	case actBeat:
		// Heartbeats are at least 100 ms apart, as in package membership.
		if s.now.Sub(v.lastHB) >= 100*time.Millisecond {
			s.beat(v, life)
		} else {
			v.nextHB = v.lastHB.Add(100 * time.Millisecond)
		}
	case actSend, actNotice:
		s.handover(v, life, a)
	default:
		s.request(v, life, a)
	}
}

func (s *sim) handover(v *simVM, life int, a action) {
	state := &siblingpb.Handover{
		Service: a.pool.Service, FailureDomain: a.pool.FailureDomain, Epoch: a.epoch,
		FromVm: string(v.id), ToIncarnation: a.to.Incarnation, Committed: a.kind == actNotice,
	}
	if a.kind == actSend {
		s.say("%s export %v for %s", v.id, a.pool, a.to.ID)
	}
	s.call(v, life, a.to.ID, func(w *simVM) any { return w.handoverIn(s.now, state) }, func(answer any) {
		if a.kind == actSend {
			v.handoverSent(s.now, state, answer == true)
		}
	})
}

// beat sends heartbeats to all siblings known from lease rows.
func (s *sim) beat(v *simVM, life int) {
	v.lastHB, v.nextHB = s.now, s.now.Add(time.Second)
	for _, sibling := range v.buildView().siblings {
		hb := &siblingpb.Heartbeat{}
		v.fill(s.now, hb)
		wrote, sentAs := s.now, hb.Incarnation
		s.beats++
		s.beatBytes += proto.Size(hb)
		s.call(v, life, sibling.ID, func(w *simVM) any {
			answer := &siblingpb.Heartbeat{}
			w.answer(s.now, hb, answer)
			s.beatBytes += proto.Size(answer)
			return answer
		}, func(answer any) {
			if answer != nil {
				v.heardReply(s.now, wrote, sentAs, answer.(*siblingpb.Heartbeat))
			}
		})
	}
}

// call runs serve at the other VM and done with its answer, or with nil after
// a timeout.
func (s *sim) call(v *simVM, life int, to vm.ID, serve func(w *simVM) any, done func(any)) {
	finished := false
	finish := func(answer any) {
		s.on(v, life, func() {
			if !finished {
				finished = true
				done(answer)
			}
		})
	}
	s.after(OpTimeout, func() { finish(nil) })
	s.after(time.Millisecond, func() {
		w := s.vms[to]
		if w == nil || !w.up || s.isCut(v.id, to) {
			return
		}
		s.on(w, w.life, func() {
			answer := serve(w)
			s.after(time.Millisecond, func() {
				if !s.isCut(v.id, to) {
					finish(answer)
				}
			})
		})
	})
}

func (s *sim) isCut(a, b vm.ID) bool { return s.cut[[2]vm.ID{min(a, b), max(a, b)}] }

// check compares the limits that all VMs grant themselves with the slots.
func (s *sim) check() {
	if s.onEvent != nil {
		s.onEvent()
	}
	if s.broken != "" || s.unchecked {
		return
	}
	sum, ramps := map[inventory.PoolID]int{}, map[inventory.PoolID]int{}
	for _, v := range s.vms {
		for pool := range v.held {
			limit, ramp := v.grant(s.now, pool, s.slots)
			sum[pool] += limit
			if ramp {
				ramps[pool]++
			}
		}
	}
	for pool := range sum {
		if sum[pool] <= s.slots && ramps[pool] <= 1 {
			continue
		}
		var who []string
		for _, id := range sortedIDs(s.vms) {
			if limit, _ := s.vms[id].grant(s.now, pool, s.slots); limit > 0 {
				v := s.vms[id]
				who = append(who, fmt.Sprintf("%s grants %d in mode %v at epoch %d", id, limit, v.win.mode(s.now), v.held[pool].epoch))
			}
		}
		s.broken = fmt.Sprintf("%v: %s", pool, strings.Join(who, ", "))
		s.say("!! %s", s.broken)
		return
	}
}

// grant returns the limit per target that v grants itself for a pool, and
// whether it may ramp the targets. A paused VM counts, because it checks only
// the mode when it resumes.
func (v *simVM) grant(now time.Time, pool inventory.PoolID, slots int) (limit int, ramp bool) {
	h, ok := v.held[pool]
	if !v.up || !ok {
		return 0, false
	}
	switch v.win.mode(now) {
	case ModeValid, ModeFull:
		if h.halfCap {
			return (slots + 1) / 2, true
		}
		return slots, true
	case ModeReduced:
		return slots / 2, false
	}
	return 0, false
}
