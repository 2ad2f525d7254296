package statesync

import (
	"testing"
	"time"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/outage"
	"goldcresthinge.example/goldcresthinge/internal/replica"
)

// Guards against a relay that has just started, has read a late write, and does not learn the latest value
// from a VM that subscribes to it, whatever versions both have.
func TestStartedRelayLearnsFromSubscribers(t *testing.T) {
	older := func(_ string, a, b []byte) bool { return string(a) <= string(b) }
	for _, c := range []struct {
		name     string
		versions []uint64 // of the subscriber's reads of "6" and of the late "4"
	}{
		{"both have read the late write", []uint64{6, 8}},
		{"the subscriber has not read the late write", []uint64{6}},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			known, started := replica.NewOrdered("t", nil, older), replica.NewOrdered("t", nil, older)
			for i, version := range c.versions {
				known.Apply(replica.Changes{Full: true, Version: version, Rows: []replica.Row{
					{Key: "x", Value: []byte{"64"[i]}, Version: version},
				}}, now)
			}
			started.Apply(replica.Changes{Full: true, Version: 8, Rows: []replica.Row{{Key: "x", Value: []byte("4"), Version: 8}}}, now)
			relay, subscriber := newTestPeer(fleet.NewServerTable(), started), newTestPeer(fleet.NewServerTable(), known)
			subscriber.applyMessage(relay.nextMessage(now))
			relay.applyMessage(subscriber.nextMessage(now))
			if r, _ := started.Get("x"); string(r.Latest) != "6" {
				t.Errorf("row %q with latest %q, want latest 6", r.Value, r.Latest)
			}
		})
	}
}

// Guards against histories that are repeated in each message, which costs bytes between failure domains,
// and against an outage that is not stated in the message with the first read after it.
func TestHistoriesAreStatedOnce(t *testing.T) {
	now := time.Now()
	table := replica.New("t", nil)
	sender := newTestPeer(fleet.NewServerTable(), table)
	read := func(after time.Duration) *siblingpb.TableNews {
		table.Apply(replica.Changes{Full: true, Version: 5}, now.Add(after))
		m := sender.nextMessage(now.Add(after + refreshInterval))
		if m == nil || len(m.GetTables()) != 1 {
			t.Fatalf("message %v, want one with the table", m)
		}
		return m.GetTables()[0]
	}
	read(0)
	if m := read(time.Second); m.GetUnbrokenMs() != 0 || m.GetAfterOutage() {
		t.Errorf("unbroken for %d ms is stated again", m.GetUnbrokenMs())
	}
	table.RecordOutage(now.Add(2 * time.Second))
	if m := read(time.Second + outage.MaxReadGap + time.Second); !m.GetAfterOutage() {
		t.Error("the outage is not stated")
	}
	if m := read(time.Second + outage.MaxReadGap + 2*time.Second); m.GetAfterOutage() {
		t.Error("the outage is stated again")
	}
}

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
