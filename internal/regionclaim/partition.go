// Package regionclaim makes sure that a non-idempotent request runs at most
// once when its home regions do not include the region of the platform's store.
// The key of such a request may not be claimed in the store. Entry VMs of the
// home region keep the claims in memory instead.
//
// The keys of a region are divided into claim partitions. In package lease, a
// partition is assigned, taken over and handed over like a pool of targets,
// under a service name that begins with ~claims- and that no document can
// define. The owner of a partition is the VM that holds it in the sense of
// package lease. The receiver of a request is the entry VM that got it from the
// caller; it asks the owner to claim the key of the request. Owner implements
// the owner's part, and Client the receiver's.
//
// Two owners never both grant the same key:
//
//   - An owner records and grants a claim under one lock, and only while it
//     holds the partition and its lease is in mode Valid or Full.
//   - In a planned handover, the export takes the same lock and ends all grants
//     before the successor is written to the assignment row. The successor
//     starts with all records. So it has a record of every grant, including one
//     whose answer is delayed because the owner was paused after the grant.
//   - Without a handover the successor has no records and grants nothing for
//     Retention. The former owner may have been paused between its check and
//     its answer, but its grant is valid only for grantValidity, counted from a
//     time before the receiver asked, and a call ends within 5 minutes. So no
//     call that the former owner granted can still start when the successor
//     begins to grant.
package regionclaim

import (
	"maps"
	"time"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

const (
	// Retention is how long a record is kept after the end of its call. It is
	// also how long a partition whose records were lost grants nothing.
	Retention = 10 * time.Minute
	// unreportedRetention is how long the record of a call is kept whose end
	// was never reported. A call ends at most 5 minutes, the longest deadline,
	// after its claim.
	unreportedRetention = Retention + 5*time.Minute
	// releasedRetention is how long the record of a released attempt is kept. A
	// delayed claim message of that attempt is then answered with "released"
	// and not granted.
	releasedRetention = time.Minute
	// grantValidity is how long the receiver may start the call, counted from a
	// time before it sent the claim.
	grantValidity = 2 * time.Second
	// maxRecords limits the records of a partition. With VM IDs of 64 bytes,
	// that many records fit into one handover message of 4 MiB. The 16
	// partitions of a region together can grant 436 claims/s when each record
	// is kept for Retention.
	maxRecords = 16384
	// sweepInterval is the minimum time between two deletions of all expired
	// records.
	sweepInterval = 10 * time.Second

	digestSize = 32
	nonceSize  = 16
)

// States of a record, as shorter names of the protocol's values. They are also
// the operations of a receiver's messages: the operation of a message is the
// state that its record gets.
const (
	stateClaimed  = siblingpb.RegionClaimOp_REGION_CLAIM_OP_CLAIM
	stateDone     = siblingpb.RegionClaimOp_REGION_CLAIM_OP_DONE
	stateUnknown  = siblingpb.RegionClaimOp_REGION_CLAIM_OP_UNKNOWN
	stateReleased = siblingpb.RegionClaimOp_REGION_CLAIM_OP_NOT_RUN
)

// Results of an answer, as shorter names of the protocol's values.
const (
	resultNotOwner   = siblingpb.RegionClaimResult_REGION_CLAIM_RESULT_NOT_OWNER
	resultOK         = siblingpb.RegionClaimResult_REGION_CLAIM_RESULT_OK
	resultDone       = siblingpb.RegionClaimResult_REGION_CLAIM_RESULT_DONE
	resultInProgress = siblingpb.RegionClaimResult_REGION_CLAIM_RESULT_IN_PROGRESS
	resultUnknown    = siblingpb.RegionClaimResult_REGION_CLAIM_RESULT_UNKNOWN
	resultUncertain  = siblingpb.RegionClaimResult_REGION_CLAIM_RESULT_UNCERTAIN
	resultFull       = siblingpb.RegionClaimResult_REGION_CLAIM_RESULT_FULL
	resultReleased   = siblingpb.RegionClaimResult_REGION_CLAIM_RESULT_RELEASED
)

type (
	digest [digestSize]byte
	nonce  [nonceSize]byte
)

// record is an owner's record of one key. It contains no data of the request.
type record struct {
	nonce       nonce
	vm          vm.ID
	incarnation uint64
	state       siblingpb.RegionClaimOp
	status      uint32
	changedAt   time.Time // time of the claim, or of the report of the call's end
}

func (r *record) expired(now time.Time) bool {
	retention := Retention
	switch r.state {
	case stateClaimed:
		retention = unreportedRetention
	case stateReleased:
		retention = releasedRetention
	}
	return now.Sub(r.changedAt) >= retention
}

// partition is the state of one held partition. It reads no clock; callers pass
// the current time. It is not safe for concurrent use.
type partition struct {
	id             inventory.PoolID
	epoch          uint64
	limit          int
	records        map[digest]*record
	uncertainUntil time.Time // no grants before this time, since records of the former owner may be missing
	lastSweep      time.Time
	closed         bool // exported or stopped: nothing is granted or recorded any more
}

// newPartition returns a partition with the records of the former owner. If
// state is nil, or for a record that is malformed, the partition grants nothing
// for Retention, since any key may have been claimed before.
func newPartition(id inventory.PoolID, epoch uint64, limit int, state *siblingpb.ClaimState, now time.Time) *partition {
	p := &partition{id: id, epoch: epoch, limit: limit, records: map[digest]*record{}, lastSweep: now}
	if state == nil {
		p.uncertainUntil = now.Add(Retention)
		return p
	}
	p.uncertainUntil = now.Add(time.Duration(state.UncertainMs) * time.Millisecond)
	for _, r := range state.Records {
		d, n, valid := parseDigestAndNonce(r.Digest, r.Nonce)
		if !valid {
			p.uncertainUntil = now.Add(Retention)
			continue
		}
		p.records[d] = &record{
			nonce: n, vm: vm.ID(r.VmId), incarnation: r.Incarnation, state: r.State, status: r.Status,
			changedAt: now.Add(-time.Duration(r.AgeMs) * time.Millisecond),
		}
	}
	return p
}

func parseDigestAndNonce(d, n []byte) (digest, nonce, bool) {
	if len(d) != digestSize || len(n) != nonceSize {
		return digest{}, nonce{}, false
	}
	return digest(d), nonce(n), true
}

// export stops all grants of the partition and returns its records.
func (p *partition) export(now time.Time) *siblingpb.ClaimState {
	p.closed = true
	p.sweep(now)
	state := &siblingpb.ClaimState{Records: make([]*siblingpb.ClaimRecord, 0, len(p.records))}
	if left := p.uncertainUntil.Sub(now); left > 0 {
		state.UncertainMs = millis(left) + 1 // rounded up
	}
	for d, r := range p.records {
		state.Records = append(state.Records, &siblingpb.ClaimRecord{
			Digest: d[:], Nonce: r.nonce[:], VmId: string(r.vm), Incarnation: r.incarnation,
			State: r.state, Status: r.status, AgeMs: millis(max(now.Sub(r.changedAt), 0)),
		})
	}
	return state
}

func millis(d time.Duration) uint32 { return uint32(d / time.Millisecond) }

func (p *partition) sweep(now time.Time) {
	p.lastSweep = now
	maps.DeleteFunc(p.records, func(_ digest, r *record) bool { return r.expired(now) })
}

// find returns the record of a key, or nil if there is none or it has expired.
func (p *partition) find(now time.Time, d digest) *record {
	if now.Sub(p.lastSweep) >= sweepInterval {
		p.sweep(now)
	}
	r := p.records[d]
	if r != nil && r.expired(now) {
		delete(p.records, d)
		return nil
	}
	return r
}

func newAnswer(result siblingpb.RegionClaimResult) *siblingpb.RegionClaimAnswer {
	return &siblingpb.RegionClaimAnswer{Result: result}
}

// claim records a claim and grants it, or returns the reason for not granting
// it. created reports whether this call made the record.
func (p *partition) claim(now time.Time, d digest, newRecord record) (a *siblingpb.RegionClaimAnswer, created bool) {
	r := p.find(now, d)
	if r != nil && r.nonce == newRecord.nonce {
		return repeatAnswer(r), false
	}
	if r != nil && r.state != stateReleased {
		return duplicateAnswer(r), false
	}
	// The record of a released attempt does not show whether the former owner
	// granted the key to an earlier attempt.
	if left := p.uncertainUntil.Sub(now); left > 0 {
		a = newAnswer(resultUncertain)
		a.RetryAfterMs = millis(left) + 1
		return a, false
	}
	if r == nil && len(p.records) >= p.limit {
		p.sweep(now)
		if len(p.records) >= p.limit {
			return newAnswer(resultFull), false
		}
	}
	p.records[d] = &newRecord
	return grantAnswer(), true
}

func grantAnswer() *siblingpb.RegionClaimAnswer {
	a := newAnswer(resultOK)
	a.GoodForMs = millis(grantValidity)
	return a
}

// repeatAnswer returns the answer to a repeated message of the same attempt,
// which a receiver sends when an answer was lost.
func repeatAnswer(r *record) *siblingpb.RegionClaimAnswer {
	switch r.state {
	case stateClaimed:
		return grantAnswer()
	case stateReleased:
		return newAnswer(resultReleased)
	default:
		return duplicateAnswer(r)
	}
}

func duplicateAnswer(r *record) *siblingpb.RegionClaimAnswer {
	switch r.state {
	case stateDone:
		a := newAnswer(resultDone)
		a.Status = r.status
		return a
	case stateClaimed:
		return newAnswer(resultInProgress)
	default:
		return newAnswer(resultUnknown)
	}
}

// end records the outcome of an attempt's call. If the record of the attempt
// was lost, the outcome is recorded as well, unless the partition is full; then
// the outcome of the key is known for Retention.
func (p *partition) end(now time.Time, d digest, newRecord record) *siblingpb.RegionClaimAnswer {
	r := p.find(now, d)
	switch {
	case r == nil && len(p.records) >= p.limit:
		return newAnswer(resultOK)
	case r == nil, r.nonce == newRecord.nonce && r.state == stateClaimed:
		p.records[d] = &newRecord
	}
	return newAnswer(resultOK)
}
