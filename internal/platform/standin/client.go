package standin

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"goldcresthinge.example/goldcresthinge/internal/platform"
)

// Client is the in-process client of one VM, which calls the stand-in without
// HTTP. It implements platform.Table; Objects and VMs return the other two
// services. All methods may be called from any goroutine.
type Client struct {
	s    *Server
	name string
}

type (
	objects struct{ c Client }
	vms     struct{ c Client }
)

var (
	_ platform.Table       = Client{}
	_ platform.ObjectStore = objects{}
	_ platform.VMList      = vms{}
)

// Client returns a client for the VM with the given name. Fault.Callers selects
// clients by this name.
func (s *Server) Client(name string) Client { return Client{s: s, name: name} }

// Objects returns the object store.
func (c Client) Objects() platform.ObjectStore { return objects{c} }

// VMs returns the list of VMs.
func (c Client) VMs() platform.VMList { return vms{c} }

// Get implements platform.Table.
func (c Client) Get(ctx context.Context, key string) (platform.Row, error) {
	var row platform.Row
	var ok bool
	err := c.s.request(ctx, c.name, ServiceTable, false, func() {
		row, ok = c.s.rows[key]
	})
	if err != nil {
		return platform.Row{}, err
	}
	if !ok {
		return platform.Row{}, merry.Prependf(platform.ErrNotFound, "row %q", key)
	}
	row.Value = bytes.Clone(row.Value)
	return row, nil
}

// Scan implements platform.Table.
func (c Client) Scan(ctx context.Context, prefix string, limit int) ([]platform.Row, error) {
	var rows []platform.Row
	err := c.s.request(ctx, c.name, ServiceTable, false, func() {
		rows = c.s.scan(prefix, limit)
	})
	if err != nil {
		return nil, err
	}
	return rows, nil
}

// Commit implements platform.Table.
func (c Client) Commit(ctx context.Context, ops []platform.Op) ([]platform.Row, error) {
	ops = slices.Clone(ops)
	for i := range ops {
		ops[i].Value = bytes.Clone(ops[i].Value)
	}
	var rows []platform.Row
	var conflict *platform.ConflictError
	err := c.s.request(ctx, c.name, ServiceTable, true, func() {
		rows, conflict = c.s.commit(c.name, ops)
	})
	if err != nil {
		return nil, err
	}
	if conflict != nil {
		return nil, conflict
	}
	return rows, nil
}

// scan returns copies of the first rows, at most limit, whose keys start with
// prefix, in the order of their keys. s.mu must be held.
func (s *Server) scan(prefix string, limit int) []platform.Row {
	var keys []string
	for k := range s.rows {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	var rows []platform.Row
	for _, k := range keys[:min(len(keys), max(limit, 0))] {
		row := s.rows[k]
		row.Value = bytes.Clone(row.Value)
		rows = append(rows, row)
	}
	return rows
}

// commit applies a transaction and records it, or returns the conflict. s.mu must
// be held.
func (s *Server) commit(caller string, ops []platform.Op) ([]platform.Row, *platform.ConflictError) {
	var conflict platform.ConflictError
	for _, op := range ops {
		cur := s.rows[op.Key]
		if cur.Version != op.IfVersion {
			conflict.Rows = append(conflict.Rows, platform.Row{
				Key: op.Key, Value: bytes.Clone(cur.Value), Version: cur.Version,
			})
		}
	}
	if len(conflict.Rows) > 0 {
		return nil, &conflict
	}
	rows := make([]platform.Row, len(ops))
	for i, op := range ops {
		if op.Delete {
			delete(s.rows, op.Key)
			rows[i] = platform.Row{Key: op.Key}
			continue
		}
		s.version++
		s.rows[op.Key] = platform.Row{Key: op.Key, Value: op.Value, Version: s.version}
		rows[i] = platform.Row{Key: op.Key, Value: bytes.Clone(op.Value), Version: s.version}
	}
	s.record(Write{Caller: caller, Ops: ops})
	return rows, nil
}

// Put implements platform.ObjectStore.
func (o objects) Put(ctx context.Context, name string, data []byte) error {
	data = bytes.Clone(data)
	s := o.c.s
	return s.request(ctx, o.c.name, ServiceObjects, true, func() {
		s.objects[name] = data
		s.record(Write{Caller: o.c.name, Object: name})
	})
}

// Get implements platform.ObjectStore.
func (o objects) Get(ctx context.Context, name string) ([]byte, error) {
	var data []byte
	var ok bool
	err := o.c.s.request(ctx, o.c.name, ServiceObjects, false, func() {
		data, ok = o.c.s.objects[name]
	})
	if err != nil {
		return nil, err
	}
	if !ok {
		return nil, merry.Prependf(platform.ErrNotFound, "object %q", name)
	}
	return bytes.Clone(data), nil
}

// List implements platform.VMList. It returns the list as it was
// Conditions.VMListLagMs milliseconds ago.
func (v vms) List(ctx context.Context) ([]platform.VMEntry, error) {
	var entries []platform.VMEntry
	s := v.c.s
	err := s.request(ctx, v.c.name, ServiceVMs, false, func() {
		visibleAt := s.clock.Now().Add(-time.Duration(s.conditions.VMListLagMs) * time.Millisecond)
		for _, list := range s.vmLists {
			if !list.at.After(visibleAt) {
				entries = list.entries
			}
		}
	})
	if err != nil {
		return nil, err
	}
	return slices.Clone(entries), nil
}
