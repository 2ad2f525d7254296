package holder_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/call"
	"goldcresthinge.example/goldcresthinge/internal/holder"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/lease"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

func TestHolder(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Holder Suite")
}

var poolA = inventory.PoolID{Service: "seats", FailureDomain: "a"}

type fakeOwnership struct {
	mode  lease.Mode
	epoch uint64
}

func (o *fakeOwnership) Mode(time.Time) lease.Mode { return o.mode }

func (o *fakeOwnership) HeldEpoch(inventory.PoolID) (uint64, bool) { return o.epoch, true }

// fakeSender runs the check and answers with a body of one byte. beforeCheck
// runs before the check and simulates an event between getting the slot and
// sending the first byte.
type fakeSender struct {
	beforeCheck func()
	sent        int
}

func (s *fakeSender) Send(_ context.Context, _ inventory.Target, _ int, _ *call.Call, check func() error) (*call.Answer, error) {
	if s.beforeCheck != nil {
		s.beforeCheck()
	}
	if err := check(); err != nil {
		return nil, err
	}
	s.sent++
	return &call.Answer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("x")), Length: 1}, nil
}

func document(outOfService ...string) *inventory.Document {
	d := &inventory.Document{
		Regions:        []inventory.Region{{Name: "r", Store: true}},
		FailureDomains: []inventory.FailureDomain{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}},
		Services: []inventory.Service{{
			Name:    "seats",
			Targets: []inventory.Target{{Name: "t1", Address: "127.0.0.1:1", FailureDomain: "a"}},
		}},
		Rules: inventory.Rules{OutOfService: outOfService},
	}
	d.SetDefaults()
	return d
}

var _ = Describe("Holder", func() {
	var (
		clock     *quartz.Mock
		ownership *fakeOwnership
		sender    *fakeSender
		snap      *inventory.Snapshot
		ready     bool
		h         *holder.Holder
	)

	BeforeEach(func() {
		clock = quartz.NewMock(GinkgoTB())
		ownership = &fakeOwnership{mode: lease.ModeValid, epoch: 1}
		sender = &fakeSender{}
		snap = inventory.NewSnapshot(1, document())
		ready = true
		h = holder.New(holder.Config{
			Self: vm.Info{ID: "vm-1", Region: "r", FailureDomain: "a"}, Ownership: ownership, Sender: sender,
			Snapshot: func() *inventory.Snapshot { return snap },
			Ready:    func(time.Time) bool { return ready },
			Clock:    clock, Logger: log.NewNopLogger(), Scope: tally.NoopScope, QueueLimit: 10,
			OnHandoverCallDone: func(inventory.PoolID, uint64, string) {},
		})
		h.StartPool(poolA, 1, nil, false)
		clock.Advance(time.Second) // a cold target gets its first call after one interval of the cold rate
	})

	do := func(ctx context.Context) (*call.Answer, *outcome.Error) {
		answer, err := h.Do(ctx, &call.Call{
			Service: "seats", FailureDomain: "a", Method: http.MethodPost,
			Deadline: clock.Now().Add(time.Minute),
		})
		if err != nil {
			return nil, outcome.FromError(err)
		}
		return answer, nil
	}
	expectNotRun := func(reason outcome.Reason) {
		GinkgoHelper()
		answer, e := do(context.Background())
		Expect(answer).To(BeNil())
		Expect(e.Kind).To(Equal(outcome.NotRun))
		Expect(e.Reason).To(Equal(reason))
		Expect(sender.sent).To(BeZero())
	}

	It("sends a call and takes the slot back at the end of the answer", func() {
		for range 3 {
			answer, e := do(context.Background())
			Expect(e).To(BeNil())
			_, _ = io.Copy(io.Discard, answer.Body)
			Expect(answer.Body.Close()).To(Succeed())
			clock.Advance(time.Second)
		}
		Expect(sender.sent).To(Equal(3))
	})

	// Each entry is a change between the time at which a call gets its slot and
	// the time at which its first byte would be sent. A process that was paused
	// in between resumes at this point.
	DescribeTable("sends nothing after a change between slot and first byte",
		func(change func(), reason outcome.Reason) {
			sender.beforeCheck = change
			expectNotRun(reason)
		},
		Entry("lease lost", func() { ownership.mode = lease.ModeLost }, outcome.ReasonLeaseLost),
		Entry("new holder", func() { ownership.epoch = 2 }, outcome.ReasonNotHolder),
		Entry("failure domain out of service", func() { snap = inventory.NewSnapshot(2, document("a")) }, outcome.ReasonOutOfService),
		Entry("configuration not confirmed", func() { ready = false }, outcome.ReasonNotReady),
		Entry("deadline passed", func() { clock.Advance(2 * time.Minute) }, outcome.ReasonDeadline),
	)

	// Guards against sending queued calls to a failure domain after an operator
	// has taken it out of service.
	It("refuses queued calls when the failure domain is taken out of service", func() {
		first, e := do(context.Background())
		Expect(e).To(BeNil())
		refused := make(chan *outcome.Error, 1)
		go func() {
			_, e := do(context.Background())
			refused <- e
		}()
		Eventually(func() uint32 { return h.Load(poolA).GetWaiting() }).Should(Equal(uint32(1)))
		old := snap
		snap = inventory.NewSnapshot(2, document("a"))
		h.ApplySnapshot(old, snap)
		Expect((<-refused).Reason).To(Equal(outcome.ReasonOutOfService))
		Expect(first.Body.Close()).To(Succeed())
		Expect(sender.sent).To(Equal(1))
	})

	It("refuses queued calls as not run when the pool is stopped", func() {
		first, e := do(context.Background())
		Expect(e).To(BeNil())
		refused := make(chan *outcome.Error, 1)
		go func() {
			_, e := do(context.Background())
			refused <- e
		}()
		Eventually(func() uint32 { return h.Load(poolA).GetWaiting() }).Should(Equal(uint32(1)))
		h.StopPool(poolA, 1)
		Expect((<-refused).Reason).To(Equal(outcome.ReasonNotHolder))
		Expect(first.Body.Close()).To(Succeed())
	})

	// Guards against slots that are never released when callers leave the
	// queue.
	It("gives no slot to a caller that has gone", func() {
		first, e := do(context.Background())
		Expect(e).To(BeNil())
		ctx, cancel := context.WithCancel(context.Background())
		canceled := make(chan *outcome.Error, 1)
		go func() {
			_, e := do(ctx)
			canceled <- e
		}()
		Eventually(func() uint32 { return h.Load(poolA).GetWaiting() }).Should(Equal(uint32(1)))
		cancel()
		Expect((<-canceled).Reason).To(Equal(outcome.ReasonCanceled))
		Expect(first.Body.Close()).To(Succeed())
		clock.Advance(time.Second)
		_, e = do(context.Background())
		Expect(e).To(BeNil())
	})

	// Guards against a call to a leaving target from a holder that did not
	// receive the announcement itself.
	DescribeTable("sends nothing to a target that announced its leaving to the former holder",
		func(takeOver func()) {
			ownership.epoch = 2
			takeOver()
			clock.Advance(time.Second)
			Expect(h.Load(poolA).GetFree()).To(BeZero())
			Expect(h.Loads()[0].GetLeaving()).To(Equal([]string{"t1"}))
		},
		Entry("without handover", func() {
			h.SetLeavingTargets(poolA, []string{"t1"})
			h.StartPool(poolA, 2, nil, false)
		}),
		Entry("with handover", func() {
			h.StartPool(poolA, 2, &siblingpb.Handover{Targets: []*siblingpb.TargetState{
				{Name: "t1", Limit: 2, Warm: true, Leaving: true},
			}}, false)
		}),
	)

	It("carries the state of targets through a handover", func() {
		state := h.ExportPool(poolA)
		Expect(state.GetTargets()).To(HaveLen(1))
		Expect(state.GetEpoch()).To(Equal(uint64(1)))
		h.StartPool(poolA, 2, &siblingpb.Handover{Targets: []*siblingpb.TargetState{
			{Name: "t1", Limit: 2, Warm: true, InFlight: 2, BaselineUs: 1000},
		}}, false)
		ownership.epoch = 2
		Expect(h.Load(poolA).GetFree()).To(BeZero())
		h.PredecessorCallsDone(poolA, "t1", 1)
		Expect(h.Load(poolA).GetFree()).To(Equal(uint32(1)))
	})
})
