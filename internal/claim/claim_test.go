package claim_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/internal/claim"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/platform"
	"goldcresthinge.example/goldcresthinge/internal/platform/standin"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

func TestClaim(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "claim")
}

var key = claim.Key{Tenant: "authority", Route: "/orders", Key: "k-1"}

var _ = Describe("Ledger", func() {
	It("stores the VM and its incarnation, and nothing of the request", bubble(func(w *world) {
		l, _ := w.ledger("a")
		_, err := l.Claim(w.ctx, key)
		w.Expect(err).NotTo(HaveOccurred())
		rows := w.store.Rows("")
		w.Expect(rows).To(HaveLen(1))
		w.Expect(rows[0].Key).To(Equal(key.RowKey()))
		w.Expect(string(rows[0].Value)).NotTo(Or(ContainSubstring(key.Key), ContainSubstring(key.Tenant)))
		r, err := claim.ParseRecord(rows[0].Value)
		w.Expect(err).NotTo(HaveOccurred())
		w.Expect([]any{r.VM, r.Incarnation, r.State}).To(Equal([]any{vm.ID("a"), uint64(7), claim.StateClaimed}))
	}))

	// Guards against a second run of a request, in each state of its claim.
	It("answers duplicates by the state of the claim", bubble(func(w *world) {
		a, _ := w.ledger("a")
		b, _ := w.ledger("b")
		c, err := a.Claim(w.ctx, key)
		w.Expect(err).NotTo(HaveOccurred())
		for _, l := range []*claim.TableClaimer{a, b} {
			_, err = l.Claim(w.ctx, key)
			w.expectRefused(err, outcome.Unknown, outcome.ReasonInProgress, http.StatusConflict)
			w.Expect(refusal(err).RetryAfter).To(BeNumerically(">", 0))
		}
		w.kill("a")
		_, err = b.Claim(w.ctx, key)
		w.expectRefused(err, outcome.Unknown, outcome.ReasonClaimUncertain, http.StatusConflict)
		w.Expect(c.MarkDone(w.ctx, 201)).To(Succeed())
		w.Expect(c.MarkNotRun(w.ctx)).NotTo(Succeed(), "ended twice")
		for _, l := range []*claim.TableClaimer{a, b} {
			_, err = l.Claim(w.ctx, key)
			w.expectRefused(err, outcome.Answered, outcome.ReasonDuplicate, http.StatusConflict)
			var d *claim.DuplicateError
			w.Expect(errors.As(err, &d)).To(BeTrue())
			w.Expect(d.EarlierStatus).To(Equal(201))
		}
	}))

	It("answers duplicates of an unknown outcome as unknown", bubble(func(w *world) {
		a, _ := w.ledger("a")
		c, err := a.Claim(w.ctx, key)
		w.Expect(err).NotTo(HaveOccurred())
		w.Expect(c.MarkUnknown(w.ctx)).To(Succeed())
		_, err = a.Claim(w.ctx, key)
		w.expectRefused(err, outcome.Unknown, outcome.ReasonClaimUncertain, http.StatusConflict)
	}))

	// Guards against a row that can't be read being taken for no claim.
	It("treats an unreadable row as a claim of unknown outcome", bubble(func(w *world) {
		_, err := w.store.Client("x").Commit(w.ctx, []platform.Op{{Key: key.RowKey(), Value: []byte("{")}})
		w.Expect(err).NotTo(HaveOccurred())
		a, _ := w.ledger("a")
		_, err = a.Claim(w.ctx, key)
		w.expectRefused(err, outcome.Unknown, outcome.ReasonClaimUncertain, http.StatusConflict)
	}))

	It("frees the key of a call that did not run", bubble(func(w *world) {
		a, _ := w.ledger("a")
		b, _ := w.ledger("b")
		c, err := a.Claim(w.ctx, key)
		w.Expect(err).NotTo(HaveOccurred())
		w.Expect(c.MarkNotRun(w.ctx)).To(Succeed())
		w.Expect(w.store.Rows("")).To(BeEmpty())
		_, err = b.Claim(w.ctx, key)
		w.Expect(err).NotTo(HaveOccurred())
	}))

	// Guards against a refused first request, or a second row, when the answer
	// to the commit is lost, with or without effect.
	DescribeTable("settles a lost answer by reading the row back",
		func(f standin.Fault) {
			bubble(func(w *world) {
				a, _ := w.ledger("a")
				b, _ := w.ledger("b")
				f.Count, f.WritesOnly = 1, true
				w.store.SetFaults(f)
				c, err := a.Claim(w.ctx, key)
				w.Expect(err).NotTo(HaveOccurred())
				w.Expect(w.store.Writes()).To(HaveLen(1))
				_, err = b.Claim(w.ctx, key)
				w.expectRefused(err, outcome.Unknown, outcome.ReasonInProgress, http.StatusConflict)

				w.store.SetFaults(f)
				w.Expect(c.MarkDone(w.ctx, 200)).To(Succeed())
				w.Expect(w.store.Writes()).To(HaveLen(2))
			})()
		},
		Entry("after the write took effect", standin.Fault{DropResponse: true}),
		Entry("before the write took effect", standin.Fault{Reset: true}),
	)

	// Guards against losing the race with both VMs: the answer is lost, and the
	// row read back belongs to the other VM.
	It("takes a foreign nonce in the row read back as a duplicate", bubble(func(w *world) {
		a, _ := w.ledger("a")
		b, h := w.ledger("b")
		w.store.SetFaults(standin.Fault{Reset: true, WritesOnly: true, Callers: []string{"b"}, Count: 1})
		h.after = func(error) {
			h.after = nil
			_, err := a.Claim(w.ctx, key)
			w.Expect(err).NotTo(HaveOccurred())
		}
		_, err := b.Claim(w.ctx, key)
		w.expectRefused(err, outcome.Unknown, outcome.ReasonInProgress, http.StatusConflict)
	}))

	It("refuses as not run while the store is down, and works when it is back", bubble(func(w *world) {
		a, _ := w.ledger("a")
		w.store.SetFaults(standin.Fault{Down: true})
		_, err := a.Claim(w.ctx, key)
		w.expectRefused(err, outcome.NotRun, outcome.ReasonStoreDown, http.StatusServiceUnavailable)
		w.store.SetFaults()
		_, err = a.Claim(w.ctx, key)
		w.Expect(err).NotTo(HaveOccurred())
	}))

	// Guards against a key that stays claimed after its request was refused as
	// not run because the store went down between commit and read back.
	It("frees a claim that could not be settled", bubble(func(w *world) {
		a, h := w.ledger("a")
		b, _ := w.ledger("b")
		w.store.SetFaults(standin.Fault{DropResponse: true})
		h.after = func(error) { w.store.SetFaults(standin.Fault{Down: true}) }
		_, err := a.Claim(w.ctx, key)
		w.expectRefused(err, outcome.NotRun, outcome.ReasonStoreDown, http.StatusServiceUnavailable)
		w.Expect(w.store.Rows("")).To(HaveLen(1))

		h.after = nil
		w.store.SetFaults()
		c, err := a.Claim(w.ctx, key)
		w.Expect(err).NotTo(HaveOccurred(), "the own refused attempt blocks a retry")
		w.Expect(c.MarkNotRun(w.ctx)).To(Succeed())
		w.sleep(time.Minute)
		w.Expect(w.store.Rows("")).To(BeEmpty())
		_, err = b.Claim(w.ctx, key)
		w.Expect(err).NotTo(HaveOccurred())
	}))

	// Guards against a claim that waits without bound for a frozen store, and
	// against the row that appears when the store applies the write later.
	It("gives up on a frozen store and removes the row that appears later", bubble(func(w *world) {
		a, _ := w.ledger("a")
		w.store.SetFaults(standin.Fault{Blocked: true})
		_, err := a.Claim(w.ctx, key)
		w.expectRefused(err, outcome.NotRun, outcome.ReasonStoreDown, http.StatusServiceUnavailable)
		w.store.SetFaults()
		w.sleep(time.Minute)
		w.Expect(w.store.Rows("")).To(BeEmpty())
	}))

	It("removes the row of a claim whose caller gave up", bubble(func(w *world) {
		a, _ := w.ledger("a")
		w.store.SetFaults(standin.Fault{DelayMs: 500})
		ctx, cancel := w.timeout(100 * time.Millisecond)
		defer cancel()
		_, err := a.Claim(ctx, key)
		w.expectRefused(err, outcome.NotRun, outcome.ReasonDeadline, http.StatusGatewayTimeout)
		w.sleep(time.Minute)
		w.Expect(w.store.Writes()).To(HaveLen(2))
		w.Expect(w.store.Rows("")).To(BeEmpty())
	}))

	// Guards against a permission given after the deadline: the VM is paused
	// between the commit and its answer, and the context's timer stands still.
	It("gives no permission after a pause beyond the deadline", bubble(func(w *world) {
		a, h := w.ledger("a")
		ctx := clockContext{w.ctx, w.clock.Now().Add(time.Second)} // never canceled
		h.after = func(error) { h.after = nil; w.sleep(2 * time.Second) }
		_, err := a.Claim(ctx, key)
		w.expectRefused(err, outcome.NotRun, outcome.ReasonDeadline, http.StatusGatewayTimeout)
		w.sleep(time.Minute)
		w.Expect(w.store.Rows("")).To(BeEmpty())
	}))

	// Guards against a row that stays because the first of two attempts of an
	// insert takes effect after the release.
	It("removes the row of an insert that takes effect after the release", bubble(func(w *world) {
		a, _ := w.ledger("a")
		b, _ := w.ledger("b")
		w.store.SetFaults(standin.Fault{DelayMs: 8000, WritesOnly: true, Count: 1})
		c, err := a.Claim(w.ctx, key)
		w.Expect(err).NotTo(HaveOccurred())
		w.Expect(c.MarkNotRun(w.ctx)).To(Succeed())
		w.Expect(w.store.Rows("")).To(BeEmpty())
		w.sleep(8 * time.Second)
		w.Expect(w.store.Rows("")).To(HaveLen(1), "the late insert is not under test")
		w.sleep(time.Minute)
		_, err = b.Claim(w.ctx, key)
		w.Expect(err).NotTo(HaveOccurred())
	}))

	// Guards against a permission for a caller that has gone during the commit.
	It("gives no permission to a caller that has gone", bubble(func(w *world) {
		a, h := w.ledger("a")
		ctx, cancel := context.WithCancel(w.ctx)
		h.after = func(error) { h.after = nil; cancel() }
		_, err := a.Claim(ctx, key)
		w.expectRefused(err, outcome.NotRun, outcome.ReasonCanceled, http.StatusServiceUnavailable)
		w.sleep(time.Minute)
		w.Expect(w.store.Rows("")).To(BeEmpty())
	}))

	// Guards against a key that stays claimed when its deletion meets an outage.
	DescribeTable("repeats a lost release",
		func(f standin.Fault) {
			bubble(func(w *world) {
				a, _ := w.ledger("a")
				b, _ := w.ledger("b")
				c, err := a.Claim(w.ctx, key)
				w.Expect(err).NotTo(HaveOccurred())
				w.store.SetFaults(f)
				ctx, cancel := w.timeout(time.Second)
				defer cancel()
				_ = c.MarkNotRun(ctx)
				w.sleep(time.Minute)
				w.store.SetFaults()
				w.sleep(time.Minute)
				w.Expect(w.store.Rows("")).To(BeEmpty())
				_, err = b.Claim(w.ctx, key)
				w.Expect(err).NotTo(HaveOccurred())
			})()
		},
		Entry("store down", standin.Fault{Down: true}),
		Entry("answers lost", standin.Fault{DropResponse: true}),
		Entry("frozen", standin.Fault{Blocked: true}),
	)

	// Guards against a caller that was told "not run" and finds its key claimed,
	// because the deletion is still to be repeated.
	It("lets the same VM claim again before the release is stored", bubble(func(w *world) {
		a, _ := w.ledger("a")
		c, err := a.Claim(w.ctx, key)
		w.Expect(err).NotTo(HaveOccurred())
		w.store.SetFaults(standin.Fault{Down: true, WritesOnly: true, Count: 1})
		ctx, cancel := w.timeout(10 * time.Millisecond)
		defer cancel()
		w.Expect(c.MarkNotRun(ctx)).NotTo(Succeed())
		_, err = a.Claim(w.ctx, key)
		w.Expect(err).NotTo(HaveOccurred())
		w.sleep(time.Minute)
		w.Expect(w.store.Rows("")).To(HaveLen(1), "the release deleted the new claim")
	}))

	// Guards against a release that deletes the claim of a later request.
	It("does not delete a row that another VM has claimed since", bubble(func(w *world) {
		a, _ := w.ledger("a")
		b, _ := w.ledger("b")
		c, err := a.Claim(w.ctx, key)
		w.Expect(err).NotTo(HaveOccurred())
		w.store.SetFaults(standin.Fault{DropResponse: true, Callers: []string{"a"}})
		ctx, cancel := w.timeout(200 * time.Millisecond)
		defer cancel()
		_ = c.MarkNotRun(ctx)
		_, err = b.Claim(w.ctx, key)
		w.Expect(err).NotTo(HaveOccurred())
		w.store.SetFaults()
		w.sleep(time.Minute)
		w.Expect(w.store.Rows("")).To(HaveLen(1))
	}))
})
