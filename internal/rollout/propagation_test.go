package rollout_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/rollout"
)

var _ = Describe("distribution", func() {
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
	})

	It("pushes to all of the own region and to two VMs of each other region", func() {
		for _, id := range []string{"c", "d", "e", "f"} {
			network.add(id, "dunantul")
		}
		Expect(a.Apply(ctx, 1, exampleDocument("pecs-a"))).To(BeEquivalentTo(2))
		pushed := 0
		for _, v := range network.vms {
			if v.info.Region == "dunantul" {
				pushed += v.pushes
			}
		}
		Expect(pushed).To(Equal(2))
		Expect(b.version()).To(BeEquivalentTo(2))
	})

	// Guards against a paused VM that processes old messages when it resumes
	// and puts a failure domain back into service.
	It("never returns to a lower version at a VM that was paused across a change", func() {
		old := b.HandlePull(0).Deltas[0]
		Expect(a.Apply(ctx, 1, exampleDocument("pecs-a"))).To(BeEquivalentTo(2))
		var seen []uint64
		b.Subscribe(func(s *inventory.Snapshot) { seen = append(seen, s.Version) })
		network.clock.Advance(time.Minute)
		_, ok := b.ConfirmedAge(network.clock.Now())
		Expect(ok).To(BeFalse())
		Expect(b.HandlePush(ctx, old)).To(Succeed())
		b.ObserveSibling(network.clock.Now(), a.info, 1, rollout.NotConfirmed)
		Expect(b.Refresh(ctx)).To(Succeed())
		Expect(seen).To(Equal([]uint64{2}))
		Expect(b.Current().OutOfService("pecs-a")).To(BeTrue())
	})

	It("pulls the whole document when a delta cannot be applied", func() {
		b.disconnected = true
		Expect(a.Apply(ctx, 1, exampleDocument("pecs-a"))).To(BeEquivalentTo(2))
		b.disconnected = false
		bad := a.HandlePull(1).Deltas[0]
		Expect(b.HandlePush(ctx, &siblingpb.ConfigDelta{
			FromVersion: 1, ToVersion: 2, Document: bad.Document, Digest: "other",
		})).To(MatchError(inventory.ErrDigest))
		Expect(b.version()).To(BeEquivalentTo(1))
		bad.Digest = "other" // the delta that siblings pull is damaged as well
		network.store.down = true
		b.ObserveSibling(network.clock.Now(), a.info, 2, 0)
		Expect(b.Refresh(ctx)).NotTo(Succeed())
		Expect(a.pulls).To(Equal([]uint64{1, 0}))
		Expect(b.Current().OutOfService("pecs-a")).To(BeTrue())
	})

	It("refuses a delta that skips a version and fetches the missing ones", func() {
		b.disconnected = true
		Expect(a.Apply(ctx, 1, exampleDocument("pecs-a"))).To(BeEquivalentTo(2))
		Expect(a.Apply(ctx, 2, exampleDocument("pecs-a", "gyor-a"))).To(BeEquivalentTo(3))
		b.disconnected = false
		Expect(b.HandlePush(ctx, a.HandlePull(2).Deltas[0])).NotTo(Succeed())
		Expect(b.version()).To(BeEquivalentTo(1))
		Expect(b.Refresh(ctx)).To(Succeed())
		Expect(b.version()).To(BeEquivalentTo(3))
		Expect(b.HandlePull(1).Deltas).To(HaveLen(2))
	})

	It("reports each VM as in force, not confirmed or unreachable", func() {
		c := network.add("c", "dunantul")
		d := network.add("d", "dunantul")
		Expect(d.Refresh(ctx)).To(Succeed())
		c.disconnected, d.disconnected = true, true
		Expect(a.Apply(ctx, 1, exampleDocument("pecs-a"))).To(BeEquivalentTo(2))
		d.disconnected = false
		states := map[string]rollout.State{}
		for _, r := range a.QueryVMs(ctx, 2) {
			states[string(r.VM.ID)] = r.State
		}
		Expect(states).To(Equal(map[string]rollout.State{
			"a": rollout.StateApplied, "b": rollout.StateApplied, "c": rollout.StateUnreachable, "d": rollout.StateOutdated,
		}))
	})
})

var _ = Describe("a new VM", func() {
	var (
		ctx     context.Context
		network *fakeNetwork
	)
	BeforeEach(func() {
		ctx = context.Background()
		network = newFakeNetwork(GinkgoT())
		a := network.add("a", "alfold")
		Expect(a.Apply(ctx, 0, exampleDocument())).To(BeEquivalentTo(1))
		network.add("b", "alfold").disconnected = true
		Expect(a.Apply(ctx, 1, exampleDocument("pecs-a"))).To(BeEquivalentTo(2))
		network.vms["b:1"].disconnected = false
	})

	It("takes the version of the store", func() {
		c := network.add("c", "alfold")
		Expect(c.Refresh(ctx)).To(Succeed())
		Expect(c.version()).To(BeEquivalentTo(2))
		_, ok := c.ConfirmedAge(network.clock.Now())
		Expect(ok).To(BeTrue())
	})

	// Guards against a start with the version of the first sibling that
	// answers, since that sibling may have missed a change.
	It("takes the highest version of its siblings while the store is down", func() {
		Expect(network.vms["b:1"].HandlePush(ctx, network.vms["a:1"].HandlePull(0).Deltas[0])).To(Succeed())
		network.vms["b:1"].disconnected = true
		Expect(network.vms["a:1"].Apply(ctx, 2, exampleDocument("pecs-a", "gyor-a"))).To(BeEquivalentTo(3))
		network.vms["b:1"].disconnected = false
		network.store.down = true
		c := network.add("c", "dunantul")
		Expect(c.Refresh(ctx)).To(MatchError(ContainSubstring("unavailable")))
		Expect(c.version()).To(BeEquivalentTo(3))
	})

	DescribeTable("that knows no sibling yet asks the VMs of its settings and of the platform's list",
		func(seeds []string, vms fakeVMList) {
			network.store.down = true
			c := network.start("c", "alfold", seeds, vms)
			Expect(c.Refresh(ctx)).NotTo(Succeed())
			Expect(c.version()).To(BeEquivalentTo(2))
		},
		Entry("settings", []string{"z:1", "a:1"}, nil),
		Entry("list", nil, fakeVMList{{Name: "c", Address: "c:9"}, {Name: "z", Address: "z:1"}, {Name: "a", Address: "a:1"}}),
	)

	// Guards against sending control messages to backend servers, which the
	// platform's list may also contain.
	It("does not report targets of the platform's list as VMs", func() {
		c := network.start("c", "alfold", nil, fakeVMList{{Name: "b", Address: "b:1"}, {Name: "ny", Address: "127.0.0.1:7001"}, {Name: "z", Address: "z:1", Leaving: true}})
		Expect(c.Refresh(ctx)).To(Succeed())
		var found []string
		for _, r := range c.QueryVMs(ctx, 2) {
			found = append(found, fmt.Sprint(r.VM.ID, " ", r.State, " ", r.Leaving))
		}
		Expect(found).To(ConsistOf("b not-confirmed false", "c in-force false", "z not-heard true"))
	})

	It("has no version and is not confirmed without store and siblings", func() {
		network.store.down = true
		c := network.add("c", "alfold")
		c.disconnected = true
		Expect(c.Refresh(ctx)).NotTo(Succeed())
		Expect(c.Current()).To(BeNil())
		_, ok := c.ConfirmedAge(network.clock.Now())
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("Run", func() {
	It("reads the head again after the poll interval and pulls at once on a higher version", func() {
		ctx, cancel := context.WithCancel(context.Background())
		network := newFakeNetwork(GinkgoT())
		a, b := network.add("a", "alfold"), network.add("b", "dunantul")
		Expect(a.Apply(ctx, 0, exampleDocument())).To(BeEquivalentTo(1))
		installed := make(chan uint64, 8)
		b.Subscribe(func(s *inventory.Snapshot) { installed <- s.Version })
		Expect(installed).To(Receive(BeEquivalentTo(1)))
		trap := network.clock.Trap().NewTimer("rollout", "poll")
		done := make(chan error, 1)
		go func() { done <- b.Run(ctx) }()
		trap.MustWait(ctx).MustRelease(ctx)

		b.disconnected = true // the push is lost
		Expect(a.Apply(ctx, 1, exampleDocument("pecs-a"))).To(BeEquivalentTo(2))
		network.clock.Advance(rollout.PollInterval)
		trap.MustWait(ctx).MustRelease(ctx)
		Expect(installed).To(Receive(BeEquivalentTo(2)), "read from the store")

		Expect(a.Apply(ctx, 2, exampleDocument())).To(BeEquivalentTo(3))
		b.ObserveSibling(network.clock.Now(), a.info, 3, rollout.NotConfirmed)
		Eventually(installed).Should(Receive(BeEquivalentTo(3)), "without waiting for the poll")
		cancel()
		Eventually(done).Should(Receive(BeNil()))
		trap.Close()
	})
})
