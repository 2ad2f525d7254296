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

// request sends a request to the table, through the fault of the VM.
func (s *sim) request(v *simVM, life int, a action) {
	finish := func(rows, more []platform.Row, err error) {
		s.on(v, life, func() {
			switch a.kind {
			case actLease:
				v.leaseDone(s.now, a.seq, rows, err)
			case actReadOwn:
				v.ownRead(s.now, a.seq, first(rows, a.key), err)
			case actScan:
				v.scanDone(s.now, scanResult{pools: rows, vms: more}, err)
			case actReadRow:
				v.rowRead(s.now, first(rows, a.key), err)
			case actScanAll:
				v.scanAllDone(s.now, rows, err)
			case actCommit:
				v.commitDone(s.now, rows, err)
			}
		})
	}
	run := func() (rows, more []platform.Row, err error) {
		switch a.kind {
		case actLease, actCommit:
			rows, err = s.commit(a.ops)
			s.sayCommit(v, a, err)
		case actScan:
			rows, more = s.scan(poolsPrefix("r")), s.scan(vmKey("r", ""))
		case actScanAll:
			rows = s.scan(vmPrefix)
		default:
			rows = s.scan(a.key)
		}
		return rows, more, err
	}
	switch f := v.store; f {
	case storeDown:
		s.after(storeLatency, func() { finish(nil, nil, platform.ErrUnavailable) })
	case storeHang, storeLost, storeLate:
		s.after(OpTimeout, func() { finish(nil, nil, platform.ErrUncertain) })
		delay := map[fault]time.Duration{storeLost: storeLatency, storeLate: OpTimeout * 3 / 2}[f]
		if f != storeHang && (a.kind == actLease || a.kind == actCommit) {
			s.after(delay, func() { _, _, _ = run() })
		}
	default:
		s.after(storeLatency, func() {
			rows, more, err := run()
			s.after(storeLatency, func() { finish(rows, more, err) })
		})
	}
}

func first(rows []platform.Row, key string) platform.Row {
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
		s.last++
		row := platform.Row{Key: op.Key, Value: op.Value, Version: s.last}
		s.rows[op.Key] = row
		rows = append(rows, row)
	}
	return rows, nil
}

// sayCommit prints a transaction at the moment it takes effect. Renewals that
// change nothing but the counter are left out.
func (s *sim) sayCommit(v *simVM, a action, err error) {
	var parts []string
	for _, op := range a.ops {
		switch {
		case op.Delete:
			parts = append(parts, "delete "+op.Key)
		case strings.HasPrefix(op.Key, vmPrefix):
			r, _ := decodeLease(platform.Row{Key: op.Key, Value: op.Value})
			if r.State == active && r.Counter > 1 && v.store == storeOK && err == nil {
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
	s.say("%s store: %s: %s", v.id, strings.Join(parts, "; "), result)
}

// startAll starts VMs named by their failure domain, in order, and runs until
// the pools have found their holders.
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
