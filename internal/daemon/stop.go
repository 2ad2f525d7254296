package daemon

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// releaseTimeout bounds the handover of pools at a planned stop. With the
	// store down they cannot be handed over; the lease then expires.
	releaseTimeout = 10 * time.Second
	// claimsTimeout bounds the wait for claims whose end is not stored yet at a
	// planned stop. The handover has just shown whether the store responds; if
	// it does not, the VM must not stay until the outage ends. Keys whose end
	// is not stored stay claimed, and repeats of them get an unknown outcome.
	claimsTimeout = 3 * time.Second
	// drainPoll is the interval at which calls in flight are counted.
	drainPoll = 20 * time.Millisecond
)

// Drain implements operatorapi.Process: it starts a planned stop and returns.
func (d *Daemon) Drain() {
	go func() { _ = d.Stop(context.Background()) }()
}

// Stop ends the daemon without cutting off a request: readiness goes off,
// pools move to siblings, calls in progress end, and the lease is released.
// Further calls wait for the first. If ctx ends before, what is left is cut
// off.
func (d *Daemon) Stop(ctx context.Context) error {
	d.stopOnce.Do(func() {
		go func() {
			defer close(d.stopped)
			d.stop(ctx)
		}()
	})
	<-d.stopped
	return ctx.Err()
}

func (d *Daemon) stop(ctx context.Context) {
	d.draining.Store(true)
	_ = level.Info(d.log).Log("msg", "planned stop started", "drain_lead", d.settings.DrainLead)
	d.keeper.Leave()
	sleep(ctx, d.settings.DrainLead)
	// Shutdown waits for the calls in progress; new connections are refused.
	_ = d.callers.Shutdown(ctx)
	// Reports go to the owners of keys while this VM still knows who they are.
	reportCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	d.region.Close(reportCtx)
	cancel()
	releaseCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	if err := d.keeper.Release(releaseCtx); err != nil {
		_ = level.Warn(d.log).Log("msg", "pools not handed over; the lease will expire", "err", err)
	}
	cancel()
	d.closing.Store(true)
	d.waitForForwards(ctx)
	claimsCtx, cancel := context.WithTimeout(ctx, claimsTimeout)
	if err := d.ledger.Close(claimsCtx); err != nil {
		_ = level.Warn(d.log).Log("msg", "some claims are not settled and stay unknown", "err", err)
	}
	cancel()
	d.cancel()
	d.loops.Wait()
	d.siblings.Close()
	d.client.Close()
	d.sender.Close()
	d.workers.StopAndWait()
	_ = d.operators.Close()
	_ = d.metrics.Close()
	_ = level.Info(d.log).Log("msg", "stopped")
}

// serveCaller asks callers to connect elsewhere once a planned stop has begun,
// so that few connections are left when the listener closes.
func (d *Daemon) serveCaller(w http.ResponseWriter, r *http.Request) {
	if d.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	d.gateway.ServeHTTP(w, r)
}

func (d *Daemon) waitForForwards(ctx context.Context) {
	for d.forwards.Load() > 0 && ctx.Err() == nil {
		sleep(ctx, drainPoll)
	}
}

func sleep(ctx context.Context, t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// countedBody reports once that a forwarded answer has ended.
type countedBody struct {
	io.ReadCloser
	end  func()
	once sync.Once
}

// Close implements io.Closer.
func (b *countedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.end)
	return err
}
