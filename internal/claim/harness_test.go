package claim_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"
	"github.com/go-kit/log"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"goldcresthinge.example/goldcresthinge/internal/claim"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/platform"
	"goldcresthinge.example/goldcresthinge/internal/platform/standin"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// hookedTable calls afterCommit with the error of each commit, before the
// caller of Commit gets it.
type hookedTable struct {
	platform.Table
	afterCommit func(error)
}

func (t *hookedTable) Commit(ctx context.Context, ops []platform.Op) ([]platform.Row, error) {
	rows, err := t.Table.Commit(ctx, ops)
	if t.afterCommit != nil {
		t.afterCommit(err)
	}
	return rows, err
}

// testEnv is a store with some VMs under a mock clock, in a synctest bubble.
// The clock moves to its next timer only when all goroutines are blocked.
//
// The bubble's own timers are not used: on go1.26.8 linux/amd64 with -race,
// tests with time.AfterFunc in a bubble crashed in the race detector's runtime
// (SIGSEGV in StackDepot::Put) in 4 of 211 runs.
type testEnv struct {
	Gomega
	store        *standin.Server
	clock        *quartz.Mock
	ctx          context.Context
	mu           sync.Mutex
	withoutLease map[vm.ID]bool
	close        []func()
}

func (env *testEnv) Alive(id vm.ID, _ uint64) bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	return !env.withoutLease[id]
}

func (env *testEnv) dropLease(id vm.ID) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.withoutLease[id] = true
}

// runInEnv runs a test in a new testEnv, inside the bubble of its caller.
func runInEnv(t quartz.TestingT, test func(env *testEnv)) {
	clock := quartz.NewMock(t).WithLogger(quartz.NoOpLogger)
	env := &testEnv{
		Gomega: NewWithT(t), ctx: context.Background(), withoutLease: map[vm.ID]bool{},
		clock: clock, store: standin.NewServer(clock, 1),
	}
	stop := make(chan struct{})
	var driver sync.WaitGroup
	driver.Go(func() { env.advanceClock(stop) })
	defer driver.Wait()
	defer close(stop)
	defer func() {
		env.store.SetFaults()
		for _, c := range env.close {
			c()
		}
	}()
	test(env)
}

// advanceClock moves the clock to its next timer whenever all goroutines are
// blocked, until stop is closed.
func (env *testEnv) advanceClock(stop chan struct{}) {
	for idle := 0; ; {
		synctest.Wait()
		select {
		case <-stop:
			return
		default:
		}
		if _, ok := env.clock.Peek(); ok {
			_, advanced := env.clock.AdvanceNext()
			advanced.MustWait(env.ctx)
			idle = 0
			continue
		}
		if idle++; idle > 1000 {
			panic("all goroutines are blocked and no timer is set")
		}
		time.Sleep(time.Millisecond) // returns at once, since it uses the time of the bubble
	}
}

func (env *testEnv) sleep(d time.Duration) {
	if d > 0 {
		<-env.clock.NewTimer(d).C
	}
}

// clockContext is a context with a deadline by the mock clock.
type clockContext struct {
	context.Context
	deadline time.Time
}

func (c clockContext) Deadline() (time.Time, bool) { return c.deadline, true }

func (c clockContext) Err() error {
	if cause := context.Cause(c.Context); errors.Is(cause, context.DeadlineExceeded) {
		return cause
	}
	return c.Context.Err()
}

func (env *testEnv) timeout(d time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(env.ctx)
	t := env.clock.AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return clockContext{ctx, env.clock.Now().Add(d)}, func() {
		t.Stop()
		cancel(nil)
	}
}

func (env *testEnv) newClaimer(id vm.ID, options ...claim.Option) (*claim.TableClaimer, *hookedTable) {
	table := &hookedTable{Table: env.store.Client(string(id))}
	self := func() vm.Info { return vm.Info{ID: id, Incarnation: 7} }
	tc := claim.New(table, self, env, env.clock, log.NewNopLogger(), tally.NoopScope, options...)
	env.close = append(env.close, func() {
		ctx, cancel := env.timeout(time.Minute)
		defer cancel()
		_ = tc.Close(ctx)
	})
	return tc, table
}

// claimAll makes n concurrent claims with distinct keys and returns those
// granted.
func (env *testEnv) claimAll(tc *claim.TableClaimer, n int) []*claim.Claim {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var granted []*claim.Claim
	for i := range n {
		wg.Go(func() {
			c, err := tc.Claim(env.ctx, claim.Key{Key: fmt.Sprint(i)})
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				granted = append(granted, c)
			}
		})
	}
	wg.Wait()
	return granted
}

var suite *testing.T

// inBubble returns a spec that runs test with a testEnv of its own in a
// synctest bubble.
func inBubble(test func(env *testEnv)) func() {
	return func() {
		failed := true
		synctest.Test(suite, func(t *testing.T) {
			defer func() { failed = t.Failed() }()
			runInEnv(t, test)
		})
		Expect(failed).To(BeFalse())
	}
}

// refusal returns the outcome of a refused claim.
func refusal(err error) outcome.Error {
	var e *outcome.Error
	if !errors.As(err, &e) {
		return outcome.Error{Detail: fmt.Sprintf("not an outcome: %v", err)}
	}
	return *e
}

func (env *testEnv) expectRefused(err error, k outcome.Kind, r outcome.Reason, status int) {
	e := refusal(err)
	env.Expect([]any{e.Kind, e.Reason, e.Status}).To(Equal([]any{k, r, status}), "%v", err)
}
