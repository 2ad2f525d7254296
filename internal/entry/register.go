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
	// registerTimeout bounds a write of an entry of a VM.
	registerTimeout = 2 * time.Second
	// registerPause is the pause after a write that was not confirmed.
	registerPause = 500 * time.Millisecond
	// registeredInterval is the pause between two looks at whether the entry of
	// this VM is still there.
	registeredInterval = 5 * time.Second
	// forgetAfter is the silence after which the entry of a VM is removed. It is
	// longer than the pauses and partitions of a usual day; a VM that comes back
	// later writes its entry again.
	forgetAfter = 60 * time.Second
)

// register writes this VM's entry until the store has confirmed it, and again
// if it was removed during a long absence.
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
			pause = registeredInterval
			continue
		}
		call, cancel := context.WithTimeout(ctx, registerTimeout)
		err := e.store.Set(call, platform.TableVMs, e.self.ID, value)
		cancel()
		if err != nil {
			_ = level.Warn(e.log).Log("msg", "entry of this VM not written", "err", err)
			pause = registerPause + time.Duration(rand.Int64N(int64(registerPause))) //nolint:gosec // no secret
			continue
		}
		e.registered.Store(true)
		_ = level.Info(e.log).Log("msg", "registered", "address", e.self.Address)
		pause = registeredInterval
	}
}

// listed reports whether the copy of the table of VMs has this VM, as far as it
// is known.
func (e *Entry) listed() bool {
	_, ok := e.world.members.Get(e.self.ID)
	version, _, _ := e.world.members.State()
	return ok || version == 0
}

// forgetVMs removes the entries of VMs that were silent for long. Only the VM
// that reads the store for its region does so.
func (e *Entry) forgetVMs(now time.Time) {
	if !e.exchange.IsRegionRelay(now) {
		e.silent.reset()
		return
	}
	for _, id := range e.silent.expired(now, e.world.VMs(), e.seen.Filter(e.world.VMs(), now), e.self) {
		ctx, cancel := context.WithTimeout(e.ctx, registerTimeout)
		err := e.store.Delete(ctx, platform.TableVMs, id)
		cancel()
		_ = level.Info(e.log).Log("msg", "entry of a silent VM removed", "vm_removed", id, "err", err)
	}
}

// silence knows since when registered VMs of the own region have been silent.
type silence struct{ since map[string]time.Time }

func (s *silence) reset() { s.since = nil }

// expired returns the VMs of the own region that have been silent for
// forgetAfter.
func (s *silence) expired(now time.Time, registered, alive []fleet.VM, self fleet.VM) []string {
	heard := map[string]bool{self.ID: true}
	for _, v := range alive {
		heard[v.ID] = true
	}
	since := map[string]time.Time{}
	var out []string
	for _, v := range registered {
		if heard[v.ID] || v.Region != self.Region {
			continue
		}
		first, ok := s.since[v.ID]
		if !ok {
			first = now
		}
		since[v.ID] = first
		if now.Sub(first) >= forgetAfter {
			out = append(out, v.ID)
			since[v.ID] = now // tried again after the same time
		}
	}
	s.since = since
	return out
}
