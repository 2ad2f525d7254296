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

// BenchmarkClaims measures how many calls per second are possible with a table
// that takes 300 write transactions/s, where each call writes a claim and its
// outcome. 14 VMs with 64 callers each run for 10 s of fake time, so the
// figures depend on the table's limit and not on the machine.
func BenchmarkClaims(b *testing.B) {
	for _, size := range []int{1, 64} {
		b.Run(fmt.Sprintf("writes/tx=%d", size), func(b *testing.B) {
			for range b.N {
				var calls, refused int
				var seconds float64
				var writes int
				b.StopTimer()
				runBubble(b, func(env *testEnv) {
					calls, refused, seconds = runLoad(env, size)
					writes = len(env.store.Writes())
				})
				b.ReportMetric(float64(calls)/seconds, "claims/s")
				b.ReportMetric(float64(refused)/seconds, "refused/s")
				b.ReportMetric(float64(writes)/seconds, "tx/s")
				b.ReportMetric(0, "ns/op") // real time is not meaningful in a test with fake time
			}
		})
	}
}

// runBubble runs f in fake time. A synctest bubble needs a *testing.T, so the
// benchmark starts a test run to get one.
func runBubble(b *testing.B, f func(env *testEnv)) {
	b.Helper()
	ok := testing.RunTests(func(_, _ string) (bool, error) { return true, nil }, []testing.InternalTest{{
		Name: "load",
		F: func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runInEnv(t, f)
			})
		},
	}})
	if !ok {
		b.Fatal("load failed")
	}
}

func runLoad(env *testEnv, size int) (calls, refused int, seconds float64) {
	const (
		vms, callers = 14, 64
		duration     = 10 * time.Second
	)
	env.store.SetConditions(standin.Conditions{
		WritesPerS: 300, MaxBacklogMs: 2000,
		Faults: []standin.Fault{{DelayMs: 4}}, // round trip and processing time of the table
	})
	start := env.clock.Now()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for v := range vms {
		tc, _ := env.newClaimer(vm.ID(fmt.Sprint(v)), claim.WithBatch(size, 5*time.Millisecond))
		for c := range callers {
			wg.Go(func() {
				for i := 0; env.clock.Since(start) < duration; i++ {
					cl, err := tc.Claim(env.ctx, claim.Key{Tenant: fmt.Sprint(v), Route: fmt.Sprint(c), Key: fmt.Sprint(i)})
					if err == nil {
						err = cl.MarkDone(env.ctx, 200)
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
	return calls, refused, env.clock.Since(start).Seconds()
}
