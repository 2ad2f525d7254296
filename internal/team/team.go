// Package team identifies the team of a caller by its API key. Teams and keys are part of the
// routing configuration. Only hashes of the keys are kept, so that a key shows up in no log line,
// dump or message.
package team

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
)

// KeyHash is the SHA-256 hash of an API key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of an API key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// String implements fmt.Stringer. It returns no part of the hash.
func (KeyHash) String() string { return "[key]" }

// Short returns the first characters of the hash in hexadecimal. They tell the keys of a team apart
// and do not reveal a key.
func (k KeyHash) Short() string { return hex.EncodeToString(k[:4]) }

// Team is a group of callers that share API keys, a usage limit and home regions. It must not be
// changed after it was passed to NewDirectory.
type Team struct {
	Name string
	// Priority replaces the priority of the route; 0 is the highest. Nil: that of the route applies.
	Priority *int
	// RatePerSecond and Burst are the usage limit over all VMs: requests per second and requests
	// in addition. 0 for RatePerSecond: no limit.
	RatePerSecond float64
	Burst         float64
	// HomeRegions are the only regions whose servers may serve the team. Empty: all regions.
	HomeRegions []string
	Keys        []KeyHash
}

// AllowsRegion reports whether backend servers of region may serve the team.
func (t *Team) AllowsRegion(region string) bool {
	return len(t.HomeRegions) == 0 || slices.Contains(t.HomeRegions, region)
}

// Limited reports whether the team has a usage limit.
func (t *Team) Limited() bool { return t.RatePerSecond > 0 }

// Directory finds teams by API key. It is immutable and safe for concurrent use.
type Directory struct {
	teams   []Team
	byKey   map[KeyHash]keyEntry
	byName  map[string]*Team
	homed   []*Team // teams with home regions
	limited bool    // a team has a usage limit
}

type keyEntry struct {
	hash KeyHash
	team *Team
}

// NewDirectory returns a Directory of the teams. A key that several teams hold belongs to the
// first of them.
func NewDirectory(teams []Team) *Directory {
	count := 0
	for i := range teams {
		count += len(teams[i].Keys)
	}
	d := &Directory{teams: teams, byKey: make(map[KeyHash]keyEntry, count), byName: make(map[string]*Team, len(teams))}
	for i := range teams {
		t := &teams[i]
		d.byName[t.Name] = t
		for _, k := range t.Keys {
			if _, taken := d.byKey[k]; !taken {
				d.byKey[k] = keyEntry{k, t}
			}
		}
		d.limited = d.limited || t.Limited()
		if len(t.HomeRegions) > 0 {
			d.homed = append(d.homed, t)
		}
	}
	return d
}

// Lookup returns the team that holds a key. The hash of the key, not the key, selects the entry,
// and the comparison takes the same time for each hash.
func (d *Directory) Lookup(k KeyHash) (*Team, bool) {
	e := d.byKey[k]
	if subtle.ConstantTimeCompare(e.hash[:], k[:]) != 1 || e.team == nil {
		return nil, false
	}
	return e.team, true
}

// Team returns the team with the given name.
func (d *Directory) Team(name string) (*Team, bool) {
	t, ok := d.byName[name]
	return t, ok
}

// All returns the teams as passed to NewDirectory. The caller must not change them.
func (d *Directory) All() []Team { return d.teams }

// Len returns the number of teams.
func (d *Directory) Len() int { return len(d.byName) }

// KeyCount returns the number of keys.
func (d *Directory) KeyCount() int { return len(d.byKey) }

// AnyLimited reports whether a team has a usage limit.
func (d *Directory) AnyLimited() bool { return d.limited }

// AnyExcludes reports whether a team has home regions that do not include region.
func (d *Directory) AnyExcludes(region string) bool {
	return slices.ContainsFunc(d.homed, func(t *Team) bool { return !t.AllowsRegion(region) })
}
