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
	"syscall"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/standin/freeport"
	"goldcresthinge.example/goldcresthinge/platform"
	"goldcresthinge.example/goldcresthinge/platform/platformtest"
)

// program is that of the run line of the deploy file, relative to the root of the repository.
const program = "target/goldcresthinged"

// readyTimeout bounds the time from the start of a VM until it is ready.
const readyTimeout = 20 * time.Second

// Bounds of the two small deployments.
const (
	contactTime = 3 * time.Second // contact_ms
	drainTime   = 2 * time.Second // drain_ms
)

// vm is an entry VM.
type vm struct {
	run         *run
	id, zone    string
	callers     string // address for callers
	ready       string
	settings    string
	metrics     string
	storeClient *platformtest.StoreClient
	log         *os.File
	cmd         *exec.Cmd
	ended       chan struct{}
}

// startVM starts an entry VM.
func (r *run) startVM(id, zone string) error {
	v := &vm{run: r, id: id, zone: zone, storeClient: r.store.Client(), settings: filepath.Join(r.dir, id+".toml")}
	storeAddress, err := r.serveStore(v)
	if err != nil {
		return err
	}
	addresses := make([]string, 4)
	for i := range addresses {
		if addresses[i], err = freeport.Address(); err != nil {
			return err
		}
	}
	v.callers, v.ready, v.metrics = addresses[0], addresses[1], addresses[2]
	link, err := r.startLink(addresses[3])
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.siblings[id] = link
	r.mu.Unlock()
	if err := os.WriteFile(v.settings, []byte(settingsFile(v, addresses[3], storeAddress)), 0o600); err != nil {
		return err
	}
	if v.log, err = os.OpenFile(filepath.Join(r.logs, id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	r.mu.Lock()
	r.vms = append(r.vms, v)
	r.mu.Unlock()
	return v.start()
}

// serveStore starts the listener at which a VM reaches the store, behind a link.
func (r *run) serveStore(v *vm) (string, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: v.storeClient, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	r.onClose(func() { _ = s.Close() })
	return r.startLink(l.Addr().String())
}

// start starts the process with the command of the deploy file.
func (v *vm) start() error {
	v.cmd = exec.Command(program, "entry", "--metrics-listen="+v.metrics) //nolint:noctx // ended by stop
	v.cmd.Env = []string{"GOLDCRESTHINGE_NODE_FILE=" + v.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	v.cmd.Stdout, v.cmd.Stderr = v.log, v.log
	// If this program is killed, the kernel ends the VM too.
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.ended = make(chan struct{})
	go func() {
		_ = v.cmd.Wait()
		close(v.ended)
	}()
	return nil
}

func (v *vm) signal(s syscall.Signal) { _ = v.cmd.Process.Signal(s) }

func (v *vm) stop() {
	if v.cmd != nil && v.cmd.Process != nil && v.ended != nil {
		v.signal(syscall.SIGKILL)
		<-v.ended
	}
	_ = v.log.Close()
}

// waitReady waits until the readiness check succeeds.
func (v *vm) waitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + v.ready + platform.ReadinessPath) //nolint:noctx // has a timeout
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(v.id + " is not ready")
}

// settingsFile returns the settings file of a VM as the platform writes it.
func settingsFile(v *vm, siblings, store string) string {
	ip, port, _ := net.SplitHostPort(siblings)
	var out strings.Builder
	fmt.Fprintf(&out, `[self]
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
internal_ports = [%s,%s]
seeds = []
[network.listen]
front = %q
ready = %q
[network.zones]
`, v.id, ip, v.zone, v.run.regions[v.zone], port, port, v.callers, v.ready)
	for zone, region := range v.run.regions {
		fmt.Fprintf(&out, "%s = %q\n", zone, region)
	}
	fmt.Fprintf(&out, `[platform]
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
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_per_s = 80.0
[terms]
contracts = ["base","drain","config","cost","retry","recover","health","places","platform"]
[terms.tolerate]
machines = 2
zones = 1
regions = 0
[terms.bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = %d
ack_ms = 4000
catch_up_s = 4
drain_ms = %d
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
`, store, contactTime.Milliseconds(), drainTime.Milliseconds())
	return out.String()
}
