package statesync

import (
	"math"
	"slices"
	"time"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/replica"
	"goldcresthinge.example/goldcresthinge/internal/suspendclock"
)

// A message may be on its way for seconds, or its sender may be paused between composing and
// sending it. So the receiver cannot tell the age of what it says from the time of its arrival.
// Each message therefore names the time at which it was composed, by its sender's clock, and
// returns that of the latest message from the other VM (echo). The receiver of an echo knows that the
// message was composed after the echoed time of its own clock. A copy that was at most max_age old
// then was complete as of echo - max_age. Clocks of different VMs are never compared.

// stampTimes adds the echo and, with a refresh, the time of composition. Ages are taken afterwards,
// so that they apply at a time after the echo was received.
func (p *peer) stampTimes(m *siblingpb.News, refreshDue bool) {
	if !p.syncer.cfg.ProveAge() {
		return
	}
	m.EchoMs = p.echoMs.Load()
	if !refreshDue {
		return
	}
	m.SentMs = uint64(max(time.Duration(p.syncer.cfg.Clock()).Milliseconds(), 0)) //nolint:gosec // not negative
}

// hasProof reports whether a message has the age of a copy, without which it needs no echo.
func hasProof(m *siblingpb.News) bool {
	return slices.ContainsFunc(m.GetTables(), func(t *siblingpb.TableNews) bool { return t.MaxAgeMs != nil })
}

// proof returns the time as of which the copy of a table is proven to be complete, or zero if
// message m cannot pass a proof on.
func (p *peer) proof(t *replica.Table, m *siblingpb.News) suspendclock.Instant {
	if m.GetEchoMs() == 0 {
		return 0
	}
	return t.ProvenAsOf()
}

// improvesProof reports whether a proof is later than the latest that was sent.
func (p *peer) improvesProof(table string, proof suspendclock.Instant) bool {
	return proof > p.sentProofs[table]
}

// addProof adds a proof that was read before the changes in m.
func (p *peer) addProof(m *siblingpb.TableNews, proof suspendclock.Instant) {
	if proof == 0 {
		return
	}
	age := p.syncer.cfg.Clock().Sub(proof)
	if age < 0 || age > math.MaxInt32*time.Millisecond {
		return
	}
	ms := uint32((age + time.Millisecond - 1) / time.Millisecond) //nolint:gosec // checked above
	m.MaxAgeMs = &ms
	p.sentProofs[m.GetTable()] = max(p.sentProofs[m.GetTable()], proof)
}

// applyProof records the proof in a message, whose changes have been applied to t.
func (p *peer) applyProof(t *replica.Table, m *siblingpb.TableNews, echoMs uint64) {
	if m.MaxAgeMs == nil || echoMs == 0 || echoMs > math.MaxInt64/uint64(time.Millisecond) {
		return
	}
	echo := suspendclock.Instant(time.Duration(echoMs) * time.Millisecond) //nolint:gosec // checked above
	if echo > p.syncer.cfg.Clock() {
		return // not a time that this VM has sent
	}
	if asOf := echo.Add(-milliseconds(m.GetMaxAgeMs())); asOf > 0 {
		t.Prove(replica.Position{Era: replica.Era(m.GetEra()), Version: m.GetVersion()}, asOf)
	}
}
