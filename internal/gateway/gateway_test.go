package gateway_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"goldcresthinge.example/goldcresthinge/internal/balancer"
	"goldcresthinge.example/goldcresthinge/internal/call"
	"goldcresthinge.example/goldcresthinge/internal/claim"
	"goldcresthinge.example/goldcresthinge/internal/gateway"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/platform/standin"
	"goldcresthinge.example/goldcresthinge/internal/retry"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Gateway Suite")
}

// fakeHolders replaces the holders of all pools, on this VM and on siblings. The
// n-th call gets the n-th result; further calls get the last one.
type fakeHolders struct {
	results []func() (*call.Answer, error)
	calls   []call.Call
	sentTo  []vm.ID
}

func (p *fakeHolders) FreeSlots(string) map[inventory.PoolID]int { return nil }

func (p *fakeHolders) Do(_ context.Context, c *call.Call) (*call.Answer, error) {
	return p.respond("self", c)
}

func (p *fakeHolders) Forward(_ context.Context, to vm.Info, c *call.Call) (*call.Answer, error) {
	return p.respond(to.ID, c)
}

func (p *fakeHolders) respond(to vm.ID, c *call.Call) (*call.Answer, error) {
	i := min(len(p.calls), len(p.results)-1)
	p.calls = append(p.calls, *c)
	p.sentTo = append(p.sentTo, to)
	return p.results[i]()
}

func answerWith(text string) func() (*call.Answer, error) {
	return func() (*call.Answer, error) {
		return &call.Answer{
			Status: http.StatusOK, Header: http.Header{"X-Target": {"t1"}},
			Body: io.NopCloser(strings.NewReader(text)), Length: int64(len(text)),
		}, nil
	}
}

func failWith(e *outcome.Error) func() (*call.Answer, error) {
	return func() (*call.Answer, error) { return nil, e }
}

type truncatedReader struct{ io.Reader }

func (r truncatedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

type fakeRemote struct{ hasLinkBudget bool }

func (r fakeRemote) NextVM(string, []string) (vm.Info, bool) {
	return vm.Info{ID: "far", Region: "west"}, true
}

func (r fakeRemote) TakeLinkBudget(time.Time, string, int) bool { return r.hasLinkBudget }

type noVMAlive struct{}

func (noVMAlive) Alive(vm.ID, uint64) bool { return false }

func testDocument() *inventory.Document {
	d := &inventory.Document{
		Regions:        []inventory.Region{{Name: "ost", Store: true}, {Name: "west"}},
		FailureDomains: []inventory.FailureDomain{{Name: "a", Region: "ost"}, {Name: "b", Region: "ost"}},
		Services: []inventory.Service{{Name: "s", Targets: []inventory.Target{
			{Name: "t1", FailureDomain: "a"}, {Name: "t2", FailureDomain: "b"},
		}}},
		Rules: inventory.Rules{
			Routes: []inventory.Route{
				{Name: "read", PathPrefix: "/read", Service: "s"},
				{Name: "order", PathPrefix: "/order", Service: "s", NonIdempotent: true},
				{Name: "home", PathPrefix: "/home", Service: "s", HomeRegions: []string{"ost"}},
				{Name: "far", PathPrefix: "/far", Service: "s", HomeRegions: []string{"west"}},
			},
			Tenants: []inventory.Tenant{{Name: "west-club", HomeRegions: []string{"west"}}},
		},
	}
	d.SetDefaults()
	return d
}

var _ = Describe("Gateway", func() {
	var (
		holders *fakeHolders
		picker  *balancer.Picker
		store   *standin.Server
		remote  *fakeRemote
		ready   bool
		server  *httptest.Server
	)

	BeforeEach(func() {
		holders = &fakeHolders{results: []func() (*call.Answer, error){answerWith("whole")}}
		remote = &fakeRemote{}
		ready = true
		picker = balancer.NewPicker(1)
		picker.SetCandidates("s", []balancer.Candidate{
			{Pool: inventory.PoolID{Service: "s", FailureDomain: "a"}, VM: vm.Info{ID: "vm-a"}, Slots: 2},
			{Pool: inventory.PoolID{Service: "s", FailureDomain: "b"}, VM: vm.Info{ID: "vm-b"}, Slots: 2},
		})
		clock := quartz.NewReal()
		store = standin.NewServer(clock, 1)
		self := vm.Info{ID: "vm-1", Region: "ost", FailureDomain: "a", Incarnation: 1}
		tableClaimer := claim.New(store.Client("vm-1"), func() vm.Info { return self }, noVMAlive{}, clock, log.NewNopLogger(), tally.NoopScope)
		snap := inventory.NewSnapshot(1, testDocument())
		server = httptest.NewServer(gateway.New(gateway.Config{
			Self: self, Snapshot: func() *inventory.Snapshot { return snap },
			Holder: holders, Forwarder: holders, Claims: tableClaimer.AsClaimer(), Table: picker, Budget: retry.NewBudget(0.1), Remote: remote,
			Ready: func(time.Time) bool { return ready }, Clock: clock, Log: log.NewNopLogger(), Scope: tally.NoopScope,
			MaxCalls: 10, MaxBody: 100, MaxBufferedBytes: 1000,
		}))
		DeferCleanup(func() {
			server.Close()
			Expect(tableClaimer.Close(context.Background())).To(Succeed())
		})
	})

	request := func(method, path, body string, header ...string) *http.Response {
		GinkgoHelper()
		req, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		for i := 0; i+1 < len(header); i += 2 {
			req.Header.Set(header[i], header[i+1])
		}
		resp, err := server.Client().Do(req)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(resp.Body.Close)
		return resp
	}
	expectOutcome := func(resp *http.Response, status int, kind outcome.Kind, reason outcome.Reason) {
		GinkgoHelper()
		Expect(resp.StatusCode).To(Equal(status))
		Expect(resp.Header.Get(outcome.HeaderOutcome)).To(Equal(kind.String()))
		Expect(resp.Header.Get(outcome.HeaderReason)).To(Equal(string(reason)))
	}

	It("returns the whole answer with its headers", func() {
		resp := request("GET", "/read/1?q=2", "")
		Expect(io.ReadAll(resp.Body)).To(Equal([]byte("whole")))
		Expect(resp.Header.Get("X-Target")).To(Equal("t1"))
		expectOutcome(resp, 200, outcome.Answered, "")
		Expect(holders.calls[0].Path).To(Equal("/read/1?q=2"))
		Expect(holders.calls[0].Depth).To(Equal(1))
	})

	DescribeTable("refuses a request that must not run, and sends nothing",
		func(method, path, body string, status int, reason outcome.Reason, header ...string) {
			expectOutcome(request(method, path, body, header...), status, outcome.NotRun, reason)
			Expect(holders.calls).To(BeEmpty())
		},
		Entry("no route", "GET", "/nothing", "", 404, outcome.ReasonNoRoute),
		Entry("prefix of a longer segment", "GET", "/reading", "", 404, outcome.ReasonNoRoute),
		Entry("route bound to another region", "GET", "/far", "", 421, outcome.ReasonWrongRegion),
		Entry("tenant bound to another region", "GET", "/read", "", 421, outcome.ReasonWrongRegion, outcome.HeaderTenant, "west-club"),
		Entry("route and tenant share no region", "GET", "/home", "", 421, outcome.ReasonWrongRegion, outcome.HeaderTenant, "west-club"),
		Entry("no idempotency key", "POST", "/order", "x", 400, outcome.ReasonNoKey),
		Entry("depth above the limit", "GET", "/read", "", 508, outcome.ReasonDepth, outcome.HeaderDepth, "32"),
		Entry("depth is no number", "GET", "/read", "", 400, outcome.ReasonBadRequest, outcome.HeaderDepth, "many"),
		Entry("no time left", "GET", "/read", "", 504, outcome.ReasonDeadline, outcome.HeaderDeadlineMs, "0"),
		Entry("body too large", "POST", "/read", strings.Repeat("x", 101), 413, outcome.ReasonBodyTooLarge),
	)

	It("names the home regions of a request that it refuses", func() {
		Expect(request("GET", "/far", "").Header.Values(outcome.HeaderHomeRegions)).To(Equal([]string{"west"}))
	})

	It("refuses all requests while the VM is not ready", func() {
		ready = false
		expectOutcome(request("GET", "/read", ""), 503, outcome.NotRun, outcome.ReasonNotReady)
	})

	// Guards against a truncated answer that the caller takes for complete.
	It("aborts the connection when the answer ends early", func() {
		holders.results = []func() (*call.Answer, error){func() (*call.Answer, error) {
			return &call.Answer{Status: 200, Header: http.Header{}, Body: io.NopCloser(truncatedReader{strings.NewReader("half")}), Length: -1}, nil
		}}
		resp, err := server.Client().Get(server.URL + "/read")
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		}
		Expect(err).To(HaveOccurred())
	})

	// Guards against the same for a caller to which the end of the connection is that of an answer
	// without a length.
	DescribeTable("tells a caller of HTTP/1.0 whether the answer is whole",
		func(body io.Reader, complete bool) {
			holders.results = []func() (*call.Answer, error){func() (*call.Answer, error) {
				return &call.Answer{Status: 200, Header: http.Header{}, Body: io.NopCloser(body), Length: -1}, nil
			}}
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
			_, _ = io.WriteString(conn, "GET /read HTTP/1.0\r\nHost: h\r\n\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
			}
			Expect(err == nil).To(Equal(complete), "error %v", err)
		},
		Entry("whole", strings.NewReader(strings.Repeat("x", 100_000)), true),
		Entry("a part", truncatedReader{strings.NewReader(strings.Repeat("x", 100_000))}, false),
	)

	It("asks another holder after a refusal that says not run", func() {
		holders.results = []func() (*call.Answer, error){failWith(outcome.NewUnavailable(outcome.ReasonNotHolder, 0)), answerWith("whole")}
		expectOutcome(request("GET", "/read", ""), 200, outcome.Answered, "")
		Expect(holders.sentTo[0]).NotTo(Equal(holders.sentTo[1]))
	})

	// Guards against refusals during the handover of a pool to another holder.
	It("waits a moment for the new holder of a pool", func() {
		notHolder := failWith(outcome.NewUnavailable(outcome.ReasonNotHolder, 0))
		holders.results = []func() (*call.Answer, error){notHolder, notHolder, notHolder, notHolder, answerWith("whole")}
		expectOutcome(request("GET", "/read", ""), 200, outcome.Answered, "")
	})

	// Guards against a second run of a request for which it is not known whether
	// the first attempt ran.
	It("never sends a non-idempotent call again after an unknown outcome", func() {
		holders.results = []func() (*call.Answer, error){failWith(outcome.NewUnknown(outcome.ReasonTargetLost, "")), answerWith("second run")}
		expectOutcome(request("POST", "/order", "x", outcome.HeaderIdempotency, "k1"), 502, outcome.Unknown, outcome.ReasonTargetLost)
		Expect(holders.calls).To(HaveLen(1))
		expectOutcome(request("POST", "/order", "x", outcome.HeaderIdempotency, "k1"), 409, outcome.Unknown, outcome.ReasonClaimUncertain)
		Expect(holders.calls).To(HaveLen(1))
	})

	It("answers a repeated key with the earlier status and does not run it", func() {
		expectOutcome(request("POST", "/order", "x", outcome.HeaderIdempotency, "k1"), 200, outcome.Answered, "")
		resp := request("POST", "/order", "x", outcome.HeaderIdempotency, "k1")
		expectOutcome(resp, 409, outcome.Answered, outcome.ReasonDuplicate)
		Expect(resp.Header.Get(outcome.HeaderEarlierStatus)).To(Equal("200"))
		Expect(holders.calls).To(HaveLen(1))
	})

	It("lets a key be used again after a refusal that says not run", func() {
		holders.results = []func() (*call.Answer, error){failWith(outcome.NewUnavailable(outcome.ReasonDeadline, 0)), answerWith("whole")}
		expectOutcome(request("POST", "/order", "x", outcome.HeaderIdempotency, "k1"), 503, outcome.NotRun, outcome.ReasonDeadline)
		expectOutcome(request("POST", "/order", "x", outcome.HeaderIdempotency, "k1"), 200, outcome.Answered, "")
	})

	It("refuses non-idempotent calls as not run while the store is down", func() {
		store.SetFaults(standin.Fault{Down: true})
		resp := request("POST", "/order", "x", outcome.HeaderIdempotency, "k1")
		Expect(resp.Header.Get(outcome.HeaderOutcome)).To(Equal("not-run"))
		Expect(holders.calls).To(BeEmpty())
	})

	// Guards against retries that multiply the load of a service that has failed:
	// 100 calls may cause 10 retries by the share of 0.1 and retry.InitialRetries more;
	// the test allows 120 attempts.
	It("keeps retries within the budget", func() {
		holders.results = []func() (*call.Answer, error){failWith(outcome.NewUnknown(outcome.ReasonTargetLost, ""))}
		for range 100 {
			_ = request("GET", "/read", "")
		}
		Expect(len(holders.calls)).To(BeNumerically("<=", 120))
		Expect(len(holders.calls)).To(BeNumerically(">", 100))
	})

	// Guards against retries at several depths of nested calls, which would
	// multiply the number of attempts.
	It("does not retry a call nested in a call that has used up its attempts", func() {
		holders.results = []func() (*call.Answer, error){failWith(outcome.NewUnknown(outcome.ReasonTargetLost, "")), answerWith("retry")}
		expectOutcome(request("GET", "/read", "", outcome.HeaderAttempt, "2"), 502, outcome.Unknown, outcome.ReasonTargetLost)
		holders.calls = nil
		expectOutcome(request("GET", "/read", "", outcome.HeaderAttempt, "1"), 200, outcome.Answered, "")
		Expect(holders.calls[1].Attempt).To(Equal(2))
	})

	It("forwards a call to another region only after its own region refused it, within the byte budget", func() {
		queueFull := failWith(outcome.NewUnavailable(outcome.ReasonQueueFull, time.Second))
		holders.results = []func() (*call.Answer, error){queueFull, queueFull, answerWith("far")}
		expectOutcome(request("GET", "/read", ""), 503, outcome.NotRun, outcome.ReasonBandwidthLimit)
		holders.calls, holders.sentTo = nil, nil
		remote.hasLinkBudget = true
		expectOutcome(request("GET", "/read", ""), 200, outcome.Answered, "")
		Expect(holders.sentTo).To(HaveLen(3))
		Expect(holders.sentTo[2]).To(Equal(vm.ID("far")))
		Expect(holders.calls[2].CrossRegion).To(BeTrue())
	})

	// Guards against a request with a home region that is forwarded to another
	// region under load.
	It("never forwards a call whose only home region is this one to another region", func() {
		remote.hasLinkBudget = true
		holders.results = []func() (*call.Answer, error){failWith(outcome.NewUnavailable(outcome.ReasonQueueFull, time.Second))}
		expectOutcome(request("GET", "/home", ""), 503, outcome.NotRun, outcome.ReasonQueueFull)
		Expect(holders.sentTo).NotTo(ContainElement(vm.ID("far")))
	})
})
