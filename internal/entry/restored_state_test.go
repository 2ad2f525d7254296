package entry

import (
	"fmt"
	"testing"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/replica"
	"goldcresthinge.example/goldcresthinge/platform"
)

func storedRow(key, value string, version uint64) replica.Row {
	return replica.Row{Key: key, Value: []byte(value), Version: version}
}

func configurationRow(configuration int, version uint64) replica.Row {
	return storedRow(platform.KeyConfiguration, fmt.Sprintf(`{"version":"%08x"}`, configuration), version)
}

func evacuationRow(version uint64) replica.Row { return storedRow("evacuate/b", "{}", version) }

// readOperator lets a VM read the whole table of operators.
func readOperator(d *deploymentState, era replica.Era, version uint64, rows ...replica.Row) {
	d.operator.ApplyRead(replica.Changes{Era: era, Full: true, Version: version, Rows: rows}, after(0))
	d.refresh(after(0))
}

// readOperatorChanges lets it read what has changed after a version.
func readOperatorChanges(d *deploymentState, era replica.Era, from, version uint64, rows ...replica.Row) {
	d.operator.ApplyRead(replica.Changes{Era: era, BaseVersion: from, Version: version, Rows: rows}, after(0))
	d.refresh(after(0))
}

// Guards against an evacuation that a VM gives up because the store came back from a copy without it.
func TestEvacuationIsNotUndoneByACopyWithoutIt(t *testing.T) {
	d := newTestState()
	readOperator(d, 1, 50, evacuationRow(45))
	readOperator(d, 2, 40)
	if !d.Evacuated("b") {
		t.Fatal("the failure domain was returned to service")
	}
	readOperator(d, 3, 38)
	if !d.Evacuated("b") {
		t.Fatal("the failure domain was returned to service in a second drill")
	}
	readOperatorChanges(d, 3, 38, 52, evacuationRow(52))
	readOperatorChanges(d, 3, 52, 53, replica.Row{Key: "evacuate/b", Version: 53, Removed: true})
	if d.Evacuated("b") {
		t.Error("the failure domain is still out of service after operators have returned it")
	}
}

// Guards against an evacuation that is never taken back, because operators have done so between the
// return of the store and the first read.
func TestEvacuationThatWasTakenBackBeforeTheFirstReadEnds(t *testing.T) {
	d := newTestState()
	readOperator(d, 1, 50, evacuationRow(30))
	readOperator(d, 2, 44)
	after, ok := d.operator.Unresolved()
	if !ok || after > 40 {
		t.Fatalf("the changes after version %d have to be read (%t), want those after the copy, which has version 40", after, ok)
	}
	readOperatorChanges(d, 2, after, 44, replica.Row{Key: "evacuate/b", Version: 42, Removed: true})
	if d.Evacuated("b") {
		t.Error("the failure domain is still out of service")
	}
	if _, ok := d.operator.Unresolved(); ok {
		t.Error("the changes have to be read again")
	}
}

// Guards against an evacuation that comes into force again because the copy from which the store came
// back is from before its end, and against one that is then not followed when operators write it again.
func TestEndOfAnEvacuationIsNotUndoneByACopy(t *testing.T) {
	d := newTestState()
	readOperator(d, 1, 30, evacuationRow(30))
	readOperatorChanges(d, 1, 30, 45, replica.Row{Key: "evacuate/b", Version: 45, Removed: true})
	readOperator(d, 2, 40, evacuationRow(30))
	if d.Evacuated("b") {
		t.Error("the failure domain was taken out of service again")
	}
	readOperatorChanges(d, 2, 40, 41, evacuationRow(41))
	if !d.Evacuated("b") {
		t.Error("the new evacuation is not followed")
	}
}

// Guards against a configuration that a VM gives up, or never learns of, because the store came back from
// a copy with an older one.
func TestConfigurationIsNotUndoneByACopyWithAnOlderOne(t *testing.T) {
	d, started := newTestState(), newTestState()
	readOperator(d, 1, 50, configurationRow(7, 48))
	readOperator(d, 2, 40, configurationRow(6, 20))
	if v := d.routes.Load().Version(); v != 7 {
		t.Errorf("configuration %d is in force, want 7", v)
	}
	readOperator(started, 2, 40, configurationRow(6, 20))
	started.operator.ApplyCopy(replica.Changes{Era: 2, Rows: d.operator.Unstored()}, d.operator.History())
	started.refresh(after(1))
	if v := started.routes.Load().Version(); v != 7 {
		t.Errorf("configuration %d is in force at the VM that has started meanwhile, want 7", v)
	}
	for _, state := range []*deploymentState{d, started} {
		readOperatorChanges(state, 2, 40, 41, configurationRow(9, 41))
		if v := state.routes.Load().Version(); v != 9 {
			t.Errorf("configuration %d is in force, want 9", v)
		}
	}
}

// eraRow is heartbeatRow in an era.
func eraRow(era replica.Era, version uint64, sequence int, state string) replica.Row {
	r := heartbeatRow(version, 5, sequence, state)
	r.Era = era
	return r
}

// Guards against requests to servers that leave or have left, and against servers that are given up, when
// the store comes back from a copy that does not know.
func TestRegistryAfterTheStoreCameBackFromACopy(t *testing.T) {
	for _, c := range []struct {
		name   string
		before []replica.Row // changes of the first era
		copied []replica.Row // the whole table of the second era
		after  []replica.Row // its changes
		ms     int           // time since the store came back
		want   bool
	}{
		{"draining", []replica.Row{eraRow(1, 40, 4, "ready"), eraRow(1, 50, 6, "draining")}, []replica.Row{eraRow(2, 40, 4, "ready")}, nil, 0, false},
		{
			"draining, and an earlier heartbeat",
			[]replica.Row{eraRow(1, 40, 4, "ready"), eraRow(1, 50, 6, "draining")},
			[]replica.Row{eraRow(2, 40, 4, "ready")},
			[]replica.Row{eraRow(2, 51, 5, "ready")},
			0, false,
		},
		{"gone", []replica.Row{eraRow(1, 40, 4, "ready"), {Key: "x", Era: 1, Version: 50, Removed: true}}, []replica.Row{eraRow(2, 40, 4, "ready")}, nil, 0, false},
		{
			"gone, and lives",
			[]replica.Row{eraRow(1, 40, 4, "ready"), {Key: "x", Era: 1, Version: 50, Removed: true}},
			[]replica.Row{eraRow(2, 40, 4, "ready")},
			[]replica.Row{eraRow(2, 51, 7, "ready")},
			0, true,
		},
		{"lost", []replica.Row{eraRow(1, 50, 4, "ready")}, nil, nil, 1000, true},
		{"lost and written again", []replica.Row{eraRow(1, 50, 4, "ready")}, nil, []replica.Row{eraRow(2, 51, 5, "ready")}, 5000, true},
		{"lost and written again as it was", []replica.Row{eraRow(1, 50, 4, "ready")}, nil, []replica.Row{eraRow(2, 51, 4, "ready")}, 5000, true},
		{"lost and not written again", []replica.Row{eraRow(1, 50, 4, "ready")}, nil, nil, 5000, false},
		{"lost and removed", []replica.Row{eraRow(1, 40, 4, "ready")}, nil, []replica.Row{{Key: "x", Era: 2, Version: 51, Removed: true}}, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newTestState()
			d.heartbeatInterval.Store(int64(testHeartbeat))
			d.registry.ApplyRead(replica.Changes{Era: 1, Full: true, Version: 1}, after(0))
			read := func(era replica.Era, from uint64, rows ...replica.Row) {
				for _, r := range rows {
					d.registry.ApplyRead(replica.Changes{Era: era, BaseVersion: from, Version: r.Version, Rows: []replica.Row{r}}, after(0))
					d.refresh(after(0))
				}
			}
			read(1, 1, c.before...)
			d.registry.ApplyRead(replica.Changes{Era: 2, Full: true, Version: 49, Rows: c.copied}, after(0))
			d.refresh(after(0))
			read(2, 49, c.after...)
			d.refresh(after(c.ms))
			d.refresh(after(c.ms))
			s, ok := d.fleet.Server("x")
			if got := ok && !s.Draining; got != c.want {
				t.Errorf("the server is used: %t, want %t", got, c.want)
			}
		})
	}
}

// Guards against shares of limits that are too large because the store came back from a copy without the
// rows of some VMs: a VM that does not know the others takes all of a limit.
func TestVMsWhoseRowsAreLostCountForNow(t *testing.T) {
	d := newTestState()
	value := `{"failure_domain":"a","region":"r","address":"127.0.0.1:1","incarnation":3,"milli_cores":1000}`
	d.members.ApplyRead(replica.Changes{Era: 1, Full: true, Version: 50, Rows: []replica.Row{storedRow("vm-7", value, 48)}}, after(0))
	d.refresh(after(0))
	if len(d.VMs()) != 2 {
		t.Fatalf("%d VMs are known, want 2", len(d.VMs()))
	}
	d.members.ApplyRead(replica.Changes{Era: 2, Full: true, Version: 40}, after(0))
	d.refresh(after(0))
	d.refresh(after(1000))
	if len(d.VMs()) != 2 {
		t.Errorf("%d VMs are known after the store came back, want 2", len(d.VMs()))
	}
	late := after(0).Add(lostVMTimeout + time.Second)
	d.refresh(late)
	if len(d.VMs()) != 1 {
		t.Errorf("%d VMs are known long after, want 1", len(d.VMs()))
	}
}
