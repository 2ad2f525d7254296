package regionclaim

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

const longestCall = 5 * time.Minute

// try is an attempt of a receiver in the model.
type try struct {
	*attempt
	key                     int
	created, started, ended time.Time
	granted, given, notRun  bool
}

// message is a request on its way, or its answer.
type message struct {
	to     vm.ID
	try    *try
	asked  time.Time
	req    *siblingpb.RegionClaim
	answer *siblingpb.RegionClaimAnswer
}

type model struct {
	*cluster
	t        *rapid.T
	tries    []*try
	wire     []message
	starts   int
	released int
}

// Guards G7: over random schedules of receivers, owner changes, pauses, lost
// and delayed messages, at most one attempt of a key may start, unless an
// earlier one was reported as not run or began longer ago than the retention.
func TestAtMostOneStartPerKey(t *testing.T) {
	var starts, released int
	rapid.Check(t, func(rt *rapid.T) {
		m := &model{cluster: newCluster(t, 3, 100), t: rt}
		for range rapid.IntRange(20, 120).Draw(rt, "steps") {
			m.step()
		}
		starts += m.starts
		released += m.released
	})
	t.Logf("%d calls started, %d of them reported as not run", starts, released)
	if starts == 0 || released == 0 {
		t.Fatal("the schedules started nothing or released nothing")
	}
}

func (m *model) step() {
	t := m.t
	switch op := rapid.SampledFrom([]string{
		"request", "whole", "whole", "whole", "ask", "ask", "deliver", "deliver", "deliver", "deliver", "start", "start", "end", "end",
		"give up", "lose", "time", "time", "long time", "renew", "renew", "pause", "resume", "learn", "restart",
		"takeover", "handover", "handover", "failed handover",
	}).Draw(t, "op"); op {
	case "request", "whole":
		key := rapid.IntRange(0, 1).Draw(t, "key")
		x := &try{attempt: newAttempt(pool, vm.Info{ID: "r"}, [32]byte{byte(key)}), key: key, created: m.now()}
		m.tries = append(m.tries, x)
		m.put(x, x.request, m.holder.id)
		if op == "whole" { // a request without any delay
			m.deliverAt(len(m.wire) - 1)
			m.deliverAt(len(m.wire) - 1)
			if x.granted {
				m.start(x)
			}
		}
	case "ask":
		asks := func(x *try) bool { return x.started.IsZero() && !x.given && m.now().Sub(x.created) < claimTimeout }
		if x := m.pick(asks); x != nil {
			m.put(x, x.request, m.node().id)
		}
	case "deliver":
		m.deliver()
	case "lose":
		if i := m.index(len(m.wire)); i >= 0 {
			m.wire = append(m.wire[:i:i], m.wire[i+1:]...)
		}
	case "start":
		if x := m.pick(func(x *try) bool { return x.granted && !x.given && x.started.IsZero() }); x != nil {
			m.start(x)
		}
	case "end":
		if x := m.pick(running); x != nil {
			m.end(x, rapid.SampledFrom([]siblingpb.RegionClaimOp{stateDone, stateUnknown, stateReleased}).Draw(t, "how"))
		}
	case "give up":
		if x := m.pick(func(x *try) bool { return x.started.IsZero() && !x.given }); x != nil {
			x.given = true
			m.put(x, x.report(stateReleased, 0), m.holder.id)
		}
	case "time":
		m.pass(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		m.renew()
	case "long time":
		m.pass(time.Duration(rapid.IntRange(1, 16).Draw(t, "min")) * time.Minute)
	case "renew":
		m.renew()
	case "pause":
		m.node().paused = true
	case "resume":
		m.node().paused = false
	case "learn":
		m.learn(m.node())
	case "restart":
		m.restart(m.node())
	default:
		m.changeOwner(op)
	}
}

func (m *model) changeOwner(op string) {
	to := m.node()
	if to.paused {
		return
	}
	if op == "takeover" {
		if m.holder == to && to.epoch != 0 {
			return
		}
		m.takeover(to)
		m.expire()
		return
	}
	if m.holder.paused || m.holder.epoch != m.epoch || m.now().After(m.expiry) {
		return
	}
	if op == "handover" && to != m.holder {
		m.handover(to, rapid.IntRange(0, 3).Draw(m.t, "lost") == 0)
	}
	if op == "failed handover" {
		m.begin(m.holder, m.epoch, m.export())
	}
}

func running(x *try) bool { return !x.started.IsZero() && x.ended.IsZero() }

func (m *model) index(n int) int {
	if n == 0 {
		return -1
	}
	return rapid.IntRange(0, n-1).Draw(m.t, "index")
}

func (m *model) node() *node { return m.nodes[m.index(len(m.nodes))] }

func (m *model) pick(which func(*try) bool) *try {
	var out []*try
	for _, x := range m.tries {
		if which(x) {
			out = append(out, x)
		}
	}
	if i := m.index(len(out)); i >= 0 {
		return out[i]
	}
	return nil
}

func (m *model) put(x *try, req *siblingpb.RegionClaim, to vm.ID) {
	m.wire = append(m.wire, message{to: to, try: x, asked: m.now(), req: req})
}

// deliver moves one message on, in any order. Answers may come much later.
func (m *model) deliver() {
	if i := m.index(len(m.wire)); i >= 0 {
		m.deliverAt(i)
	}
}

func (m *model) deliverAt(i int) {
	if i < 0 {
		return
	}
	msg := m.wire[i]
	m.wire = append(m.wire[:i:i], m.wire[i+1:]...)
	if msg.answer == nil {
		a, err := m.exchange(msg.to, msg.req)
		if err == nil && msg.req.Op == stateClaimed {
			msg.answer = a
			m.wire = append(m.wire, msg)
		}
		return
	}
	x := msg.try
	if x.given || !x.started.IsZero() {
		return
	}
	again, err := x.answered(msg.asked, msg.answer)
	x.granted = x.granted || (!again && err == nil)
	x.given = x.given || err != nil
}

// start uses the permission of x if it is still good.
func (m *model) start(x *try) {
	now := m.now()
	if !x.startable(now) {
		return
	}
	for _, o := range m.tries {
		if o.key != x.key || o == x || o.started.IsZero() || o.notRun {
			continue
		}
		if running(o) || now.Sub(o.started) < Retention-goodFor {
			m.t.Fatalf("key %d: started again after %v, in progress: %v", x.key, now.Sub(o.started), running(o))
		}
	}
	x.started = now
	m.starts++
}

func (m *model) end(x *try, how siblingpb.RegionClaimOp) {
	x.ended = m.now()
	if x.notRun = how == stateReleased; x.notRun {
		m.released++
	}
	m.put(x, x.report(how, 200), m.holder.id)
}

// pass advances the clock. Calls end at their deadline.
func (m *model) pass(d time.Duration) {
	m.advance(d)
	m.expire()
}

func (m *model) expire() {
	for _, x := range m.tries {
		if running(x) && m.now().Sub(x.created) >= longestCall {
			m.end(x, stateUnknown)
		}
	}
}
