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

// Guards against a history that forks or goes back: a change that was called
// accepted must be in force at all VMs in the end or replaced by a later
// version, a change that was called refused must never come into force, and no
// VM may ever install a lower version.
func TestHistoryNeverForksOrGoesBack(t *testing.T) {
	RegisterTestingT(t)
	doc, err := inventory.Parse([]byte(`{regions: [{name: alfold, store: true}, {name: dunantul}],
failure_domains: [{name: szeged-a, region: alfold}],
services: [{name: nyilvantarto, targets: [{name: ny-01, address: "127.0.0.1:7001", failure_domain: szeged-a}]}]}`))
	Expect(err).NotTo(HaveOccurred())
	rapid.Check(t, func(rt *rapid.T) {
		ctx := context.Background()
		net := newNetwork(t)
		ids := []string{"a", "b", "c", "d"}
		var nodes []*node
		var mu sync.Mutex                // for what subscribers of several VMs note
		installed := map[uint64]string{} // what each version is, at whichever VM
		var violations []string
		for i, id := range ids {
			v := net.add(id, []string{"alfold", "dunantul"}[i%2])
			nodes = append(nodes, v)
			var last uint64
			v.Subscribe(func(s *inventory.Snapshot) {
				mu.Lock()
				defer mu.Unlock()
				if s.Version <= last {
					violations = append(violations, fmt.Sprintf("%s went from version %d to %d", id, last, s.Version))
				}
				last = s.Version
				mark := fmt.Sprint(s.Document.Services[0].CallTimeoutMs)
				if old, ok := installed[s.Version]; ok && old != mark {
					violations = append(violations, fmt.Sprintf("version %d is both change %s and change %s", s.Version, old, mark))
				}
				installed[s.Version] = mark
			})
		}
		accepted, refused := map[uint64]string{}, map[string]bool{}
		for change := 1; change <= rapid.IntRange(1, 12).Draw(rt, "changes"); change++ {
			v := rapid.SampledFrom(nodes).Draw(rt, "vm")
			for _, n := range nodes {
				n.cut = rapid.IntRange(0, 3).Draw(rt, "cut") == 0
			}
			net.store.down = rapid.IntRange(0, 5).Draw(rt, "down") == 0
			net.store.loseAnswers = rapid.IntRange(0, 1).Draw(rt, "lost")
			net.store.dropCommits = rapid.IntRange(0, 1).Draw(rt, "dropped")
			net.store.lateCommits = rapid.IntRange(0, 1).Draw(rt, "late")
			if rapid.Bool().Draw(rt, "refresh") {
				_ = v.Refresh(ctx) // the store may be down
			}
			c := *doc
			c.Services = slices.Clone(doc.Services)
			c.Services[0].CallTimeoutMs = change
			text, err := inventory.Encode(&c)
			Expect(err).NotTo(HaveOccurred())
			version, err := applyInTime(ctx, net, v, v.version(), text)
			mark := fmt.Sprint(change)
			switch {
			case err == nil:
				if other, ok := accepted[version]; ok {
					rt.Fatalf("version %d was accepted as change %s and %s", version, other, mark)
				}
				accepted[version] = mark
			case errors.Is(err, rollout.ErrOutcomeUnknown):
			default:
				refused[mark] = true
			}
			net.clock.Advance(time.Second)
		}
		net.store.down, net.store.loseAnswers, net.store.dropCommits, net.store.lateCommits = false, 0, 0, 0
		for _, n := range nodes {
			n.cut = false
		}
		for _, n := range nodes {
			if err := n.Refresh(ctx); err != nil {
				rt.Fatal(err)
			}
			if n.version() != nodes[0].version() {
				rt.Fatalf("versions %d and %d at the end", n.version(), nodes[0].version())
			}
		}
		if len(violations) > 0 {
			rt.Fatalf("%v", violations)
		}
		for version, mark := range installed {
			if refused[mark] {
				rt.Fatalf("change %s was called refused, but is version %d", mark, version)
			}
			if want, ok := accepted[version]; ok && want != mark {
				rt.Fatalf("version %d was accepted as change %s, but is change %s", version, want, mark)
			}
		}
	})
}

// applyInTime runs Apply while the clock is advanced over the pauses of an
// unsettled commit.
func applyInTime(ctx context.Context, net *network, v *node, base uint64, text []byte) (version uint64, err error) {
	trap := net.clock.Trap().NewTimer("rollout", "settle")
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
		_, fired := net.clock.AdvanceNext()
		fired.MustWait(ctx)
	}
}

// BenchmarkApply reports what one change costs at the target size: processor
// time at the accepting VM and at one of 13 receivers, and the bytes of the
// messages and rows. The transport's own bytes are not counted.
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
		net := newNetwork(b)
		a := net.add("a", "region-0")
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
		b.ReportMetric(float64(len(net.store.rows["config/head"].Value)), "head-row-bytes")
		b.ReportMetric(float64(len(net.store.rows[fmt.Sprintf("config/delta/%d", version)].Value)), "delta-row-bytes")
	})
	b.Run("receive", func(b *testing.B) {
		net := newNetwork(b)
		a, r := net.add("a", "region-0"), net.add("r", "region-1")
		r.cut = true
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
