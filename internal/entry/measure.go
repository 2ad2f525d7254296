package entry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/samber/lo"

	"goldcresthinge.example/goldcresthinge/internal/backend"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/periodicity"
	"goldcresthinge.example/goldcresthinge/internal/quota"
	"goldcresthinge.example/goldcresthinge/internal/recovery"
	"goldcresthinge.example/goldcresthinge/internal/routing"
	"goldcresthinge.example/goldcresthinge/internal/statesync"
)

const (
	// probeTimeout bounds one measurement. A running server answers at once.
	probeTimeout = 250 * time.Millisecond
	// minProbePause and maxProbePause bound the time from the end of a
	// measurement to the start of the next one of the same server.
	minProbePause = 2 * time.Millisecond
	maxProbePause = 600 * time.Millisecond
	// maxBusyProbePause bounds it for a server with requests in progress, and
	// maxUnpredictedProbePause for one whose period is also not known. A busy server that
	// turns cold gets requests at the former rate until it is measured.
	maxBusyProbePause        = 300 * time.Millisecond
	maxUnpredictedProbePause = 50 * time.Millisecond
	// firstRequestProbePause bounds the time between two measurements of a server that gets its
	// first request: an idle server is then measured at once if its reading is older.
	firstRequestProbePause = 100 * time.Millisecond
	// missesUntilUnreachable is the number of successive measurements without
	// an answer after which a server gets no requests.
	missesUntilUnreachable = 2
	// pauseAfterMiss is the pause after the first measurement without an answer.
	// unreachableProbePause is the pause after each further one and after a
	// refused connection.
	pauseAfterMiss        = 30 * time.Millisecond
	unreachableProbePause = 200 * time.Millisecond
	// assignmentInterval is the interval at which the assignment of servers to the
	// VMs that measure them is recomputed.
	assignmentInterval = 100 * time.Millisecond
	// rankInterval is the shortest time between two computations of the ranks (see
	// probeAssignments.rank). They only spread load, and each computation costs one
	// hash for each VM of the region and server.
	rankInterval = time.Second
)

// prober measures the servers that are assigned to this VM.
type prober struct {
	state       *deploymentState
	liveness    *statesync.Liveness
	assignments *probeAssignments
	pool        *backend.ConnPool
	proto       backend.HeaderCodec
	routes      func() *routing.Table
	workers     pond.Pool
	onChange    func() // called after a reading that placement or siblings need
	notices     *notices
	log         log.Logger

	probesPerSecond func() float64 // limit for one server, over all VMs

	// The fields up to mu are used by run only.
	inputs             assignmentInputs // of the latest assignment
	rankInputs         assignmentInputs // of the latest computation of ranks
	nextRanks          time.Time        // earliest time of the next computation of ranks
	unmeasuredSenderOf []fleet.Server   // servers for which isUnmeasuredSender is true

	mu        sync.Mutex
	probed    map[string]*probedServer
	minPause  time.Duration // result of minorityProbePause
	probeDone chan struct{} // capacity 1; receives a value when the time of a measurement may have changed
}

// assignmentInputs is what the assignment of servers to VMs depends on.
type assignmentInputs struct {
	registered, alive []fleet.VM
	serverSetCount    uint64
	// ownDomainOnly is true if each failure domain has a live VM, so that those of other
	// domains do not matter and are not in alive.
	ownDomainOnly bool
}

func (a assignmentInputs) equal(b assignmentInputs) bool {
	return a.serverSetCount == b.serverSetCount && a.ownDomainOnly == b.ownDomainOnly &&
		slices.Equal(a.registered, b.registered) && slices.Equal(a.alive, b.alive)
}

// restrictToOwnDomain removes the VMs of other failure domains from a.alive if the result of
// assignServers does not depend on them.
func (a *assignmentInputs) restrictToOwnDomain(self fleet.VM, domains []string) {
	live := map[string]bool{self.FailureDomain: true}
	for _, v := range a.alive {
		live[v.FailureDomain] = true
	}
	a.ownDomainOnly = lo.EveryBy(domains, func(domain string) bool { return live[domain] })
	if a.ownDomainOnly {
		a.alive = vmsInDomain(a.alive, self.FailureDomain)
	}
}

// probedServer is the state of one measured server.
type probedServer struct {
	server     fleet.Server
	detector   periodicity.Detector
	lastSent   time.Time // time at which the latest measurement was sent
	nextProbe  time.Time
	inProgress bool
}

// run measures the assigned servers until ctx ends.
func (p *prober) run(ctx context.Context) error {
	var nextAssignment time.Time
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-p.probeDone:
		}
		now := time.Now()
		if !now.Before(nextAssignment) {
			nextAssignment = now.Add(assignmentInterval)
			p.updateAssignments(now)
		}
		next := p.startDue(ctx, now)
		if nextAssignment.Before(next) {
			next = nextAssignment
		}
		timer.Reset(max(time.Until(next), 0))
	}
}

// updateAssignments computes the assignments again if the VMs or servers have changed.
// The cost grows with the product of both, so it is avoided while nothing changes.
func (p *prober) updateAssignments(now time.Time) {
	registered := p.state.VMs()
	alive := p.liveness.Filter(registered, now)
	in := assignmentInputs{registered: registered, alive: alive, serverSetCount: p.state.fleet.SetCount()}
	if !now.Before(p.nextRanks) && !in.equal(p.rankInputs) {
		p.rankInputs, p.nextRanks = in, now.Add(rankInterval)
		p.assignments.setRanks(p.state.self, alive, p.state.fleet.Servers())
	}
	in.restrictToOwnDomain(p.state.self, lo.Keys(*p.state.regions.Load()))
	if !in.equal(p.inputs) {
		p.assign(now, in, alive)
	}
	// Selects the servers to which this VM may send without a recent reading.
	// A reading is recent up to maxReadingAge. The limit here is half of that
	// because a reading that is nearly too old may become too old before the
	// next call.
	var unmeasured []string
	for _, s := range p.unmeasuredSenderOf {
		if reading, _ := p.state.fleet.Reading(s.ID); now.Sub(reading.AsOf()) > maxReadingAge/2 {
			unmeasured = append(unmeasured, s.ID)
		}
	}
	p.assignments.setUnmeasured(now, unmeasured)
}

// assign computes which servers this VM measures, and the servers to which it may send
// without a reading. alive are all live VMs.
func (p *prober) assign(now time.Time, in assignmentInputs, alive []fleet.VM) {
	servers := p.state.fleet.Servers()
	registered := in.registered
	if in.serverSetCount != p.inputs.serverSetCount || !slices.Equal(registered, p.inputs.registered) {
		domainVMs := vmInfos(vmsInDomain(registered, p.state.self.FailureDomain))
		p.unmeasuredSenderOf = lo.Filter(servers, func(s fleet.Server, _ int) bool {
			return isUnmeasuredSender(p.state.self, domainVMs, s)
		})
	}
	p.inputs = in
	candidates := servers
	if in.ownDomainOnly {
		candidates, alive = serversInDomain(servers, p.state.self.FailureDomain), in.alive
	}
	assigned := assignServers(p.state.self, registered, alive, candidates, p.state.Region)
	p.assignments.set(now, assigned, servers)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.minPause = p.minorityProbePause(registered, alive)
	assignedIDs := make(map[string]bool, len(assigned))
	for _, a := range assigned {
		s := a.server
		assignedIDs[s.ID] = true
		ps, ok := p.probed[s.ID]
		if !ok || ps.server.Address != s.Address || ps.server.Incarnation != s.Incarnation {
			p.probed[s.ID] = &probedServer{server: s, nextProbe: now}
			continue
		}
		ps.server = s
	}
	for id := range p.probed {
		if !assignedIDs[id] {
			delete(p.probed, id)
		}
	}
}

// minorityProbePause returns the minimum time between the starts of two
// measurements of a server. It is 0 unless less than half of the VMs of this
// failure domain are alive as far as this VM knows. The VMs that seem lost may then
// measure the same servers, so each VM takes an equal share of the limit.
func (p *prober) minorityProbePause(registered, alive []fleet.VM) time.Duration {
	group := quota.Group{
		// alive holds the siblings only, so 1 is added for this VM.
		Alive:      len(vmsInDomain(alive, p.state.self.FailureDomain)) + 1,
		Registered: len(vmsInDomain(registered, p.state.self.FailureDomain)),
	}
	limit := p.probesPerSecond()
	if group.AtLeastHalfAlive() || limit <= 0 {
		return 0
	}
	return time.Duration(float64(group.Registered) / limit * float64(time.Second))
}

// serverBecameBusy brings the next measurement of a server forward that gets its first request. An
// idle server is measured rarely, and it may have turned cold since.
func (p *prober) serverBecameBusy(id string) {
	p.mu.Lock()
	ps, ok := p.probed[id]
	if ok {
		earliest := ps.lastSent.Add(max(firstRequestProbePause, p.minPause))
		if ok = earliest.Before(ps.nextProbe) && !ps.inProgress; ok {
			ps.nextProbe = earliest
		}
	}
	p.mu.Unlock()
	if !ok {
		return
	}
	select {
	case p.probeDone <- struct{}{}:
	default:
	}
}

// startDue starts the measurements that are due and returns the time when the
// next one is due, at most assignmentInterval later.
func (p *prober) startDue(ctx context.Context, now time.Time) time.Time {
	next := now.Add(assignmentInterval)
	routes := p.routes()
	if routes == nil {
		return next
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, ps := range p.probed {
		if ps.inProgress {
			continue
		}
		if now.Before(ps.nextProbe) {
			if ps.nextProbe.Before(next) {
				next = ps.nextProbe
			}
			continue
		}
		if until := p.state.fleet.PausedUntil(ps.server.ID); now.Before(until) {
			ps.nextProbe = until
			continue
		}
		svc, ok := routes.Service(ps.server.Service)
		if !ok || svc.HealthPath == "" {
			ps.nextProbe = now.Add(maxProbePause)
			continue
		}
		server := ps.server // ps.server changes under the lock only
		if _, ok := p.workers.TrySubmit(func() { p.probe(ctx, ps, server, svc.HealthPath) }); ok {
			ps.inProgress = true
		}
	}
	return next
}

func (p *prober) probe(ctx context.Context, ps *probedServer, s fleet.Server, path string) {
	sent := time.Now()
	var answer backend.ResponseInfo
	err := recovery.Run(func() (err error) {
		answer, err = p.pool.Probe(ctx, p.proto, s, path, probeTimeout)
		return err
	})
	received := time.Now()
	if ctx.Err() != nil {
		return
	}
	p.notices.observe(s, received, answer.Notice)
	previous, _ := p.state.fleet.Reading(s.ID)
	r := nextReading(previous, sent, answer, err)
	r.Incarnation = s.Incarnation
	p.schedule(ps, &r, sent, received, err == nil && answer.Load != nil)
	// Logged only if the health or the cold state has changed.
	if previous.Health != r.Health || previous.Cold(sent) != r.Cold(sent) {
		_ = level.Info(p.log).Log("msg", "server measured", "server", s.ID, "health", r.Health, "was", previous.Health,
			"cold_ms", r.ColdFor.Milliseconds(), "misses", r.Misses, "err", err)
	}
	if p.state.fleet.Observe(s.ID, r) {
		p.onChange()
	}
}

// nextReading returns the reading after a measurement that was sent at sent. A
// measurement without an answer keeps the previous load, the rest of the time
// for which the server is cold, and the previous health until
// missesUntilUnreachable is reached or the connection is refused.
func nextReading(previous fleet.Reading, sent time.Time, answer backend.ResponseInfo, err error) fleet.Reading {
	r := fleet.Reading{At: sent, Load: previous.Load, ColdFor: answer.ColdFor}
	switch {
	case err != nil:
		r.Misses = previous.Misses + 1
		r.Health = previous.Health
		r.ColdFor = max(previous.ColdFor-sent.Sub(previous.At), 0)
		if r.Misses >= missesUntilUnreachable || errors.Is(err, syscall.ECONNREFUSED) {
			r.Health = fleet.Unreachable
		}
	case answer.Healthy:
		r.Health = fleet.Healthy
	default:
		r.Health = fleet.Unhealthy
	}
	if answer.Load != nil {
		r.Load = *answer.Load
	}
	return r
}

// longestProbePause returns the longest pause between two measurements of a server.
func longestProbePause(busy, periodKnown bool) time.Duration {
	switch {
	case !busy:
		return maxProbePause
	case periodKnown:
		return maxBusyProbePause
	default:
		return maxUnpredictedProbePause
	}
}

// schedule sets the time of the next measurement of ps. If a period of the
// server's speed is known, it also sets in r until when the speed is valid.
func (p *prober) schedule(ps *probedServer, r *fleet.Reading, sent, received time.Time, loadKnown bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ps.inProgress, ps.lastSent = false, sent
	switch {
	case r.Misses >= missesUntilUnreachable || r.Health == fleet.Unreachable:
		ps.nextProbe = received.Add(unreachableProbePause)
	case r.Misses > 0:
		ps.nextProbe = received.Add(pauseAfterMiss)
	default:
		busy := r.Load.Running+r.Load.Waiting > 0 || p.state.fleet.HasRequests(ps.server.ID)
		latest := received.Add(longestProbePause(busy, ps.detector.HasPeriod()))
		if loadKnown {
			if !ps.detector.HasPeriod() {
				ps.detector.SetHint(p.state.fleet.Period(ps.server.Service))
			}
			ps.detector.Observe(sent, received, r.Load.Slowdown)
			ps.nextProbe = ps.detector.Next(received)
		} else {
			// The detector has seen no speed at this time, and would expect one at once.
			ps.nextProbe = latest
		}
		if ps.nextProbe.Before(received.Add(minProbePause)) {
			ps.nextProbe = received.Add(minProbePause)
		}
		if ps.nextProbe.After(latest) {
			ps.nextProbe = latest
		}
		if earliest := sent.Add(p.minPause); ps.nextProbe.Before(earliest) {
			ps.nextProbe = earliest
		}
	}
	if until, ok := ps.detector.ValidUntil(); ok {
		r.ValidUntil, r.Period = until, ps.detector.Period()
	}
	select {
	case p.probeDone <- struct{}{}:
	default:
	}
}
