package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"

	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/replica"
)

const testHeartbeat = 1500 * time.Millisecond

// heartbeatRow is a row that a process of server x, started at born, has written.
func heartbeatRow(version uint64, born, sequence int, state string) replica.Row {
	value := fmt.Sprintf(`{"address":"10.0.0.1:1","born":%d,"info":{"service":"svc","zone":"a","slots":2,"version":"v1"},`+
		`"status":{"state":%q,"sequence":%d,"warmup_left_ms":0}}`, born, state, sequence)
	return replica.Row{Key: "x", Value: []byte(value), Version: version}
}

func removedRow(version uint64) replica.Row {
	return replica.Row{Key: "x", Version: version, Removed: true}
}

// relayedVMs are a VM that reads the registry itself and one that has only what the first passes on.
type relayedVMs struct {
	reader, follower *deploymentState
	sent             uint64 // version that was passed on
	ms               int    // time of the latest read
}

func newRelayedVMs() *relayedVMs {
	v := &relayedVMs{reader: newTestState(), follower: newTestState()}
	for _, state := range []*deploymentState{v.reader, v.follower} {
		state.heartbeatInterval.Store(int64(testHeartbeat))
	}
	v.reader.registry.Apply(replica.Changes{Full: true, Version: 1}, after(0))
	v.pass()
	return v
}

// read lets the first VM read one changed row and pass it on.
func (v *relayedVMs) read(r replica.Row) {
	v.ms += 700
	version, _, _ := v.reader.registry.State()
	v.reader.registry.Apply(replica.Changes{BaseVersion: version, Version: r.Version, Rows: []replica.Row{r}}, after(v.ms))
	v.pass()
}

func (v *relayedVMs) pass() {
	v.reader.refresh(after(v.ms))
	if c := v.reader.registry.Since(replica.Position{Version: v.sent}); c.Full || len(c.Rows) > 0 {
		v.follower.registry.Apply(c, after(v.ms))
		v.sent = c.Version
	}
	v.follower.refresh(after(v.ms))
}

// use returns how both VMs use server x, which has to be the same: "ready", "draining" or "removed".
func (v *relayedVMs) use(t *testing.T) string {
	t.Helper()
	uses := lo.Map([]*deploymentState{v.reader, v.follower}, func(state *deploymentState, _ int) string {
		switch s, ok := state.fleet.Server("x"); {
		case !ok:
			return "removed"
		case s.Draining:
			return "draining"
		default:
			return fmt.Sprint("ready since ", s.Incarnation)
		}
	})
	if uses[0] != uses[1] {
		t.Errorf("the server is %s for the VM that reads the store, but %s for the other one", uses[0], uses[1])
	}
	return uses[0]
}

// useTest is how server x is to be used after rows were read one by one.
type useTest struct {
	name string
	rows []replica.Row
	want string
}

func checkUse(t *testing.T, tests []useTest) {
	t.Helper()
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			vms := newRelayedVMs()
			for _, r := range c.rows {
				vms.read(r)
			}
			if got := vms.use(t); got != c.want {
				t.Errorf("the server is %s, want %s", got, c.want)
			}
		})
	}
}

// Guards against rows that replace what a server has written since: a heartbeat that the store does
// late makes a draining server ready, or brings back one that has left or an earlier process.
func TestLateHeartbeatsHaveNoEffect(t *testing.T) {
	checkUse(t, []useTest{
		{"after it drains", []replica.Row{
			heartbeatRow(2, 5, 1, "ready"), heartbeatRow(3, 5, 5, "ready"), heartbeatRow(4, 5, 6, "draining"), heartbeatRow(5, 5, 3, "ready"),
		}, "draining"},
		{"after it drains, and the next heartbeat", []replica.Row{
			heartbeatRow(2, 5, 1, "ready"), heartbeatRow(4, 5, 6, "draining"), heartbeatRow(5, 5, 3, "ready"), heartbeatRow(6, 5, 7, "draining"),
		}, "draining"},
		{"after its row was removed", []replica.Row{
			heartbeatRow(2, 5, 1, "ready"), heartbeatRow(3, 5, 5, "ready"), removedRow(4), heartbeatRow(5, 5, 3, "ready"),
		}, "removed"},
		{"done twice, after its row was removed", []replica.Row{
			heartbeatRow(2, 5, 1, "ready"), heartbeatRow(3, 5, 5, "ready"), removedRow(4), heartbeatRow(5, 5, 5, "ready"),
		}, "removed"},
		{"after it has started again", []replica.Row{
			heartbeatRow(2, 5, 1, "ready"), heartbeatRow(3, 6, 1, "ready"), heartbeatRow(4, 5, 9, "draining"),
		}, "ready since 6"},
		{"after a new process has left", []replica.Row{
			heartbeatRow(2, 5, 1, "ready"), heartbeatRow(3, 6, 1, "ready"), removedRow(4), heartbeatRow(5, 5, 9, "ready"),
		}, "removed"},
	})
}

// Guards against a VM that has started after a late write and uses the server that has left, although
// its relay has seen later rows.
func TestStartedVMLearnsWhichServersHaveLeft(t *testing.T) {
	vms := newRelayedVMs()
	for _, r := range []replica.Row{heartbeatRow(2, 5, 1, "ready"), heartbeatRow(3, 5, 5, "draining"), heartbeatRow(4, 5, 3, "ready")} {
		vms.read(r)
	}
	started := newTestState()
	started.registry.Apply(replica.Changes{Full: true, Version: 4, Rows: []replica.Row{heartbeatRow(4, 5, 3, "ready")}}, after(vms.ms))
	started.refresh(after(vms.ms))
	started.registry.Apply(vms.reader.registry.Since(replica.Position{}), after(vms.ms))
	started.refresh(after(vms.ms + 1))
	if s, ok := started.fleet.Server("x"); !ok || !s.Draining {
		t.Errorf("server %+v (%v), want one that drains", s, ok)
	}
}

// Guards against live servers that are not used because their rows are taken for late writes: one
// whose row expired while it was silent, and one that starts again under its ID and counts anew.
func TestLiveServersAreUsedAgain(t *testing.T) {
	checkUse(t, []useTest{
		{"its expired row is written again", []replica.Row{
			heartbeatRow(2, 5, 1, "ready"), heartbeatRow(3, 5, 4, "ready"), removedRow(4), heartbeatRow(5, 5, 5, "ready"),
		}, "ready since 5"},
		{"a new process", []replica.Row{heartbeatRow(2, 5, 4, "ready"), heartbeatRow(3, 6, 1, "ready")}, "ready since 6"},
		{"a new process after one that drained", []replica.Row{
			heartbeatRow(2, 5, 4, "draining"), heartbeatRow(3, 6, 1, "ready"),
		}, "ready since 6"},
		{"a new process after the row was removed", []replica.Row{
			heartbeatRow(2, 5, 4, "ready"), removedRow(3), heartbeatRow(4, 6, 1, "ready"),
		}, "ready since 6"},
		{"an unreadable row in between", []replica.Row{
			heartbeatRow(2, 5, 4, "ready"), {Key: "x", Value: []byte("{"), Version: 3}, heartbeatRow(4, 5, 5, "ready"),
		}, "ready since 5"},
	})
}

// Guards against a server that the registry replaces, for its requests, measurements and connections,
// with each heartbeat.
func TestHeartbeatsKeepTheStateOfAServer(t *testing.T) {
	state := newTestState()
	s := fleet.Server{ID: "x", Service: "svc", Incarnation: 5, Sequence: 1}
	state.fleet.SetServers([]fleet.Server{s})
	before := state.fleet.SetCount()
	s.Sequence = 2
	state.fleet.SetServers([]fleet.Server{s})
	if state.fleet.SetCount() != before {
		t.Error("a heartbeat counts as a change of the set of servers")
	}
}
