package regionclaim

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

const maxCallDuration = 5 * time.Minute

// modelAttempt is an attempt of a receiver in the model.
type modelAttempt struct {
	*attempt
	key                        int
	created, started, ended    time.Time
	granted, abandoned, notRun bool
}

// message is a request in transit, or an answer in transit if answer is set.
type message struct {
	to      vm.ID
	attempt *modelAttempt
	sentAt  time.Time
	req     *siblingpb.RegionClaim
	answer  *siblingpb.RegionClaimAnswer
}

type model struct {
	*testCluster
	t        *rapid.T
	attempts []*modelAttempt
	messages []message
	started  int
	released int
}

// Guards against two runs of one request: over random schedules of receivers,
// owner changes, pauses, and lost and delayed messages, at most one attempt of
// a key may start, unless an earlier one was reported as not run, or has ended
// and was started at least Retention - grantValidity ago. grantValidity is
// subtracted because the new owner counts Retention from the takeover, and a
// call granted just before it may still start up to grantValidity later.
func TestAtMostOneStartPerKey(t *testing.T) {
	var starts, released int
	rapid.Check(t, func(rt *rapid.T) {
		m := &model{testCluster: newCluster(t, 3, 100), t: rt}
		for range rapid.IntRange(20, 120).Draw(rt, "steps") {
			m.step()
		}
		starts += m.started
		released += m.released
	})
	t.Logf("%d calls started, %d of them reported as not run", starts, released)
	if starts == 0 || released == 0 {
		t.Fatal("the schedules started no call or released no claim")
	}
}

// step draws one step of the schedule and executes it. "ask" repeats the
// message of an attempt that has not started, to any VM, "lose" drops a message
// in transit, "end" ends a call that is in progress, "abandon" gives up an
// attempt that has not started, "time" advances the clock by up to 3 s and
// renews the owner's lease, and "long time" advances it by minutes without a
// renewal.
func (m *model) step() {
	t := m.t
	switch op := rapid.SampledFrom([]string{
		"request", "undelayed request", "undelayed request", "undelayed request", "ask", "ask", "deliver", "deliver", "deliver", "deliver", "start", "start", "end", "end",
		"abandon", "lose", "time", "time", "long time", "renew", "renew", "pause", "resume", "read row", "restart",
		"takeover", "handover", "handover", "failed handover",
	}).Draw(t, "op"); op {
	case "request", "undelayed request":
		key := rapid.IntRange(0, 1).Draw(t, "key")
		x := &modelAttempt{attempt: newAttempt(pool, vm.Info{ID: "r"}, [32]byte{byte(key)}), key: key, created: m.now()}
		m.attempts = append(m.attempts, x)
		m.send(x, x.request, m.ownerVM.id)
		if op == "undelayed request" { // the request and its answer arrive without delay
			m.deliverAt(len(m.messages) - 1)
			m.deliverAt(len(m.messages) - 1)
			if x.granted {
				m.start(x)
			}
		}
	case "ask":
		mayAskAgain := func(x *modelAttempt) bool {
			return x.started.IsZero() && !x.abandoned && m.now().Sub(x.created) < claimTimeout
		}
		if x := m.drawAttempt(mayAskAgain); x != nil {
			m.send(x, x.request, m.drawVM().id)
		}
	case "deliver":
		m.deliver()
	case "lose":
		if i := m.drawIndex(len(m.messages)); i >= 0 {
			m.messages = append(m.messages[:i:i], m.messages[i+1:]...)
		}
	case "start":
		if x := m.drawAttempt(func(x *modelAttempt) bool { return x.granted && !x.abandoned && x.started.IsZero() }); x != nil {
			m.start(x)
		}
	case "end":
		if x := m.drawAttempt(inProgress); x != nil {
			m.end(x, rapid.SampledFrom([]siblingpb.RegionClaimOp{stateDone, stateUnknown, stateReleased}).Draw(t, "how"))
		}
	case "abandon":
		if x := m.drawAttempt(func(x *modelAttempt) bool { return x.started.IsZero() && !x.abandoned }); x != nil {
			x.abandoned = true
			m.send(x, x.reportMessage(stateReleased, 0), m.ownerVM.id)
		}
	case "time":
		m.advanceAndExpire(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		m.renew()
	case "long time":
		m.advanceAndExpire(time.Duration(rapid.IntRange(1, 16).Draw(t, "min")) * time.Minute)
	case "renew":
		m.renew()
	case "pause":
		m.drawVM().paused = true
	case "resume":
		m.drawVM().paused = false
	case "read row":
		m.readRow(m.drawVM())
	case "restart":
		m.restart(m.drawVM())
	default:
		m.changeOwner(op)
	}
}

func (m *model) changeOwner(op string) {
	to := m.drawVM()
	if to.paused {
		return
	}
	if op == "takeover" {
		if m.ownerVM == to && to.epoch != 0 {
			return
		}
		m.takeover(to)
		m.endExpiredCalls()
		return
	}
	if m.ownerVM.paused || m.ownerVM.epoch != m.epoch || m.now().After(m.expiry) {
		return
	}
	if op == "handover" && to != m.ownerVM {
		m.handover(to, rapid.IntRange(0, 3).Draw(m.t, "lost") == 0)
	}
	if op == "failed handover" {
		m.startOwner(m.ownerVM, m.epoch, m.export())
	}
}

func inProgress(x *modelAttempt) bool { return !x.started.IsZero() && x.ended.IsZero() }

func (m *model) drawIndex(n int) int {
	if n == 0 {
		return -1
	}
	return rapid.IntRange(0, n-1).Draw(m.t, "index")
}

func (m *model) drawVM() *testVM { return m.vms[m.drawIndex(len(m.vms))] }

func (m *model) drawAttempt(matches func(*modelAttempt) bool) *modelAttempt {
	var candidates []*modelAttempt
	for _, x := range m.attempts {
		if matches(x) {
			candidates = append(candidates, x)
		}
	}
	if i := m.drawIndex(len(candidates)); i >= 0 {
		return candidates[i]
	}
	return nil
}

func (m *model) send(x *modelAttempt, req *siblingpb.RegionClaim, to vm.ID) {
	m.messages = append(m.messages, message{to: to, attempt: x, sentAt: m.now(), req: req})
}

// deliver delivers one message in transit; messages arrive in any order. An
// answer is put in transit as well and may arrive much later.
func (m *model) deliver() {
	if i := m.drawIndex(len(m.messages)); i >= 0 {
		m.deliverAt(i)
	}
}

func (m *model) deliverAt(i int) {
	if i < 0 {
		return
	}
	msg := m.messages[i]
	m.messages = append(m.messages[:i:i], m.messages[i+1:]...)
	if msg.answer == nil {
		a, err := m.handle(msg.to, msg.req)
		if err == nil && msg.req.Op == stateClaimed {
			msg.answer = a
			m.messages = append(m.messages, msg)
		}
		return
	}
	x := msg.attempt
	if x.abandoned || !x.started.IsZero() {
		return
	}
	askAgain, err := x.applyAnswer(msg.sentAt, msg.answer)
	x.granted = x.granted || (!askAgain && err == nil)
	x.abandoned = x.abandoned || err != nil
}

// start starts the call of x if its permission is still valid.
func (m *model) start(x *modelAttempt) {
	now := m.now()
	if !x.canStart(now) {
		return
	}
	for _, other := range m.attempts {
		if other.key != x.key || other == x || other.started.IsZero() || other.notRun {
			continue
		}
		if inProgress(other) || now.Sub(other.started) < Retention-grantValidity {
			m.t.Fatalf("key %d: second call started %v after the first, first still in progress: %v", x.key, now.Sub(other.started), inProgress(other))
		}
	}
	x.started = now
	m.started++
}

func (m *model) end(x *modelAttempt, outcome siblingpb.RegionClaimOp) {
	x.ended = m.now()
	if x.notRun = outcome == stateReleased; x.notRun {
		m.released++
	}
	m.send(x, x.reportMessage(outcome, 200), m.ownerVM.id)
}

// advanceAndExpire advances the clock and ends the calls whose deadline has
// passed.
func (m *model) advanceAndExpire(d time.Duration) {
	m.advance(d)
	m.endExpiredCalls()
}

func (m *model) endExpiredCalls() {
	for _, x := range m.attempts {
		if inProgress(x) && m.now().Sub(x.created) >= maxCallDuration {
			m.end(x, stateUnknown)
		}
	}
}
