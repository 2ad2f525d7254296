package rollout

import (
	"context"

	"goldcresthinge.example/goldcresthinge/internal/platform"
)

// Run keeps the configuration up to date until ctx ends, and then returns nil.
// It reads the head every PollInterval and fetches whenever a higher version
// is seen. It must run once.
func (s *Store) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := s.Refresh(ctx); err != nil && ctx.Err() == nil {
			s.log("msg", "configuration not confirmed by the store", "err", err)
		}
		s.wait(ctx)
	}
	return nil
}

// wait returns when the next read of the head is due. In between it pulls from
// siblings that have a higher version. If nobody gives that version, it reads
// the store, and then waits for the timer, so that heartbeats of a version that
// cannot be had do not cause a read each.
func (s *Store) wait(ctx context.Context) {
	timer := s.Clock.NewTimer(pollDelay(s.Jitter()), "rollout", "poll")
	defer timer.Stop()
	kick := s.kick
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-kick:
			if s.locked(ctx, s.pullHighest) == nil {
				continue
			}
			if err := s.Refresh(ctx); err != nil && ctx.Err() == nil {
				s.log("msg", "higher version not found", "err", err)
			}
			kick = nil
		}
	}
}

// Refresh reads the head once and fetches its version. Before the first
// version, and if the store is not reachable, the highest version among all
// VMs that respond is taken. The error is that of the store.
func (s *Store) Refresh(ctx context.Context) error {
	return s.locked(ctx, s.refresh)
}

func (s *Store) refresh(ctx context.Context) error {
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
	if pullErr := s.pullHighest(ctx); pullErr != nil {
		s.log("msg", "pull failed", "err", pullErr)
	}
	return err
}

// locked keeps fetches from running twice at once, which would only double the
// bytes read.
func (s *Store) locked(ctx context.Context, fn func(context.Context) error) error {
	select {
	case s.fetchMu <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-s.fetchMu }()
	return fn(ctx)
}

// readList returns the platform's list of VMs, or the one last read.
func (s *Store) readList(ctx context.Context) []platform.VMEntry {
	if s.VMs == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	list, err := s.VMs.List(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.log("msg", "list of VMs not read", "err", err)
		return s.listed
	}
	s.listed = list
	return list
}
