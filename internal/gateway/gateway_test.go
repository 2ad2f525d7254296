package gateway_test

import (
	"context"
	"errors"
	"io"
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

// path plays the holders of all pools. Each call takes the next result; the
// last one repeats.
type path struct {
	results []func() (*call.Answer, error)
	calls   []call.Call
	to      []vm.ID
}

func (p *path) FreeSlots(string) map[inventory.PoolID]int { return nil }

func (p *path) Do(_ context.Context, c *call.Call) (*call.Answer, error) { return p.next("self", c) }

func (p *path) Forward(_ context.Context, to vm.Info, c *call.Call) (*call.Answer, error) {
	return p.next(to.ID, c)
}

func (p *path) next(to vm.ID, c *call.Call) (*call.Answer, error) {
	i := min(len(p.calls), len(p.results)-1)
	p.calls = append(p.calls, *c)
	p.to = append(p.to, to)
	return p.results[i]()
}

func answer(text string) func() (*call.Answer, error) {
	return func() (*call.Answer, error) {
		return &call.Answer{
			Status: http.StatusOK, Header: http.Header{"X-Target": {"t1"}},
			Body: io.NopCloser(strings.NewReader(text)), Length: int64(len(text)),
		}, nil
	}
}

func fails(e *outcome.Error) func() (*call.Answer, error) {
	return func() (*call.Answer, error) { return nil, e }
}

type brokenReader struct{ io.Reader }

func (r brokenReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

type remote struct{ allow bool }

func (r remote) NextVM(string, []string) (vm.Info, bool) {
	return vm.Info{ID: "far", Region: "west"}, true
}

func (r remote) Allow(time.Time, string, int) bool { return r.allow }

type dead struct{}

func (dead) Alive(vm.ID, uint64) bool { return false }

func document() *inventory.Document {
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
		p      *path
		table  *balancer.Picker
		store  *standin.Server
		far    *remote
		ready  bool
		server *httptest.Server
	)

	BeforeEach(func() {
		p = &path{results: []func() (*call.Answer, error){answer("whole")}}
		far = &remote{}
		ready = true
		table = balancer.NewPicker(1)
		table.SetCandidates("s", []balancer.Candidate{
			{Pool: inventory.PoolID{Service: "s", FailureDomain: "a"}, VM: vm.Info{ID: "vm-a"}, Slots: 2},
			{Pool: inventory.PoolID{Service: "s", FailureDomain: "b"}, VM: vm.Info{ID: "vm-b"}, Slots: 2},
		})
		clock := quartz.NewReal()
		store = standin.NewServer(clock, 1)
		self := vm.Info{ID: "vm-1", Region: "ost", FailureDomain: "a", Incarnation: 1}
		ledger := claim.New(store.Client("vm-1"), func() vm.Info { return self }, dead{}, clock, log.NewNopLogger(), tally.NoopScope)
		snap := inventory.NewSnapshot(1, document())
		server = httptest.NewServer(gateway.New(gateway.Config{
			Self: self, Snapshot: func() *inventory.Snapshot { return snap },
			Holder: p, Forwarder: p, Claims: ledger.AsClaimer(), Table: table, Budget: retry.NewBudget(0.1), Remote: far,
			Ready: func(time.Time) bool { return ready }, Clock: clock, Log: log.NewNopLogger(), Scope: tally.NoopScope,
			MaxCalls: 10, MaxBody: 100, MaxBufferedBytes: 1000,
		}))
		DeferCleanup(func() {
			server.Close()
			Expect(ledger.Close(context.Background())).To(Succeed())
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
	expect := func(resp *http.Response, status int, kind outcome.Kind, reason outcome.Reason) {
		GinkgoHelper()
		Expect(resp.StatusCode).To(Equal(status))
		Expect(resp.Header.Get(outcome.HeaderOutcome)).To(Equal(kind.String()))
		Expect(resp.Header.Get(outcome.HeaderReason)).To(Equal(string(reason)))
	}

	It("returns the whole answer with its headers", func() {
		resp := request("GET", "/read/1?q=2", "")
		Expect(io.ReadAll(resp.Body)).To(Equal([]byte("whole")))
		Expect(resp.Header.Get("X-Target")).To(Equal("t1"))
		expect(resp, 200, outcome.Answered, "")
		Expect(p.calls[0].Path).To(Equal("/read/1?q=2"))
		Expect(p.calls[0].Depth).To(Equal(1))
	})

	DescribeTable("refuses a request that must not run, and sends nothing",
		func(method, path, body string, status int, reason outcome.Reason, header ...string) {
			expect(request(method, path, body, header...), status, outcome.NotRun, reason)
			Expect(p.calls).To(BeEmpty())
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

	It("refuses all requests while the configuration is not confirmed", func() {
		ready = false
		expect(request("GET", "/read", ""), 503, outcome.NotRun, outcome.ReasonNotReady)
	})

	// Guards against a truncated answer that looks complete.
	It("aborts the connection when the answer ends early", func() {
		p.results = []func() (*call.Answer, error){func() (*call.Answer, error) {
			return &call.Answer{Status: 200, Header: http.Header{}, Body: io.NopCloser(brokenReader{strings.NewReader("half")}), Length: -1}, nil
		}}
		resp, err := server.Client().Get(server.URL + "/read")
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		}
		Expect(err).To(HaveOccurred())
	})

	It("asks another holder after a refusal that says not run", func() {
		p.results = []func() (*call.Answer, error){fails(outcome.NewUnavailable(outcome.ReasonNotHolder, 0)), answer("whole")}
		expect(request("GET", "/read", ""), 200, outcome.Answered, "")
		Expect(p.to[0]).NotTo(Equal(p.to[1]))
	})

	// Guards against refusals while a pool moves to another holder.
	It("waits a moment for the new holder of a pool", func() {
		moved := fails(outcome.NewUnavailable(outcome.ReasonNotHolder, 0))
		p.results = []func() (*call.Answer, error){moved, moved, moved, moved, answer("whole")}
		expect(request("GET", "/read", ""), 200, outcome.Answered, "")
	})

	// Guards against a second run of a request whose first run is not known.
	It("never sends a non-idempotent call again after an unknown outcome", func() {
		p.results = []func() (*call.Answer, error){fails(outcome.NewUnknown(outcome.ReasonTargetLost, "")), answer("second run")}
		expect(request("POST", "/order", "x", outcome.HeaderIdempotency, "k1"), 502, outcome.Unknown, outcome.ReasonTargetLost)
		Expect(p.calls).To(HaveLen(1))
		expect(request("POST", "/order", "x", outcome.HeaderIdempotency, "k1"), 409, outcome.Unknown, outcome.ReasonClaimUncertain)
		Expect(p.calls).To(HaveLen(1))
	})

	It("answers a repeated key with the earlier status and does not run it", func() {
		expect(request("POST", "/order", "x", outcome.HeaderIdempotency, "k1"), 200, outcome.Answered, "")
		resp := request("POST", "/order", "x", outcome.HeaderIdempotency, "k1")
		expect(resp, 409, outcome.Answered, outcome.ReasonDuplicate)
		Expect(resp.Header.Get(outcome.HeaderEarlierStatus)).To(Equal("200"))
		Expect(p.calls).To(HaveLen(1))
	})

	It("lets a key be used again after a refusal that says not run", func() {
		p.results = []func() (*call.Answer, error){fails(outcome.NewUnavailable(outcome.ReasonDeadline, 0)), answer("whole")}
		expect(request("POST", "/order", "x", outcome.HeaderIdempotency, "k1"), 503, outcome.NotRun, outcome.ReasonDeadline)
		expect(request("POST", "/order", "x", outcome.HeaderIdempotency, "k1"), 200, outcome.Answered, "")
	})

	It("refuses non-idempotent calls as not run while the store is down", func() {
		store.SetFaults(standin.Fault{Down: true})
		resp := request("POST", "/order", "x", outcome.HeaderIdempotency, "k1")
		Expect(resp.Header.Get(outcome.HeaderOutcome)).To(Equal("not-run"))
		Expect(p.calls).To(BeEmpty())
	})

	// Guards against retries that multiply the load of a service that is out:
	// 100 calls may become at most 120 attempts.
	It("keeps retries within the budget", func() {
		p.results = []func() (*call.Answer, error){fails(outcome.NewUnknown(outcome.ReasonTargetLost, ""))}
		for range 100 {
			_ = request("GET", "/read", "")
		}
		Expect(len(p.calls)).To(BeNumerically("<=", 120))
		Expect(len(p.calls)).To(BeNumerically(">", 100))
	})

	// Guards against retries at each depth of nested calls that multiply.
	It("does not retry a call nested in a call that was retried often enough", func() {
		p.results = []func() (*call.Answer, error){fails(outcome.NewUnknown(outcome.ReasonTargetLost, "")), answer("retry")}
		expect(request("GET", "/read", "", outcome.HeaderAttempt, "2"), 502, outcome.Unknown, outcome.ReasonTargetLost)
		p.calls = nil
		expect(request("GET", "/read", "", outcome.HeaderAttempt, "1"), 200, outcome.Answered, "")
		Expect(p.calls[1].Attempt).To(Equal(2))
	})

	It("crosses the regional link only after the own region refused, within the budget", func() {
		refused := fails(outcome.NewUnavailable(outcome.ReasonQueueFull, time.Second))
		p.results = []func() (*call.Answer, error){refused, refused, answer("far")}
		expect(request("GET", "/read", ""), 503, outcome.NotRun, outcome.ReasonBandwidthLimit)
		p.calls, p.to = nil, nil
		far.allow = true
		expect(request("GET", "/read", ""), 200, outcome.Answered, "")
		Expect(p.to).To(HaveLen(3))
		Expect(p.to[2]).To(Equal(vm.ID("far")))
		Expect(p.calls[2].CrossRegion).To(BeTrue())
	})

	// Guards against a bound request that leaves its home region under load.
	It("never sends a bound call over the regional link", func() {
		far.allow = true
		p.results = []func() (*call.Answer, error){fails(outcome.NewUnavailable(outcome.ReasonQueueFull, time.Second))}
		expect(request("GET", "/home", ""), 503, outcome.NotRun, outcome.ReasonQueueFull)
		Expect(p.to).NotTo(ContainElement(vm.ID("far")))
	})
})
