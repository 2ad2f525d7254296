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
		ctx  context.Context
		net  *network
		a, b *node
	)
	BeforeEach(func() {
		ctx = context.Background()
		net = newNetwork(GinkgoT())
		a, b = net.add("a", "alfold"), net.add("b", "alfold")
		Expect(a.Apply(ctx, 0, example())).To(BeEquivalentTo(1))
		Expect(b.version()).To(BeEquivalentTo(1))
	})

	// Guards against a second change that silently undoes the first.
	It("lets one of two racing operators win and tells the other the current version", func() {
		net.store.beforePut = func() {
			Expect(b.Apply(ctx, 1, example("gyor-a"))).To(BeEquivalentTo(2))
		}
		_, err := a.Apply(ctx, 1, example("pecs-a"))
		var conflict *rollout.ConflictError
		Expect(err).To(BeAssignableToTypeOf(conflict))
		Expect(err).To(MatchError(ContainSubstring("the current version is 2")))
		Expect(a.Current().OutOfService("pecs-a")).To(BeFalse())
		fresh := net.add("c", "alfold")
		Expect(fresh.Refresh(ctx)).To(Succeed(), "the loser must not overwrite the document of the winner")
		Expect(fresh.Current().OutOfService("gyor-a")).To(BeTrue())
	})

	// Guards against a change that is called refused although it is in force.
	It("settles an answer that was lost after the compare-and-set", func() {
		net.store.loseAnswers = 1
		Expect(a.Apply(ctx, 1, example("pecs-a"))).To(BeEquivalentTo(2))
		Expect(b.Current().OutOfService("pecs-a")).To(BeTrue())
	})

	// Guards against a commit that arrives after it was reported as refused.
	It("repeats a commit that had no effect", func() {
		net.store.dropCommits = 1
		Expect(a.Apply(ctx, 1, example("pecs-a"))).To(BeEquivalentTo(2))
	})

	// Guards against a wrong answer to an operator whose change was followed by
	// another one before the head could be read back.
	DescribeTable("settles a lost answer when the head has moved on",
		func(lost, dropped int, changes int, accepted bool) {
			net.store.beforePut = func() {
				net.store.loseAnswers, net.store.dropCommits = lost, dropped
				net.store.beforeGet = func() {
					for range changes {
						Expect(b.Refresh(ctx)).To(Succeed())
						_, err := b.Apply(ctx, b.version(), example([]string{"gyor-a", "szeged-a", "debrecen-a"}[:b.version()]...))
						Expect(err).NotTo(HaveOccurred())
					}
				}
			}
			version, err := a.Apply(ctx, 1, example("pecs-a"))
			if accepted {
				Expect(err).NotTo(HaveOccurred())
				Expect(version).To(BeEquivalentTo(2))
			} else {
				Expect(err).To(MatchError(ContainSubstring("the current version is 3")))
			}
			Expect(a.Refresh(ctx)).To(Succeed())
			Expect(a.version()).To(BeEquivalentTo(3))
		},
		Entry("own change first", 1, 0, 1, true),
		Entry("own change never", 0, 1, 2, false),
	)

	// Guards against a change that is lost between operators at several VMs.
	It("accepts each version once when operators keep racing", func() {
		var accepted atomic.Int64
		var g sync.WaitGroup
		for i, v := range []*node{a, b, a, b} {
			g.Go(func() {
				for n := range 10 {
					out := []string{"szeged-a", "debrecen-a", "gyor-a", "pecs-a"}[:(i+n)%4+1]
					base := v.version()
					if version, err := v.Apply(ctx, base, example(out...)); err == nil && version != base {
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
		net.store.down = true
		_, err := a.Apply(ctx, 1, example("pecs-a"))
		Expect(err).To(MatchError(rollout.ErrStoreUnavailable))
		Expect(err).To(MatchError(platform.ErrUnavailable))
		Expect(a.version()).To(BeEquivalentTo(1))
	})

	It("names line and reason of a rejected document and changes nothing", func() {
		_, err := a.Apply(ctx, 1, example("nowhere"))
		var faults *inventory.FaultsError
		Expect(err).To(BeAssignableToTypeOf(faults))
		Expect(a.version()).To(BeEquivalentTo(1))
	})
})
