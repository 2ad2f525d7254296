// Package counts shares counts of requests between entry VMs: what is asked, admitted or
// queued for a subject, for example a service or a team. Each VM publishes its own counts;
// package statesync carries them, added up by failure domain. Counts of other VMs are some
// hundred milliseconds old, and those of VMs without contact are missing, so a decision that
// relies on them must also hold without them.
package counts

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Kind tells what a subject is. Its values are part of the protocol between VMs.
type Kind uint8

// Kinds of subjects. The package that publishes counts of a kind defines the meaning of the
// values at each index.
const (
	Service Kind = 1 // a service
	Team    Kind = 2 // a team
	Version Kind = 3 // a version of a service
	Share   Kind = 4 // what a team got of a service
)

const (
	// maxSubjects is the number of subjects that a VM keeps for one reporting VM. Further ones
	// are ignored, so that a faulty sibling cannot use up the memory.
	maxSubjects = 4096
	// maxValues is the number of values of one subject.
	maxValues = 8
	// MaxAge is the age from which counts of other VMs are no longer used. It covers two
	// refreshes of each of the three VMs that pass them on.
	MaxAge = 1500 * time.Millisecond
)

// Subject is what is counted.
type Subject struct {
	Kind Kind
	Name string
}

// Values are the counts of one subject. Values of several VMs are added up index by index.
type Values []uint32

// At returns the value at index i, or 0 if there is none.
func (v Values) At(i int) uint32 {
	if i < len(v) {
		return v[i]
	}
	return 0
}

func (v Values) isZero() bool {
	return !slices.ContainsFunc(v, func(n uint32) bool { return n != 0 })
}

// plus returns the sum of v and o, and minus their difference, in which no value falls below 0.
// Both leave v unchanged.
func (v Values) plus(o Values) Values {
	out := make(Values, max(len(v), len(o)))
	for i := range out {
		out[i] = v.At(i) + min(o.At(i), ^uint32(0)-v.At(i))
	}
	return out
}

func (v Values) minus(o Values) Values {
	out := slices.Clone(v)
	for i := range out {
		out[i] -= min(o.At(i), out[i])
	}
	return out
}

// report is what one sibling reported for a failure domain.
type report struct {
	values map[Subject]Values
	asOf   time.Time // time as of which the oldest of the values applied
}

// Board holds the counts of this VM and of others. It is safe for concurrent use.
type Board struct {
	domain string // failure domain of this VM

	mu    sync.Mutex
	inUse bool // this VM or a sibling has published counts
	teams bool // some of them are counts of teams
	own   map[Subject]Values
	// vms holds the reports for this VM's failure domain: of a relay about all other VMs of the
	// domain or, if this VM is the relay, of each of them about itself. vmTotal is their sum.
	vms     map[string]*report
	vmTotal map[Subject]Values
	// domains holds the reports for other failure domains by domain and reporting sibling.
	domains map[string]map[string]*report
}

// NewBoard returns a Board without counts for a VM of the given failure domain.
func NewBoard(domain string) *Board {
	return &Board{
		domain: domain, own: map[Subject]Values{}, vms: map[string]*report{}, vmTotal: map[Subject]Values{},
		domains: map[string]map[string]*report{},
	}
}

// Publish replaces the counts of this VM for a subject. Values that are all zero remove it.
func (b *Board) Publish(s Subject, v Values) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inUse = true
	b.teams = b.teams || s.Kind == Team
	if v.isZero() {
		delete(b.own, s)
		return
	}
	b.own[s] = v[:min(len(v), maxValues)]
}

// InUse reports whether this VM or a sibling has published counts. Without, nothing is sent.
func (b *Board) InUse() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.inUse
}

// HasTeams reports whether this VM or a sibling has published counts of teams.
func (b *Board) HasTeams() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.teams
}

// Own returns the counts of this VM.
func (b *Board) Own(s Subject) Values {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.own[s]
}

// Counts are the counts of a group of VMs.
type Counts struct {
	Values Values
	Age    time.Duration // age of the oldest value; 0 if no VM has reported any
}

// InDomain returns the counts of a subject at the VMs of a failure domain, in this VM's own
// domain without those of this VM. known is false if no report is younger than MaxAge.
func (b *Board) InDomain(s Subject, domain string, now time.Time) (c Counts, known bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.inDomain(s, domain, now)
}

func (b *Board) inDomain(s Subject, domain string, now time.Time) (c Counts, known bool) {
	if domain == b.domain {
		for _, r := range b.vms {
			if age := now.Sub(r.asOf); age <= MaxAge {
				known = true
				c.Values, c.Age = c.Values.plus(r.values[s]), max(c.Age, age)
			}
		}
		return c, known
	}
	r := b.latest(domain)
	if r == nil || now.Sub(r.asOf) > MaxAge {
		return Counts{}, false
	}
	return Counts{Values: r.values[s], Age: now.Sub(r.asOf)}, true
}

// latest returns the youngest report for another failure domain, or nil.
func (b *Board) latest(domain string) *report {
	var out *report
	for _, r := range b.domains[domain] {
		if out == nil || r.asOf.After(out.asOf) {
			out = r
		}
	}
	return out
}

// Others returns the counts of a subject at all other VMs that this VM has recent reports of.
func (b *Board) Others(s Subject, now time.Time) Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	out, _ := b.inDomain(s, b.domain, now)
	for domain := range b.domains {
		c, _ := b.inDomain(s, domain, now)
		out.Values, out.Age = out.Values.plus(c.Values), max(out.Age, c.Age)
	}
	return out
}

// Domains returns the other failure domains of which this VM has a report, in ascending order.
func (b *Board) Domains() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Sorted(maps.Keys(b.domains))
}

// Subjects returns the subjects of a kind that any VM counts, in no particular order.
func (b *Board) Subjects(k Kind) []Subject {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := map[Subject]bool{}
	add := func(m map[Subject]Values) {
		for s := range m {
			if s.Kind == k {
				found[s] = true
			}
		}
	}
	add(b.own)
	add(b.vmTotal)
	for domain := range b.domains {
		if r := b.latest(domain); r != nil {
			add(r.values)
		}
	}
	return slices.Collect(maps.Keys(found))
}
