package entry

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/go-kit/log/level"

	"goldcresthinge.example/goldcresthinge/platform"
)

const (
	// drainLead is the time from the end of readiness until the platform sends
	// no new connections: two checks a second apart, and one in flight.
	drainLead = 2300 * time.Millisecond
	// stopMargin is left between the end of this process and the kill.
	stopMargin = 400 * time.Millisecond
	// settingsInterval is the pause between two looks at the settings file,
	// which may change without a signal.
	settingsInterval = time.Second
)

// ready reports whether new connections should come to this VM.
func (e *Entry) ready() (bool, string) {
	switch {
	case e.draining.Load():
		return false, "draining"
	case e.world.routes.Load() == nil:
		return false, "no configuration yet"
	case len(e.world.fleet.Servers()) == 0:
		return false, "no backend server known"
	}
	return true, ""
}

func (e *Entry) serveReadiness(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadinessPath {
		http.NotFound(w, r)
		return
	}
	if ok, reason := e.ready(); !ok {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Drain stops the VM without cutting off a request. It returns at once; Done is
// closed at the end. Further calls do nothing.
func (e *Entry) Drain() {
	e.stopOnce.Do(func() {
		e.draining.Store(true)
		go e.stop()
	})
}

func (e *Entry) stop() {
	began := time.Now()
	grace := e.node.Load().Bounds.GracePeriod - stopMargin
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(grace))
	defer cancel()
	_ = level.Info(e.log).Log("msg", "planned stop started", "grace_ms", grace.Milliseconds())
	e.closing.Store(true)
	e.unregister(ctx)
	select {
	case <-time.After(drainLead - time.Since(began)):
	case <-ctx.Done():
	}
	if err := e.callers.Shutdown(ctx); err != nil {
		_ = level.Warn(e.log).Log("msg", "requests still in progress at the end of the stop", "requests", e.active.Load(), "err", err)
		_ = e.callers.Close()
	}
	e.cancel()
	_ = e.readiness.Close()
	_ = e.observe.Close()
	if !waitAtMost(stopMargin/2, e.closeRest) {
		// Calls of the store and of siblings may hang for longer than is left.
		_ = level.Warn(e.log).Log("msg", "background work still runs at the end of the stop")
	}
	_ = level.Info(e.log).Log("msg", "stopped", "took_ms", time.Since(began).Milliseconds())
	close(e.stopped)
}

// closeRest ends what callers do not see.
func (e *Entry) closeRest() {
	e.client.Close()
	e.pool.Close()
	e.siblings.Close()
	e.loops.Wait()
}

// waitAtMost runs f and reports whether it ended within d.
func waitAtMost(d time.Duration, f func()) bool {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	select {
	case <-done:
		return true
	case <-time.After(d):
		return false
	}
}

func (e *Entry) unregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if err := e.store.Delete(ctx, platform.TableVMs, e.self.ID); err != nil {
		// Siblings notice the silence of this VM instead.
		_ = level.Warn(e.log).Log("msg", "entry of this VM not removed", "err", err)
	}
}

// watchSettings reads the settings again after the file has changed.
func (e *Entry) watchSettings(ctx context.Context) error {
	last := settingsStamp(e.options.NodeFile)
	return e.every(settingsInterval, func(time.Time) {
		if stamp := settingsStamp(e.options.NodeFile); stamp != last {
			last = stamp
			e.Reload()
		}
	})(ctx)
}

type fileStamp struct {
	modified time.Time
	size     int64
}

func settingsStamp(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{info.ModTime(), info.Size()}
}

// Reload reads the settings file again. Settings that cannot be read change
// nothing. Addresses to listen on stay as they are until the next start.
func (e *Entry) Reload() {
	n, err := platform.ReadNodeSettings(e.options.NodeFile)
	if err != nil {
		_ = level.Error(e.log).Log("msg", "settings not reloaded; the former ones stay in force", "err", err)
		return
	}
	e.setNode(n)
	_ = level.Info(e.log).Log("msg", "settings reloaded", "store", n.Store.Address)
}
