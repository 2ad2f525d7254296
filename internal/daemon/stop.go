package daemon

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// releaseTimeout bounds the handover of pools at a planned stop, and before
	// it the sending of claim reports. While the store is not reachable pools
	// cannot be handed over; siblings take them when the lease has expired.
	releaseTimeout = 10 * time.Second
	// claimOutcomeTimeout bounds the wait at a planned stop for claims whose outcome
	// is not stored yet. The handover just before has shown whether the store
	// responds; if it does not, the VM must not keep running until the outage
	// ends. Keys without a stored outcome stay claimed, and repeated requests
	// with them get an unknown outcome.
	claimOutcomeTimeout = 3 * time.Second
	// drainPollInterval is the interval at which a planned stop checks whether
	// forwards are still in progress.
	drainPollInterval = 20 * time.Millisecond
)

// Drain implements operatorapi.Process. It starts a planned stop without a time
// limit and returns at once.
func (d *Daemon) Drain() {
	go func() { _ = d.Stop(context.Background()) }()
}

// Stop ends the daemon without cutting off requests: it turns readiness off, hands
// the pools to siblings, waits for calls in progress and releases the lease.
// Further calls wait for the first one. When the ctx of the first call ends, Stop
// cuts off the requests still in progress. It returns the error of ctx.
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
	d.leases.Leave()
	sleep(ctx, d.settings.DrainLead)
	// Shutdown refuses new connections and waits for the calls in progress.
	_ = d.callers.Shutdown(ctx)
	// Claim reports are sent before the pools are released, while this VM still
	// knows the owners of the claim partitions.
	reportCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	d.regionClaimClient.Close(reportCtx)
	cancel()
	releaseCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	if err := d.leases.Release(releaseCtx); err != nil {
		_ = level.Warn(d.log).Log("msg", "pools not handed over at planned stop; siblings take them when the lease has expired", "err", err)
	}
	cancel()
	d.refuseForwards.Store(true)
	d.waitForForwards(ctx)
	claimsCtx, cancel := context.WithTimeout(ctx, claimOutcomeTimeout)
	if err := d.tableClaimer.Close(claimsCtx); err != nil {
		_ = level.Warn(d.log).Log("msg", "claims without a stored outcome at planned stop; repeated requests with their keys get an unknown outcome", "err", err)
	}
	cancel()
	d.cancel()
	d.loops.Wait()
	d.siblings.Close()
	d.client.Close()
	d.backendSender.Close()
	d.workers.StopAndWait()
	_ = d.operators.Close()
	_ = d.metrics.Close()
	_ = level.Info(d.log).Log("msg", "stopped")
}

// serveCaller passes a request to the gateway. During a planned stop the answer
// asks the caller to close the connection and connect to another VM, which leaves
// few connections open when the listener closes.
func (d *Daemon) serveCaller(w http.ResponseWriter, r *http.Request) {
	d.gateway.ServeHTTP(&drainWriter{ResponseWriter: w, draining: &d.draining}, r)
}

// drainWriter closes the connection after answers that are sent during a planned stop, also if
// their requests arrived before.
type drainWriter struct {
	http.ResponseWriter
	draining *atomic.Bool
}

// WriteHeader implements http.ResponseWriter. The gateway calls it for each answer.
func (w *drainWriter) WriteHeader(status int) {
	if w.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the wrapped writer to http.ResponseController.
func (w *drainWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// waitForForwards returns when no forward of a sibling is in progress or ctx ends.
func (d *Daemon) waitForForwards(ctx context.Context) {
	for d.forwardsInFlight.Load() > 0 && ctx.Err() == nil {
		sleep(ctx, drainPollInterval)
	}
}

// sleep returns after t or when ctx ends.
func sleep(ctx context.Context, t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// countedBody calls onClose at the first Close of the body of a forwarded answer.
type countedBody struct {
	io.ReadCloser
	onClose func()
	once    sync.Once
}

// Close implements io.Closer.
func (b *countedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.onClose)
	return err
}
