package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/platform"
)

const (
	// registerTimeout bounds one write or deletion of the row of a VM in the
	// store.
	registerTimeout = 2 * time.Second
	// registerRetryPause is the least pause after a write that was not
	// confirmed. A random time of up to the same length is added.
	registerRetryPause = 500 * time.Millisecond
	// registrationCheckInterval is the time between two checks that the row
	// of this VM still exists, and between two removals of silent VMs.
	registrationCheckInterval = 5 * time.Second
	// maxSilence is how long a VM is not known to be alive (see
	// statesync.Liveness) before its row is removed. It is longer than the pauses
	// and network partitions of normal operation. A VM that comes back later writes its row again.
	maxSilence = 60 * time.Second
)

// register writes the row of this VM until the store has confirmed it, and
// again if another VM has removed it during a long absence of this VM. It runs
// until ctx ends.
func (e *Entry) register(ctx context.Context) error {
	value, err := platform.EncodeVM(e.self)
	if err != nil {
		return err
	}
	pause := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
		if e.registered.Load() && e.listed() {
			pause = registrationCheckInterval
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
		err := e.store.Set(callCtx, platform.TableVMs, e.self.ID, value)
		cancel()
		if err != nil {
			_ = level.Warn(e.log).Log("msg", "write of the row of this VM to the store failed; will be repeated", "err", err)
			pause = registerRetryPause + time.Duration(rand.Int64N(int64(registerRetryPause))) //nolint:gosec // no secret
			continue
		}
		e.registered.Store(true)
		_ = level.Info(e.log).Log("msg", "registered", "address", e.self.Address)
		pause = registrationCheckInterval
	}
}

// listed reports whether the copy of the table of VMs has the row of this VM.
// It returns true if there is no copy yet.
func (e *Entry) listed() bool {
	_, ok := e.state.members.Get(e.self.ID)
	version, _, _ := e.state.members.State()
	return ok || version == 0
}

// removeSilentVMs removes the rows of VMs of this region that have been
// silent for maxSilence. Only the region relay does so (see package statesync).
func (e *Entry) removeSilentVMs(now time.Time) {
	if !e.syncer.IsRegionRelay(now) {
		e.silence.reset()
		return
	}
	for _, id := range e.silence.expired(now, e.state.VMs(), e.liveness.Filter(e.state.VMs(), now), e.self) {
		ctx, cancel := context.WithTimeout(e.ctx, registerTimeout)
		err := e.store.Delete(ctx, platform.TableVMs, id)
		cancel()
		_ = level.Info(e.log).Log("msg", "removal of the row of a silent VM requested", "vm_removed", id, "err", err)
	}
}

// silenceTracker records since when registered VMs of the own region have not
// been alive.
type silenceTracker struct{ since map[string]time.Time }

func (s *silenceTracker) reset() { s.since = nil }

// expired returns the IDs of the VMs of the own region that have been silent
// for maxSilence, from the first call that found them so. After each maxSilence
// of further silence a VM is returned again.
func (s *silenceTracker) expired(now time.Time, registered, alive []fleet.VM, self fleet.VM) []string {
	aliveIDs := map[string]bool{self.ID: true}
	for _, v := range alive {
		aliveIDs[v.ID] = true
	}
	since := map[string]time.Time{}
	var ids []string
	for _, v := range registered {
		if aliveIDs[v.ID] || v.Region != self.Region {
			continue
		}
		silentSince, ok := s.since[v.ID]
		if !ok {
			silentSince = now
		}
		since[v.ID] = silentSince
		if now.Sub(silentSince) >= maxSilence {
			ids = append(ids, v.ID)
			since[v.ID] = now // retry after the same time in case the removal fails
		}
	}
	s.since = since
	return ids
}
