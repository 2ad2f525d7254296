package statesync

import (
	"slices"
	"time"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/counts"
)

const (
	// countsInterval is the shortest pause between two messages with counts on a stream. Counts
	// change with each request; the decisions that use them allow for a delay of this size.
	countsInterval = 100 * time.Millisecond
	// regionCountsInterval replaces countsInterval between regions, where traffic is billed by the
	// byte. It does not where teams are counted: their usage limits allow for less delay.
	regionCountsInterval = 300 * time.Millisecond
	// maxSubjectNumbers is the number of subjects that a stream may announce.
	maxSubjectNumbers = 16384
)

// sentCounts is what was sent of the counts on one stream. It is used by sendLoop only.
type sentCounts struct {
	at      time.Time // time of the latest message with counts
	fullAt  time.Time // time of the latest message with all of them
	numbers map[counts.Subject]uint32
	values  map[string]map[counts.Subject]counts.Values // by failure domain
}

func newSentCounts() sentCounts {
	return sentCounts{numbers: map[counts.Subject]uint32{}, values: map[string]map[counts.Subject]counts.Values{}}
}

// countsKey identifies the reports of this peer. The two VMs may have a stream in each
// direction, and both may carry counts.
func (p *peer) countsKey() string {
	if p.peerSubscribed {
		return "subscriber/" + p.vm.ID
	}
	return "relay/" + p.vm.ID
}

// exports returns what this VM reports on the stream. A VM reports its own counts to its relay.
// A relay reports to the VMs of its failure domain all that it knows, and to other relays the
// same failure domains as with readings.
func (p *peer) exports(now time.Time) []counts.Export {
	board := p.syncer.cfg.Counts
	switch {
	case p.sameDomain && !p.peerSubscribed:
		return []counts.Export{board.ExportOwn(now)}
	case !p.peerSubscribed:
		return nil
	case p.sameDomain:
		all := board.ExportOthers(func(string) bool { return true })
		return append(all, board.ExportDomain(now, p.countsKey()))
	}
	isRegionRelay := p.syncer.IsRegionRelay(now)
	out := board.ExportOthers(func(domain string) bool { return p.relaysReadingsOf(domain, isRegionRelay) })
	return append(out, board.ExportDomain(now, p.countsKey()))
}

// addCounts adds the counts that have changed, or all if a full set is due. Where nothing has
// changed, it confirms the former counts by their age.
func (p *peer) addCounts(now time.Time, m *siblingpb.News) {
	interval := countsInterval
	if !p.sameRegion && !p.syncer.cfg.Counts.HasTeams() {
		interval = regionCountsInterval
	}
	if now.Sub(p.counts.at) < interval || !p.syncer.cfg.Counts.InUse() {
		return
	}
	p.counts.at = now
	whole := now.Sub(p.counts.fullAt) >= fullSetInterval
	if whole {
		p.counts.fullAt = now
	}
	for _, export := range p.exports(now) {
		sent := p.counts.values[export.Domain]
		d := &siblingpb.DomainCounts{FailureDomain: export.Domain, AgeMs: ageMs(now, export.AsOf), Whole: whole}
		for s, v := range export.Values {
			if whole || !slices.Equal(sent[s], v) {
				d.Changed = append(d.Changed, &siblingpb.SubjectCounts{Number: p.subjectNumber(s, m), Values: v})
			}
		}
		for s := range sent {
			if _, counted := export.Values[s]; !counted && !whole {
				d.Changed = append(d.Changed, &siblingpb.SubjectCounts{Number: p.subjectNumber(s, m)})
			}
		}
		p.counts.values[export.Domain] = export.Values
		m.Counts = append(m.Counts, d)
	}
}

// subjectNumber returns the number that stands for a subject on this stream. It announces the
// number in m when it is first used.
func (p *peer) subjectNumber(s counts.Subject, m *siblingpb.News) uint32 {
	n, ok := p.counts.numbers[s]
	if !ok {
		n = uint32(len(p.counts.numbers) + 1) //nolint:gosec // far below the limit
		p.counts.numbers[s] = n
		m.Subjects = append(m.Subjects, &siblingpb.SubjectNumber{Number: n, Kind: uint32(s.Kind), Name: s.Name})
	}
	return n
}

// applyCounts records the counts in a message.
func (p *peer) applyCounts(now time.Time, m *siblingpb.News) {
	for _, n := range m.GetSubjects() {
		if kind := n.GetKind(); kind <= uint32(counts.Share) && len(p.subjectsByNumber) < maxSubjectNumbers {
			p.subjectsByNumber[n.GetNumber()] = counts.Subject{Kind: counts.Kind(kind), Name: n.GetName()}
		}
	}
	for _, d := range m.GetCounts() {
		u := counts.Update{
			Peer: p.countsKey(), Domain: d.GetFailureDomain(), AsOf: now.Add(-milliseconds(d.GetAgeMs())), Whole: d.GetWhole(),
			Changed: make(map[counts.Subject]counts.Values, len(d.GetChanged())),
		}
		for _, c := range d.GetChanged() {
			if s, announced := p.subjectsByNumber[c.GetNumber()]; announced {
				u.Changed[s] = c.GetValues()
			}
		}
		p.syncer.cfg.Counts.Apply(u)
	}
}
