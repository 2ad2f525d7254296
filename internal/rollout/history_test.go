package rollout_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/rollout"
)

// Guards against two VMs with different documents of one version, and against
// VMs that return to a lower version. A change that was reported as accepted
// must in the end be in force at all VMs or be replaced by a later version. A
// change that was reported as refused must never come into force. No VM may
// ever install a lower version.
func TestVersionsNeverDivergeOrDecrease(t *testing.T) {
	RegisterTestingT(t)
	doc, err := inventory.Parse([]byte(`{regions: [{name: alfold, store: true}, {name: dunantul}],
failure_domains: [{name: szeged-a, region: alfold}],
services: [{name: nyilvantarto, targets: [{name: ny-01, address: "127.0.0.1:7001", failure_domain: szeged-a}]}]}`))
	Expect(err).NotTo(HaveOccurred())
	rapid.Check(t, func(rt *rapid.T) {
		ctx := context.Background()
		network := newFakeNetwork(t)
		ids := []string{"a", "b", "c", "d"}
		var vms []*testVM
		var mu sync.Mutex                // guards the values below, which subscribers of several VMs write
		installed := map[uint64]string{} // the change that each version contains, at any VM
		var violations []string
		for i, id := range ids {
			v := network.add(id, []string{"alfold", "dunantul"}[i%2])
			vms = append(vms, v)
			var last uint64
			v.Subscribe(func(s *inventory.Snapshot) {
				mu.Lock()
				defer mu.Unlock()
				if s.Version <= last {
					violations = append(violations, fmt.Sprintf("%s went from version %d to %d", id, last, s.Version))
				}
				last = s.Version
				value := fmt.Sprint(s.Document.Services[0].CallTimeoutMs)
				if old, ok := installed[s.Version]; ok && old != value {
					violations = append(violations, fmt.Sprintf("version %d is both change %s and change %s", s.Version, old, value))
				}
				installed[s.Version] = value
			})
		}
		accepted, refused := map[uint64]string{}, map[string]bool{}
		for change := 1; change <= rapid.IntRange(1, 12).Draw(rt, "changes"); change++ {
			v := rapid.SampledFrom(vms).Draw(rt, "vm")
			for _, n := range vms {
				n.disconnected = rapid.IntRange(0, 3).Draw(rt, "cut") == 0
			}
			network.store.down = rapid.IntRange(0, 5).Draw(rt, "down") == 0
			network.store.loseAnswers = rapid.IntRange(0, 1).Draw(rt, "lost")
			network.store.dropCommits = rapid.IntRange(0, 1).Draw(rt, "dropped")
			network.store.delayCommits = rapid.IntRange(0, 1).Draw(rt, "late")
			if rapid.Bool().Draw(rt, "refresh") {
				_ = v.Refresh(ctx) // the store may be down
			}
			c := *doc
			c.Services = slices.Clone(doc.Services)
			c.Services[0].CallTimeoutMs = change
			text, err := inventory.Encode(&c)
			Expect(err).NotTo(HaveOccurred())
			version, err := applyAdvancingClock(ctx, network, v, v.version(), text)
			value := fmt.Sprint(change)
			switch {
			case err == nil:
				if other, ok := accepted[version]; ok {
					rt.Fatalf("version %d was accepted as change %s and %s", version, other, value)
				}
				accepted[version] = value
			case errors.Is(err, rollout.ErrOutcomeUnknown):
			default:
				refused[value] = true
			}
			network.clock.Advance(time.Second)
		}
		network.store.down, network.store.loseAnswers, network.store.dropCommits, network.store.delayCommits = false, 0, 0, 0
		for _, n := range vms {
			n.disconnected = false
		}
		for _, n := range vms {
			if err := n.Refresh(ctx); err != nil {
				rt.Fatal(err)
			}
			if n.version() != vms[0].version() {
				rt.Fatalf("versions %d and %d at the end", n.version(), vms[0].version())
			}
		}
		if len(violations) > 0 {
			rt.Fatalf("%v", violations)
		}
		for version, value := range installed {
			if refused[value] {
				rt.Fatalf("change %s was reported as refused, but is version %d", value, version)
			}
			if want, ok := accepted[version]; ok && want != value {
				rt.Fatalf("version %d was accepted as change %s, but is change %s", version, want, value)
			}
		}
	})
}

// applyAdvancingClock runs Apply and advances the clock whenever Apply waits
// before repeating a commit without an answer.
func applyAdvancingClock(ctx context.Context, network *fakeNetwork, v *testVM, base uint64, text []byte) (version uint64, err error) {
	trap := network.clock.Trap().NewTimer("rollout", "settle")
	defer trap.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		version, err = v.Apply(ctx, base, text)
	}()
	waitCtx, cancel := context.WithCancel(ctx)
	go func() { <-done; cancel() }()
	for {
		call, waitErr := trap.Wait(waitCtx)
		if waitErr != nil {
			<-done
			return version, err
		}
		call.MustRelease(ctx)
		_, fired := network.clock.AdvanceNext()
		fired.MustWait(ctx)
	}
}

// BenchmarkApply measures the cost of one change to a document of the size that
// must be supported: processor time at the accepting VM and at one of 13
// receivers, and the bytes of the messages and rows. Bytes that the transport
// adds are not counted.
func BenchmarkApply(b *testing.B) {
	RegisterTestingT(b)
	ctx := context.Background()
	from, err := inventory.Parse(largeDocument())
	Expect(err).NotTo(HaveOccurred())
	to, _ := from.WithOutOfService("domain-3", true)
	texts := [2][]byte{}
	for i, doc := range []*inventory.Document{from, to} {
		texts[i], err = inventory.Encode(doc)
		Expect(err).NotTo(HaveOccurred())
	}
	b.Run("accept", func(b *testing.B) {
		network := newFakeNetwork(b)
		a := network.add("a", "region-0")
		version, err := a.Apply(ctx, 0, texts[0])
		Expect(err).NotTo(HaveOccurred())
		b.ReportAllocs()
		for b.Loop() {
			if version, err = a.Apply(ctx, version, texts[version%2]); err != nil {
				b.Fatal(err)
			}
		}
		b.StopTimer()
		push := a.HandlePull(version - 1).Deltas[0]
		b.ReportMetric(float64(proto.Size(&siblingpb.Request{Kind: &siblingpb.Request_PushConfig{PushConfig: push}})), "push-bytes")
		b.ReportMetric(float64(proto.Size(a.HandlePull(0))), "full-bytes")
		b.ReportMetric(float64(len(network.store.rows["config/head"].Value)), "head-row-bytes")
		b.ReportMetric(float64(len(network.store.rows[fmt.Sprintf("config/delta/%d", version)].Value)), "delta-row-bytes")
	})
	b.Run("receive", func(b *testing.B) {
		network := newFakeNetwork(b)
		a, r := network.add("a", "region-0"), network.add("r", "region-1")
		r.disconnected = true
		_, err := a.Apply(ctx, 0, texts[0])
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Refresh(ctx)).To(Succeed())
		_, err = a.Apply(ctx, 1, texts[1])
		Expect(err).NotTo(HaveOccurred())
		_, err = a.Apply(ctx, 2, texts[0])
		Expect(err).NotTo(HaveOccurred())
		deltas := a.HandlePull(1).Deltas
		b.ReportAllocs()
		number := uint64(1)
		for b.Loop() {
			d := deltas[(number+1)%2]
			if err := r.HandlePush(ctx, &siblingpb.ConfigDelta{FromVersion: number, ToVersion: number + 1, Document: d.Document, Digest: d.Digest}); err != nil {
				b.Fatal(err)
			}
			number++
		}
	})
}
