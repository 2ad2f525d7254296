package rollout

import (
	"context"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
)

// push sends a delta to the siblings and waits for their answers. Siblings
// that do not answer learn of the version by heartbeat or from the store.
func (s *Syncer) push(ctx context.Context, d *siblingpb.ConfigDelta) {
	ctx, cancel := context.WithTimeout(ctx, siblingTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(maxExchanges)
	for _, to := range pushTargets(s.Self, s.Peers.Siblings(), d.ToVersion) {
		g.Go(func() error {
			sent := s.Clock.Now()
			response, err := s.Peers.RoundTrip(ctx, to, &siblingpb.Request{
				Kind: &siblingpb.Request_PushConfig{PushConfig: d},
			})
			if err == nil && response.GetAck().GetOk() {
				s.ObserveSibling(sent, to, d.ToVersion, NotConfirmed)
				return nil
			}
			s.log("msg", "push not confirmed", "to", to.ID, "version", d.ToVersion, "err", err, "answer", response.GetAck().GetError())
			return err
		})
	}
	_ = g.Wait()
}

// HandlePush installs a version that a sibling pushed. If the delta does not
// fit, the error says so, and Run fetches the version.
func (s *Syncer) HandlePush(_ context.Context, d *siblingpb.ConfigDelta) error {
	if d == nil || d.ToVersion == 0 {
		return merry.New("push without a version")
	}
	if err := s.take(d); err != nil {
		s.seen(d.ToVersion)
		return err
	}
	return nil
}

// HandlePull returns the deltas from version have to the version in force, or
// the whole document if they are no longer known. The response also tells the
// version in force and its confirmation.
func (s *Syncer) HandlePull(have uint64) *siblingpb.ConfigDeltas {
	answer := &siblingpb.ConfigDeltas{
		VmId: string(s.Self.ID), Region: s.Self.Region, FailureDomain: s.Self.FailureDomain,
	}
	now := s.Clock.Now()
	s.mu.Lock()
	current := s.current.Load()
	age, ok := s.progress.confirmed(now)
	if current != nil {
		answer.CurrentVersion = current.snap.Version
		answer.Deltas = s.chain(have, current.snap.Version)
	}
	s.mu.Unlock()
	answer.ConfirmedAgeMs = AgeToWire(age, ok)
	if current == nil || have >= current.snap.Version || answer.Deltas != nil {
		return answer
	}
	answer.Deltas = []*siblingpb.ConfigDelta{{
		ToVersion: current.snap.Version, Document: mustGzip(current), Digest: current.digest,
	}}
	return answer
}

// chain returns the deltas from have to target, or nil if one is missing. The
// caller holds mu.
func (s *Syncer) chain(have, target uint64) []*siblingpb.ConfigDelta {
	if have == 0 {
		return nil
	}
	var deltas []*siblingpb.ConfigDelta
	for have < target {
		d, ok := s.history[have]
		if !ok {
			return nil
		}
		deltas = append(deltas, d)
		have = d.ToVersion
	}
	return deltas
}
