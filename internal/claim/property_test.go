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

// model is the expected state of one key: the VM with the permission and the
// outcome of the call.
type model struct {
	mu         sync.Mutex
	holder     string // VM with the permission; empty if none has it or it was released as not run
	claim      *claim.Claim
	done       int // HTTP status of the answer; 0 if the call was not answered
	violations []string
	grants     int
}

func (m *model) recordResult(vmName string, c *claim.Claim, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var d *claim.DuplicateError
	switch {
	case err == nil && m.holder != "":
		m.violations = append(m.violations, fmt.Sprintf("%s got the permission that %s holds", vmName, m.holder))
	case err == nil:
		m.holder, m.claim = vmName, c
		m.grants++
	case errors.As(err, &d) && d.EarlierStatus != m.done:
		m.violations = append(m.violations, fmt.Sprintf("%s got the earlier status %d, want %d", vmName, d.EarlierStatus, m.done))
	case refusal(err).Kind == outcome.Answered && m.done == 0:
		m.violations = append(m.violations, fmt.Sprintf("%s got an earlier answer, but the call was not answered", vmName))
	}
}

// end ends the call of the current claim, if there is one. A status of 0 means
// that the call was not run, 1 that its outcome is unknown, and 100 or more
// that it was answered with this HTTP status. The model frees the
// key before it calls MarkNotRun, since a grant is allowed as soon as
// MarkNotRun has begun.
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

// Guards against two runs of one request: under any schedule of VMs, retries,
// lost leases, restarts and faults of the store, at most one attempt of a key
// gets the permission, unless an earlier one was released as not run. When all
// faults have ended and no VM was restarted, a key whose attempts were all
// released can be claimed.
func TestAtMostOnePermissionPerKey(t *testing.T) {
	var grants, released int
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			runInEnv(t, func(env *testEnv) {
				claimers := make([]*claim.TableClaimer, rapid.IntRange(2, 4).Draw(t, "vms"))
				name := func(i int) vm.ID { return vm.ID(fmt.Sprintf("vm-%d", i)) }
				batch := claim.WithBatch(rapid.SampledFrom([]int{1, 2, 64}).Draw(t, "batch"), 5*time.Millisecond)
				for i := range claimers {
					claimers[i], _ = env.newClaimer(name(i), batch)
				}
				keys := make([]model, 2)
				restarted := false
				var wg sync.WaitGroup
				drawVM := func() int { return rapid.IntRange(0, len(claimers)-1).Draw(t, "vm") }
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
					if i := rapid.IntRange(-1, len(claimers)-1).Draw(t, "caller"); i >= 0 {
						f.Callers = []string{string(name(i))}
					}
					return f
				})
				t.Repeat(map[string]func(*rapid.T){
					"claim": func(t *rapid.T) {
						k, i := rapid.IntRange(0, len(keys)-1).Draw(t, "key"), drawVM()
						timeout := time.Duration(rapid.SampledFrom([]int{2, 40, 1000, 10000}).Draw(t, "ms")) * time.Millisecond
						tc := claimers[i]
						wg.Go(func() {
							ctx, cancel := env.timeout(timeout)
							defer cancel()
							c, err := tc.Claim(ctx, claim.Key{Key: fmt.Sprint(k)})
							keys[k].recordResult(string(name(i)), c, err)
						})
					},
					"end": func(t *rapid.T) {
						k := rapid.IntRange(0, len(keys)-1).Draw(t, "key")
						// Mostly not run, since after other outcomes the key
						// can't be claimed again.
						status := rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 1, 200}).Draw(t, "status")
						wg.Go(func() {
							ctx, cancel := env.timeout(time.Second)
							defer cancel()
							keys[k].end(ctx, status)
						})
					},
					"fault":      func(t *rapid.T) { env.store.SetFaults(rapid.SliceOfN(fault, 1, 2).Draw(t, "faults")...) },
					"no fault":   func(*rapid.T) { env.store.SetFaults() },
					"drop lease": func(*rapid.T) { env.dropLease(name(drawVM())) },
					"restart": func(*rapid.T) {
						// The previous claimer stays in use, as it does at a
						// paused VM that resumes.
						i := drawVM()
						claimers[i], _ = env.newClaimer(name(i), batch)
						restarted = true
					},
					"wait": func(t *rapid.T) {
						env.sleep(time.Duration(rapid.SampledFrom([]int{0, 1, 5, 30, 500, 4000, 15000}).Draw(t, "ms")) * time.Millisecond)
					},
					"": func(t *rapid.T) {
						for i := range keys {
							keys[i].mu.Lock()
							if f := keys[i].violations; len(f) > 0 {
								t.Errorf("key %d: %v", i, f)
							}
							keys[i].mu.Unlock()
						}
					},
				})
				env.store.SetFaults()
				wg.Wait()
				env.sleep(time.Minute)
				for k := range keys {
					m := &keys[k]
					grants += m.grants
					if m.grants > 0 && m.holder == "" {
						released++
					}
					free := m.holder == "" && !restarted
					for i, tc := range claimers {
						c, err := tc.Claim(env.ctx, claim.Key{Key: fmt.Sprint(k)})
						m.recordResult(string(name(i)), c, err)
					}
					if free && m.holder == "" {
						t.Errorf("key %d can't be claimed by any VM", k)
					}
					if len(m.violations) > 0 {
						t.Errorf("key %d: %v", k, m.violations)
					}
				}
			})
		})
	})
	if grants == 0 || released == 0 {
		t.Errorf("%d grants and %d released keys, want at least one of each", grants, released)
	}
	t.Logf("%d grants, %d keys released at the end", grants, released)
}
