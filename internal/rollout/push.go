package rollout

import (
	"context"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
)

// push sends a delta to the siblings and waits for their answers. Siblings that
// do not answer get to know the version from a heartbeat or from the store.
func (s *Syncer) push(ctx context.Context, d *siblingpb.ConfigDelta) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(maxConcurrentExchanges)
	for _, to := range pushReceivers(s.Self, s.Peers.Siblings(), d.ToVersion) {
		g.Go(func() error {
			sent := s.Clock.Now()
			response, err := s.Peers.RoundTrip(ctx, to, &siblingpb.Request{
				Kind: &siblingpb.Request_PushConfig{PushConfig: d},
			})
			if err == nil && response.GetAck().GetOk() {
				s.ObserveSibling(sent, to, d.ToVersion, NotConfirmed)
				return nil
			}
			s.log("msg", "sibling did not acknowledge the pushed version", "to", to.ID, "version", d.ToVersion, "err", err, "answer", response.GetAck().GetError())
			return err
		})
	}
	_ = g.Wait()
}

// HandlePush installs a version that a sibling pushed. If the delta can't be
// applied, HandlePush returns an error and Run fetches the version.
func (s *Syncer) HandlePush(_ context.Context, d *siblingpb.ConfigDelta) error {
	if d == nil || d.ToVersion == 0 {
		return merry.New("push without a version")
	}
	if err := s.installDelta(d); err != nil {
		s.noteVersion(d.ToVersion)
		return err
	}
	return nil
}

// HandlePull returns the deltas from version have to the version in force, or
// the whole document if some of these deltas are no longer stored. The response
// also contains the version in force and the age of its confirmation.
func (s *Syncer) HandlePull(have uint64) *siblingpb.ConfigDeltas {
	answer := &siblingpb.ConfigDeltas{
		VmId: string(s.Self.ID), Region: s.Self.Region, FailureDomain: s.Self.FailureDomain,
	}
	now := s.Clock.Now()
	s.mu.Lock()
	current := s.current.Load()
	age, ok := s.progress.confirmedAge(now)
	if current != nil {
		answer.CurrentVersion = current.snap.Version
		answer.Deltas = s.deltaChain(have, current.snap.Version)
	}
	s.mu.Unlock()
	answer.ConfirmedAgeMs = EncodeAge(age, ok)
	if current == nil || have >= current.snap.Version || answer.Deltas != nil {
		return answer
	}
	answer.Deltas = []*siblingpb.ConfigDelta{{
		ToVersion: current.snap.Version, Document: mustGzip(current), Digest: current.digest,
	}}
	return answer
}

// deltaChain returns the deltas from version have to version target, or nil if
// one is missing. The caller holds mu.
func (s *Syncer) deltaChain(have, target uint64) []*siblingpb.ConfigDelta {
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
