package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/replica"
	"goldcresthinge.example/goldcresthinge/platform"
)

const (
	// registerTimeout bounds one write or deletion of the row of a VM in the
	// store.
	registerTimeout = 2 * time.Second
	// registerRetryPause is the least pause after a write that was not
	// confirmed. A random time of up to the same length is added.
	registerRetryPause = 500 * time.Millisecond
	// registrationCheckInterval is the time between two removals of silent VMs, and the least time
	// between two writes of the row of this VM in one era of the store. The copy has the row by then.
	registrationCheckInterval = 5 * time.Second
	// rowCheckInterval is the time between two checks that the store has the row of this VM.
	rowCheckInterval = 250 * time.Millisecond
	// maxRewriteDelay is the longest time until this VM writes its row again that the store has lost. All
	// VMs may have to do so at once.
	maxRewriteDelay = time.Second
	// maxSilence is how long a VM is not known to be alive (see
	// statesync.Liveness) before its row is removed. It is longer than the pauses
	// and network partitions of normal operation. A VM that comes back later writes its row again.
	maxSilence = 60 * time.Second
)

// register writes the row of this VM until the store has confirmed it, and
// again if another VM has removed it during a long absence of this VM or the store has
// lost it. It runs until ctx ends.
func (e *Entry) register(ctx context.Context) error {
	value, err := platform.EncodeVM(e.self)
	if err != nil {
		return err
	}
	var w rowWrites
	pause := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
		now := time.Now()
		if e.registered.Load() && !w.due(now, e.storeEra(), e.listed(), rand.Float64()) { //nolint:gosec // no secret
			pause = rowCheckInterval
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
		w.confirmed(time.Now(), e.store.Era())
		_ = level.Info(e.log).Log("msg", "registered", "address", e.self.Address, "era", e.store.Era())
		pause = rowCheckInterval
	}
}

// listed reports whether the copy of the table of VMs has the row of this process.
// It returns true if there is no copy yet.
func (e *Entry) listed() bool {
	if e.state.members.Position().Version == 0 {
		return true
	}
	row, ok := e.state.members.Get(e.self.ID)
	if !ok || row.Lost {
		return false
	}
	v, err := platform.DecodeVM(row.Key, row.Value)
	return err == nil && v.Incarnation == e.self.Incarnation
}

// storeEra returns the latest era of the store that this VM knows of, from its own calls or from siblings.
func (e *Entry) storeEra() replica.Era {
	era := e.store.Era()
	for _, t := range e.state.tables() {
		era = max(era, t.Position().Era)
	}
	return era
}

// rowWrites decides when the row of this VM is written again. The zero value is ready for use.
type rowWrites struct {
	at    time.Time   // time of the latest confirmed write
	era   replica.Era // era of the store in which it was confirmed
	dueAt time.Time   // time of the next write; zero: none is due
}

// confirmed records that the store has confirmed a write in an era.
func (w *rowWrites) confirmed(now time.Time, era replica.Era) { *w = rowWrites{at: now, era: era} }

// due reports whether the row has to be written. era is the latest known one; a store that came back from
// a copy may have lost the row. listed is true if the copy of the table has it. jitter is in [0, 1) and
// spreads the writes of many VMs.
func (w *rowWrites) due(now time.Time, era replica.Era, listed bool, jitter float64) bool {
	restored := era > w.era
	if !restored && (listed || now.Sub(w.at) < registrationCheckInterval) {
		w.dueAt = time.Time{}
		return false
	}
	if w.dueAt.IsZero() {
		w.dueAt = now
		if restored {
			w.dueAt = now.Add(time.Duration(jitter * float64(maxRewriteDelay)))
		}
	}
	return !now.Before(w.dueAt)
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
