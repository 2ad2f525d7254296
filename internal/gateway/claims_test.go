package gateway_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
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
	"goldcresthinge.example/goldcresthinge/internal/retry"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// source grants every key and records how the permissions end.
type source struct {
	expired bool
	ends    []string
}

func (s *source) Claim(context.Context, claim.Key) (claim.Permission, error) { return s, nil }
func (s *source) CanStart(time.Time) bool                                    { return !s.expired }
func (s *source) MarkDone(context.Context, int) error                        { return s.end("done") }

func (s *source) MarkUnknown(context.Context) error { return s.end("unknown") }

func (s *source) MarkNotRun(context.Context) error { return s.end("not run") }

func (s *source) end(how string) error {
	s.ends = append(s.ends, how)
	return nil
}

var _ = Describe("Claims of bound requests", func() {
	post := func(region string, homeRegions []string, table, memory *source) *httptest.ResponseRecorder {
		doc := document()
		doc.Regions = append(doc.Regions, inventory.Region{Name: "nord"})
		doc.Rules.Routes[1].HomeRegions = homeRegions
		snap := inventory.NewSnapshot(1, doc)
		pools := balancer.NewPicker(1)
		pools.SetCandidates("s", []balancer.Candidate{
			{Pool: inventory.PoolID{Service: "s", FailureDomain: "a"}, VM: vm.Info{ID: "vm-a"}, Slots: 2},
		})
		p := &path{results: []func() (*call.Answer, error){answer("whole")}}
		g := gateway.New(gateway.Config{
			Self:     vm.Info{ID: "vm-1", Region: region, FailureDomain: "a", Incarnation: 1},
			Snapshot: func() *inventory.Snapshot { return snap }, Holder: p, Forwarder: p,
			Claims: table, RegionClaims: memory, Table: pools, Budget: retry.NewBudget(0.1), Remote: &remote{},
			Ready: func(time.Time) bool { return true }, Clock: quartz.NewReal(), Log: log.NewNopLogger(),
			Scope: tally.NoopScope, MaxCalls: 10, MaxBody: 100, MaxBufferedBytes: 1000,
		})
		r := httptest.NewRequest(http.MethodPost, "/order", strings.NewReader("x"))
		r.Header.Set(outcome.HeaderIdempotency, "k")
		w := httptest.NewRecorder()
		g.ServeHTTP(w, r)
		return w
	}

	// Guards against a record in the store of a region that is no home region,
	// and against duplicates that are claimed in different places.
	DescribeTable("go where all receivers of the request claim them",
		func(region string, homeRegions, table, memory []string, reason outcome.Reason) {
			t, m := &source{}, &source{}
			w := post(region, homeRegions, t, m)
			Expect(w.Header().Get(outcome.HeaderReason)).To(Equal(string(reason)))
			Expect([][]string{t.ends, m.ends}).To(Equal([][]string{table, memory}))
		},
		Entry("not bound: the table", "west", nil, []string{"done"}, nil, outcome.Reason("")),
		Entry("the store's region is a home region: the table", "west", []string{"ost", "west"}, []string{"done"}, nil, outcome.Reason("")),
		Entry("one other home region: its VMs", "west", []string{"west"}, nil, []string{"done"}, outcome.Reason("")),
		Entry("two other home regions: VMs of the first", "nord", []string{"west", "nord"}, nil, []string{"done"}, outcome.Reason("")),
		Entry("two other home regions: refused in the second", "west", []string{"west", "nord"}, nil, nil, outcome.ReasonNoClaimStore),
	)

	// Guards against a call that starts after a pause in which the claim may have
	// been granted to another request.
	It("are not started when the permission has run out", func() {
		m := &source{expired: true}
		w := post("west", []string{"west"}, &source{}, m)
		Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(w.Header().Get(outcome.HeaderOutcome)).To(Equal(outcome.NotRun.String()))
		Expect(m.ends).To(Equal([]string{"not run"}))
	})
})
