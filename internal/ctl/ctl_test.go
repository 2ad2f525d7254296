package ctl_test

import (
	"bytes"
	"context"
	"errors"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/quartz"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/ctl"
	"goldcresthinge.example/goldcresthinge/internal/operatorapi"
	"goldcresthinge.example/goldcresthinge/internal/platform"
	"goldcresthinge.example/goldcresthinge/internal/rollout"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

func TestCtl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ctl")
}

// memoryTable is a platform table in memory. While unavailable is set, reads fail.
type memoryTable struct {
	mu          sync.Mutex
	rows        map[string]platform.Row
	lastVersion uint64
	unavailable bool
}

func (t *memoryTable) Get(_ context.Context, key string) (platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if row, ok := t.rows[key]; ok && !t.unavailable {
		return row, nil
	}
	if t.unavailable {
		return platform.Row{}, platform.ErrUnavailable
	}
	return platform.Row{}, platform.ErrNotFound
}

func (t *memoryTable) Scan(context.Context, string, int) ([]platform.Row, error) { return nil, nil }

func (t *memoryTable) Commit(_ context.Context, ops []platform.Op) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, op := range ops {
		if t.rows[op.Key].Version != op.IfVersion {
			return nil, &platform.ConflictError{}
		}
	}
	for _, op := range ops {
		t.lastVersion++
		t.rows[op.Key] = platform.Row{Key: op.Key, Value: op.Value, Version: t.lastVersion}
	}
	return make([]platform.Row, len(ops)), nil
}

// memoryObjects is an object store that keeps its objects in a memoryTable.
type memoryObjects struct{ *memoryTable }

func (o memoryObjects) Put(ctx context.Context, name string, data []byte) error {
	_, err := o.Commit(ctx, []platform.Op{{Key: "object/" + name, Value: data}})
	return err
}

func (o memoryObjects) Get(ctx context.Context, name string) ([]byte, error) {
	row, err := o.memoryTable.Get(ctx, "object/"+name)
	return row.Value, err
}

// fakeSibling is the only sibling of the VM under test. It reports the version that
// is in force at that VM, and does not respond while silent is set.
type fakeSibling struct {
	mu     sync.Mutex
	silent bool
	store  *rollout.Syncer
}

func (s *fakeSibling) Siblings() []vm.Info {
	return []vm.Info{{ID: "b", Region: "alfold", SiblingAddress: "127.0.0.1:2"}}
}

func (s *fakeSibling) RoundTrip(context.Context, vm.Info, *siblingpb.Request) (*siblingpb.Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		return nil, errors.New("no answer")
	}
	return &siblingpb.Response{Kind: &siblingpb.Response_Config{Config: &siblingpb.ConfigDeltas{
		VmId: "b", Region: "alfold", CurrentVersion: s.store.Current().Version,
	}}}, nil
}

// fakeProcess is an operatorapi.Process of a ready VM with fixed pools.
type fakeProcess struct{}

func (fakeProcess) Drain() {}
func (fakeProcess) Status(time.Time) operatorapi.ProcessStatus {
	return operatorapi.ProcessStatus{ID: "a", Region: "alfold", FailureDomain: "szeged-a", Ready: true, LeaseMode: "valid", StoreReachable: true}
}

func (fakeProcess) Targets(time.Time) []operatorapi.Target {
	return []operatorapi.Target{{Service: "nyilvantarto", FailureDomain: "szeged-a", Name: "ny-01", State: "cold", Cause: "returned", Limit: 1, Slots: 2}}
}

func (fakeProcess) Holders(time.Time) []operatorapi.Holder {
	return []operatorapi.Holder{{Service: "nyilvantarto", FailureDomain: "szeged-a", Holder: "a", Epoch: 3}}
}
func (fakeProcess) Dump(time.Time) any { return map[string]int{"pools": 2} }

var _ = Describe("goldcresthingectl", func() {
	var (
		store          *memoryTable
		peer           *fakeSibling
		address        string
		clock          *quartz.Mock
		stdout, stderr *bytes.Buffer
		example        string
	)
	BeforeEach(func() {
		store, peer, clock = &memoryTable{rows: map[string]platform.Row{}}, &fakeSibling{}, quartz.NewMock(GinkgoT())
		conf := rollout.New(rollout.Config{
			Self: vm.Info{ID: "a", Region: "alfold", FailureDomain: "szeged-a"}, Table: store, Objects: memoryObjects{store}, Peers: peer, Clock: clock,
		})
		peer.store = conf
		server := httptest.NewServer(operatorapi.New(operatorapi.Config{Configuration: conf, Process: fakeProcess{}, Now: func() time.Time { return clock.Now() }}))
		DeferCleanup(server.Close)
		address = strings.TrimPrefix(server.URL, "http://")
		example = filepath.Join("..", "..", "examples", "authority.yaml")
	})
	run := func(args ...string) int {
		stdout, stderr = &bytes.Buffer{}, &bytes.Buffer{}
		tool := ctl.Tool{Stdout: stdout, Stderr: stderr, Clock: clock}
		return tool.Run(context.Background(), append([]string{"--address", address}, args...))
	}
	edited := func(old, replacement string) string {
		text, err := os.ReadFile(example)
		Expect(err).NotTo(HaveOccurred())
		file := filepath.Join(GinkgoT().TempDir(), "edited.yaml")
		Expect(os.WriteFile(file, []byte(strings.Replace(string(text), old, replacement, 1)), 0o600)).To(Succeed())
		return file
	}

	It("checks a document without a VM", func() {
		address = "127.0.0.1:1"
		Expect(run("check", example)).To(Equal(ctl.ExitDone))
		Expect(run("check", edited("slots: 2", "slots: -2"))).To(Equal(ctl.ExitRejected))
		Expect(stderr.String()).To(MatchRegexp(`line \d+: services\[nyilvantarto\]\.slots: -2 is not between`))
		Expect(run("check", "no-such-file.yaml")).To(Equal(ctl.ExitUsage))
	})

	It("applies a document, shows a difference and refuses the loser of a race", func() {
		Expect(run("apply", "--base", "0", example)).To(Equal(ctl.ExitDone), "%s", stderr)
		Expect(stdout.String()).To(And(ContainSubstring("version 1 is accepted"), MatchRegexp(`b +alfold .*in-force`)))
		file := edited("slots: 2", "slots: 3")
		Expect(run("diff", file)).To(Equal(ctl.ExitDone))
		Expect(stdout.String()).To(Equal("1 change(s) to version 1\n~ services[nyilvantarto].slots: 2 -> 3\n"))
		Expect(run("out", "pecs-a")).To(Equal(ctl.ExitDone))
		Expect(run("apply", "--base", "1", file)).To(Equal(ctl.ExitConflict))
		Expect(stderr.String()).To(ContainSubstring("the current version is 2; nothing changed"))
		Expect(run("get")).To(Equal(ctl.ExitDone))
		Expect(stdout.String()).To(And(HavePrefix("# version 2\n"), ContainSubstring("- pecs-a")))
	})

	It("rejects a document with its line and changes nothing", func() {
		Expect(run("apply", "--base", "0", edited("region: alfold", "region: nowhere"))).To(Equal(ctl.ExitRejected))
		Expect(stderr.String()).To(MatchRegexp(`line \d+: .*region "nowhere" is not defined`))
		Expect(run("get")).To(Equal(ctl.ExitRejected))
	})

	It("takes a failure domain out and returns it", func() {
		Expect(run("apply", "--base", "0", example)).To(Equal(ctl.ExitDone))
		Expect(run("out", "nowhere")).To(Equal(ctl.ExitRejected))
		Expect(run("out", "pecs-a")).To(Equal(ctl.ExitDone))
		Expect(run("status")).To(Equal(ctl.ExitDone))
		Expect(stdout.String()).To(ContainSubstring("out of service: pecs-a"))
		Expect(run("out", "pecs-a")).To(Equal(ctl.ExitDone))
		Expect(stdout.String()).To(ContainSubstring("nothing to change, version 2"))
		Expect(run("return", "pecs-a")).To(Equal(ctl.ExitDone))
	})

	It("says that VM or store are not reachable", func() {
		Expect(run("apply", "--base", "0", example)).To(Equal(ctl.ExitDone))
		store.unavailable = true
		Expect(run("out", "pecs-a")).To(Equal(ctl.ExitUnreachable))
		Expect(stderr.String()).To(ContainSubstring("nothing changed"))
		Expect(run("status")).To(Equal(ctl.ExitDone))
		address = "127.0.0.1:1"
		Expect(run("status")).To(Equal(ctl.ExitUnreachable))
	})

	It("uses the next address when the first VM is not reachable", func() {
		address = "127.0.0.1:1," + address
		Expect(run("apply", "--base", "0", example)).To(Equal(ctl.ExitDone))
	})

	It("waits a bounded time for all VMs", func() {
		peer.silent = true
		Expect(run("apply", "--base", "0", example)).To(Equal(ctl.ExitPending))
		Expect(stdout.String()).To(MatchRegexp(`b +alfold .*not-heard`))

		trap := clock.Trap().NewTimer("ctl", "wait")
		defer trap.Close()
		codes := make(chan int, 1)
		ctx := context.Background()
		start := func() { go func() { codes <- run("out", "--wait", "1s", "pecs-a") }() }
		step := func() {
			trap.MustWait(ctx).MustRelease(ctx)
			clock.Advance(500 * time.Millisecond).MustWait(ctx)
		}
		start()
		step()
		step()
		Eventually(codes).Should(Receive(Equal(ctl.ExitPending)))

		start()
		trap.MustWait(ctx).MustRelease(ctx)
		peer.mu.Lock()
		peer.silent = false
		peer.mu.Unlock()
		clock.Advance(500 * time.Millisecond).MustWait(ctx)
		Eventually(codes).Should(Receive(Equal(ctl.ExitDone)))
	})

	It("shows pools and state as tables or JSON", func() {
		Expect(run("targets")).To(Equal(ctl.ExitDone))
		Expect(stdout.String()).To(MatchRegexp(`ny-01 .*cold \(returned\)`))
		Expect(run("--json", "holders")).To(Equal(ctl.ExitDone))
		Expect(stdout.String()).To(ContainSubstring(`"epoch": 3`))
		Expect(run("dump")).To(Equal(ctl.ExitDone))
		Expect(stdout.String()).To(MatchJSON(`{"pools": 2}`))
		Expect(run("drain")).To(Equal(ctl.ExitDone))
	})

	DescribeTable("explains wrong use",
		func(reason string, args ...string) {
			Expect(run(args...)).To(Equal(ctl.ExitUsage))
			Expect(stderr.String()).To(ContainSubstring(reason))
		},
		Entry("no command", "Usage"),
		Entry("no base", "--base", "apply", "x.yaml"),
		Entry("unknown command", "invalid subcommand", "restart"),
		Entry("address without port", "not an IP address", "--address", "localhost", "status"),
		Entry("drain of two VMs", "exactly one", "--address", "127.0.0.1:1,127.0.0.1:2", "drain"),
	)
})
