package claim_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"

	"github.com/coder/quartz"
	"github.com/go-kit/log"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"goldcresthinge.example/goldcresthinge/internal/claim"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/platform/httpplatform"
	"goldcresthinge.example/goldcresthinge/internal/platform/standin"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

type allAlive struct{}

func (allAlive) Alive(vm.ID, uint64) bool { return true }

// Guards against a claimer that misinterprets errors of the HTTP adapter: after
// a lost answer the result must be determined from the row, and during an
// outage the claim must be refused.
func TestClaimOverHTTP(t *testing.T) {
	g, ctx := NewWithT(t), context.Background()
	store := standin.NewServer(quartz.NewReal(), 1)
	h := httptest.NewServer(store)
	t.Cleanup(h.Close)
	newClaimer := func(id vm.ID) *claim.TableClaimer {
		c := httpplatform.New(httpplatform.Options{BaseURL: h.URL, VM: string(id)})
		self := func() vm.Info { return vm.Info{ID: id} }
		tc := claim.New(c, self, allAlive{}, quartz.NewReal(), log.NewNopLogger(), tally.NoopScope)
		t.Cleanup(func() { _ = tc.Close(ctx); c.Close() })
		return tc
	}
	a, b := newClaimer("a"), newClaimer("b")

	store.SetFaults(standin.Fault{Down: true})
	_, err := a.Claim(ctx, key)
	g.Expect(refusal(err).Kind).To(Equal(outcome.NotRun))

	store.SetFaults(standin.Fault{DropResponse: true, WritesOnly: true, Callers: []string{"a"}, Count: 1})
	c, err := a.Claim(ctx, key)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(store.Writes()).To(HaveLen(1))
	_, err = b.Claim(ctx, key)
	g.Expect(refusal(err).Reason).To(Equal(outcome.ReasonInProgress))

	store.SetFaults(standin.Fault{Reset: true, Callers: []string{"a"}, Count: 1})
	g.Expect(c.MarkDone(ctx, 201)).To(Succeed())
	_, err = b.Claim(ctx, key)
	var d *claim.DuplicateError
	g.Expect(errors.As(err, &d)).To(BeTrue())
	g.Expect(d.EarlierStatus).To(Equal(201))
}
