package claim_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/claim"
	"goldcresthinge.example/goldcresthinge/internal/platform/standin"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// BenchmarkClaims measures how many calls per second fit through a table that
// takes 300 write transactions/s, with a claim and its end as one write each.
// 14 VMs with 64 callers each run for 10 s of fake time, so the figures depend
// on the limit and not on the machine.
func BenchmarkClaims(b *testing.B) {
	for _, size := range []int{1, 64} {
		b.Run(fmt.Sprintf("writes/tx=%d", size), func(b *testing.B) {
			for range b.N {
				var calls, refused int
				var seconds float64
				var writes int
				b.StopTimer()
				runBubble(b, func(w *world) {
					calls, refused, seconds = load(w, size)
					writes = len(w.store.Writes())
				})
				b.ReportMetric(float64(calls)/seconds, "claims/s")
				b.ReportMetric(float64(refused)/seconds, "refused/s")
				b.ReportMetric(float64(writes)/seconds, "tx/s")
				b.ReportMetric(0, "ns/op") // real time says nothing here
			}
		})
	}
}

// runBubble runs f in fake time. A bubble needs a *testing.T, which a benchmark
// gets from a test run of its own.
func runBubble(b *testing.B, f func(w *world)) {
	b.Helper()
	ok := testing.RunTests(func(_, _ string) (bool, error) { return true, nil }, []testing.InternalTest{{
		Name: "load",
		F: func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runWorld(t, f)
			})
		},
	}})
	if !ok {
		b.Fatal("load failed")
	}
}

func load(w *world, size int) (calls, refused int, seconds float64) {
	const (
		vms, callers = 14, 64
		length       = 10 * time.Second
	)
	w.store.SetConditions(standin.Conditions{
		WritesPerS: 300, MaxBacklogMs: 2000,
		Faults: []standin.Fault{{DelayMs: 4}}, // round trip and work of the table
	})
	start := w.clock.Now()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for v := range vms {
		l, _ := w.ledger(vm.ID(fmt.Sprint(v)), claim.WithBatch(size, 5*time.Millisecond))
		for c := range callers {
			wg.Go(func() {
				for i := 0; w.clock.Since(start) < length; i++ {
					cl, err := l.Claim(w.ctx, claim.Key{Tenant: fmt.Sprint(v), Route: fmt.Sprint(c), Key: fmt.Sprint(i)})
					if err == nil {
						err = cl.MarkDone(w.ctx, 200)
					}
					mu.Lock()
					if err == nil {
						calls++
					} else {
						refused++
					}
					mu.Unlock()
				}
			})
		}
	}
	wg.Wait()
	return calls, refused, w.clock.Since(start).Seconds()
}
