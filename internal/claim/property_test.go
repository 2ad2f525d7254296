package claim_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"goldcresthinge.example/goldcresthinge/internal/claim"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/platform/standin"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// model is what is known of one key: who may send, and how that ended.
type model struct {
	mu     sync.Mutex
	holder string // VM with the permission; empty: nobody, or released as not run
	claim  *claim.Claim
	done   int // status, if the call was answered
	faults []string
	grants int
}

func (m *model) observe(who string, c *claim.Claim, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var d *claim.DuplicateError
	switch {
	case err == nil && m.holder != "":
		m.faults = append(m.faults, fmt.Sprintf("%s got the permission that %s has", who, m.holder))
	case err == nil:
		m.holder, m.claim = who, c
		m.grants++
	case errors.As(err, &d) && d.EarlierStatus != m.done:
		m.faults = append(m.faults, fmt.Sprintf("%s was told of status %d, not %d", who, d.EarlierStatus, m.done))
	case refusal(err).Kind == outcome.Answered && m.done == 0:
		m.faults = append(m.faults, fmt.Sprintf("%s was told of an answer that was not given", who))
	}
}

// end ends the call of the current claim, if there is one. Freeing the model
// before MarkNotRun is called allows a grant as soon as that call has begun.
func (m *model) end(ctx context.Context, status int) {
	m.mu.Lock()
	c := m.claim
	m.claim = nil
	if c != nil && status == 0 {
		m.holder = ""
	}
	if c != nil && status >= 100 {
		m.done = status
	}
	m.mu.Unlock()
	switch {
	case c == nil:
	case status == 0:
		_ = c.MarkNotRun(ctx)
	case status == 1:
		_ = c.MarkUnknown(ctx)
	default:
		_ = c.MarkDone(ctx, status)
	}
}

// Guards G7: under any schedule of VMs, retries, deaths, restarts and faults of
// the store, at most one attempt of a key gets the permission to send, unless
// an earlier one was released as not run. When all faults are over and no VM
// lost its memory, a key whose attempts were all released can be claimed.
func TestAtMostOnePermissionPerKey(t *testing.T) {
	var grants, released int
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			runWorld(t, func(w *world) {
				ledgers := make([]*claim.TableClaimer, rapid.IntRange(2, 4).Draw(t, "vms"))
				name := func(i int) vm.ID { return vm.ID(fmt.Sprintf("vm-%d", i)) }
				batch := claim.WithBatch(rapid.SampledFrom([]int{1, 2, 64}).Draw(t, "batch"), 5*time.Millisecond)
				for i := range ledgers {
					ledgers[i], _ = w.ledger(name(i), batch)
				}
				keys := make([]model, 2)
				restarted := false
				var wg sync.WaitGroup
				drawVM := func() int { return rapid.IntRange(0, len(ledgers)-1).Draw(t, "vm") }
				fault := rapid.Custom(func(t *rapid.T) standin.Fault {
					f := rapid.SampledFrom([]standin.Fault{
						{Down: true},
						{Reset: true},
						{DropResponse: true},
						{Blocked: true},
						{DelayMs: 30},
						{DelayMs: 700},
						{DelayMs: 2500},
						{DelayMs: 30, DropResponse: true},
					}).Draw(t, "fault")
					f.WritesOnly = rapid.Bool().Draw(t, "writes only")
					f.Share = rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "share")
					if i := rapid.IntRange(-1, len(ledgers)-1).Draw(t, "caller"); i >= 0 {
						f.Callers = []string{string(name(i))}
					}
					return f
				})
				t.Repeat(map[string]func(*rapid.T){
					"claim": func(t *rapid.T) {
						k, i := rapid.IntRange(0, len(keys)-1).Draw(t, "key"), drawVM()
						patience := time.Duration(rapid.SampledFrom([]int{2, 40, 1000, 10000}).Draw(t, "ms")) * time.Millisecond
						l := ledgers[i]
						wg.Go(func() {
							ctx, cancel := w.timeout(patience)
							defer cancel()
							c, err := l.Claim(ctx, claim.Key{Key: fmt.Sprint(k)})
							keys[k].observe(string(name(i)), c, err)
						})
					},
					"end": func(t *rapid.T) {
						k := rapid.IntRange(0, len(keys)-1).Draw(t, "key")
						// Mostly not run, since other ends leave nothing to test for the key.
						status := rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 1, 200}).Draw(t, "status")
						wg.Go(func() {
							ctx, cancel := w.timeout(time.Second)
							defer cancel()
							keys[k].end(ctx, status)
						})
					},
					"fault":    func(t *rapid.T) { w.store.SetFaults(rapid.SliceOfN(fault, 1, 2).Draw(t, "faults")...) },
					"no fault": func(*rapid.T) { w.store.SetFaults() },
					"die":      func(*rapid.T) { w.kill(name(drawVM())) },
					"restart": func(*rapid.T) {
						// The old ledger works on, as a paused VM that resumes would.
						i := drawVM()
						ledgers[i], _ = w.ledger(name(i), batch)
						restarted = true
					},
					"wait": func(t *rapid.T) {
						w.sleep(time.Duration(rapid.SampledFrom([]int{0, 1, 5, 30, 500, 4000, 15000}).Draw(t, "ms")) * time.Millisecond)
					},
					"": func(t *rapid.T) {
						for i := range keys {
							keys[i].mu.Lock()
							if f := keys[i].faults; len(f) > 0 {
								t.Errorf("key %d: %v", i, f)
							}
							keys[i].mu.Unlock()
						}
					},
				})
				w.store.SetFaults()
				wg.Wait()
				w.sleep(time.Minute)
				for k := range keys {
					m := &keys[k]
					grants += m.grants
					if m.grants > 0 && m.holder == "" {
						released++
					}
					free := m.holder == "" && !restarted
					for i, l := range ledgers {
						c, err := l.Claim(w.ctx, claim.Key{Key: fmt.Sprint(k)})
						m.observe(string(name(i)), c, err)
					}
					if free && m.holder == "" {
						t.Errorf("key %d can't be claimed by any VM", k)
					}
					if len(m.faults) > 0 {
						t.Errorf("key %d: %v", k, m.faults)
					}
				}
			})
		})
	})
	if grants == 0 || released == 0 {
		t.Errorf("%d grants and %d released keys: the schedules test nothing", grants, released)
	}
	t.Logf("%d grants, %d keys released at the end", grants, released)
}
