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

// fakeClaimer grants every key and records with which outcomes the claims are
// settled. expired makes CanStart of its permissions return false.
type fakeClaimer struct {
	expired     bool
	settlements []string
}

func (s *fakeClaimer) Claim(context.Context, claim.Key) (claim.Permission, error) { return s, nil }
func (s *fakeClaimer) CanStart(time.Time) bool                                    { return !s.expired }

func (s *fakeClaimer) MarkDone(context.Context, int) error { return s.settle("done") }

func (s *fakeClaimer) MarkUnknown(context.Context) error { return s.settle("unknown") }

func (s *fakeClaimer) MarkNotRun(context.Context) error { return s.settle("not run") }

func (s *fakeClaimer) settle(how string) error {
	s.settlements = append(s.settlements, how)
	return nil
}

var _ = Describe("Claims of bound requests", func() {
	post := func(region string, homeRegions []string, store, memory *fakeClaimer) *httptest.ResponseRecorder {
		doc := testDocument()
		doc.Regions = append(doc.Regions, inventory.Region{Name: "nord"})
		doc.Rules.Routes[1].HomeRegions = homeRegions
		snap := inventory.NewSnapshot(1, doc)
		picker := balancer.NewPicker(1)
		picker.SetCandidates("s", []balancer.Candidate{
			{Pool: inventory.PoolID{Service: "s", FailureDomain: "a"}, VM: vm.Info{ID: "vm-a"}, Slots: 2},
		})
		holders := &fakeHolders{results: []func() (*call.Answer, error){answerWith("whole")}}
		g := gateway.New(gateway.Config{
			Self:     vm.Info{ID: "vm-1", Region: region, FailureDomain: "a", Incarnation: 1},
			Snapshot: func() *inventory.Snapshot { return snap }, Holder: holders, Forwarder: holders,
			Claims: store, RegionClaims: memory, Table: picker, Budget: retry.NewBudget(0.1), Remote: &fakeRemote{},
			Ready: func(time.Time) bool { return true }, Clock: quartz.NewReal(), Log: log.NewNopLogger(),
			Scope: tally.NoopScope, MaxCalls: 10, MaxBody: 100, MaxBufferedBytes: 1000,
		})
		r := httptest.NewRequest(http.MethodPost, "/order", strings.NewReader("x"))
		r.Header.Set(outcome.HeaderIdempotency, "k")
		w := httptest.NewRecorder()
		g.ServeHTTP(w, r)
		return w
	}

	// Guards against a claim record in the store if the region of the store is
	// not a home region of the request, and against duplicates of a request that
	// are claimed in different places.
	DescribeTable("are made in the same place by all VMs that receive the request",
		func(region string, homeRegions, store, memory []string, reason outcome.Reason) {
			storeClaims, memoryClaims := &fakeClaimer{}, &fakeClaimer{}
			w := post(region, homeRegions, storeClaims, memoryClaims)
			Expect(w.Header().Get(outcome.HeaderReason)).To(Equal(string(reason)))
			Expect([][]string{storeClaims.settlements, memoryClaims.settlements}).To(Equal([][]string{store, memory}))
		},
		Entry("not bound: the store", "west", nil, []string{"done"}, nil, outcome.Reason("")),
		Entry("the store's region is a home region: the store", "west", []string{"ost", "west"}, []string{"done"}, nil, outcome.Reason("")),
		Entry("one other home region: its VMs", "west", []string{"west"}, nil, []string{"done"}, outcome.Reason("")),
		Entry("two other home regions: VMs of the first", "nord", []string{"west", "nord"}, nil, []string{"done"}, outcome.Reason("")),
		Entry("two other home regions: refused in the second", "west", []string{"west", "nord"}, nil, nil, outcome.ReasonNoClaimStore),
	)

	// Guards against a call that starts after this VM was paused. During the
	// pause, the claim may have been granted to another request.
	It("do not let a call start after the permission has expired", func() {
		memoryClaims := &fakeClaimer{expired: true}
		w := post("west", []string{"west"}, &fakeClaimer{}, memoryClaims)
		Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(w.Header().Get(outcome.HeaderOutcome)).To(Equal(outcome.NotRun.String()))
		Expect(memoryClaims.settlements).To(Equal([]string{"not run"}))
	})
})
