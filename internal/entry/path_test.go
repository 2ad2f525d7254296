package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/entry"
	"goldcresthinge.example/goldcresthinge/internal/settings"
	"goldcresthinge.example/goldcresthinge/internal/standin/loopback"
	"goldcresthinge.example/goldcresthinge/platform"
)

// store is a small stand-in of the platform's store.
type store struct {
	mu      sync.Mutex
	rows    map[string]map[string]storeRow // by table and key
	version uint64
	down    atomic.Bool
}

type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.write(storeRow{Table: table, Key: key, Value: data})
}

func (s *store) remove(table, key string) { s.write(storeRow{Table: table, Key: key, Removed: true}) }

func (s *store) write(r storeRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	r.Ver = s.version
	if s.rows[r.Table] == nil {
		s.rows[r.Table] = map[string]storeRow{}
	}
	s.rows[r.Table][r.Key] = r
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.down.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path == "/v1/rows-tx" {
		var tx struct {
			Set    []storeRow `json:"set_keys"`
			Delete []storeRow `json:"delete_keys"`
		}
		if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		for _, row := range tx.Set {
			s.write(row)
		}
		for _, row := range tx.Delete {
			row.Removed = true
			s.write(row)
		}
		s.answer(w, nil)
		return
	}
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	feed := r.URL.Path == "/v1/rows-feed" && err == nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	var rows []storeRow
	for end := time.Now().Add(time.Duration(wait) * time.Millisecond); ; time.Sleep(5 * time.Millisecond) {
		rows = s.read(r.URL.Query().Get("table"), after, feed)
		if !feed || len(rows) > 0 || time.Now().After(end) {
			break
		}
	}
	s.answer(w, rows)
}

func (s *store) read(table string, after uint64, feed bool) []storeRow {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []storeRow
	for _, row := range s.rows[table] {
		if (feed && row.Ver > after) || (!feed && !row.Removed) {
			rows = append(rows, row)
		}
	}
	return rows
}

func (s *store) answer(w io.Writer, rows []storeRow) {
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": append([]storeRow{}, rows...), "ver": version})
}

// server is a small stand-in of a backend server.
type server struct {
	id, domain, address string
	runs                *sync.Map // count by request id, over all servers
	served              atomic.Int64
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", s.id)
	w.Header().Set("Instance-Load", "0,0,2,100")
	if r.URL.Path == "/health" {
		return
	}
	if r.Header.Get("Expect-Instance") != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Request-Id")
	n, _ := s.runs.LoadOrStore(id, &atomic.Int64{})
	n.(*atomic.Int64).Add(1)
	s.served.Add(1)
	time.Sleep(10 * time.Millisecond)
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Stamp", "stamp")
	_, _ = io.WriteString(w, s.id)
}

// deployment is a platform with VMs and servers in this process.
type deployment struct {
	t       *testing.T
	store   *store
	address string // of the store
	servers []*server
	runs    sync.Map
	vms     []*node
	next    atomic.Int64
}

type node struct {
	entry   *entry.Entry
	callers string
	ready   string
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

const bothDomains = "[network.zones]\na = \"r\"\nb = \"r\"\n"

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t, store: &store{rows: map[string]map[string]storeRow{}}}
	d.address = serve(t, d.store)
	t.Cleanup(d.stop)
	d.configure(1, "svc")
	for _, domain := range []string{"a", "a", "b", "b"} {
		s := &server{id: fmt.Sprintf("s-%d", len(d.servers)), domain: domain, runs: &d.runs}
		s.address = serve(t, s)
		d.servers = append(d.servers, s)
		d.register(s, "ready")
	}
	for _, domain := range []string{"a", "a", "b"} {
		d.start(domain)
	}
	for _, n := range d.vms {
		d.eventually("all VMs are ready", func() bool { return d.status(n.ready, platform.ReadinessPath) == 200 })
	}
	return d
}

func (d *deployment) register(s *server, state string) {
	d.store.put(platform.TableServers, s.id, map[string]any{
		"address": s.address, "info": map[string]any{"service": "svc", "zone": s.domain, "slots": 2},
		"status": map[string]any{"state": state},
	})
}

func (d *deployment) configure(version int, service string) {
	d.store.put(platform.TableOperator, platform.KeyConfiguration, map[string]any{
		"version": fmt.Sprintf("%08x", version),
		"routes": map[string]any{
			"columns": []string{"name", "host", "prefix", "kind", "timeout_ms", "latency_goal_ms", "service", "max_attempts"},
			"rows":    [][]any{{"once", "h", "/once/", "unsafe", 5000, 3000, service, 2}, {"new-" + strconv.Itoa(version), "h", fmt.Sprintf("/v%d/", version), "safe", 5000, 3000, service, 2}},
		},
		"services": map[string]any{"columns": []string{"name", "health_check_path"}, "rows": [][]any{{"svc", "/health"}}},
	})
}

func (d *deployment) start(domain string) {
	d.t.Helper()
	n := &node{callers: freeAddress(d.t), ready: freeAddress(d.t)}
	ip, port, err := net.SplitHostPort(freeAddress(d.t))
	if err != nil {
		d.t.Fatal(err)
	}
	file := filepath.Join(d.t.TempDir(), "node.toml")
	text := fmt.Sprintf("[self]\nnode = %q\nip = %q\nzone = %q\nregion = \"r\"\n[network]\ninternal_ports = [%s, %s]\n"+
		"[network.listen]\nfront = %q\nready = %q\n%s[platform.platform]\naddress = %q\n[terms.bounds]\ngrace_s = 4\n"+
		"retry_budget_ratio = 0.2\nretry_budget_slack = 50\nbudget_window_s = 10\nprobes_per_s = 60\ndrain_ms = 2000\nconfig_apply_ms = 2000\n",
		fmt.Sprintf("vm-%d", len(d.vms)), ip, domain, port, port, n.callers, n.ready, bothDomains, d.address)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	if n.entry, err = entry.Start(settings.Entry{NodeFile: file}, io.Discard); err != nil {
		d.t.Fatal(err)
	}
	d.vms = append(d.vms, n)
}

func (d *deployment) stop() {
	for _, n := range d.vms {
		n.entry.Drain()
	}
	for _, n := range d.vms {
		<-n.entry.Done()
	}
}

// call sends a request with a new id on the connections of client and returns
// the id and the status.
func (d *deployment) call(client *http.Client, address, path string) (string, int, error) {
	id := fmt.Sprint("r-", d.next.Add(1))
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+path, nil)
	if err != nil {
		return id, 0, err
	}
	req.Host = "h"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "5000")
	resp, err := client.Do(req)
	if err != nil {
		return id, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return id, resp.StatusCode, err
}

func (d *deployment) status(address, path string) int {
	_, status, err := d.call(http.DefaultClient, address, path)
	if err != nil {
		return 0
	}
	return status
}

func (d *deployment) eventually(what string, ok func() bool) {
	d.t.Helper()
	for !ok() {
		select {
		case <-d.t.Context().Done():
			d.t.Fatalf("never: %s", what)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (d *deployment) checkOnce() {
	d.t.Helper()
	d.runs.Range(func(id, n any) bool {
		if runs := n.(*atomic.Int64).Load(); runs > 1 {
			d.t.Errorf("request %v ran %d times", id, runs)
		}
		return true
	})
}

// Guards against a path that does not work as a whole: registration, reading,
// measuring, placing, sending.
func TestEntryVMsServeAndFollowTheStore(t *testing.T) {
	d := newDeployment(t)
	for _, n := range d.vms {
		for range 5 {
			if status := d.status(n.callers, "/once/x"); status != 200 {
				t.Errorf("status %d", status)
			}
		}
		if status := d.status(n.callers, "/other/"); status != 404 {
			t.Errorf("status %d without a route", status)
		}
	}
	d.checkOnce()

	d.configure(2, "svc")
	for _, n := range d.vms {
		d.eventually("the new route is in force", func() bool { return d.status(n.callers, "/v2/x") == 200 })
		if status := d.status(n.callers, "/v1/x"); status != 404 {
			t.Errorf("status %d on a route that was removed", status)
		}
	}

	// Leaving and removed servers get no more requests, nor do those of a
	// failure domain that is out of service.
	d.register(d.servers[0], "draining")
	d.store.remove(platform.TableServers, d.servers[1].id)
	d.store.put(platform.TableOperator, "evacuate/b", struct{}{})
	for _, n := range d.vms {
		d.eventually("no server may be used", func() bool { return d.status(n.callers, "/once/x") == 503 })
	}
	before := d.servers[0].served.Load() + d.servers[1].served.Load() + d.servers[2].served.Load() + d.servers[3].served.Load()
	for _, n := range d.vms {
		for range 5 {
			d.status(n.callers, "/once/x")
		}
	}
	after := d.servers[0].served.Load() + d.servers[1].served.Load() + d.servers[2].served.Load() + d.servers[3].served.Load()
	if after != before {
		t.Errorf("%d requests reached servers that must not be used", after-before)
	}
	d.store.remove(platform.TableOperator, "evacuate/b")
	for _, n := range d.vms {
		d.eventually("the failure domain serves again", func() bool { return d.status(n.callers, "/once/x") == 200 })
	}
}

// Guards against a VM that stops serving because the store is away.
func TestEntryVMsServeWithoutTheStore(t *testing.T) {
	d := newDeployment(t)
	d.store.down.Store(true)
	for range 20 {
		for _, n := range d.vms {
			if status := d.status(n.callers, "/once/x"); status != 200 {
				t.Errorf("status %d", status)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	d.store.down.Store(false)
}

// Guards against a planned stop that cuts off a request: callers with kept
// connections go on until the VM closes them, and then come back to another VM.
func TestPlannedStopCutsOffNoRequest(t *testing.T) {
	d := newDeployment(t)
	stopping, other := d.vms[0], d.vms[1]
	var callers sync.WaitGroup
	var answered atomic.Int64
	for range 8 {
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			address := stopping.callers
			for range 300 {
				id, status, err := d.call(client, address, "/once/x")
				_, ran := d.runs.Load(id)
				switch {
				case err == nil && status == 200:
					answered.Add(1)
				case address == stopping.callers && err != nil && !ran:
					// The VM takes no new connections, or the request crossed the
					// end of a connection that had carried none.
					address = other.callers
				default:
					t.Errorf("status %d, %v", status, err)
					return
				}
			}
		})
	}
	d.eventually("load", func() bool { return answered.Load() > 50 })
	stopping.entry.Drain()
	d.eventually("readiness off", func() bool { return d.status(stopping.ready, platform.ReadinessPath) != 200 })
	<-stopping.entry.Done()
	callers.Wait()
	d.checkOnce()
}
