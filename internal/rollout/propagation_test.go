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
		ctx  context.Context
		net  *network
		a, b *node
	)
	BeforeEach(func() {
		ctx = context.Background()
		net = newNetwork(GinkgoT())
		a, b = net.add("a", "alfold"), net.add("b", "alfold")
		Expect(a.Apply(ctx, 0, example())).To(BeEquivalentTo(1))
	})

	It("pushes to all of the own region and to two VMs of each other region", func() {
		for _, id := range []string{"c", "d", "e", "f"} {
			net.add(id, "dunantul")
		}
		Expect(a.Apply(ctx, 1, example("pecs-a"))).To(BeEquivalentTo(2))
		pushed := 0
		for _, v := range net.vms {
			if v.info.Region == "dunantul" {
				pushed += v.pushes
			}
		}
		Expect(pushed).To(Equal(2))
		Expect(b.version()).To(BeEquivalentTo(2))
	})

	// Guards against a paused VM that resumes in the middle of old messages
	// and puts a failure domain back into service.
	It("never goes back at a VM that was paused across a change", func() {
		old := b.HandlePull(0).Deltas[0]
		Expect(a.Apply(ctx, 1, example("pecs-a"))).To(BeEquivalentTo(2))
		var seen []uint64
		b.Subscribe(func(s *inventory.Snapshot) { seen = append(seen, s.Version) })
		net.clock.Advance(time.Minute)
		_, ok := b.ConfirmedAge(net.clock.Now())
		Expect(ok).To(BeFalse())
		Expect(b.HandlePush(ctx, old)).To(Succeed())
		b.ObserveSibling(net.clock.Now(), a.info, 1, rollout.NotConfirmed)
		Expect(b.Refresh(ctx)).To(Succeed())
		Expect(seen).To(Equal([]uint64{2}))
		Expect(b.Current().OutOfService("pecs-a")).To(BeTrue())
	})

	It("falls back to the whole document when a delta does not fit", func() {
		b.cut = true
		Expect(a.Apply(ctx, 1, example("pecs-a"))).To(BeEquivalentTo(2))
		b.cut = false
		bad := a.HandlePull(1).Deltas[0]
		Expect(b.HandlePush(ctx, &siblingpb.ConfigDelta{
			FromVersion: 1, ToVersion: 2, Document: bad.Document, Digest: "other",
		})).To(MatchError(inventory.ErrDigest))
		Expect(b.version()).To(BeEquivalentTo(1))
		bad.Digest = "other" // the delta that siblings pull is damaged, too
		net.store.down = true
		b.ObserveSibling(net.clock.Now(), a.info, 2, 0)
		Expect(b.Refresh(ctx)).NotTo(Succeed())
		Expect(a.pulls).To(Equal([]uint64{1, 0}))
		Expect(b.Current().OutOfService("pecs-a")).To(BeTrue())
	})

	It("refuses a delta that skips a version and fetches the missing ones", func() {
		b.cut = true
		Expect(a.Apply(ctx, 1, example("pecs-a"))).To(BeEquivalentTo(2))
		Expect(a.Apply(ctx, 2, example("pecs-a", "gyor-a"))).To(BeEquivalentTo(3))
		b.cut = false
		Expect(b.HandlePush(ctx, a.HandlePull(2).Deltas[0])).NotTo(Succeed())
		Expect(b.version()).To(BeEquivalentTo(1))
		Expect(b.Refresh(ctx)).To(Succeed())
		Expect(b.version()).To(BeEquivalentTo(3))
		Expect(b.HandlePull(1).Deltas).To(HaveLen(2))
	})

	It("reports each VM as in force, not confirmed or not heard of", func() {
		c := net.add("c", "dunantul")
		d := net.add("d", "dunantul")
		Expect(d.Refresh(ctx)).To(Succeed())
		c.cut, d.cut = true, true
		Expect(a.Apply(ctx, 1, example("pecs-a"))).To(BeEquivalentTo(2))
		d.cut = false
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
		ctx context.Context
		net *network
	)
	BeforeEach(func() {
		ctx = context.Background()
		net = newNetwork(GinkgoT())
		a := net.add("a", "alfold")
		Expect(a.Apply(ctx, 0, example())).To(BeEquivalentTo(1))
		net.add("b", "alfold").cut = true
		Expect(a.Apply(ctx, 1, example("pecs-a"))).To(BeEquivalentTo(2))
		net.vms["b:1"].cut = false
	})

	It("takes the version of the store", func() {
		c := net.add("c", "alfold")
		Expect(c.Refresh(ctx)).To(Succeed())
		Expect(c.version()).To(BeEquivalentTo(2))
		_, ok := c.ConfirmedAge(net.clock.Now())
		Expect(ok).To(BeTrue())
	})

	// Guards against a start with the version of the first sibling that
	// answers, which may have missed a change.
	It("takes the highest version of its siblings while the store is down", func() {
		Expect(net.vms["b:1"].HandlePush(ctx, net.vms["a:1"].HandlePull(0).Deltas[0])).To(Succeed())
		net.vms["b:1"].cut = true
		Expect(net.vms["a:1"].Apply(ctx, 2, example("pecs-a", "gyor-a"))).To(BeEquivalentTo(3))
		net.vms["b:1"].cut = false
		net.store.down = true
		c := net.add("c", "dunantul")
		Expect(c.Refresh(ctx)).To(MatchError(ContainSubstring("unavailable")))
		Expect(c.version()).To(BeEquivalentTo(3))
	})

	DescribeTable("that knows no sibling yet asks the VMs of its settings and of the platform's list",
		func(seeds []string, vms list) {
			net.store.down = true
			c := net.start("c", "alfold", seeds, vms)
			Expect(c.Refresh(ctx)).NotTo(Succeed())
			Expect(c.version()).To(BeEquivalentTo(2))
		},
		Entry("settings", []string{"z:1", "a:1"}, nil),
		Entry("list", nil, list{{Name: "c", Address: "c:9"}, {Name: "z", Address: "z:1"}, {Name: "a", Address: "a:1"}}),
	)

	// Guards against control messages to the backend servers, which the
	// platform's list may also hold.
	It("does not report targets of the platform's list as VMs", func() {
		c := net.start("c", "alfold", nil, list{{Name: "b", Address: "b:1"}, {Name: "ny", Address: "127.0.0.1:7001"}, {Name: "z", Address: "z:1", Leaving: true}})
		Expect(c.Refresh(ctx)).To(Succeed())
		var found []string
		for _, r := range c.QueryVMs(ctx, 2) {
			found = append(found, fmt.Sprint(r.VM.ID, " ", r.State, " ", r.Leaving))
		}
		Expect(found).To(ConsistOf("b not-confirmed false", "c in-force false", "z not-heard true"))
	})

	It("has no version and is not confirmed without store and siblings", func() {
		net.store.down = true
		c := net.add("c", "alfold")
		c.cut = true
		Expect(c.Refresh(ctx)).NotTo(Succeed())
		Expect(c.Current()).To(BeNil())
		_, ok := c.ConfirmedAge(net.clock.Now())
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("Run", func() {
	It("reads the head again after the poll interval and pulls at once on a higher version", func() {
		ctx, cancel := context.WithCancel(context.Background())
		net := newNetwork(GinkgoT())
		a, b := net.add("a", "alfold"), net.add("b", "dunantul")
		Expect(a.Apply(ctx, 0, example())).To(BeEquivalentTo(1))
		installed := make(chan uint64, 8)
		b.Subscribe(func(s *inventory.Snapshot) { installed <- s.Version })
		Expect(installed).To(Receive(BeEquivalentTo(1)))
		trap := net.clock.Trap().NewTimer("rollout", "poll")
		done := make(chan error, 1)
		go func() { done <- b.Run(ctx) }()
		trap.MustWait(ctx).MustRelease(ctx)

		b.cut = true // the push is lost
		Expect(a.Apply(ctx, 1, example("pecs-a"))).To(BeEquivalentTo(2))
		net.clock.Advance(rollout.PollInterval)
		trap.MustWait(ctx).MustRelease(ctx)
		Expect(installed).To(Receive(BeEquivalentTo(2)), "read from the store")

		Expect(a.Apply(ctx, 2, example())).To(BeEquivalentTo(3))
		b.ObserveSibling(net.clock.Now(), a.info, 3, rollout.NotConfirmed)
		Eventually(installed).Should(Receive(BeEquivalentTo(3)), "without waiting for the poll")
		cancel()
		Eventually(done).Should(Receive(BeNil()))
		trap.Close()
	})
})
