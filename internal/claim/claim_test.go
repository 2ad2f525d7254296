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

var _ = Describe("TableClaimer", func() {
	It("stores the VM and its incarnation, and no data of the request", inBubble(func(env *testEnv) {
		tc, _ := env.newClaimer("a")
		_, err := tc.Claim(env.ctx, key)
		env.Expect(err).NotTo(HaveOccurred())
		rows := env.store.Rows("")
		env.Expect(rows).To(HaveLen(1))
		env.Expect(rows[0].Key).To(Equal(key.RowKey()))
		env.Expect(string(rows[0].Value)).NotTo(Or(ContainSubstring(key.Key), ContainSubstring(key.Tenant)))
		r, err := claim.ParseRecord(rows[0].Value)
		env.Expect(err).NotTo(HaveOccurred())
		env.Expect([]any{r.VM, r.Incarnation, r.State}).To(Equal([]any{vm.ID("a"), uint64(7), claim.StateClaimed}))
	}))

	// Guards against running a request a second time, in each state of its
	// claim.
	It("answers duplicates by the state of the claim", inBubble(func(env *testEnv) {
		a, _ := env.newClaimer("a")
		b, _ := env.newClaimer("b")
		c, err := a.Claim(env.ctx, key)
		env.Expect(err).NotTo(HaveOccurred())
		for _, tc := range []*claim.TableClaimer{a, b} {
			_, err = tc.Claim(env.ctx, key)
			env.expectRefused(err, outcome.Unknown, outcome.ReasonInProgress, http.StatusConflict)
			env.Expect(refusal(err).RetryAfter).To(BeNumerically(">", 0))
		}
		env.dropLease("a")
		_, err = b.Claim(env.ctx, key)
		env.expectRefused(err, outcome.Unknown, outcome.ReasonClaimUncertain, http.StatusConflict)
		env.Expect(c.MarkDone(env.ctx, 201)).To(Succeed())
		env.Expect(c.MarkNotRun(env.ctx)).NotTo(Succeed(), "ended twice")
		for _, tc := range []*claim.TableClaimer{a, b} {
			_, err = tc.Claim(env.ctx, key)
			env.expectRefused(err, outcome.Answered, outcome.ReasonDuplicate, http.StatusConflict)
			var d *claim.DuplicateError
			env.Expect(errors.As(err, &d)).To(BeTrue())
			env.Expect(d.EarlierStatus).To(Equal(201))
		}
	}))

	It("answers duplicates of an unknown outcome as unknown", inBubble(func(env *testEnv) {
		a, _ := env.newClaimer("a")
		c, err := a.Claim(env.ctx, key)
		env.Expect(err).NotTo(HaveOccurred())
		env.Expect(c.MarkUnknown(env.ctx)).To(Succeed())
		_, err = a.Claim(env.ctx, key)
		env.expectRefused(err, outcome.Unknown, outcome.ReasonClaimUncertain, http.StatusConflict)
	}))

	// Guards against treating a row that can't be decoded as if the key were
	// not claimed.
	It("treats an unreadable row as a claim of unknown outcome", inBubble(func(env *testEnv) {
		_, err := env.store.Client("x").Commit(env.ctx, []platform.Op{{Key: key.RowKey(), Value: []byte("{")}})
		env.Expect(err).NotTo(HaveOccurred())
		a, _ := env.newClaimer("a")
		_, err = a.Claim(env.ctx, key)
		env.expectRefused(err, outcome.Unknown, outcome.ReasonClaimUncertain, http.StatusConflict)
	}))

	It("frees the key of a call that did not run", inBubble(func(env *testEnv) {
		a, _ := env.newClaimer("a")
		b, _ := env.newClaimer("b")
		c, err := a.Claim(env.ctx, key)
		env.Expect(err).NotTo(HaveOccurred())
		env.Expect(c.MarkNotRun(env.ctx)).To(Succeed())
		env.Expect(env.store.Rows("")).To(BeEmpty())
		_, err = b.Claim(env.ctx, key)
		env.Expect(err).NotTo(HaveOccurred())
	}))

	// Guards against refusing the first request, or writing a second row, when
	// the answer to the commit is lost, whether or not the commit took effect.
	DescribeTable("determines the result after a lost answer by reading the row back",
		func(f standin.Fault) {
			inBubble(func(env *testEnv) {
				a, _ := env.newClaimer("a")
				b, _ := env.newClaimer("b")
				f.Count, f.WritesOnly = 1, true
				env.store.SetFaults(f)
				c, err := a.Claim(env.ctx, key)
				env.Expect(err).NotTo(HaveOccurred())
				env.Expect(env.store.Writes()).To(HaveLen(1))
				_, err = b.Claim(env.ctx, key)
				env.expectRefused(err, outcome.Unknown, outcome.ReasonInProgress, http.StatusConflict)

				env.store.SetFaults(f)
				env.Expect(c.MarkDone(env.ctx, 200)).To(Succeed())
				env.Expect(env.store.Writes()).To(HaveLen(2))
			})()
		},
		Entry("after the write took effect", standin.Fault{DropResponse: true}),
		Entry("before the write took effect", standin.Fault{Reset: true}),
	)

	// Guards against a conflict that neither VM wins: the answer to a commit is
	// lost, and the row that is read back belongs to the other VM.
	It("treats another attempt's nonce in the row read back as a duplicate", inBubble(func(env *testEnv) {
		a, _ := env.newClaimer("a")
		b, table := env.newClaimer("b")
		env.store.SetFaults(standin.Fault{Reset: true, WritesOnly: true, Callers: []string{"b"}, Count: 1})
		table.afterCommit = func(error) {
			table.afterCommit = nil
			_, err := a.Claim(env.ctx, key)
			env.Expect(err).NotTo(HaveOccurred())
		}
		_, err := b.Claim(env.ctx, key)
		env.expectRefused(err, outcome.Unknown, outcome.ReasonInProgress, http.StatusConflict)
	}))

	It("refuses as not run while the store is down, and grants again when the store is up", inBubble(func(env *testEnv) {
		a, _ := env.newClaimer("a")
		env.store.SetFaults(standin.Fault{Down: true})
		_, err := a.Claim(env.ctx, key)
		env.expectRefused(err, outcome.NotRun, outcome.ReasonStoreDown, http.StatusServiceUnavailable)
		env.store.SetFaults()
		_, err = a.Claim(env.ctx, key)
		env.Expect(err).NotTo(HaveOccurred())
	}))

	// Guards against a key that stays claimed although its request was refused
	// as not run: the store goes down between the commit and the read back.
	It("frees a claim whose commit result could not be determined", inBubble(func(env *testEnv) {
		a, table := env.newClaimer("a")
		b, _ := env.newClaimer("b")
		env.store.SetFaults(standin.Fault{DropResponse: true})
		table.afterCommit = func(error) { env.store.SetFaults(standin.Fault{Down: true}) }
		_, err := a.Claim(env.ctx, key)
		env.expectRefused(err, outcome.NotRun, outcome.ReasonStoreDown, http.StatusServiceUnavailable)
		env.Expect(env.store.Rows("")).To(HaveLen(1))

		table.afterCommit = nil
		env.store.SetFaults()
		c, err := a.Claim(env.ctx, key)
		env.Expect(err).NotTo(HaveOccurred(), "the VM's own refused attempt blocks a retry")
		env.Expect(c.MarkNotRun(env.ctx)).To(Succeed())
		env.sleep(time.Minute)
		env.Expect(env.store.Rows("")).To(BeEmpty())
		_, err = b.Claim(env.ctx, key)
		env.Expect(err).NotTo(HaveOccurred())
	}))

	// Guards against a claim that waits without bound for a store that does not
	// answer, and against the row that appears when the store applies the write
	// later.
	It("times out when the store does not answer and removes the row that appears later", inBubble(func(env *testEnv) {
		a, _ := env.newClaimer("a")
		env.store.SetFaults(standin.Fault{Blocked: true})
		_, err := a.Claim(env.ctx, key)
		env.expectRefused(err, outcome.NotRun, outcome.ReasonStoreDown, http.StatusServiceUnavailable)
		env.store.SetFaults()
		env.sleep(time.Minute)
		env.Expect(env.store.Rows("")).To(BeEmpty())
	}))

	It("removes the row of a claim whose caller timed out", inBubble(func(env *testEnv) {
		a, _ := env.newClaimer("a")
		env.store.SetFaults(standin.Fault{DelayMs: 500})
		ctx, cancel := env.timeout(100 * time.Millisecond)
		defer cancel()
		_, err := a.Claim(ctx, key)
		env.expectRefused(err, outcome.NotRun, outcome.ReasonDeadline, http.StatusGatewayTimeout)
		env.sleep(time.Minute)
		env.Expect(env.store.Writes()).To(HaveLen(2))
		env.Expect(env.store.Rows("")).To(BeEmpty())
	}))

	// Guards against granting a permission after the deadline: the VM is paused
	// between the commit and its answer, and the context's timer does not run
	// during the pause.
	It("grants no permission after a pause beyond the deadline", inBubble(func(env *testEnv) {
		a, table := env.newClaimer("a")
		ctx := clockContext{env.ctx, env.clock.Now().Add(time.Second)} // never canceled
		table.afterCommit = func(error) { table.afterCommit = nil; env.sleep(2 * time.Second) }
		_, err := a.Claim(ctx, key)
		env.expectRefused(err, outcome.NotRun, outcome.ReasonDeadline, http.StatusGatewayTimeout)
		env.sleep(time.Minute)
		env.Expect(env.store.Rows("")).To(BeEmpty())
	}))

	// Guards against a row that stays in the table because the first of two
	// attempts of an insert takes effect after the release.
	It("removes the row of an insert that takes effect after the release", inBubble(func(env *testEnv) {
		a, _ := env.newClaimer("a")
		b, _ := env.newClaimer("b")
		env.store.SetFaults(standin.Fault{DelayMs: 8000, WritesOnly: true, Count: 1})
		c, err := a.Claim(env.ctx, key)
		env.Expect(err).NotTo(HaveOccurred())
		env.Expect(c.MarkNotRun(env.ctx)).To(Succeed())
		env.Expect(env.store.Rows("")).To(BeEmpty())
		env.sleep(8 * time.Second)
		env.Expect(env.store.Rows("")).To(HaveLen(1), "the late insert has not taken effect")
		env.sleep(time.Minute)
		_, err = b.Claim(env.ctx, key)
		env.Expect(err).NotTo(HaveOccurred())
	}))

	// Guards against granting a permission to a caller that disconnected during
	// the commit.
	It("grants no permission to a caller that has disconnected", inBubble(func(env *testEnv) {
		a, table := env.newClaimer("a")
		ctx, cancel := context.WithCancel(env.ctx)
		table.afterCommit = func(error) { table.afterCommit = nil; cancel() }
		_, err := a.Claim(ctx, key)
		env.expectRefused(err, outcome.NotRun, outcome.ReasonCanceled, http.StatusServiceUnavailable)
		env.sleep(time.Minute)
		env.Expect(env.store.Rows("")).To(BeEmpty())
	}))

	// Guards against a key that stays claimed because its deletion fails during
	// an outage.
	DescribeTable("repeats a lost release",
		func(f standin.Fault) {
			inBubble(func(env *testEnv) {
				a, _ := env.newClaimer("a")
				b, _ := env.newClaimer("b")
				c, err := a.Claim(env.ctx, key)
				env.Expect(err).NotTo(HaveOccurred())
				env.store.SetFaults(f)
				ctx, cancel := env.timeout(time.Second)
				defer cancel()
				_ = c.MarkNotRun(ctx)
				env.sleep(time.Minute)
				env.store.SetFaults()
				env.sleep(time.Minute)
				env.Expect(env.store.Rows("")).To(BeEmpty())
				_, err = b.Claim(env.ctx, key)
				env.Expect(err).NotTo(HaveOccurred())
			})()
		},
		Entry("store down", standin.Fault{Down: true}),
		Entry("answers lost", standin.Fault{DropResponse: true}),
		Entry("store not answering", standin.Fault{Blocked: true}),
	)

	// Guards against a caller that gets the answer "not run" and then finds its
	// key claimed, because the deletion of the row is still being retried.
	It("lets the same VM claim again before the release is stored", inBubble(func(env *testEnv) {
		a, _ := env.newClaimer("a")
		c, err := a.Claim(env.ctx, key)
		env.Expect(err).NotTo(HaveOccurred())
		env.store.SetFaults(standin.Fault{Down: true, WritesOnly: true, Count: 1})
		ctx, cancel := env.timeout(10 * time.Millisecond)
		defer cancel()
		env.Expect(c.MarkNotRun(ctx)).NotTo(Succeed())
		_, err = a.Claim(env.ctx, key)
		env.Expect(err).NotTo(HaveOccurred())
		env.sleep(time.Minute)
		env.Expect(env.store.Rows("")).To(HaveLen(1), "the release deleted the new claim")
	}))

	// Guards against a release that deletes the claim of a later request.
	It("does not delete a row that another VM has claimed since", inBubble(func(env *testEnv) {
		a, _ := env.newClaimer("a")
		b, _ := env.newClaimer("b")
		c, err := a.Claim(env.ctx, key)
		env.Expect(err).NotTo(HaveOccurred())
		env.store.SetFaults(standin.Fault{DropResponse: true, Callers: []string{"a"}})
		ctx, cancel := env.timeout(200 * time.Millisecond)
		defer cancel()
		_ = c.MarkNotRun(ctx)
		_, err = b.Claim(env.ctx, key)
		env.Expect(err).NotTo(HaveOccurred())
		env.store.SetFaults()
		env.sleep(time.Minute)
		env.Expect(env.store.Rows("")).To(HaveLen(1))
	}))
})
