// Package vm describes entry VMs, the machines that the system runs on.
package vm

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// ID identifies an entry VM. It is set by the flag --id and must be unique.
type ID string

// Info is what siblings know about an entry VM. It does not change while the
// process runs, except for Incarnation, which gets a new random value each time
// the VM registers its lease.
type Info struct {
	ID             ID
	Incarnation    uint64
	Region         string
	FailureDomain  string
	SiblingAddress string // host:port on which the VM listens for siblings
}

// RendezvousPick returns the entry of vms with the highest rendezvous hash for
// key. All VMs that see the same list choose the same entry, and a change of
// the list moves only the keys of the entry that was added or removed. It
// returns false for an empty list.
func RendezvousPick(vms []Info, key string) (Info, bool) {
	var best Info
	var bestScore uint64
	for i, v := range vms {
		score := score(v.ID, key)
		if i == 0 || score > bestScore || (score == bestScore && v.ID < best.ID) {
			best, bestScore = v, score
		}
	}
	return best, len(vms) > 0
}

// RendezvousRank returns the position of the VM self among itself and others,
// ordered by rendezvous hash for key and starting with 0. RendezvousPick
// returns the VM at position 0.
func RendezvousRank(self ID, others []Info, key string) int {
	own := score(self, key)
	rank := 0
	for _, v := range others {
		if s := score(v.ID, key); s > own || (s == own && v.ID < self) {
			rank++
		}
	}
	return rank
}

// EstimatedRendezvousRank returns the expected value of RendezvousRank among the given number
// of others. Unlike the exact rank, it takes one hash. Several VMs may get the same result for
// a key.
func EstimatedRendezvousRank(self ID, others int, key string) int {
	share := 1 - float64(score(self, key))/math.MaxUint64 // of scores that are higher
	return int(share * float64(others))
}

func score(id ID, key string) uint64 {
	var buf [96]byte // long enough for most pairs, so that nothing is allocated
	return xxhash.Sum64(append(append(append(buf[:0], id...), 0), key...))
}
