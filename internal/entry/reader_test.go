package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"goldcresthinge.example/goldcresthinge/internal/replica"
	"goldcresthinge.example/goldcresthinge/platform"
	"goldcresthinge.example/goldcresthinge/platform/platformtest"
)

// noRelay is the role of a VM that is no relay.
type noRelay struct{}

func (noRelay) IsRelay() bool                { return false }
func (noRelay) IsRegionRelay(time.Time) bool { return false }

// newTestReader returns a reader of the table of operators with a client of store.
func newTestReader(t *testing.T, store http.Handler) *tableReader {
	t.Helper()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	return &tableReader{
		table: replica.New(platform.TableOperator, nil), store: platform.NewStore(func() string { return strings.TrimPrefix(server.URL, "http://") }),
		roles: noRelay{}, maxChangeDelay: func() time.Duration { return time.Second }, vmsKnown: func() bool { return true },
		distance: &storeDistance{}, onChange: func() {}, recordOutage: func(time.Time) {}, ageFactor: 1, log: log.NewNopLogger(),
	}
}

// putValues writes a row for each value, all with the same key.
func putValues(t *testing.T, store *platformtest.Store, key string, values ...string) {
	t.Helper()
	for _, v := range values {
		if err := store.Put(platform.TableOperator, key, v); err != nil {
			t.Fatal(err)
		}
	}
}

// textOf returns the text in a row that putValues has written, or "".
func textOf(t *testing.T, table *replica.Table, key string) string {
	t.Helper()
	row, ok := table.Get(key)
	if !ok {
		return ""
	}
	var s string
	if err := json.Unmarshal(row.Value, &s); err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against rows that are never read because they were written, under versions that were given
// out again, before the version after which the reader asks for changes.
func TestReaderFollowsAStoreThatCameBackFromACopy(t *testing.T) {
	for _, c := range []struct {
		name        string
		writesAfter int // writes of the new era before the next read
	}{
		{"versions behind the copy", 1},
		{"the same version", 5},
		{"versions beyond the copy", 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := platformtest.NewStore()
			r := newTestReader(t, store.Client())
			putValues(t, store, "a", "first")
			saved := store.Copy()
			putValues(t, store, "b", "1", "2", "3", "4", "lost")
			if err := r.read(context.Background(), r.table.Position()); err != nil {
				t.Fatal(err)
			}
			store.Restore(saved)
			putValues(t, store, "a", "new")
			for range c.writesAfter - 1 {
				putValues(t, store, "other", "x")
			}
			if err := r.read(context.Background(), r.table.Position()); err != nil {
				t.Fatal(err)
			}
			if got := textOf(t, r.table, "a"); got != "new" {
				t.Errorf("row a is %q, want new", got)
			}
			if version, _, _ := r.table.State(); version != store.Version() {
				t.Errorf("the copy is at version %d, want %d", version, store.Version())
			}
		})
	}
}

// Guards against VMs that read a store without a pause whose versions are behind those of their copies.
func TestReadOfAnOlderStoreFails(t *testing.T) {
	store := platformtest.NewStore()
	store.WithoutEra = true
	r := newTestReader(t, store.Client())
	saved := store.Copy()
	putValues(t, store, "a", "1", "2", "3")
	if err := r.read(context.Background(), r.table.Position()); err != nil {
		t.Fatal(err)
	}
	store.Restore(saved)
	putValues(t, store, "a", "new")
	if err := r.read(context.Background(), r.table.Position()); !errors.Is(err, errOlderStore) {
		t.Errorf("the read of an older version ended with %v, want errOlderStore", err)
	}
	putValues(t, store, "a", "x", "y", "z")
	if err := r.read(context.Background(), r.table.Position()); err != nil {
		t.Errorf("a read beyond the version of the copy ended with %v", err)
	}
}
