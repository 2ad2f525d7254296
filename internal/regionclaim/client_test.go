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

var _ = Describe("Ledger", func() {
	var (
		c    *cluster
		a, b *Client
		// lose says for the n-th message between VMs what gets lost.
		lose func(n int) (request, answer bool)
		sent int
	)

	receiver := func(n *node) *Client {
		l := NewClient(Config{
			Self:        func() vm.Info { return vm.Info{ID: n.id, Incarnation: 1} },
			PartitionOf: func([32]byte) (inventory.PoolID, bool) { return pool, true },
			HolderOf:    func(inventory.PoolID) (vm.Info, bool) { return vm.Info{ID: c.holder.id}, true },
			Exchange: func(ctx context.Context, to vm.Info, req *siblingpb.Request) (*siblingpb.Response, error) {
				sent++
				request, answer := lose(sent)
				if request {
					return nil, errLost
				}
				resp, err := c.send(ctx, to, req)
				if answer {
					return nil, errLost
				}
				return resp, err
			},
			Owner: n.owner, Clock: c.clock, Logger: log.NewNopLogger(), Scope: tally.NoopScope,
		})
		return l
	}
	// drive runs fn and moves the clock to the next timer whenever fn waits.
	drive := func(fn func()) {
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
	granted := func(l *Client, k claim.Key) claim.Permission {
		GinkgoHelper()
		c.renew()
		p, err := l.Claim(ctx, k)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.CanStart(c.now())).To(BeTrue())
		return p
	}
	refused := func(l *Client, k claim.Key, kind outcome.Kind, reason outcome.Reason) *outcome.Error {
		GinkgoHelper()
		c.renew()
		_, err := l.Claim(ctx, k)
		var e *outcome.Error
		Expect(errors.As(err, &e)).To(BeTrue(), "%v", err)
		Expect([]any{e.Kind, e.Reason}).To(Equal([]any{kind, reason}))
		return e
	}

	BeforeEach(func() {
		c = newCluster(GinkgoTB(), 3, 3)
		sent, lose = 0, func(int) (bool, bool) { return false, false }
		a, b = receiver(c.nodes[0]), receiver(c.nodes[1])
	})

	// Guards against a second run by way of another receiver.
	It("grants a key to one of two receivers", func() {
		p := granted(b, key)
		refused(a, key, outcome.Unknown, outcome.ReasonInProgress)
		Expect(p.MarkDone(ctx, 201)).To(Succeed())
		for _, l := range []*Client{a, b} {
			Expect(refused(l, key, outcome.Answered, outcome.ReasonDuplicate).Status).To(Equal(http.StatusConflict))
			_, err := l.Claim(ctx, key)
			var d *claim.DuplicateError
			Expect(errors.As(err, &d)).To(BeTrue())
			Expect(d.EarlierStatus).To(Equal(201))
		}
		Expect(p.MarkNotRun(ctx)).NotTo(Succeed(), "ended twice")
		q := granted(a, keyOf(2))
		a.Close(ctx)
		Expect(q.MarkDone(ctx, 200)).NotTo(Succeed(), "closed")
	})

	It("grants a key again after a call that was not run, and not after an unknown one", func() {
		Expect(granted(b, key).MarkNotRun(ctx)).To(Succeed())
		Expect(granted(a, key).MarkUnknown(ctx)).To(Succeed())
		refused(b, key, outcome.Unknown, outcome.ReasonClaimUncertain)
	})

	// Guards against a second run after the loss of the owner with its records.
	It("refuses all keys for 10 minutes after an owner was lost", func() {
		granted(b, key)
		c.takeover(c.nodes[1])
		start := c.now()
		e := refused(b, key, outcome.Unknown, outcome.ReasonClaimUncertain)
		Expect(e.Status).To(Equal(http.StatusConflict))
		Expect(e.RetryAfter).To(BeNumerically("~", 10*time.Minute, 2*time.Millisecond))
		refused(b, keyOf(2), outcome.Unknown, outcome.ReasonClaimUncertain)
		c.advance(9 * time.Minute)
		c.renew()
		c.handover(c.nodes[2], false) // the time goes on at the next owner
		c.advance(59 * time.Second)
		Expect(refused(b, key, outcome.Unknown, outcome.ReasonClaimUncertain).RetryAfter).To(BeNumerically("<=", 1100*time.Millisecond))
		c.advance(start.Add(10*time.Minute + 2*time.Millisecond).Sub(c.now()))
		granted(b, key)
	})

	// Guards against a lost handover message that passes for a complete one.
	It("refuses all keys when the handover message was lost", func() {
		c.handover(c.nodes[1], true)
		refused(a, key, outcome.Unknown, outcome.ReasonClaimUncertain)
	})

	// Guards against two owners that both grant, and against a permission that
	// is used long after the owner has changed.
	It("grants nothing as an owner that was paused", func() {
		old := c.holder
		x := newAttempt(pool, vm.Info{ID: "r"}, key.Digest())
		asked := c.now()
		late := old.owner.Handle(x.request)
		Expect(late.Result).To(Equal(ok))
		old.paused = true
		c.takeover(c.nodes[1])
		old.paused = false // it has not read the row yet
		y := newAttempt(pool, vm.Info{ID: "r"}, key.Digest())
		Expect(old.owner.Handle(y.request).Result).To(Equal(notOwner))
		Expect(old.owner.Handle(x.report(stateDone, 200)).Result).To(Equal(notOwner))
		_, err := x.answered(asked, late)
		Expect(err).NotTo(HaveOccurred())
		Expect(x.startable(c.now())).To(BeFalse())
		Expect(x.startable(asked.Add(goodFor - 1))).To(BeTrue())
	})

	// Guards against a second run, and a lost report, when the owner changes
	// while a call is in progress.
	It("keeps a claim through a planned handover", func() {
		p := granted(b, key)
		c.handover(c.nodes[2], false)
		refused(a, key, outcome.Unknown, outcome.ReasonInProgress)
		granted(a, keyOf(2))
		Expect(p.MarkDone(ctx, 200)).To(Succeed())
		refused(a, key, outcome.Answered, outcome.ReasonDuplicate)
	})

	It("asks again with the same nonce when an answer is lost", func() {
		lose = func(n int) (bool, bool) { return n == 2, n == 1 }
		drive(func() { granted(b, key) })
		Expect(sent).To(Equal(3))
		Expect(c.holder.owner.Records()).To(Equal(1))
		refused(a, key, outcome.Unknown, outcome.ReasonInProgress)
	})

	// Guards against a key that stays claimed by an attempt that was given up.
	It("releases the key of an attempt whose answers were all lost", func() {
		lose = func(n int) (bool, bool) { return false, n < 85 }
		drive(func() {
			c.holder.validUntil = c.now().Add(time.Hour)
			_, err := b.Claim(ctx, key)
			Expect(outcome.FromError(err).Kind).To(Equal(outcome.NotRun))
			b.Close(ctx)
		})
		granted(a, key)
	})

	It("repeats a report that was lost", func() {
		p := granted(b, key)
		lose = func(n int) (bool, bool) { return n <= 3, n == 4 }
		drive(func() {
			c.holder.validUntil = c.now().Add(time.Hour)
			Expect(p.MarkDone(ctx, 204)).To(Succeed())
		})
		Expect(sent).To(Equal(5))
		refused(a, key, outcome.Answered, outcome.ReasonDuplicate)
	})

	It("leaves the claim as it is when no report arrives", func() {
		p := granted(b, key)
		at := c.now()
		lose = func(int) (bool, bool) { return true, true }
		drive(func() { Expect(p.MarkNotRun(ctx)).NotTo(Succeed()) })
		Expect(c.now().Sub(at)).To(BeNumerically(">=", reportTimeout))
		c.advance(at.Add(openRetention - 1).Sub(c.now()))
		refused(a, key, outcome.Unknown, outcome.ReasonInProgress)
		c.advance(1)
		granted(a, key)
	})

	// Guards against memory without a bound, and against a full partition that
	// forgets a key instead of refusing one.
	It("refuses a key as not run when the partition is full", func() {
		for i := range 3 {
			Expect(granted(a, keyOf(i)).MarkDone(ctx, 200)).To(Succeed())
		}
		e := refused(b, key, outcome.NotRun, outcome.ReasonQueueFull)
		Expect(e.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(e.RetryAfter).To(BeNumerically(">", 0))
		refused(b, keyOf(0), outcome.Answered, outcome.ReasonDuplicate)
		c.advance(Retention)
		granted(b, key)
	})

	It("keeps a record for 10 minutes after the end of its call", func() {
		p := granted(a, key)
		c.advance(4 * time.Minute)
		c.renew()
		Expect(p.MarkDone(ctx, 200)).To(Succeed())
		c.advance(Retention - 1)
		refused(b, key, outcome.Answered, outcome.ReasonDuplicate)
		c.advance(1)
		granted(b, key)
	})

	// Guards against a handover that cannot be sent: messages hold 4 MiB.
	It("fits the records of a full partition into one message", func() {
		p := newPartition(pool, 1, maxRecords, &siblingpb.ClaimState{}, c.now())
		long := vm.ID(fmt.Sprintf("%064d", 1))
		for i := range maxRecords {
			p.records[keyOf(i).Digest()] = &record{vm: long, incarnation: 1 << 63, state: stateDone, status: 599, at: c.now()}
		}
		c.advance(Retention - 1)
		state := &siblingpb.Handover{Claims: p.export(c.now())}
		Expect(state.Claims.Records).To(HaveLen(maxRecords))
		Expect(proto.Size(state)).To(BeNumerically("<", 4<<20))
		GinkgoWriter.Println("bytes:", proto.Size(state))
	})
})

// BenchmarkExport measures the handover state of a full partition, which is
// built under the lock of the lease manager.
func BenchmarkExport(b *testing.B) {
	c := newCluster(b, 1, maxRecords)
	p := newPartition(pool, 1, maxRecords, &siblingpb.ClaimState{}, c.now())
	for i := range maxRecords {
		p.records[keyOf(i).Digest()] = &record{vm: "vm-1", state: stateDone, status: 200, at: c.now()}
	}
	for b.Loop() {
		p.export(c.now())
	}
}

// BenchmarkClaim measures claim and report of one partition in process.
func BenchmarkClaim(b *testing.B) {
	c := newCluster(b, 1, maxRecords)
	c.holder.validUntil = c.now().Add(time.Hour)
	for i := range b.N {
		x := newAttempt(pool, vm.Info{ID: "r"}, keyOf(i).Digest())
		if c.holder.owner.Handle(x.request).Result != ok {
			b.Fatal("not granted")
		}
		c.holder.owner.Handle(x.report(stateDone, 200))
		if i%10000 == 9999 {
			b.StopTimer()
			c.advance(Retention)
			c.holder.validUntil = c.now().Add(time.Hour)
			b.StartTimer()
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
}
