package statesync

import (
	"strings"
	"time"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/outage"
	"goldcresthinge.example/goldcresthinge/internal/replica"
)

// nextMessage returns a message with the changes that the other VM has not received
// yet. It returns nil if there are none and no refresh is due.
func (p *peer) nextMessage(now time.Time) *siblingpb.News {
	m := &siblingpb.News{}
	refreshDue := now.Sub(p.lastRefresh) >= refreshInterval
	p.addReadings(now, m)
	p.addInFlight(now, m)
	p.stampTimes(m, refreshDue)
	p.addTables(now, m, refreshDue)
	if !hasProof(m) {
		m.EchoMs = 0
	}
	if len(m.Readings) == 0 && len(m.InUse) == 0 && len(m.Tables) == 0 && !refreshDue {
		return nil
	}
	p.addCounts(now, m)
	if refreshDue {
		p.addLiveness(now, m)
		p.addConfirmation(now, m)
		p.lastRefresh = now
	}
	return m
}

// addReadings adds the readings that have changed, or all readings if a full set is
// due.
func (p *peer) addReadings(now time.Time, m *siblingpb.News) {
	if !p.sameDomain && !p.peerSubscribed {
		// This VM subscribed to the relay of another failure domain, whose VMs measure
		// the servers of that domain themselves.
		return
	}
	fullSetDue := now.Sub(p.lastFullReadings) >= fullSetInterval
	since := p.sentRevision
	if fullSetDue {
		since = 0
		p.lastFullReadings = now
	}
	changed, revision := p.syncer.cfg.Servers.ChangedSince(p.readings[:0], since)
	p.readings, p.sentRevision = changed, revision
	isRegionRelay := p.syncer.IsRegionRelay(now)
	for _, c := range changed {
		if !p.sends(now, c, isRegionRelay) {
			continue
		}
		if !fullSetDue && !p.significantChange(c) {
			continue
		}
		p.sentReadings[c.Server.ID] = c.Reading
		m.Readings = append(m.Readings, encodeReading(now, p.number(c.Server, m), c.Reading))
	}
}

// sends reports whether this VM is to send a reading to the other one.
func (p *peer) sends(now time.Time, c fleet.ChangedReading, isRegionRelay bool) bool {
	if c.Reading.At.IsZero() || c.Reading.Source == p.vm.ID || now.Sub(c.Reading.AsOf()) > maxReadingAge {
		return false
	}
	if !p.sameDomain && !p.relaysReadingsOf(c.Server.FailureDomain, isRegionRelay) {
		return false
	}
	// What this VM received from a sibling, it passes on as a relay only.
	return p.peerSubscribed || c.Reading.Source == ""
}

// addConfirmation confirms the readings that this VM has sent and still sends.
func (p *peer) addConfirmation(now time.Time, m *siblingpb.News) {
	if len(p.sentReadings) == 0 {
		return
	}
	asOf := make(map[uint32]time.Time, len(p.sentReadings))
	for id := range p.sentReadings {
		asOf[p.serverNumbers[id].number] = time.Time{}
	}
	all, _ := p.syncer.cfg.Servers.ChangedSince(p.readings[:0], 0)
	p.readings = all
	isRegionRelay := p.syncer.IsRegionRelay(now)
	for _, c := range all {
		if _, sent := p.sentReadings[c.Server.ID]; sent && p.sends(now, c, isRegionRelay) {
			asOf[p.serverNumbers[c.Server.ID].number] = c.Reading.AsOf()
		}
	}
	m.Confirmed = encodeConfirmation(now, asOf)
}

// relaysReadingsOf reports whether this VM sends readings of servers in domain to the
// relay of another failure domain. It sends the readings of its own domain. If it is
// the region relay, it also sends the readings of other regions to the relays within its
// region.
func (p *peer) relaysReadingsOf(domain string, isRegionRelay bool) bool {
	if domain == p.syncer.cfg.Self.FailureDomain {
		return true
	}
	return isRegionRelay && p.sameRegion && p.syncer.cfg.RegionOf(domain) != p.syncer.cfg.Self.Region
}

// number returns the number that stands for the registered process of a server on this stream. It
// announces the number in m when it is first used. A new process gets another number, so that what
// was measured at the one before is not taken for its own.
func (p *peer) number(server fleet.Server, m *siblingpb.News) uint32 {
	n, ok := p.serverNumbers[server.ID]
	if !ok || n.incarnation != server.Incarnation {
		p.lastServerNumber++
		n = numberedServer{p.lastServerNumber, server.Incarnation}
		p.serverNumbers[server.ID] = n
		m.Numbers = append(m.Numbers, &siblingpb.ServerNumber{Number: n.number, Server: server.ID, Incarnation: server.Incarnation})
	}
	return n.number
}

// anyNumber returns the latest number of a server, of whichever process. Requests in progress are
// reported by server.
func (p *peer) anyNumber(server string, m *siblingpb.News) uint32 {
	if n, ok := p.serverNumbers[server]; ok {
		return n.number
	}
	registered, ok := p.syncer.cfg.Servers.Server(server)
	if !ok {
		registered.ID = server
	}
	return p.number(registered, m)
}

// significantChange reports whether a reading must be sent before the next full set:
// if a value that placement uses has changed. These are health, cold state, speed,
// whether the speed has a known period, and the request counts. Traffic to other
// failure domains is billed by the byte, so there a change of the counts is sent only if
// the server becomes full or is no longer full. A region that does not need the
// service's servers in this region is sent changes of health and cold state only.
func (p *peer) significantChange(c fleet.ChangedReading) bool {
	previous, r := p.sentReadings[c.Server.ID], c.Reading
	if previous.Health != r.Health || coldEndChanged(previous, r) || previous.Incarnation != r.Incarnation {
		return true
	}
	if !p.sameRegion && !p.syncer.cfg.NeededByRegion(c.Server.Service, p.vm.Region) {
		return false // sent with the next full set
	}
	const minSpeedChange = 0.15 // relative change of the slowdown that affects placement
	if d := r.Load.Slowdown - previous.Load.Slowdown; d > minSpeedChange*previous.Load.Slowdown || -d > minSpeedChange*previous.Load.Slowdown {
		return true
	}
	if (previous.Period > 0) != (r.Period > 0) {
		return true
	}
	if p.sameDomain && previous.Load.Running+previous.Load.Waiting != r.Load.Running+r.Load.Waiting {
		return true
	}
	noFreeSlot := func(l fleet.Load) bool { return l.Running+l.Waiting >= l.Slots }
	return noFreeSlot(previous.Load) != noFreeSlot(r.Load)
}

// coldEndChanged reports whether a reading tells another time until which the server is
// cold. A server may turn cold again while it is cold.
func coldEndChanged(previous, r fleet.Reading) bool {
	if previous.ColdFor <= 0 || r.ColdFor <= 0 {
		return (previous.ColdFor > 0) != (r.ColdFor > 0)
	}
	return r.At.Add(r.ColdFor).Sub(previous.At.Add(previous.ColdFor)).Abs() > maxColdEndError
}

// addInFlight adds changes of the requests in progress (InUse in the protocol). A VM
// reports its own to its domain relay. A relay reports to the VMs of its failure domain
// those of all other VMs in the region, and to the other relays of the region those of
// its failure domain.
func (p *peer) addInFlight(now time.Time, m *siblingpb.News) {
	if !p.sameRegion || (!p.sameDomain && !p.peerSubscribed) {
		return
	}
	if now.Sub(p.lastFullInFlight) >= fullSetInterval {
		p.inFlightRevision, p.lastFullInFlight = 0, now
	}
	all := p.inFlightRevision == 0
	inFlight, revision := p.syncer.cfg.Servers.InFlight(p.inFlightRevision, func(peer string) bool {
		switch {
		case peer == p.inFlightKey || !p.peerSubscribed:
			return false
		case p.sameDomain:
			return true
		default:
			return strings.HasPrefix(peer, sameDomainPrefix)
		}
	})
	p.inFlightRevision = revision
	for server, n := range inFlight {
		p.addInUse(server, n, m)
	}
	if !all {
		return
	}
	for server := range p.sentInFlight {
		if _, registered := inFlight[server]; !registered {
			p.addInUse(server, 0, m)
		}
	}
}

// addInUse adds the requests in progress at a server if the other VM has another number.
func (p *peer) addInUse(server string, n int, m *siblingpb.News) {
	if p.sentInFlight[server] == n {
		return
	}
	p.sentInFlight[server] = n
	if n == 0 {
		delete(p.sentInFlight, server)
	}
	m.InUse = append(m.InUse, &siblingpb.InUse{Number: p.anyNumber(server, m), Requests: clamp(n)})
}

// addTables adds the table rows that the other VM does not have. With a refresh it
// also adds the present version and time of unchanged tables.
func (p *peer) addTables(now time.Time, m *siblingpb.News, refreshDue bool) {
	if !p.sameRegion {
		p.addReadTables(now, m)
		return
	}
	for _, t := range p.syncer.cfg.Tables {
		own, history := t.Position(), t.History()
		asOf := history.AsOf
		if own.Version == 0 {
			continue
		}
		p.mu.Lock()
		peerState := p.knownTables[t.Name()]
		p.mu.Unlock()
		known := peerState.positionBeside(own.Era)
		order := own.Compare(known)
		proof := p.proof(t, m)
		newer := asOf.After(peerState.asOf) || p.improvesProof(t.Name(), proof)
		unstored := p.unstored(t, known)
		if len(unstored) == 0 && (order < 0 || order == 0 && (!refreshDue || !newer)) {
			continue
		}
		c := replica.Changes{Era: own.Era, BaseVersion: own.Version, Version: own.Version}
		if order > 0 {
			if c = t.Since(known); len(c.Rows) == 0 && !c.Full && !refreshDue && len(unstored) == 0 {
				continue // only equivalent values changed; the next refresh sends the version
			}
		}
		if order >= 0 {
			p.recordSent(t.Name(), c, asOf)
		}
		c.Rows = append(c.Rows, unstored...)
		changes := p.encodeTable(now, t.Name(), c, history)
		p.addProof(changes, proof)
		m.Tables = append(m.Tables, changes)
	}
}

// recordSent records that the other VM is sent changes up to a version, complete as of a time.
func (p *peer) recordSent(table string, c replica.Changes, asOf time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.knownTables[table] = tableState{position: replica.Position{Era: c.Era, Version: c.Version}, eraStated: true, asOf: asOf}
}

// encodeTable is encodeTable for this stream. History.Since is stated only if it differs from what was
// stated before, since the other VM adds further reads to it.
func (p *peer) encodeTable(now time.Time, name string, c replica.Changes, h outage.History) *siblingpb.TableNews {
	m := encodeTable(now, name, c, h)
	stated, ok := p.statedHistories[name]
	if ok && stated.AfterOutage == h.AfterOutage && h.Since.Sub(stated.Since).Abs() < maxSinceError {
		m.UnbrokenMs, m.AfterOutage = 0, false
		return m
	}
	p.statedHistories[name] = h
	return m
}

// unstored returns what the other VM cannot learn from the store, since it may have read the table
// itself: for the first message, and when that has changed after the store came back from a copy.
func (p *peer) unstored(t *replica.Table, known replica.Position) []replica.Row {
	revision := t.UnstoredRevision()
	if sent, ok := p.sentUnstored[t.Name()]; ok && sent == revision {
		return nil
	}
	p.sentUnstored[t.Name()] = revision
	if known.Version == 0 {
		return nil // the other VM is sent the whole table, which has these rows
	}
	return t.Unstored()
}

// addReadTables adds, for the relay of another region, the tables that this VM has read from
// the store itself since the latest message, also if nothing has changed: a copy that is up to
// date keeps the other region from reading the store. Copies from siblings are not sent. They
// could go round between the regions, and each hop makes a copy seem younger by the time on
// the way. Once the store has come back from a copy, both ends send what it has lost, which does not say
// how old a copy is.
func (p *peer) addReadTables(now time.Time, m *siblingpb.News) {
	p.addUnstored(now, m)
	if !p.peerSubscribed || !p.syncer.IsRegionRelay(now) {
		return
	}
	for _, t := range p.syncer.cfg.Tables {
		asOf, era := t.ReadAsOf(), t.Position().Era
		p.mu.Lock()
		peerState := p.knownTables[t.Name()]
		p.mu.Unlock()
		known := peerState.positionBeside(era)
		if !asOf.After(peerState.asOf) || era < known.Era {
			continue
		}
		proof := p.proof(t, m)
		c := t.Since(known)
		p.recordSent(t.Name(), c, asOf)
		changes := p.encodeTable(now, t.Name(), c, t.ReadHistory())
		p.addProof(changes, proof)
		m.Tables = append(m.Tables, changes)
	}
}

func (p *peer) addUnstored(now time.Time, m *siblingpb.News) {
	for _, t := range p.syncer.cfg.Tables {
		if t.UnstoredRevision() == 0 {
			continue
		}
		p.mu.Lock()
		known := p.knownTables[t.Name()].position
		p.mu.Unlock()
		if known.Version == 0 {
			continue // not known to have a copy to which the rows can be added
		}
		if rows := p.unstored(t, known); len(rows) > 0 {
			m.Tables = append(m.Tables, encodeTable(now, t.Name(), replica.Changes{Era: t.Position().Era, Rows: rows}, outage.History{}))
		}
	}
}

// addLiveness adds when other VMs were last known to be alive. A relay of another
// failure domain is sent the VMs of this one, a VM of the same domain all VMs.
func (p *peer) addLiveness(now time.Time, m *siblingpb.News) {
	if !p.peerSubscribed {
		return
	}
	for _, v := range p.syncer.cfg.VMs() {
		if !p.sameDomain && v.FailureDomain != p.syncer.cfg.Self.FailureDomain {
			continue
		}
		if v.ID == p.syncer.cfg.Self.ID || v.ID == p.vm.ID {
			continue
		}
		p.syncer.cfg.Liveness.mu.Lock()
		at, ok := p.syncer.cfg.Liveness.lastSeen[v.ID]
		p.syncer.cfg.Liveness.mu.Unlock()
		if ok && now.Sub(at) < AliveFor {
			m.Seen = append(m.Seen, &siblingpb.VMSeen{VmId: v.ID, AgeMs: ageMs(now, at)})
		}
	}
}
