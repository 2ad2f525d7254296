package counts

import (
	"maps"
	"time"
)

// Update is a change of the counts that a sibling reports for a failure domain.
type Update struct {
	Peer   string // the reporting sibling
	Domain string
	AsOf   time.Time
	Whole  bool // Changed has all subjects of the report; others no longer have counts
	// Changed holds the new values by subject. Empty values remove the subject.
	Changed map[Subject]Values
}

// Apply records an update that a sibling sent.
func (b *Board) Apply(u Update) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inUse = true
	reports := b.vms
	if u.Domain != b.domain {
		if b.domains[u.Domain] == nil {
			b.domains[u.Domain] = map[string]*report{}
		}
		reports = b.domains[u.Domain]
	}
	r, ok := reports[u.Peer]
	if !ok {
		r = &report{values: map[Subject]Values{}}
		reports[u.Peer] = r
	}
	r.asOf = u.AsOf
	if u.Whole {
		for s := range r.values {
			if _, kept := u.Changed[s]; !kept {
				b.set(r, u.Domain, s, nil)
			}
		}
	}
	for s, v := range u.Changed {
		b.set(r, u.Domain, s, v[:min(len(v), maxValues)])
	}
}

// set stores the values of a subject in a report and updates the sum of the reports for this
// VM's failure domain. The caller must hold mu.
func (b *Board) set(r *report, domain string, s Subject, v Values) {
	b.teams = b.teams || s.Kind == Team
	old, known := r.values[s]
	if !known && len(r.values) >= maxSubjects {
		return
	}
	if len(v) == 0 {
		delete(r.values, s)
	} else {
		r.values[s] = v
	}
	if domain != b.domain {
		return
	}
	if total := b.vmTotal[s].minus(old).plus(v); total.isZero() {
		delete(b.vmTotal, s)
	} else {
		b.vmTotal[s] = total
	}
}

// DropPeer removes the reports of a sibling to which the contact was lost.
func (b *Board) DropPeer(peer string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r, ok := b.vms[peer]; ok {
		for s := range r.values {
			b.set(r, b.domain, s, nil)
		}
		delete(b.vms, peer)
	}
	for domain, reports := range b.domains {
		delete(reports, peer)
		if len(reports) == 0 {
			delete(b.domains, domain)
		}
	}
}

// Export is what this VM reports to a sibling for one failure domain.
type Export struct {
	Domain string
	AsOf   time.Time // time as of which the oldest of the values applied
	Values map[Subject]Values
}

// ExportOwn returns the counts of this VM alone, for its relay.
func (b *Board) ExportOwn(now time.Time) Export {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Export{Domain: b.domain, AsOf: now, Values: maps.Clone(b.own)}
}

// ExportDomain returns the counts of this VM and of those that report to it, without those of
// the sibling for which they are meant.
func (b *Board) ExportDomain(now time.Time, receiver string) Export {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := Export{Domain: b.domain, AsOf: now, Values: make(map[Subject]Values, len(b.vmTotal)+len(b.own))}
	maps.Copy(out.Values, b.vmTotal)
	for s, v := range b.own {
		out.Values[s] = out.Values[s].plus(v)
	}
	for peer, r := range b.vms {
		if peer != receiver {
			if now.Sub(r.asOf) <= MaxAge && r.asOf.Before(out.AsOf) {
				out.AsOf = r.asOf
			}
			continue
		}
		for s, v := range r.values {
			if rest := out.Values[s].minus(v); rest.isZero() {
				delete(out.Values, s)
			} else {
				out.Values[s] = rest
			}
		}
	}
	return out
}

// ExportOthers returns the counts of the other failure domains that include selects.
func (b *Board) ExportOthers(include func(domain string) bool) []Export {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Export
	for domain := range b.domains {
		if r := b.latest(domain); r != nil && include(domain) {
			out = append(out, Export{Domain: domain, AsOf: r.asOf, Values: maps.Clone(r.values)})
		}
	}
	return out
}
