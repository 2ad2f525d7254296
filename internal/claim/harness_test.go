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

// hooked calls after with the result of each commit, before its caller gets it.
type hooked struct {
	platform.Table
	after func(error)
}

func (h *hooked) Commit(ctx context.Context, ops []platform.Op) ([]platform.Row, error) {
	rows, err := h.Table.Commit(ctx, ops)
	if h.after != nil {
		h.after(err)
	}
	return rows, err
}

// world is a store with some VMs under a mock clock, in a synctest bubble. The
// clock moves to its next timer only when all goroutines wait.
//
// The bubble's own timers are not used: on go1.26.8 linux/amd64 with -race,
// tests with time.AfterFunc in a bubble crashed in the race detector's runtime
// (SIGSEGV in StackDepot::Put) in 4 of 211 runs.
type world struct {
	Gomega
	store *standin.Server
	clock *quartz.Mock
	ctx   context.Context
	mu    sync.Mutex
	dead  map[vm.ID]bool
	close []func()
}

func (w *world) Alive(id vm.ID, _ uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.dead[id]
}

func (w *world) kill(id vm.ID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead[id] = true
}

// runWorld runs a test in a new world, inside the bubble of its caller.
func runWorld(t quartz.TestingT, test func(w *world)) {
	clock := quartz.NewMock(t).WithLogger(quartz.NoOpLogger)
	w := &world{
		Gomega: NewWithT(t), ctx: context.Background(), dead: map[vm.ID]bool{},
		clock: clock, store: standin.NewServer(clock, 1),
	}
	stop := make(chan struct{})
	var driver sync.WaitGroup
	driver.Go(func() { w.drive(stop) })
	defer driver.Wait()
	defer close(stop)
	defer func() {
		w.store.SetFaults()
		for _, c := range w.close {
			c()
		}
	}()
	test(w)
}

// drive moves the clock until stop is closed.
func (w *world) drive(stop chan struct{}) {
	for idle := 0; ; {
		synctest.Wait()
		select {
		case <-stop:
			return
		default:
		}
		if _, ok := w.clock.Peek(); ok {
			_, advanced := w.clock.AdvanceNext()
			advanced.MustWait(w.ctx)
			idle = 0
			continue
		}
		if idle++; idle > 1000 {
			panic("all goroutines wait and no timer runs")
		}
		time.Sleep(time.Millisecond) // bubble time: ends at once
	}
}

func (w *world) sleep(d time.Duration) {
	if d > 0 {
		<-w.clock.NewTimer(d).C
	}
}

// clockContext has a deadline by the mock clock.
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

func (w *world) timeout(d time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(w.ctx)
	t := w.clock.AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return clockContext{ctx, w.clock.Now().Add(d)}, func() {
		t.Stop()
		cancel(nil)
	}
}

func (w *world) ledger(id vm.ID, options ...claim.Option) (*claim.TableClaimer, *hooked) {
	h := &hooked{Table: w.store.Client(string(id))}
	self := func() vm.Info { return vm.Info{ID: id, Incarnation: 7} }
	l := claim.New(h, self, w, w.clock, log.NewNopLogger(), tally.NoopScope, options...)
	w.close = append(w.close, func() {
		ctx, cancel := w.timeout(time.Minute)
		defer cancel()
		_ = l.Close(ctx)
	})
	return l, h
}

// claimAll makes n claims at once and returns those granted.
func (w *world) claimAll(l *claim.TableClaimer, n int) []*claim.Claim {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var granted []*claim.Claim
	for i := range n {
		wg.Go(func() {
			c, err := l.Claim(w.ctx, claim.Key{Key: fmt.Sprint(i)})
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

// bubble returns a spec that runs test in a world of its own.
func bubble(test func(w *world)) func() {
	return func() {
		failed := true
		synctest.Test(suite, func(t *testing.T) {
			defer func() { failed = t.Failed() }()
			runWorld(t, test)
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

func (w *world) expectRefused(err error, k outcome.Kind, r outcome.Reason, status int) {
	e := refusal(err)
	w.Expect([]any{e.Kind, e.Reason, e.Status}).To(Equal([]any{k, r, status}), "%v", err)
}
