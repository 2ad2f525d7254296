package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/BurntSushi/toml"
)

const (
	// leadTime is the time from the start of the machines to that of traffic.
	leadTime    = 8 * time.Second
	serviceOne  = "one"
	serviceTwo  = "two"
	host        = "deployment.example"
	callTimeout = 1500 * time.Millisecond
)

// baseBounds are those of sites/vasar-kapu.toml.
const baseBounds = `seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
skew_max_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 58
warmup_overshoot = 1.5
warmup_slack = 5
evacuate_ms = 5000
recover_s = 15
probes_per_s = 60
`

const baseContracts = `["base","drain","config","cost","retry","recover","health","places","platform"]`

// stage is a small deployment: a store, targets, and machines that run the daemon.
type stage struct {
	record     *record
	root, dir  string
	trouble    bool
	deployment *deployment
	store      *store
	machines   []*machine
	targets    []*target
	callers    *callers
	origin     time.Time // start of traffic
	words      []string  // of the run line in the deploy file

	mu   sync.Mutex
	runs []run
}

// current is the stage that is played.
var current atomic.Pointer[stage]

// newStage starts the store and the targets. net is the second byte of all addresses.
func newStage(rec *record, root string, trouble bool, bounds, contracts string) (*stage, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	s := &stage{record: rec, root: root, dir: dir, trouble: trouble, callers: newCallers(rec, "r")}
	current.Store(s)
	network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250)) //nolint:gosec // no secret
	zones := []zone{{"za", "east"}, {"zb", "east"}}
	if s.store, err = startStore(rec, network+".250"); err != nil {
		return nil, err
	}
	s.deployment = &deployment{Zones: zones, Store: s.store.address, Contracts: contracts, Bounds: bounds}
	for i := range 8 {
		t := &target{
			id: fmt.Sprintf("i-%08x", rand.Uint32()), service: []string{serviceOne, serviceTwo}[i/4], zone: zones[i%2].Name, //nolint:gosec // no secret
			slots: 2, work: 40 * time.Millisecond, record: rec, store: s.store, onRun: s.recordRun,
		}
		if err := startTarget(t, fmt.Sprintf("%s.%d", network, 100+i)); err != nil {
			return nil, err
		}
		s.targets = append(s.targets, t)
	}
	for i := range 4 {
		z := zones[i%2]
		m, err := newMachine(rec, dir, fmt.Sprintf("front-%s-%d", z.Name, 1+i/2), fmt.Sprintf("%s.%d", network, 10+i), z, s.deployment)
		if err != nil {
			return nil, err
		}
		s.machines = append(s.machines, m)
	}
	return s, nil
}

// start starts the machines and waits for the start of traffic.
func (s *stage) start() error {
	var file struct {
		Roles map[string]struct {
			Run string `toml:"run"`
		} `toml:"roles"`
	}
	if _, err := toml.DecodeFile(filepath.Join(s.root, "deploy", "system.toml"), &file); err != nil {
		return err
	}
	s.words = strings.Fields(file.Roles["entry"].Run)
	for _, m := range s.machines {
		if err := m.start(s.root, s.words); err != nil {
			return err
		}
	}
	s.origin = time.Now().Add(leadTime)
	s.record.setOrigin(s.origin)
	s.until(0)
	for _, m := range s.machines {
		if !m.running() {
			return fmt.Errorf("machine %s does not run", m.Name)
		}
	}
	return nil
}

// until waits until a time in seconds since the start of traffic.
func (s *stage) until(seconds float64) {
	time.Sleep(time.Until(s.origin.Add(time.Duration(seconds * float64(time.Second)))))
}

func (s *stage) recordRun(r run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, r)
}

// runsByID returns the runs of each request.
func (s *stage) runsByID() map[string][]run {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string][]run{}
	for _, r := range s.runs {
		out[r.id] = append(out[r.id], r)
	}
	return out
}

// traffic lets f be called for each machine at an interval until a time in seconds since the start of
// traffic. It returns when all calls have ended.
func (s *stage) traffic(interval time.Duration, end float64, f func(m *machine, n int)) {
	var all sync.WaitGroup
	for i, m := range s.machines {
		all.Go(func() {
			time.Sleep(interval * time.Duration(i) / time.Duration(len(s.machines)))
			var calls sync.WaitGroup
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for n := 0; time.Since(s.origin).Seconds() < end; n++ {
				calls.Go(func() { f(m, n) })
				<-ticker.C
			}
			calls.Wait()
		})
	}
	all.Wait()
}

func (s *stage) close() {
	for _, m := range s.machines {
		m.close()
	}
	for _, t := range s.targets {
		t.close()
	}
	if s.store != nil {
		s.store.close()
	}
	_ = os.RemoveAll(s.dir)
}

// list is a list in JSON.
type list = []any

// route is a row of the routes of a configuration.
func route(name, prefix, kind, service string) list {
	return list{name, host, prefix, kind, 1500, 600, 1, service, 2, false, list{}, nil}
}

// configuration returns the value of op/config. tenants may be nil.
func configuration(version int, routes []list, tenants []list) map[string]any {
	c := map[string]any{
		"version": fmt.Sprintf("%08x", version),
		"routes": map[string]any{
			"columns": list{"name", "host", "prefix", "kind", "timeout_ms", "latency_goal_ms", "priority", "service", "max_attempts", "allow_anonymous", "allowed_regions", "backends"},
			"rows":    routes,
		},
		"services": map[string]any{
			"columns": list{"name", "health_check_path", "max_connections", "protocol", "tls", "warmup_s", "warmup_per_s"},
			"rows":    []list{{serviceOne, healthPath, 220, "h1", false, 3.0, 2.7}, {serviceTwo, healthPath, 220, "h1", false, 3.0, 2.7}},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	if tenants != nil {
		c["tenants"] = map[string]any{
			"columns": list{"name", "api_keys", "priority", "rate_per_s", "burst", "allowed_regions"}, "rows": tenants,
		}
	}
	return c
}

// configure writes a configuration and returns the time of its confirmation.
func (s *stage) configure(c map[string]any) time.Time {
	for {
		version, ok := s.store.put("op", "config", c)
		if ok {
			at := time.Now()
			s.record.printf("operator: configuration %s confirmed, row version %d", c["version"], version)
			return at
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// restoreStore lets the store be away for a second at the given time and come back from a copy that
// was taken age seconds before it comes back.
func (s *stage) restoreStore(back, age float64) {
	s.until(back - age)
	c := s.store.copyRows()
	s.until(back - 1)
	if !s.trouble {
		s.until(back)
		return
	}
	s.store.leave()
	s.until(back)
	s.store.comeBack(c)
}
