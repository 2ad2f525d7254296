package rollout

import (
	"context"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/platform"
)

// Run keeps the configuration up to date until ctx ends, and then returns nil.
// It reads the head every PollInterval and fetches whenever a higher version
// is seen. It must run once.
func (s *Syncer) Run(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		failures++
		if err := s.Refresh(ctx); err == nil { // an error is logged
			failures = 0
		}
		s.wait(ctx, pollDelay(failures, s.Jitter()))
	}
	return nil
}

// wait returns after delay, when the next read of the head is due. In between it pulls from
// siblings that have a higher version. If nobody gives that version, it reads
// the store, and then waits for the timer, so that heartbeats of a version that
// cannot be had do not cause a read each.
func (s *Syncer) wait(ctx context.Context, delay time.Duration) {
	timer := s.Clock.NewTimer(delay, "rollout", "poll")
	defer timer.Stop()
	kick := s.kick
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-kick:
			if s.pullHighest(ctx) == nil {
				continue
			}
			_ = s.Refresh(ctx) // logged
			kick = nil
		}
	}
}

// Refresh reads the head once and fetches its version. Before the first
// version, and if the store is not reachable, the highest version among all
// VMs that respond is taken. The error is that of the store.
func (s *Syncer) Refresh(ctx context.Context) error {
	readCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	sent := s.Clock.Now()
	head, err := readHead(readCtx, s.Table)
	cancel()
	if err == nil {
		s.mu.Lock()
		s.progress.confirm(sent, head.Version)
		s.progress.forget(sent)
		s.mu.Unlock()
		if !s.has(head.Version) {
			err = s.fetchFromStore(ctx, head)
		}
	}
	if s.Current() == nil {
		s.askAll(ctx, s.everyone(ctx))
	}
	pullErr := s.pullHighest(ctx)
	if ctx.Err() == nil {
		s.logFailure("read of the store", err)
		s.logFailure("pull", pullErr)
	}
	return err
}

// readList returns the platform's list of VMs, or the one last read.
func (s *Syncer) readList(ctx context.Context) []platform.VMEntry {
	if s.VMs == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	list, err := s.VMs.List(ctx)
	s.logFailure("list of VMs", err)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.listed = list
	}
	return s.listed
}
