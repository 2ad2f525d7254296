package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"

	"goldcresthinge.example/goldcresthinge/platform"
	"goldcresthinge.example/goldcresthinge/platform/platformtest"
)

// Ports of the stand-ins and processes. Each has a loopback address of its own.
const (
	callerPort  = 8161
	readyPort   = 8167
	siblingPort = 7720
	storePort   = 8169
	serverPort  = 8080
)

const (
	heartbeat    = 1500 * time.Millisecond
	readyTimeout = 20 * time.Second
	graceSeconds = 6
	// garbleFor is how long servers hand out wrong bytes; the longest time at the site is 5.5 s.
	garbleFor   = 5 * time.Second
	killTimeout = 3 * time.Second
)

// world is a small deployment: the store, the processes of the load balancer and the backend
// servers, all on loopback addresses.
type world struct {
	rec     *recorder
	root    string // of the repository
	dir     string // temporary folder
	trouble bool
	prefix  string // first three bytes of all addresses
	next    int    // last byte of the next address

	store *platformtest.Store
	runBy []string // the run line of the deploy file

	mu     sync.Mutex
	nodes  []*node
	stop   context.CancelFunc
	ctx    context.Context //nolint:containedctx // that of the case
	closed []func()
}

// node is one process of the load balancer.
type node struct {
	name, ip, zone string
	cmd            *exec.Cmd
	ended          chan struct{}
}

func (n *node) callers() string { return net.JoinHostPort(n.ip, fmt.Sprint(callerPort)) }

func newWorld(rec *recorder, root string, trouble bool) (*world, error) {
	var deploy struct {
		Roles map[string]struct {
			Run string `toml:"run"`
		} `toml:"roles"`
	}
	if _, err := toml.DecodeFile(filepath.Join(root, "deploy", "system.toml"), &deploy); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	w := &world{
		rec: rec, root: root, dir: dir, trouble: trouble, next: 10,
		prefix: fmt.Sprintf("127.%d.%d.", 16+pid>>8%200, pid%256),
		store:  platformtest.NewStore(), runBy: strings.Fields(deploy.Roles["entry"].Run),
	}
	w.ctx, w.stop = context.WithCancel(context.Background())
	if err := w.serve(w.prefix+"2:"+fmt.Sprint(storePort), w.store.Client()); err != nil {
		return nil, err
	}
	return w, nil
}

func (w *world) serve(address string, h http.Handler) error {
	l, err := (&net.ListenConfig{}).Listen(w.ctx, "tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	w.closed = append(w.closed, func() { _ = s.Close() })
	go func() { _ = s.Serve(l) }()
	return nil
}

func (w *world) address() string {
	w.next++
	return w.prefix + fmt.Sprint(w.next)
}

// zones are the failure domains by region, as in the settings of the smaller deployments.
var zones = map[string]string{"east-a": "east", "east-b": "east", "west-a": "west"}

// settings is the text of a settings file as DEPLOY.md shows it.
const settings = `[self]
node = %q
role = "entry"
machine_class = "front"
serves = ["front"]
ip = %q
zone = %q
region = %q
counts_as_loss = false
bootstrap = true
[self.limits]
cpu_share = 0.32
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[network]
internal_ports = [%d,%d]
seeds = []
[network.listen]
front = %q
ready = %q
[network.zones]
east-a = "east"
east-b = "east"
west-a = "west"
[platform]
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
[platform.platform]
address = %q
form = "table"
writes_per_s = 400
reads_per_s = 2000
tx_ms = 5.0
part_writes_per_s = 200
row_bytes = 65536
across = false
history_s = 20
[terms]
contracts = ["base","drain","config","cost","retry","recover","health","places","platform"]
[terms.tolerate]
machines = 2
zones = 1
regions = 0
[terms.bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = %d
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

// startNode starts a process by the run line of the deploy file.
func (w *world) startNode(name, zone string) (*node, error) {
	n := &node{name: name, ip: w.address(), zone: zone}
	file := filepath.Join(w.dir, name+".toml")
	text := fmt.Sprintf(settings, name, n.ip, zone, zones[zone], siblingPort, siblingPort+15, n.callers(),
		net.JoinHostPort(n.ip, fmt.Sprint(readyPort)), w.prefix+"2:"+fmt.Sprint(storePort), graceSeconds)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.nodes = append(w.nodes, n)
	w.mu.Unlock()
	return n, w.run(n)
}

// run starts the process of n.
func (w *world) run(n *node) error {
	args := make([]string, len(w.runBy))
	for i, a := range w.runBy {
		args[i] = strings.ReplaceAll(a, "{{self.ip}}", n.ip)
	}
	log, err := os.OpenFile(filepath.Join(w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(w.root, args[0]), args[1:]...) //nolint:gosec,noctx // the run line of the deploy file
	cmd.Dir, cmd.Stdout, cmd.Stderr = w.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "GOLDCRESTHINGE_NODE_FILE=" + filepath.Join(w.dir, n.name+".toml")}
	// The kernel ends the process if this one is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.cmd, n.ended = cmd, ended
	go func() {
		defer close(ended)
		err := cmd.Wait()
		w.rec.note("%s: the process has ended (%v)", n.name, err)
	}()
	return nil
}

// waitReady waits until all processes report that they are ready.
func (w *world) waitReady() error {
	for _, n := range w.nodes {
		deadline := time.Now().Add(readyTimeout)
		for !w.ready(n) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func (w *world) ready(n *node) bool {
	ctx, cancel := context.WithTimeout(w.ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d%s", n.ip, readyPort, platform.ReadinessPath), nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes that were started.
func (w *world) close() {
	w.stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.nodes {
		if n.cmd == nil {
			continue
		}
		_ = n.cmd.Process.Signal(syscall.SIGKILL)
		select {
		case <-n.ended:
		case <-time.After(killTimeout):
		}
	}
	for _, f := range w.closed {
		f()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		w.rec.note("kept %s", w.dir)
	}
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeoutMs, goalMs           int
	attempts                    int
}

// configure writes a configuration in the form that `fleetbench wire` shows.
func (w *world) configure(coldPerSecond float64, routes []route, services ...string) error {
	type list = []any
	var routeRows, serviceRows []list
	for _, r := range routes {
		routeRows = append(routeRows, list{r.name, platformtest.Host, r.prefix, r.kind, r.timeoutMs, r.goalMs, 1, r.service, r.attempts, list{}, nil})
	}
	for _, s := range services {
		serviceRows = append(serviceRows, list{s, platformtest.HealthPath, 220, "h1", false, 3.0, coldPerSecond})
	}
	return w.store.Put(platform.TableOperator, platform.KeyConfiguration, map[string]any{
		"version": "00000001",
		"routes": map[string]any{
			"columns": list{"name", "host", "prefix", "kind", "timeout_ms", "latency_goal_ms", "priority", "service", "max_attempts", "allowed_regions", "backends"},
			"rows":    routeRows,
		},
		"services": map[string]any{
			"columns": list{"name", "health_check_path", "max_connections", "protocol", "tls", "warmup_s", "warmup_per_s"},
			"rows":    serviceRows,
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

var errBroken = errors.New("the rule was broken")
