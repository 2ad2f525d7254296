package entry

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/go-kit/log/level"

	"goldcresthinge.example/goldcresthinge/internal/front"
	"goldcresthinge.example/goldcresthinge/platform"
)

const (
	// readinessPropagationDelay is the time from the end of readiness until the
	// platform sends no new connections: two checks that are one second apart,
	// and one check in flight.
	readinessPropagationDelay = 2300 * time.Millisecond
	// lateRequestDelay is the time from the start of a planned stop from which requests
	// arrive only on connections that callers have opened before.
	lateRequestDelay = readinessPropagationDelay + 500*time.Millisecond
	// stopMargin is the part of the platform's grace period that is left
	// between the end of this process and the kill.
	stopMargin = 400 * time.Millisecond
	// answerMargin is the time before the end of the grace period at which the
	// requests still in progress are answered as refused or timed out. Otherwise their
	// connections would be closed without an answer.
	answerMargin = 250 * time.Millisecond
	// settingsPollInterval is the time between two checks of the settings file,
	// which may change without a signal.
	settingsPollInterval = time.Second
)

// ready reports whether the platform should send new connections to this VM,
// and the reason if not.
func (e *Entry) ready() (bool, string) {
	switch {
	case e.draining.Load():
		return false, "draining"
	case e.state.routes.Load() == nil:
		return false, "no configuration yet"
	case e.state.hasTeams() && !e.state.siblingsAsked():
		return false, "keys are not confirmed by a sibling yet"
	case len(e.state.fleet.Servers()) == 0:
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

// Drain starts the planned stop of the VM: requests in progress are completed
// within the grace period. It returns at once; Done is closed at the end.
// Further calls do nothing.
func (e *Entry) Drain() {
	e.stopOnce.Do(func() {
		e.draining.Store(true)
		go e.stop()
	})
}

func (e *Entry) stop() {
	started := time.Now()
	grace := e.node.Load().Bounds.GracePeriod - stopMargin
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(grace))
	defer cancel()
	_ = level.Info(e.log).Log("msg", "planned stop started", "grace_ms", grace.Milliseconds())
	requestsEnd := started.Add(grace - answerMargin)
	e.plannedStop.Store(&front.PlannedStop{LateFrom: started.Add(lateRequestDelay), End: requestsEnd})
	e.disableKeepAlives.Store(true)
	e.unregister(ctx)
	select {
	case <-time.After(readinessPropagationDelay - time.Since(started)):
	case <-ctx.Done():
	}
	end := time.AfterFunc(time.Until(requestsEnd), e.endRequests)
	defer end.Stop()
	if err := front.Drain(ctx, e.callerListener, e.callerServer, e.log); err != nil {
		_ = level.Warn(e.log).Log("msg", "requests still in progress at the end of the grace period; closing their connections", "requests", e.activeRequests.Load(), "err", err)
		_ = e.callerServer.Close()
	}
	e.cancel()
	_ = e.readinessServer.Close()
	_ = e.adminServer.Close()
	if !finishesWithin(stopMargin/2, e.closeBackground) {
		// Calls to the store and to siblings may block for longer than the time
		// that is left.
		_ = level.Warn(e.log).Log("msg", "background work did not end before the end of the grace period")
	}
	_ = level.Info(e.log).Log("msg", "stopped", "took_ms", time.Since(started).Milliseconds())
	close(e.stopped)
}

// plannedStopTimes returns the times of a planned stop, or the zero value if none has begun.
func (e *Entry) plannedStopTimes() front.PlannedStop {
	if s := e.plannedStop.Load(); s != nil {
		return *s
	}
	return front.PlannedStop{}
}

// closeBackground closes the connections to siblings and backend servers and
// waits for the background loops.
func (e *Entry) closeBackground() {
	e.siblingClient.Close()
	e.pool.Close()
	e.siblingServer.Close()
	e.loops.Wait()
}

// finishesWithin runs f and reports whether it returned within d. If not, f
// goes on in the background.
func finishesWithin(d time.Duration, f func()) bool {
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
		// Siblings remove the row later because this VM is silent.
		_ = level.Warn(e.log).Log("msg", "removal of the row of this VM failed", "err", err)
	}
}

// watchSettings reloads the settings whenever the time or size of the settings
// file has changed. It runs until ctx ends.
func (e *Entry) watchSettings(ctx context.Context) error {
	last := settingsStamp(e.options.NodeFile)
	return e.every(settingsPollInterval, func(time.Time) {
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

// Reload reads the settings file again. If it cannot be read, the previous
// settings stay in effect. New addresses to listen on take effect at the next
// start only.
func (e *Entry) Reload() {
	n, err := platform.ReadNodeSettings(e.options.NodeFile)
	if err != nil {
		_ = level.Error(e.log).Log("msg", "settings not reloaded; the previous settings stay in effect", "err", err)
		return
	}
	e.setNode(n)
	_ = level.Info(e.log).Log("msg", "settings reloaded", "store", n.Store.Address)
}
