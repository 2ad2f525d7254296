package regionclaim

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/claim"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

func TestRegionClaim(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "regionclaim")
}

var (
	ctx = context.Background()
	key = claim.Key{Tenant: "authority", Route: "/orders", Key: "k-1"}
)

func keyOf(i int) claim.Key { return claim.Key{Key: fmt.Sprint(i)} }

var _ = Describe("Client", func() {
	var (
		c    *testCluster
		a, b *Client
		// lostMessages returns which parts of the n-th exchange between VMs are
		// lost.
		lostMessages func(n int) (request, answer bool)
		sent         int
	)

	newClient := func(n *testVM) *Client {
		client := NewClient(Config{
			Self:        func() vm.Info { return vm.Info{ID: n.id, Incarnation: 1} },
			PartitionOf: func([32]byte) (inventory.PoolID, bool) { return pool, true },
			HolderOf:    func(inventory.PoolID) (vm.Info, bool) { return vm.Info{ID: c.ownerVM.id}, true },
			Exchange: func(ctx context.Context, to vm.Info, req *siblingpb.Request) (*siblingpb.Response, error) {
				sent++
				request, response := lostMessages(sent)
				if request {
					return nil, errLost
				}
				resp, err := c.roundTrip(ctx, to, req)
				if response {
					return nil, errLost
				}
				return resp, err
			},
			Owner: n.owner, Clock: c.clock, Logger: log.NewNopLogger(), Scope: tally.NoopScope,
		})
		return client
	}
	// runWithClock runs fn and moves the clock to the next timer whenever fn is
	// blocked.
	runWithClock := func(fn func()) {
		done := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(done)
			fn()
		}()
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
				if _, waits := c.clock.Peek(); waits {
					_, advanced := c.clock.AdvanceNext()
					advanced.MustWait(ctx)
				}
			}
		}
	}
	expectGranted := func(client *Client, k claim.Key) claim.Permission {
		GinkgoHelper()
		c.renew()
		p, err := client.Claim(ctx, k)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.CanStart(c.now())).To(BeTrue())
		return p
	}
	expectRefused := func(client *Client, k claim.Key, kind outcome.Kind, reason outcome.Reason) *outcome.Error {
		GinkgoHelper()
		c.renew()
		_, err := client.Claim(ctx, k)
		var e *outcome.Error
		Expect(errors.As(err, &e)).To(BeTrue(), "%v", err)
		Expect([]any{e.Kind, e.Reason}).To(Equal([]any{kind, reason}))
		return e
	}

	BeforeEach(func() {
		c = newCluster(GinkgoTB(), 3, 3)
		sent, lostMessages = 0, func(int) (bool, bool) { return false, false }
		a, b = newClient(c.vms[0]), newClient(c.vms[1])
	})

	// Guards against running a request a second time after it reached another
	// receiver.
	It("grants a key to one of two receivers", func() {
		p := expectGranted(b, key)
		expectRefused(a, key, outcome.Unknown, outcome.ReasonInProgress)
		Expect(p.MarkDone(ctx, 201)).To(Succeed())
		for _, client := range []*Client{a, b} {
			Expect(expectRefused(client, key, outcome.Answered, outcome.ReasonDuplicate).Status).To(Equal(http.StatusConflict))
			_, err := client.Claim(ctx, key)
			var d *claim.DuplicateError
			Expect(errors.As(err, &d)).To(BeTrue())
			Expect(d.EarlierStatus).To(Equal(201))
		}
		Expect(p.MarkNotRun(ctx)).NotTo(Succeed(), "ended twice")
		q := expectGranted(a, keyOf(2))
		a.Close(ctx)
		Expect(q.MarkDone(ctx, 200)).NotTo(Succeed(), "closed")
	})

	It("grants a key again after a call that was not run, and not after an unknown one", func() {
		Expect(expectGranted(b, key).MarkNotRun(ctx)).To(Succeed())
		Expect(expectGranted(a, key).MarkUnknown(ctx)).To(Succeed())
		expectRefused(b, key, outcome.Unknown, outcome.ReasonClaimUncertain)
	})

	// Guards against running a request a second time after its owner was lost
	// together with its records.
	It("refuses all keys for 10 minutes after an owner was lost", func() {
		expectGranted(b, key)
		c.takeover(c.vms[1])
		start := c.now()
		e := expectRefused(b, key, outcome.Unknown, outcome.ReasonClaimUncertain)
		Expect(e.Status).To(Equal(http.StatusConflict))
		Expect(e.RetryAfter).To(BeNumerically("~", 10*time.Minute, 2*time.Millisecond))
		expectRefused(b, keyOf(2), outcome.Unknown, outcome.ReasonClaimUncertain)
		c.advance(9 * time.Minute)
		c.renew()
		c.handover(c.vms[2], false) // the remaining time is handed over to the next owner
		c.advance(59 * time.Second)
		Expect(expectRefused(b, key, outcome.Unknown, outcome.ReasonClaimUncertain).RetryAfter).To(BeNumerically("<=", 1100*time.Millisecond))
		c.advance(start.Add(10*time.Minute + 2*time.Millisecond).Sub(c.now()))
		expectGranted(b, key)
	})

	// Guards against a lost handover message that is treated like a complete
	// one.
	It("refuses all keys when the handover message was lost", func() {
		c.handover(c.vms[1], true)
		expectRefused(a, key, outcome.Unknown, outcome.ReasonClaimUncertain)
	})

	// Guards against two owners that both grant a key, and against a permission
	// that is used long after the owner has changed.
	It("grants nothing at a former owner that resumes after a pause", func() {
		old := c.ownerVM
		first := newAttempt(pool, vm.Info{ID: "r"}, key.Digest())
		sentAt := c.now()
		lateAnswer := old.owner.Handle(first.request)
		Expect(lateAnswer.Result).To(Equal(resultOK))
		old.paused = true
		c.takeover(c.vms[1])
		old.paused = false // it has not read the assignment row yet
		second := newAttempt(pool, vm.Info{ID: "r"}, key.Digest())
		Expect(old.owner.Handle(second.request).Result).To(Equal(resultNotOwner))
		Expect(old.owner.Handle(first.reportMessage(stateDone, 200)).Result).To(Equal(resultNotOwner))
		_, err := first.applyAnswer(sentAt, lateAnswer)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.canStart(c.now())).To(BeFalse())
		Expect(first.canStart(sentAt.Add(grantValidity - 1))).To(BeTrue())
	})

	// Guards against a second run of a request, and against a lost report, when
	// the owner changes while a call is in progress.
	It("keeps a claim through a planned handover", func() {
		p := expectGranted(b, key)
		c.handover(c.vms[2], false)
		expectRefused(a, key, outcome.Unknown, outcome.ReasonInProgress)
		expectGranted(a, keyOf(2))
		Expect(p.MarkDone(ctx, 200)).To(Succeed())
		expectRefused(a, key, outcome.Answered, outcome.ReasonDuplicate)
	})

	It("asks again with the same nonce when an answer is lost", func() {
		lostMessages = func(n int) (bool, bool) { return n == 2, n == 1 }
		runWithClock(func() { expectGranted(b, key) })
		Expect(sent).To(Equal(3))
		Expect(c.ownerVM.owner.Records()).To(Equal(1))
		expectRefused(a, key, outcome.Unknown, outcome.ReasonInProgress)
	})

	// Guards against a key that stays claimed by an attempt that was abandoned.
	It("releases the key of an attempt whose answers were all lost", func() {
		lostMessages = func(n int) (bool, bool) { return false, n < 85 }
		runWithClock(func() {
			c.ownerVM.validUntil = c.now().Add(time.Hour)
			_, err := b.Claim(ctx, key)
			Expect(outcome.FromError(err).Kind).To(Equal(outcome.NotRun))
			b.Close(ctx)
		})
		expectGranted(a, key)
	})

	It("repeats a report that was lost", func() {
		p := expectGranted(b, key)
		lostMessages = func(n int) (bool, bool) { return n <= 3, n == 4 }
		runWithClock(func() {
			c.ownerVM.validUntil = c.now().Add(time.Hour)
			Expect(p.MarkDone(ctx, 204)).To(Succeed())
		})
		Expect(sent).To(Equal(5))
		expectRefused(a, key, outcome.Answered, outcome.ReasonDuplicate)
	})

	It("leaves the claim as it is when no report arrives", func() {
		p := expectGranted(b, key)
		at := c.now()
		lostMessages = func(int) (bool, bool) { return true, true }
		runWithClock(func() { Expect(p.MarkNotRun(ctx)).NotTo(Succeed()) })
		Expect(c.now().Sub(at)).To(BeNumerically(">=", reportTimeout))
		c.advance(at.Add(unreportedRetention - 1).Sub(c.now()))
		expectRefused(a, key, outcome.Unknown, outcome.ReasonInProgress)
		c.advance(1)
		expectGranted(a, key)
	})

	// Guards against unlimited memory use, and against a full partition that
	// drops the record of a key instead of refusing a new one.
	It("refuses a key as not run when the partition is full", func() {
		for i := range 3 {
			Expect(expectGranted(a, keyOf(i)).MarkDone(ctx, 200)).To(Succeed())
		}
		e := expectRefused(b, key, outcome.NotRun, outcome.ReasonQueueFull)
		Expect(e.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(e.RetryAfter).To(BeNumerically(">", 0))
		expectRefused(b, keyOf(0), outcome.Answered, outcome.ReasonDuplicate)
		c.advance(Retention)
		expectGranted(b, key)
	})

	It("keeps a record for 10 minutes after the end of its call", func() {
		p := expectGranted(a, key)
		c.advance(4 * time.Minute)
		c.renew()
		Expect(p.MarkDone(ctx, 200)).To(Succeed())
		c.advance(Retention - 1)
		expectRefused(b, key, outcome.Answered, outcome.ReasonDuplicate)
		c.advance(1)
		expectGranted(b, key)
	})

	// Guards against a handover message that is too large to be sent: the limit
	// is 4 MiB.
	It("fits the records of a full partition into one message", func() {
		p := newPartition(pool, 1, maxRecords, &siblingpb.ClaimState{}, c.now())
		long := vm.ID(fmt.Sprintf("%064d", 1))
		for i := range maxRecords {
			p.records[keyOf(i).Digest()] = &record{vm: long, incarnation: 1 << 63, state: stateDone, status: 599, changedAt: c.now()}
		}
		c.advance(Retention - 1)
		state := &siblingpb.Handover{Claims: p.export(c.now())}
		Expect(state.Claims.Records).To(HaveLen(maxRecords))
		Expect(proto.Size(state)).To(BeNumerically("<", 4<<20))
		GinkgoWriter.Println("bytes:", proto.Size(state))
	})
})

// BenchmarkExport measures the time to build the handover state of a full
// partition, which happens under the lock of the lease manager.
func BenchmarkExport(b *testing.B) {
	c := newCluster(b, 1, maxRecords)
	p := newPartition(pool, 1, maxRecords, &siblingpb.ClaimState{}, c.now())
	for i := range maxRecords {
		p.records[keyOf(i).Digest()] = &record{vm: "vm-1", state: stateDone, status: 200, changedAt: c.now()}
	}
	for b.Loop() {
		p.export(c.now())
	}
}

// BenchmarkClaim measures a claim and its report at one partition within one
// process.
func BenchmarkClaim(b *testing.B) {
	c := newCluster(b, 1, maxRecords)
	c.ownerVM.validUntil = c.now().Add(time.Hour)
	for i := range b.N {
		x := newAttempt(pool, vm.Info{ID: "r"}, keyOf(i).Digest())
		if c.ownerVM.owner.Handle(x.request).Result != resultOK {
			b.Fatal("not granted")
		}
		c.ownerVM.owner.Handle(x.reportMessage(stateDone, 200))
		if i%10000 == 9999 {
			b.StopTimer()
			c.advance(Retention)
			c.ownerVM.validUntil = c.now().Add(time.Hour)
			b.StartTimer()
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
}
