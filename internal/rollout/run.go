package rollout

import (
	"context"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/platform"
)

// Run keeps the configuration up to date until ctx ends, and then returns nil.
// It reads the head row every PollInterval on average, and fetches whenever a
// higher version is seen. It must be called once only.
func (s *Syncer) Run(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		failures++
		if err := s.Refresh(ctx); err == nil { // Refresh logs the error
			failures = 0
		}
		s.waitForPoll(ctx, pollDelay(failures, s.Jitter()))
	}
	return nil
}

// waitForPoll returns after delay, when the next read of the head row is due,
// or when ctx ends. In the meantime it pulls from siblings that have a higher
// version. If no sibling sends that version, it reads the store and then only
// waits for the timer. Otherwise each heartbeat that states a version which
// can't be obtained would cause a read of the store.
func (s *Syncer) waitForPoll(ctx context.Context, delay time.Duration) {
	timer := s.Clock.NewTimer(delay, "rollout", "poll")
	defer timer.Stop()
	wakeup := s.wakeup
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-wakeup:
			if s.pullHighest(ctx) == nil {
				continue
			}
			_ = s.Refresh(ctx) // Refresh logs the error
			wakeup = nil
		}
	}
}

// Refresh reads the head row once and fetches its version from the store. If no
// version is in force after that, it queries all known VMs. It then pulls from
// siblings if one of them has a higher version, so without the store this VM
// gets the highest version among the VMs that respond. It returns the error of
// reading from the store.
func (s *Syncer) Refresh(ctx context.Context) error {
	readCtx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	sent := s.Clock.Now()
	head, err := readHead(readCtx, s.Table)
	cancel()
	if err == nil {
		s.mu.Lock()
		s.progress.recordConfirmation(sent, head.Version)
		s.progress.dropSilentSiblings(sent)
		s.mu.Unlock()
		if !s.hasVersion(head.Version) {
			err = s.fetchFromStore(ctx, head)
		}
	}
	if s.Current() == nil {
		s.queryVersions(ctx, s.knownVMs(ctx))
	}
	pullErr := s.pullHighest(ctx)
	if ctx.Err() == nil {
		s.logFailureOrRecovery("reading the configuration from the store", err)
		s.logFailureOrRecovery("pulling the configuration from siblings", pullErr)
	}
	return err
}

// listVMs returns the platform's list of VMs. If it can't be read, the last
// list that was read is returned.
func (s *Syncer) listVMs(ctx context.Context) []platform.VMEntry {
	if s.VMs == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	list, err := s.VMs.List(ctx)
	s.logFailureOrRecovery("reading the platform's list of VMs", err)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.lastVMList = list
	}
	return s.lastVMList
}
