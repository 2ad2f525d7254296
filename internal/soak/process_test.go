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

// Limits of the cluster. Some are settings of the daemon; the checker verifies that
// they hold.
const (
	terminationGraceSeconds = 4                // from SIGTERM until a process must have ended
	drainTimeout            = 2 * time.Second  // from the announcement or removal of a server until it must get no requests
	configApplyTimeout      = 2 * time.Second  // from storing a configuration until all VMs must have applied it
	evacuationTimeout       = 5 * time.Second  // from the evacuation of a failure domain until it must get no requests
	recoveryTimeout         = 15 * time.Second // from the end of all faults until all VMs must serve
	// lossTolerance is the time after sending within which a request on a reused
	// connection may end without an answer.
	lossTolerance = 200 * time.Millisecond
	// Retries within retryWindow may be retryRatio of the requests plus retrySlack.
	retryRatio  = 0.2
	retrySlack  = 20
	retryWindow = 10 * time.Second
	// A cold server may get coldRateFactor times its rate plus coldRateSlack requests
	// within a second.
	coldRateFactor = 1.5
	coldRateSlack  = 5
	// memoryMB and maxDescriptors are the limits of a VM's process, those of a small VM.
	memoryMB       = 184
	maxDescriptors = 4100
	// faultSettleTime is the time after an unplanned fault until the time bounds and
	// the other checks that require the absence of unplanned faults apply again.
	faultSettleTime = 3 * time.Second
)

// buildDaemon builds the daemon into dir, with the race detector if race is true, and
// returns the path of the program.
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
		return "", fmt.Errorf("build the daemon: %w\n%s", err, out)
	}
	return program, nil
}

// vm is an entry VM. Its process is restarted whenever it ends, as on the platform.
// Callers and siblings reach it, and it reaches the store, over one link each.
type vm struct {
	id, domain            string
	callerAddress         string // address through callerLink
	readinessAddress      string
	addresses             map[string]string // by purpose, such as "callers" or "metrics"; those of link proxies end in "-proxy"
	settingsFile, logFile string
	storeClient           *platformtest.StoreClient

	callerLink, siblingLink, storeLink *netem.Link

	mu             sync.Mutex
	process        *exec.Cmd     // nil between two processes
	processCount   int           // processes started so far
	processStarted time.Time     // of the latest process
	endExpected    bool          // the test has sent the process a signal to end
	closing        bool          // no further process is started
	supervisorDone chan struct{} // closed when supervise returns
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

// startLink starts a link to target and returns it with the address at which it accepts
// connections.
func startLink(target string) (*netem.Link, string, error) {
	link := netem.New(0, 0)
	address, err := freeport.Address()
	if err != nil {
		return nil, "", err
	}
	proxy, err := link.StartProxy(address, target, netem.AToB)
	if err != nil {
		return nil, "", err
	}
	return link, proxy.Address(), nil
}

func newVM(dir, id, domain, storeAddress string, client *platformtest.StoreClient) (*vm, error) {
	addresses, err := freeAddresses("callers", "ready", "siblings", "metrics")
	if err != nil {
		return nil, err
	}
	v := &vm{
		id: id, domain: domain, addresses: addresses, readinessAddress: addresses["ready"], storeClient: client,
		settingsFile: filepath.Join(dir, id+".toml"), logFile: filepath.Join(dir, id+".log"), supervisorDone: make(chan struct{}),
	}
	if v.callerLink, v.callerAddress, err = startLink(addresses["callers"]); err != nil {
		return nil, err
	}
	if v.siblingLink, addresses["siblings-proxy"], err = startLink(addresses["siblings"]); err != nil {
		return nil, err
	}
	if v.storeLink, addresses["store-proxy"], err = startLink(storeAddress); err != nil {
		return nil, err
	}
	return v, v.writeSettings(retrySlack)
}

// writeSettings writes the complete settings file of the VM, as the platform does. slack
// is the retry slack of the VM.
func (v *vm) writeSettings(slack int) error {
	return platformtest.NodeSettings{
		ID: v.id, FailureDomain: v.domain, RegionOf: regions, Callers: v.addresses["callers"], Ready: v.readinessAddress,
		Siblings: v.addresses["siblings"], Store: v.addresses["store-proxy"], GraceS: terminationGraceSeconds,
		RetryRatio: retryRatio, RetrySlack: slack, RetryWindow: retryWindow,
		DrainTimeout: drainTimeout, ConfigApplyTimeout: configApplyTimeout, ColdFactor: coldRateFactor, ColdSlack: coldRateSlack,
		CanaryShare: canaryShare, CanarySlack: canarySlack, ContactTimeout: 2 * time.Second,
		MemoryMB: memoryMB, MaxDescriptors: maxDescriptors,
	}.Write(v.settingsFile)
}

// supervise runs the VM's processes one after another until close is called, each 100
// to 1100 ms after the end of the previous one. It records a violation if a process
// ends unexpectedly or writes to standard error.
func (v *vm) supervise(program string, restartDelays *rand.Rand, recordViolation func(format string, args ...any)) {
	defer close(v.supervisorDone)
	log, err := os.OpenFile(v.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		recordViolation("%s: open log file: %v", v.id, err)
		return
	}
	defer func() { _ = log.Close() }()
	for {
		var stderr bytes.Buffer
		cmd := exec.Command(program, "entry", "--node-file", v.settingsFile, "--metrics-listen", v.addresses["metrics"]) //nolint:gosec,noctx // the soak's own program
		cmd.Stdout, cmd.Stderr = log, &stderr
		// If the test is killed, the kernel ends the process too.
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		v.mu.Lock()
		if v.closing {
			v.mu.Unlock()
			return
		}
		if err := cmd.Start(); err != nil {
			v.mu.Unlock()
			recordViolation("%s: start process: %v", v.id, err)
			return
		}
		v.process, v.endExpected, v.processStarted = cmd, false, time.Now()
		v.processCount++
		v.mu.Unlock()
		err := cmd.Wait()
		v.mu.Lock()
		v.process = nil
		endExpected := v.endExpected
		v.mu.Unlock()
		if !endExpected {
			recordViolation("%s: process ended unexpectedly: %v\n%s", v.id, err, stderr.String())
		} else if stderr.Len() > 0 {
			recordViolation("%s: process wrote to standard error: %s", v.id, stderr.String())
		}
		time.Sleep(time.Duration(100+restartDelays.IntN(1000)) * time.Millisecond)
	}
}

// generation returns the number of processes started so far. It identifies the current
// process among those of the VM.
func (v *vm) generation() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.processCount
}

// started returns the time at which the latest process was started.
func (v *vm) started() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.processStarted
}

// signal sends a signal to the VM's current process. It returns false if there is no
// process or the signal could not be sent.
func (v *vm) signal(s syscall.Signal) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil {
		return false
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		v.endExpected = true
	}
	return v.process.Process.Signal(s) == nil
}

// resume continues a paused process.
func (v *vm) resume() { v.signal(syscall.SIGCONT) }

// terminate stops the process as the platform does: it sends SIGTERM, and kills the
// process if it has not ended after terminationGraceSeconds. It returns false if the
// process had to be killed.
func (v *vm) terminate() bool {
	generation := v.generation()
	if !v.signal(syscall.SIGTERM) {
		return true
	}
	for end := time.Now().Add(terminationGraceSeconds * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		v.mu.Lock()
		ended := v.process == nil || v.processCount != generation
		v.mu.Unlock()
		if ended {
			return true
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil && v.processCount == generation {
		_ = v.process.Process.Kill()
		return false
	}
	return true
}

// close kills the process, waits until supervise has ended, and closes the VM's links.
func (v *vm) close() {
	v.mu.Lock()
	v.closing = true
	v.mu.Unlock()
	v.signal(syscall.SIGKILL)
	<-v.supervisorDone
	for _, l := range []*netem.Link{v.callerLink, v.siblingLink, v.storeLink} {
		l.Close()
	}
}
