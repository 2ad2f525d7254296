package statesync

import (
	"testing"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/fleet"
)

// Guards against a server that has started again and is taken for warm by other VMs, because what a
// sibling measured at its former process reaches them after the new registration, or because the
// first reading of the new process looks unchanged and is not sent.
func TestReadingsNameTheProcess(t *testing.T) {
	server := fleet.Server{ID: "s", Service: "svc", FailureDomain: "a", Slots: 2, Incarnation: 1}
	senders, receivers := fleet.NewServerTable(), fleet.NewServerTable()
	senders.SetServers([]fleet.Server{server})
	receivers.SetServers([]fleet.Server{server})
	sender, receiver := newTestPeer(senders), newTestPeer(receivers)
	now := time.Now()
	senders.Observe("s", fleet.Reading{At: now, Health: fleet.Healthy, Incarnation: 1})
	receiver.applyMessage(sender.nextMessage(now))
	if r, _ := receivers.Reading("s"); r.Health != fleet.Healthy {
		t.Fatalf("health %v, want the reading of the sibling", r.Health)
	}

	senders.Observe("s", fleet.Reading{At: now.Add(time.Millisecond), Health: fleet.Unhealthy, Incarnation: 1})
	former := sender.nextMessage(now.Add(2 * time.Millisecond))
	server.Incarnation = 2
	receivers.SetServers([]fleet.Server{server})
	receiver.applyMessage(former)
	if r, _ := receivers.Reading("s"); r.Health != fleet.Unmeasured {
		t.Errorf("health %v, but only the former process was measured", r.Health)
	}

	senders.SetServers([]fleet.Server{server})
	senders.Observe("s", fleet.Reading{At: now.Add(3 * time.Millisecond), Health: fleet.Unhealthy, Incarnation: 2})
	m := sender.nextMessage(now.Add(4 * time.Millisecond))
	if m == nil {
		t.Fatal("the reading of the new process was not sent")
	}
	receiver.applyMessage(m)
	if r, _ := receivers.Reading("s"); r.Health != fleet.Unhealthy {
		t.Errorf("health %v, want that of the new process", r.Health)
	}
}
