package lease

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/platform"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

const storeLatency = 2 * time.Millisecond

// request sends a request to the table, subject to the store fault of the VM.
func (s *sim) request(v *simVM, process int, a action) {
	finish := func(rows, leases []platform.Row, err error) {
		s.runIn(v, process, func() {
			switch a.kind {
			case actWriteLease:
				v.leaseWriteDone(s.now, a.seq, rows, err)
			case actReadLease:
				v.leaseReadDone(s.now, a.seq, rowOrMissing(rows, a.key), err)
			case actScanRegion:
				v.regionScanDone(s.now, scanResult{assignments: rows, leases: leases}, err)
			case actReadAssignments:
				v.assignmentReadDone(s.now, rowOrMissing(rows, a.key), err)
			case actScanAllRegions:
				v.allRegionsScanDone(s.now, rows, err)
			case actCommitAssignments:
				v.commitDone(s.now, rows, err)
			}
		})
	}
	run := func() (rows, leases []platform.Row, err error) {
		switch a.kind {
		case actWriteLease, actCommitAssignments:
			rows, err = s.commit(a.ops)
			s.logCommit(v, a, err)
		case actScanRegion:
			rows, leases = s.scan(poolsPrefix("r")), s.scan(vmKey("r", ""))
		case actScanAllRegions:
			rows = s.scan(vmPrefix)
		default:
			rows = s.scan(a.key)
		}
		return rows, leases, err
	}
	switch f := v.storeFault; f {
	case storeUnavailable:
		s.after(storeLatency, func() { finish(nil, nil, platform.ErrUnavailable) })
	case storeHangs, storeAnswerLost, storeEffectLate:
		s.after(RequestTimeout, func() { finish(nil, nil, platform.ErrUncertain) })
		delay := map[fault]time.Duration{storeAnswerLost: storeLatency, storeEffectLate: RequestTimeout * 3 / 2}[f]
		if f != storeHangs && (a.kind == actWriteLease || a.kind == actCommitAssignments) {
			s.after(delay, func() { _, _, _ = run() })
		}
	default:
		s.after(storeLatency, func() {
			rows, leases, err := run()
			s.after(storeLatency, func() { finish(rows, leases, err) })
		})
	}
}

func rowOrMissing(rows []platform.Row, key string) platform.Row {
	if len(rows) > 0 && rows[0].Key == key {
		return rows[0]
	}
	return platform.Row{Key: key}
}

func (s *sim) scan(prefix string) []platform.Row {
	var out []platform.Row
	for _, key := range sortedKeys(s.rows) {
		if strings.HasPrefix(key, prefix) {
			out = append(out, s.rows[key])
			s.readBytes += len(key) + len(s.rows[key].Value)
		}
	}
	s.reads++
	return out
}

func (s *sim) commit(ops []platform.Op) ([]platform.Row, error) {
	s.writes++
	var conflict []platform.Row
	for _, op := range ops {
		if s.rows[op.Key].Version != op.IfVersion {
			row := s.rows[op.Key]
			row.Key = op.Key
			conflict = append(conflict, row)
		}
	}
	if len(conflict) > 0 {
		return nil, &platform.ConflictError{Rows: conflict}
	}
	var rows []platform.Row
	for _, op := range ops {
		if op.Delete {
			delete(s.rows, op.Key)
			rows = append(rows, platform.Row{Key: op.Key})
			continue
		}
		s.lastVersion++
		row := platform.Row{Key: op.Key, Value: op.Value, Version: s.lastVersion}
		s.rows[op.Key] = row
		rows = append(rows, row)
	}
	return rows, nil
}

// logCommit logs a transaction at the time at which it takes effect. Renewals
// that change nothing but the counter are left out.
func (s *sim) logCommit(v *simVM, a action, err error) {
	var parts []string
	for _, op := range a.ops {
		switch {
		case op.Delete:
			parts = append(parts, "delete "+op.Key)
		case strings.HasPrefix(op.Key, vmPrefix):
			r, _ := decodeLease(platform.Row{Key: op.Key, Value: op.Value})
			if r.State == active && r.Counter > 1 && v.storeFault == storeOK && err == nil {
				return
			}
			state := strings.ToLower(strings.TrimPrefix(r.State.String(), "LEASE_STATE_"))
			parts = append(parts, fmt.Sprintf("%s %s %x", op.Key, state, r.Incarnation))
		default:
			d, _ := decodeDomain(platform.Row{Key: op.Key, Value: op.Value})
			var names []string
			for _, name := range sortedKeys(d.pools) {
				e := d.pools[name]
				if e.Handover {
					name += " handed over"
				}
				names = append(names, fmt.Sprintf("%s=%s/%d", name, e.VmId, e.Epoch))
			}
			parts = append(parts, op.Key+" "+strings.Join(names, " "))
		}
	}
	result := "written"
	if err != nil {
		result = "conflict"
	}
	s.logf("%s store: %s: %s", v.id, strings.Join(parts, "; "), result)
}

// startAll starts VMs that are named after their failure domain and numbered,
// and runs for 20 s, in which the pools are assigned.
func startAll(s *sim, domains ...string) []vm.ID {
	count := map[string]int{}
	var ids []vm.ID
	for _, d := range domains {
		count[d]++
		id := vm.ID(fmt.Sprintf("%s%d", d, count[d]))
		ids = append(ids, id)
		s.start(id, d)
	}
	s.runTo(20 * time.Second)
	return slices.Clone(ids)
}
