// Package vm describes entry VMs, the machines that the system runs on.
package vm

import "github.com/cespare/xxhash/v2"

// ID names an entry VM. It comes from the start settings and is unique.
type ID string

// Info is what the siblings of an entry VM know about it. It does not change
// while the process runs, except for Incarnation, which is drawn anew each
// time the VM registers its lease.
type Info struct {
	ID             ID
	Incarnation    uint64
	Region         string
	FailureDomain  string
	SiblingAddress string // host:port of the listener for siblings
}

// Preferred returns the entry of vms with the highest rendezvous hash for key.
// All VMs that see the same list choose the same entry, and a change of the
// list moves only the keys of the entry that came or went. It returns false
// for an empty list.
func Preferred(vms []Info, key string) (Info, bool) {
	var best Info
	var bestScore uint64
	for i, v := range vms {
		d := xxhash.New()
		_, _ = d.WriteString(string(v.ID))
		_, _ = d.WriteString("\x00")
		_, _ = d.WriteString(key)
		score := d.Sum64()
		if i == 0 || score > bestScore || (score == bestScore && v.ID < best.ID) {
			best, bestScore = v, score
		}
	}
	return best, len(vms) > 0
}
