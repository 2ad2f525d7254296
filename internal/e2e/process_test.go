package e2e_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEndToEnd(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "end to end")
}

// Timeouts and intervals of the test harness. They only limit how long a test waits
// for a system that hangs; no test result depends on their values.
const (
	startTimeout = 25 * time.Second
	waitTimeout  = 20 * time.Second
	pollInterval = 50 * time.Millisecond
	toolTimeout  = 20 * time.Second
)

// programDir is the directory that contains the built programs.
var programDir string

// buildPrograms builds all programs into a new temporary directory, with the
// toolchain that runs the tests.
func buildPrograms() error {
	dir, err := os.MkdirTemp("", "goldcresthinge-e2e-")
	if err != nil {
		return err
	}
	programDir = dir
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	cmd := exec.CommandContext(ctx, "go", "build", "-o", dir+"/", "./cmd/...")
	cmd.Dir = filepath.Join("..", "..")
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("build: %w\n%s", err, out)
	}
	return nil
}

// logBuffer collects the output of a process. It may be read while the process
// writes to it.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// process is a process started by the test. exited is closed when it has ended.
type process struct {
	name   string
	cmd    *exec.Cmd
	log    *logBuffer
	exited chan struct{}
}

// startProcess starts a program from programDir and collects its standard output and
// standard error.
func startProcess(name, program string, args ...string) (*process, error) {
	p := &process{name: name, cmd: exec.Command(filepath.Join(programDir, program), args...), log: &logBuffer{}, exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	// The kernel kills the process if the test process is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		defer close(p.exited)
		_ = p.cmd.Wait()
	}()
	return p, nil
}

// signal sends a signal to this process alone.
func (p *process) signal(s syscall.Signal) { Expect(p.cmd.Process.Signal(s)).To(Succeed(), p.name) }

// kill kills the process, even if it is stopped by SIGSTOP, and waits until it has
// ended.
func (p *process) kill() {
	if err := p.cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return
	}
	<-p.exited
}

// awaitExit waits until the process has ended and returns its exit code. It sends no
// signal.
func (p *process) awaitExit() int {
	GinkgoHelper()
	Eventually(p.exited, waitTimeout).Should(BeClosed(), "%s did not exit in time; output:\n%s", p.name, p.log)
	return p.cmd.ProcessState.ExitCode()
}

// runConcurrently runs cases concurrently and waits for all of them. Each case must
// use a different cluster.
func runConcurrently(cases ...func()) {
	var wg sync.WaitGroup
	for _, run := range cases {
		wg.Go(func() {
			defer GinkgoRecover()
			run()
		})
	}
	wg.Wait()
}
