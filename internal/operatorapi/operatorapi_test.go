package operatorapi_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/operatorapi"
	"goldcresthinge.example/goldcresthinge/internal/rollout"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operator")
}

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fakeConfiguration is a Configuration in memory. accepted is the highest accepted
// version and acceptedText its document; snap, the version in force at this VM, may
// be older.
type fakeConfiguration struct {
	accepted     uint64
	acceptedText []byte
	snap         *inventory.Snapshot
	applyErr     error
}

func (c *fakeConfiguration) Current() *inventory.Snapshot { return c.snap }

func (c *fakeConfiguration) Apply(_ context.Context, base uint64, text []byte) (uint64, error) {
	if c.applyErr != nil {
		return 0, c.applyErr
	}
	if base != c.accepted {
		return 0, &rollout.ConflictError{Base: base, Current: c.accepted}
	}
	c.accepted, c.acceptedText = base+1, text
	return c.accepted, c.Refresh(context.Background())
}

func (c *fakeConfiguration) Refresh(context.Context) error {
	doc, err := inventory.Parse(c.acceptedText)
	if err != nil {
		return err
	}
	c.snap = inventory.NewSnapshot(c.accepted, doc)
	return nil
}

func (c *fakeConfiguration) QueryVMs(context.Context, uint64) []rollout.VMReport {
	return []rollout.VMReport{
		{VM: vm.Info{ID: "a"}, State: rollout.StateApplied, Version: c.accepted, Confirmed: true},
		{VM: vm.Info{ID: "b"}, State: rollout.StateUnreachable},
	}
}

func (c *fakeConfiguration) ConfirmedAge(time.Time) (time.Duration, bool) { return time.Second, true }

// fakeProcess is an operatorapi.Process with fixed pools. It counts calls of Drain.
type fakeProcess struct {
	drainCalls int
	ready      bool
}

func (p *fakeProcess) Drain() { p.drainCalls++ }

func (p *fakeProcess) Status(time.Time) operatorapi.ProcessStatus {
	return operatorapi.ProcessStatus{ID: "a", Ready: p.ready, NotReady: []string{"no configuration"}}
}
func (p *fakeProcess) Targets(time.Time) []operatorapi.Target { return nil }
func (p *fakeProcess) Holders(time.Time) []operatorapi.Holder {
	return []operatorapi.Holder{{Service: "nyilvantarto", FailureDomain: "szeged-a", Holder: "a", Epoch: 3}}
}
func (p *fakeProcess) Dump(time.Time) any { return map[string]int{"pools": 2} }

func example() string {
	text, err := os.ReadFile("../../examples/authority.yaml")
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

var _ = Describe("the operator API", func() {
	var (
		conf    *fakeConfiguration
		proc    *fakeProcess
		handler http.Handler
	)
	BeforeEach(func() {
		conf, proc = &fakeConfiguration{}, &fakeProcess{}
		handler = operatorapi.New(operatorapi.Config{
			Configuration: conf, Process: proc, Now: func() time.Time { return now },
			Metrics: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "calls 1") }),
		})
	})
	do := func(method, path, body string, result any) int {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		if result != nil {
			Expect(json.Unmarshal(w.Body.Bytes(), result)).To(Succeed(), w.Body.String())
		}
		return w.Code
	}
	apply := func() {
		var applied operatorapi.Applied
		Expect(do("PUT", "/v1/config?base=0", example(), &applied)).To(Equal(200))
		Expect(applied.Version).To(BeEquivalentTo(1))
		Expect(applied.VMs).To(HaveLen(2))
		Expect(applied.VMs[1].State).To(Equal("not-heard"))
	}

	It("accepts a document and returns it with its version", func() {
		apply()
		var doc operatorapi.Document
		Expect(do("GET", "/v1/config", "", &doc)).To(Equal(200))
		Expect(doc.Version).To(BeEquivalentTo(1))
		parsed, err := inventory.Parse([]byte(doc.Document))
		Expect(err).NotTo(HaveOccurred())
		text, err := inventory.Encode(parsed)
		Expect(err).NotTo(HaveOccurred())
		Expect(doc.Digest).To(Equal(inventory.Digest(text)))
	})

	It("rejects a broken document with line and reason", func() {
		var p operatorapi.Problem
		broken := strings.Replace(example(), "slots: 2", "slots: -2", 1)
		Expect(do("PUT", "/v1/config?base=0", broken, &p)).To(Equal(422))
		Expect(p.Faults).To(HaveLen(1))
		Expect(p.Faults[0].Line).To(BeNumerically(">", 0))
		Expect(conf.accepted).To(BeZero())
	})

	It("rejects a change without a base version", func() {
		Expect(do("PUT", "/v1/config", example(), nil)).To(Equal(422))
		Expect(conf.accepted).To(BeZero())
	})

	It("tells the current version on a conflict", func() {
		apply()
		var p operatorapi.Problem
		Expect(do("PUT", "/v1/config?base=0", example(), &p)).To(Equal(409))
		Expect(p.CurrentVersion).To(BeEquivalentTo(1))
	})

	DescribeTable("says whether a failed change may have been accepted",
		func(err error, status int, uncertain bool) {
			conf.applyErr = err
			var p operatorapi.Problem
			Expect(do("PUT", "/v1/config?base=0", example(), &p)).To(Equal(status))
			Expect(p.Uncertain).To(Equal(uncertain))
		},
		Entry("store down", fmt.Errorf("x: %w", rollout.ErrStoreUnavailable), 503, false),
		Entry("answer lost", fmt.Errorf("x: %w", rollout.ErrOutcomeUnknown), 504, true),
		Entry("other", errors.New("other"), 500, false),
	)

	It("shows what a document would change", func() {
		apply()
		var checked operatorapi.Checked
		text := strings.Replace(example(), "out_of_service: []", "out_of_service: [pecs-a]", 1)
		Expect(do("POST", "/v1/config/check", text, &checked)).To(Equal(200))
		Expect(checked.Base).To(BeEquivalentTo(1))
		Expect(checked.Changes).To(HaveLen(1))
	})

	// Guards against a failure domain that stays in service because another operator
	// has just changed another part of the document, which makes the first attempt
	// a conflict.
	It("takes a failure domain out of service and puts it back although this VM has an older configuration", func() {
		apply()
		conf.accepted, conf.acceptedText = 2, []byte(strings.Replace(example(), "slots: 2", "slots: 4", 1))
		var applied operatorapi.Applied
		Expect(do("POST", "/v1/failure-domains/pecs-a/out", "", &applied)).To(Equal(200))
		Expect(applied.Version).To(BeEquivalentTo(3))
		Expect(conf.snap.OutOfService("pecs-a")).To(BeTrue())
		Expect(conf.snap.Service("nyilvantarto").Slots).To(Equal(4))
		Expect(do("POST", "/v1/failure-domains/pecs-a/return", "", nil)).To(Equal(200))
		Expect(conf.snap.OutOfService("pecs-a")).To(BeFalse())
		Expect(do("POST", "/v1/failure-domains/nowhere/out", "", nil)).To(Equal(404))
	})

	It("reports status, readiness, pools, state and metrics", func() {
		Expect(do("GET", "/v1/config", "", nil)).To(Equal(404))
		Expect(do("GET", "/v1/healthz", "", nil)).To(Equal(200))
		Expect(do("GET", "/v1/readyz", "", nil)).To(Equal(503))
		proc.ready = true
		Expect(do("GET", "/v1/readyz", "", nil)).To(Equal(200))
		apply()
		var status operatorapi.Status
		Expect(do("GET", "/v1/status", "", &status)).To(Equal(200))
		Expect(status).To(And(HaveField("Version", BeEquivalentTo(1)), HaveField("AgeMs", BeEquivalentTo(1000)), HaveField("ID", "a")))
		var targets []operatorapi.Target
		Expect(do("GET", "/v1/targets", "", &targets)).To(Equal(200))
		Expect(targets).NotTo(BeNil())
		var holders []operatorapi.Holder
		Expect(do("GET", "/v1/holders", "", &holders)).To(Equal(200))
		Expect(holders).To(HaveLen(1))
		var state map[string]int
		Expect(do("GET", "/v1/state", "", &state)).To(Equal(200))
		Expect(state).To(HaveKeyWithValue("pools", 2))
		Expect(do("GET", "/metrics", "", nil)).To(Equal(200))
		Expect(do("POST", "/v1/drain", "", nil)).To(Equal(202))
		Expect(proc.drainCalls).To(Equal(1))
	})
})
