package soak_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/standin/freeport"
	"goldcresthinge.example/goldcresthinge/internal/standin/netem"
	"goldcresthinge.example/goldcresthinge/platform/platformtest"
)

// Bounds of the deployment. The callers' and servers' promises are checked
// against them.
const (
	graceS             = 4
	drainWithin        = 2 * time.Second
	configureWithin    = 2 * time.Second
	evacuateWithin     = 5 * time.Second
	recoverWithin      = 15 * time.Second
	lossSlack          = 200 * time.Millisecond
	retryRatio         = 0.2
	retrySlack         = 20
	retryWindow        = 10 * time.Second
	coldFactor         = 1.5
	coldSlack          = 5
	settleAfterTrouble = 3 * time.Second // after which bounds in time hold again
)

// buildDaemon builds the daemon into dir and returns its path.
func buildDaemon(dir string, race bool) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	program := filepath.Join(dir, "goldcresthinged")
	args := []string{"build", "-o", program}
	if race {
		args = append(args, "-race")
	}
	cmd := exec.CommandContext(ctx, "go", append(args, "./cmd/goldcresthinged")...)
	cmd.Dir = filepath.Join("..", "..")
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return program, nil
}

// vm is an entry VM. Its process is started again whenever it ends, like on the
// platform. The links lead to its listeners and to the store.
type vm struct {
	id, domain  string
	callers     string // address through callerLink
	ready       string
	listen      map[string]string // by purpose
	file, log   string
	storeClient *platformtest.StoreClient

	callerLink, siblingLink, storeLink *netem.Link

	mu       sync.Mutex
	process  *exec.Cmd // nil between two processes
	started  int
	expected bool // the end of the process was caused by the soak
	closing  bool // no process is started any more
	ended    chan struct{}
}

func freeAddresses(names ...string) (map[string]string, error) {
	out := map[string]string{}
	for _, name := range names {
		address, err := freeport.Address()
		if err != nil {
			return nil, err
		}
		out[name] = address
	}
	return out, nil
}

// relay opens a link that leads to target and returns the address to use.
func relay(target string) (*netem.Link, string, error) {
	link := netem.New(0, 0)
	address, err := freeport.Address()
	if err != nil {
		return nil, "", err
	}
	r, err := link.StartProxy(address, target, netem.AToB)
	if err != nil {
		return nil, "", err
	}
	return link, r.Address(), nil
}

func newVM(dir, id, domain, store string, client *platformtest.StoreClient) (*vm, error) {
	listen, err := freeAddresses("callers", "ready", "siblings", "metrics")
	if err != nil {
		return nil, err
	}
	v := &vm{
		id: id, domain: domain, listen: listen, ready: listen["ready"], storeClient: client,
		file: filepath.Join(dir, id+".toml"), log: filepath.Join(dir, id+".log"), ended: make(chan struct{}),
	}
	if v.callerLink, v.callers, err = relay(listen["callers"]); err != nil {
		return nil, err
	}
	if v.siblingLink, listen["siblings-relay"], err = relay(listen["siblings"]); err != nil {
		return nil, err
	}
	if v.storeLink, listen["store-relay"], err = relay(store); err != nil {
		return nil, err
	}
	return v, v.writeSettings(retrySlack)
}

// writeSettings writes the settings file as a whole, as the platform does.
func (v *vm) writeSettings(slack int) error {
	return platformtest.NodeSettings{
		ID: v.id, FailureDomain: v.domain, RegionOf: regions, Callers: v.listen["callers"], Ready: v.ready,
		Siblings: v.listen["siblings"], Store: v.listen["store-relay"], GraceS: graceS,
		RetryRatio: retryRatio, RetrySlack: slack, RetryWindow: retryWindow,
		DrainTimeout: drainWithin, ConfigApplyTimeout: configureWithin, ColdFactor: coldFactor, ColdSlack: coldSlack,
	}.Write(v.file)
}

// supervise runs the VM's processes one after another until close is called.
func (v *vm) supervise(program string, delays *rand.Rand, failed func(format string, args ...any)) {
	defer close(v.ended)
	log, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		failed("%s: %v", v.id, err)
		return
	}
	defer func() { _ = log.Close() }()
	for {
		var stderr bytes.Buffer
		cmd := exec.Command(program, "entry", "--node-file", v.file, "--metrics-listen", v.listen["metrics"]) //nolint:gosec,noctx // the soak's own program
		cmd.Stdout, cmd.Stderr = log, &stderr
		// A test that is killed leaves no process behind.
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		v.mu.Lock()
		if v.closing {
			v.mu.Unlock()
			return
		}
		if err := cmd.Start(); err != nil {
			v.mu.Unlock()
			failed("%s: %v", v.id, err)
			return
		}
		v.process, v.expected = cmd, false
		v.started++
		v.mu.Unlock()
		err := cmd.Wait()
		v.mu.Lock()
		v.process = nil
		expected := v.expected
		v.mu.Unlock()
		if !expected {
			failed("%s ended by itself: %v\n%s", v.id, err, stderr.String())
		} else if stderr.Len() > 0 {
			failed("%s wrote to standard error: %s", v.id, stderr.String())
		}
		time.Sleep(time.Duration(100+delays.IntN(1000)) * time.Millisecond)
	}
}

// generation returns the number of processes so far, which tells one from the
// next.
func (v *vm) generation() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.started
}

// signal sends a signal to the VM's present process only and reports whether
// there is one.
func (v *vm) signal(s syscall.Signal) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil {
		return false
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		v.expected = true
	}
	return v.process.Process.Signal(s) == nil
}

// wake continues a paused process.
func (v *vm) wake() { v.signal(syscall.SIGCONT) }

// terminate stops the process as the platform does: a signal, a time of grace,
// and then a kill. It reports whether the process ended by itself.
func (v *vm) terminate() bool {
	generation := v.generation()
	if !v.signal(syscall.SIGTERM) {
		return true
	}
	for end := time.Now().Add(graceS * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		v.mu.Lock()
		gone := v.process == nil || v.started != generation
		v.mu.Unlock()
		if gone {
			return true
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil && v.started == generation {
		_ = v.process.Process.Kill()
		return false
	}
	return true
}

// close ends the VM for good.
func (v *vm) close() {
	v.mu.Lock()
	v.closing = true
	v.mu.Unlock()
	v.signal(syscall.SIGKILL)
	<-v.ended
	for _, l := range []*netem.Link{v.callerLink, v.siblingLink, v.storeLink} {
		l.Close()
	}
}
