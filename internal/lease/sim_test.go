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

// fault is the behavior of the store for the requests of one VM.
type fault uint8

const (
	storeOK          fault = iota
	storeUnavailable       // no effect; answers ErrUnavailable without a timeout
	storeHangs             // no effect and no answer
	storeAnswerLost        // takes effect, but no answer
	storeEffectLate        // takes effect after the client's timeout, no answer
)

var simStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// sim runs the cores of several VMs in virtual time, with a table and network
// links in which faults can be set. It is deterministic.
type sim struct {
	now   time.Time
	queue events
	seq   int
	slots int

	snap            *inventory.Snapshot
	rows            map[string]platform.Row
	lastVersion     uint64 // version of the latest write
	vms             map[vm.ID]*simVM
	cutLinks        map[[2]vm.ID]bool
	log             strings.Builder
	lastIncarnation uint64

	reads, writes, heartbeatBytes, readBytes, heartbeats int
	violation                                            string // first violation of the limits per target; empty if none
	skipCheck                                            bool   // check does not compare limits
	onEvent                                              func() // called by check, after each event
}

type simVM struct {
	*core
	id              vm.ID
	info            vm.Info
	up              bool
	process         int // number of the current process; answers to an earlier process are discarded
	pausedUntil     time.Time
	storeFault      fault
	heartbeatSentAt time.Time
	heartbeatDueAt  time.Time
	afterPause      []func() // events that are delivered at the end of a pause
	mode            Mode
	seed            uint64
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

// newSim configures the given number of services, each with one target in every
// one of domains. It starts no VMs.
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
		now: simStart, slots: slots, snap: inventory.NewSnapshot(1, doc), rows: map[string]platform.Row{},
		vms: map[vm.ID]*simVM{}, cutLinks: map[[2]vm.ID]bool{}, lastIncarnation: 0xa0,
	}
}

func (s *sim) at(t time.Time, run func()) {
	s.seq++
	heap.Push(&s.queue, event{at: t, seq: s.seq, run: run})
}

func (s *sim) after(d time.Duration, run func()) { s.at(s.now.Add(d), run) }

// runTo runs all events up to the virtual time d after simStart.
func (s *sim) runTo(d time.Duration) {
	end := simStart.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *sim) logf(format string, args ...any) {
	fmt.Fprintf(&s.log, "%8.3f %s\n", s.now.Sub(simStart).Seconds(), fmt.Sprintf(format, args...))
}

// start starts a VM, or a new process of a VM that ran before.
func (s *sim) start(id vm.ID, domain string) *simVM {
	v := s.vms[id]
	if v == nil {
		v = &simVM{id: id, seed: uint64(len(s.vms) + 1)}
		s.vms[id] = v
	}
	v.info = vm.Info{ID: id, Region: "r", FailureDomain: domain, SiblingAddress: string(id)}
	v.process++
	v.up, v.pausedUntil, v.afterPause, v.mode = true, time.Time{}, nil, ModeLost
	v.core = newCore(v.info, s.now, v.seed+uint64(v.process)*100, func() uint64 { s.lastIncarnation++; return s.lastIncarnation }, func() *inventory.Snapshot { return s.snap })
	v.heartbeatDueAt = s.now
	s.logf("-- start %s in %s", id, domain)
	s.tick(v, v.process)
	return v
}

func (s *sim) kill(id vm.ID) {
	s.logf("-- kill %s", id)
	s.vms[id].up = false
	s.vms[id].process++
}

func (s *sim) pause(id vm.ID, d time.Duration) {
	v := s.vms[id]
	s.logf("-- pause %s for %v", id, d)
	v.pausedUntil = s.now.Add(d)
	process := v.process
	s.after(d, func() {
		if v.process == process && !s.now.Before(v.pausedUntil) {
			s.logf("-- resume %s", id)
			run := v.afterPause
			v.afterPause = nil
			for _, f := range run {
				f()
			}
		}
	})
}

func (s *sim) setStoreFault(f fault, ids ...vm.ID) {
	names := []string{"ok", "down", "hangs", "loses answers", "late"}
	s.logf("-- store %s for %v", names[f], ids)
	for _, id := range ids {
		s.vms[id].storeFault = f
	}
}

func (s *sim) setCut(a, b vm.ID, cut bool) {
	s.cutLinks[[2]vm.ID{min(a, b), max(a, b)}] = cut
}

// runIn runs f in a process of v and executes the resulting actions. While v is
// paused, f is delayed until the pause ends. If the process has ended, f is not
// run.
func (s *sim) runIn(v *simVM, process int, f func()) {
	if v.process != process {
		return
	}
	if s.now.Before(v.pausedUntil) {
		v.afterPause = append(v.afterPause, func() { s.runIn(v, process, f) })
		return
	}
	f()
	if m := v.modeTimes.mode(s.now); m != v.mode {
		s.logf("%s mode %v", v.id, m)
		v.mode = m
	}
	for _, a := range v.takeActions() {
		s.execute(v, process, a)
	}
	s.check()
}

func (s *sim) tick(v *simVM, process int) {
	s.runIn(v, process, func() {
		v.tick(s.now)
		if !v.heartbeatDueAt.After(s.now) {
			s.sendHeartbeats(v, process)
		}
		s.after(2*tickInterval, func() { s.tick(v, process) })
	})
}

func (s *sim) execute(v *simVM, process int, a action) {
	pool := a.pool.String()
	switch a.kind {
	case actStartPool:
		suffix := ""
		if a.halfCap {
			suffix = " half cap"
		}
		if a.state != nil {
			suffix += " with state"
		}
		s.logf("%s take %s epoch %d%s", v.id, pool, a.epoch, suffix)
	case actLiftHalfCap:
		s.logf("%s lift %s", v.id, pool)
	case actStopPool:
		s.logf("%s drop %s epoch %d", v.id, pool, a.epoch)
	case actLog:
		s.logf("%s %s", v.id, a.message)
	case actReportReleased:
		s.logf("%s released", v.id)
	case actSendHeartbeats:
		// Heartbeats are at least 100 ms apart, as in package membership.
		if s.now.Sub(v.heartbeatSentAt) >= 100*time.Millisecond {
			s.sendHeartbeats(v, process)
		} else {
			v.heartbeatDueAt = v.heartbeatSentAt.Add(100 * time.Millisecond)
		}
	case actSendHandover, actNotifySuccessor:
		s.sendHandover(v, process, a)
	default:
		s.request(v, process, a)
	}
}

func (s *sim) sendHandover(v *simVM, process int, a action) {
	state := &siblingpb.Handover{
		Service: a.pool.Service, FailureDomain: a.pool.FailureDomain, Epoch: a.epoch,
		FromVm: string(v.id), ToIncarnation: a.successor.Incarnation, Committed: a.kind == actNotifySuccessor,
	}
	if a.kind == actSendHandover {
		s.logf("%s export %v for %s", v.id, a.pool, a.successor.ID)
	}
	s.call(v, process, a.successor.ID, func(w *simVM) any { return w.receiveHandover(s.now, state) }, func(answer any) {
		if a.kind == actSendHandover {
			v.handoverSendDone(s.now, state, answer == true)
		}
	})
}

// sendHeartbeats sends heartbeats to all siblings that have a lease row.
func (s *sim) sendHeartbeats(v *simVM, process int) {
	v.heartbeatSentAt, v.heartbeatDueAt = s.now, s.now.Add(time.Second)
	for _, sibling := range v.buildView().siblings {
		hb := &siblingpb.Heartbeat{}
		v.fillHeartbeat(s.now, hb)
		sentAt, sentIncarnation := s.now, hb.Incarnation
		s.heartbeats++
		s.heartbeatBytes += proto.Size(hb)
		s.call(v, process, sibling.ID, func(w *simVM) any {
			answer := &siblingpb.Heartbeat{}
			w.answerHeartbeat(s.now, hb, answer)
			s.heartbeatBytes += proto.Size(answer)
			return answer
		}, func(answer any) {
			if answer != nil {
				v.handleHeartbeatAnswer(s.now, sentAt, sentIncarnation, answer.(*siblingpb.Heartbeat))
			}
		})
	}
}

// call runs serve on the VM to and passes its answer to done, or nil after
// RequestTimeout.
func (s *sim) call(v *simVM, process int, to vm.ID, serve func(w *simVM) any, done func(any)) {
	finished := false
	finish := func(answer any) {
		s.runIn(v, process, func() {
			if !finished {
				finished = true
				done(answer)
			}
		})
	}
	s.after(RequestTimeout, func() { finish(nil) })
	s.after(time.Millisecond, func() {
		w := s.vms[to]
		if w == nil || !w.up || s.isCut(v.id, to) {
			return
		}
		s.runIn(w, w.process, func() {
			answer := serve(w)
			s.after(time.Millisecond, func() {
				if !s.isCut(v.id, to) {
					finish(answer)
				}
			})
		})
	})
}

func (s *sim) isCut(a, b vm.ID) bool { return s.cutLinks[[2]vm.ID{min(a, b), max(a, b)}] }

// check records a violation if the limits that all VMs apply to the targets of
// a pool exceed the slots in total, or if more than one VM may raise them.
func (s *sim) check() {
	if s.onEvent != nil {
		s.onEvent()
	}
	if s.violation != "" || s.skipCheck {
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
		var grants []string
		for _, id := range sortedIDs(s.vms) {
			if limit, _ := s.vms[id].grant(s.now, pool, s.slots); limit > 0 {
				v := s.vms[id]
				grants = append(grants, fmt.Sprintf("%s grants %d in mode %v at epoch %d", id, limit, v.modeTimes.mode(s.now), v.held[pool].epoch))
			}
		}
		s.violation = fmt.Sprintf("%v: %s", pool, strings.Join(grants, ", "))
		s.logf("!! %s", s.violation)
		return
	}
}

// grant returns the limit per target that v applies to a pool, and whether v
// may raise it. A paused VM counts as serving, because a resumed VM checks only
// its mode before it sends. ModeFull permits the same as ModeValid.
func (v *simVM) grant(now time.Time, pool inventory.PoolID, slots int) (limit int, mayRaise bool) {
	h, ok := v.held[pool]
	if !v.up || !ok {
		return 0, false
	}
	switch v.modeTimes.mode(now) {
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
