package rollout_test

import (
	"context"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/platform"
	"goldcresthinge.example/goldcresthinge/internal/rollout"
)

var _ = Describe("acceptance", func() {
	var (
		ctx     context.Context
		network *fakeNetwork
		a, b    *testVM
	)
	BeforeEach(func() {
		ctx = context.Background()
		network = newFakeNetwork(GinkgoT())
		a, b = network.add("a", "alfold"), network.add("b", "alfold")
		Expect(a.Apply(ctx, 0, exampleDocument())).To(BeEquivalentTo(1))
		Expect(b.version()).To(BeEquivalentTo(1))
	})

	// Guards against a second change that silently reverts the first.
	It("accepts one of two concurrent changes and reports the current version for the other", func() {
		network.store.beforePut = func() {
			Expect(b.Apply(ctx, 1, exampleDocument("gyor-a"))).To(BeEquivalentTo(2))
		}
		_, err := a.Apply(ctx, 1, exampleDocument("pecs-a"))
		var conflict *rollout.ConflictError
		Expect(err).To(BeAssignableToTypeOf(conflict))
		Expect(err).To(MatchError(ContainSubstring("the current version is 2")))
		Expect(a.Current().OutOfService("pecs-a")).To(BeFalse())
		fresh := network.add("c", "alfold")
		Expect(fresh.Refresh(ctx)).To(Succeed(), "the rejected change must not overwrite the document of the accepted one")
		Expect(fresh.Current().OutOfService("gyor-a")).To(BeTrue())
	})

	// Guards against a change that is reported as refused although it is in
	// force.
	It("accepts a change whose answer was lost after the compare-and-set", func() {
		network.store.loseAnswers = 1
		Expect(a.Apply(ctx, 1, exampleDocument("pecs-a"))).To(BeEquivalentTo(2))
		Expect(b.Current().OutOfService("pecs-a")).To(BeTrue())
	})

	// Guards against reporting a change as refused or uncertain when the store
	// dropped its commit without an answer.
	It("repeats a commit that had no effect", func() {
		network.store.dropCommits = 1
		Expect(a.Apply(ctx, 1, exampleDocument("pecs-a"))).To(BeEquivalentTo(2))
	})

	// Guards against a wrong result for an operator whose change was followed
	// by another one before the head could be read back.
	DescribeTable("determines the result after a lost answer when the head has a later version",
		func(lost, dropped int, changes int, accepted bool) {
			network.store.beforePut = func() {
				network.store.loseAnswers, network.store.dropCommits = lost, dropped
				network.store.beforeGet = func() {
					for range changes {
						Expect(b.Refresh(ctx)).To(Succeed())
						_, err := b.Apply(ctx, b.version(), exampleDocument([]string{"gyor-a", "szeged-a", "debrecen-a"}[:b.version()]...))
						Expect(err).NotTo(HaveOccurred())
					}
				}
			}
			version, err := a.Apply(ctx, 1, exampleDocument("pecs-a"))
			if accepted {
				Expect(err).NotTo(HaveOccurred())
				Expect(version).To(BeEquivalentTo(2))
			} else {
				Expect(err).To(MatchError(ContainSubstring("the current version is 3")))
			}
			Expect(a.Refresh(ctx)).To(Succeed())
			Expect(a.version()).To(BeEquivalentTo(3))
		},
		Entry("this VM's change took effect first", 1, 0, 1, true),
		Entry("this VM's change never took effect", 0, 1, 2, false),
	)

	// Guards against a lost change when operators change the configuration at
	// several VMs at the same time.
	It("accepts each version once during many concurrent changes", func() {
		var accepted atomic.Int64
		var g sync.WaitGroup
		for i, v := range []*testVM{a, b, a, b} {
			g.Go(func() {
				for n := range 10 {
					out := []string{"szeged-a", "debrecen-a", "gyor-a", "pecs-a"}[:(i+n)%4+1]
					base := v.version()
					if version, err := v.Apply(ctx, base, exampleDocument(out...)); err == nil && version != base {
						accepted.Add(1)
					}
					_ = v.Refresh(ctx) // the store is up
				}
			})
		}
		g.Wait()
		Expect(a.Refresh(ctx)).To(Succeed())
		Expect(a.version()).To(BeEquivalentTo(1 + accepted.Load()))
		Expect(accepted.Load()).To(BeNumerically(">", 0))
	})

	It("accepts nothing while the store is down", func() {
		network.store.down = true
		_, err := a.Apply(ctx, 1, exampleDocument("pecs-a"))
		Expect(err).To(MatchError(rollout.ErrStoreUnavailable))
		Expect(err).To(MatchError(platform.ErrUnavailable))
		Expect(a.version()).To(BeEquivalentTo(1))
	})

	It("returns the faults of a rejected document and changes nothing", func() {
		_, err := a.Apply(ctx, 1, exampleDocument("nowhere"))
		var faults *inventory.FaultsError
		Expect(err).To(BeAssignableToTypeOf(faults))
		Expect(a.version()).To(BeEquivalentTo(1))
	})
})
