// Package regionclaim makes sure that a non-idempotent request runs at most
// once when its home regions exclude the region of the platform's store, so
// that its key may not be claimed in the store. The claims are kept in the
// memory of entry VMs of the home region.
//
// The keys are divided over claim partitions, which have one owner each by the
// leases and assignment rows of package lease. Two owners never both grant the
// same key:
//
//   - An owner records a claim and grants it under one lock, and only while it
//     holds the partition and its lease is in mode Valid or Full.
//   - At a planned handover the export takes the same lock and ends all grants
//     before the successor is written to the assignment row. The successor
//     starts with all records, so it knows every grant, also one whose answer
//     is still on its way because the owner was paused after the grant.
//   - Without a handover the successor has no records and grants nothing for
//     Retention. A grant of the former owner, which may have been paused
//     between its check and its answer, is good for only goodFor from before
//     the receiver asked, and a call ends within 5 minutes. So no call that the
//     former owner allowed can still start when the successor begins to grant.
package regionclaim

import (
	"maps"
	"time"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

const (
	// Retention is how long a record is kept after the end of its call, and how
	// long a partition whose records were lost grants nothing.
	Retention = 10 * time.Minute
	// openRetention keeps the record of a call whose end was never reported. A
	// call ends at most 5 min, the longest deadline, after its claim.
	openRetention = Retention + 5*time.Minute
	// releasedRetention lets a request for a claim that was delayed on its way
	// find that its attempt was given up.
	releasedRetention = time.Minute
	// goodFor is how long a receiver may start the call, from before it asked.
	goodFor = 2 * time.Second
	// maxRecords bounds the records of a partition. With VM ids of 64 bytes they
	// fit into one handover message of 4 MiB. The 16 partitions of a region
	// together carry 436 claims/s for the retention time.
	maxRecords = 16384
	// sweepEvery is the interval at which old records are deleted.
	sweepEvery = 10 * time.Second

	digestSize = 32
	nonceSize  = 16
)

// Shorter names of the states of a record.
const (
	stateClaimed  = siblingpb.RegionClaimOp_REGION_CLAIM_OP_CLAIM
	stateDone     = siblingpb.RegionClaimOp_REGION_CLAIM_OP_DONE
	stateUnknown  = siblingpb.RegionClaimOp_REGION_CLAIM_OP_UNKNOWN
	stateReleased = siblingpb.RegionClaimOp_REGION_CLAIM_OP_NOT_RUN
)

// Shorter names of the answers of an owner.
const (
	notOwner   = siblingpb.RegionClaimResult_REGION_CLAIM_RESULT_NOT_OWNER
	ok         = siblingpb.RegionClaimResult_REGION_CLAIM_RESULT_OK
	ranBefore  = siblingpb.RegionClaimResult_REGION_CLAIM_RESULT_DONE
	inProgress = siblingpb.RegionClaimResult_REGION_CLAIM_RESULT_IN_PROGRESS
	unknown    = siblingpb.RegionClaimResult_REGION_CLAIM_RESULT_UNKNOWN
	uncertain  = siblingpb.RegionClaimResult_REGION_CLAIM_RESULT_UNCERTAIN
	full       = siblingpb.RegionClaimResult_REGION_CLAIM_RESULT_FULL
	released   = siblingpb.RegionClaimResult_REGION_CLAIM_RESULT_RELEASED
)

type (
	digest [digestSize]byte
	nonce  [nonceSize]byte
)

// record is what an owner knows of one key. It holds nothing of the request.
type record struct {
	nonce       nonce
	vm          vm.ID
	incarnation uint64
	state       siblingpb.RegionClaimOp
	status      uint32
	at          time.Time // of the claim, or of the report of its end
}

func (r *record) expired(now time.Time) bool {
	keep := Retention
	switch r.state {
	case stateClaimed:
		keep = openRetention
	case stateReleased:
		keep = releasedRetention
	}
	return now.Sub(r.at) >= keep
}

// partition is the state of one held partition. It is a decision: it reads no
// clock and is not safe for concurrent use.
type partition struct {
	id             inventory.PoolID
	epoch          uint64
	limit          int
	records        map[digest]*record
	uncertainUntil time.Time
	swept          time.Time
	exported       bool
}

// newPartition starts with the records of the former owner. Without them every
// key may have been claimed before.
func newPartition(id inventory.PoolID, epoch uint64, limit int, from *siblingpb.ClaimState, now time.Time) *partition {
	p := &partition{id: id, epoch: epoch, limit: limit, records: map[digest]*record{}, swept: now}
	if from == nil {
		p.uncertainUntil = now.Add(Retention)
		return p
	}
	p.uncertainUntil = now.Add(time.Duration(from.UncertainMs) * time.Millisecond)
	for _, r := range from.Records {
		d, n, valid := identify(r.Digest, r.Nonce)
		if !valid {
			p.uncertainUntil = now.Add(Retention)
			continue
		}
		p.records[d] = &record{
			nonce: n, vm: vm.ID(r.VmId), incarnation: r.Incarnation, state: r.State, status: r.Status,
			at: now.Add(-time.Duration(r.AgeMs) * time.Millisecond),
		}
	}
	return p
}

func identify(d, n []byte) (digest, nonce, bool) {
	if len(d) != digestSize || len(n) != nonceSize {
		return digest{}, nonce{}, false
	}
	return digest(d), nonce(n), true
}

// export ends the service of the partition and returns its records.
func (p *partition) export(now time.Time) *siblingpb.ClaimState {
	p.exported = true
	p.sweep(now)
	out := &siblingpb.ClaimState{Records: make([]*siblingpb.ClaimRecord, 0, len(p.records))}
	if left := p.uncertainUntil.Sub(now); left > 0 {
		out.UncertainMs = millis(left) + 1 // rounded up
	}
	for d, r := range p.records {
		out.Records = append(out.Records, &siblingpb.ClaimRecord{
			Digest: d[:], Nonce: r.nonce[:], VmId: string(r.vm), Incarnation: r.incarnation,
			State: r.state, Status: r.status, AgeMs: millis(max(now.Sub(r.at), 0)),
		})
	}
	return out
}

func millis(d time.Duration) uint32 { return uint32(d / time.Millisecond) }

func (p *partition) sweep(now time.Time) {
	p.swept = now
	maps.DeleteFunc(p.records, func(_ digest, r *record) bool { return r.expired(now) })
}

// find returns the record of a key, unless it is too old to count.
func (p *partition) find(now time.Time, d digest) *record {
	if now.Sub(p.swept) >= sweepEvery {
		p.sweep(now)
	}
	r := p.records[d]
	if r != nil && r.expired(now) {
		delete(p.records, d)
		return nil
	}
	return r
}

func answer(result siblingpb.RegionClaimResult) *siblingpb.RegionClaimAnswer {
	return &siblingpb.RegionClaimAnswer{Result: result}
}

// claim records a claim and grants it, or says why not. granted reports whether
// the record was made by this call.
func (p *partition) claim(now time.Time, d digest, next record) (a *siblingpb.RegionClaimAnswer, granted bool) {
	r := p.find(now, d)
	if r != nil && r.nonce == next.nonce {
		return sameAttempt(r), false
	}
	if r != nil && r.state != stateReleased {
		return earlier(r), false
	}
	// A record of a released attempt says nothing of the attempts before it.
	if left := p.uncertainUntil.Sub(now); left > 0 {
		a = answer(uncertain)
		a.RetryAfterMs = millis(left) + 1
		return a, false
	}
	if r == nil && len(p.records) >= p.limit {
		p.sweep(now)
		if len(p.records) >= p.limit {
			return answer(full), false
		}
	}
	p.records[d] = &next
	return grant(), true
}

func grant() *siblingpb.RegionClaimAnswer {
	a := answer(ok)
	a.GoodForMs = millis(goodFor)
	return a
}

// sameAttempt answers a receiver that asks again because an answer was lost.
func sameAttempt(r *record) *siblingpb.RegionClaimAnswer {
	switch r.state {
	case stateClaimed:
		return grant()
	case stateReleased:
		return answer(released)
	default:
		return earlier(r)
	}
}

func earlier(r *record) *siblingpb.RegionClaimAnswer {
	switch r.state {
	case stateDone:
		a := answer(ranBefore)
		a.Status = r.status
		return a
	case stateClaimed:
		return answer(inProgress)
	default:
		return answer(unknown)
	}
}

// end records how the call of an attempt ended. The report of an attempt whose
// record was lost is kept as well: the key is then known for the whole
// retention time.
func (p *partition) end(now time.Time, d digest, next record) *siblingpb.RegionClaimAnswer {
	r := p.find(now, d)
	switch {
	case r == nil && len(p.records) >= p.limit:
		return answer(ok)
	case r == nil, r.nonce == next.nonce && r.state == stateClaimed:
		p.records[d] = &next
	}
	return answer(ok)
}
