// Package resolver derives the lists of candidate pools of each service from the
// configuration and the holders of pools, selects VMs of other regions to which
// calls may be forwarded, and enforces the byte budgets of the links to them. The
// holder of a pool is the VM that has the lease of the pool and sends all calls to
// its targets.
package resolver

import (
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"
	"golang.org/x/time/rate"

	"goldcresthinge.example/goldcresthinge/internal/balancer"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// HolderTable returns the holders of pools and the registered VMs in the region of
// this VM. Its methods must be safe for concurrent use.
type HolderTable interface {
	HolderOf(id inventory.PoolID) (vm.Info, bool)
	RegionVMs() []vm.Info
}

// linkBurstWindow sets the burst of a link: the bytes that may be sent over it at
// once are the byte budget of this period.
const linkBurstWindow = 2 * time.Second

// Resolver updates the candidate lists of a balancer.Picker and enforces the byte
// budgets of the links to other regions. It is safe for concurrent use, except
// that Refresh must not be called concurrently with itself.
type Resolver struct {
	self              vm.Info
	snapshot          func() *inventory.Snapshot
	holders           HolderTable
	siblings          func() []vm.Info // live siblings of all regions
	picker            *balancer.Picker
	currentCandidates map[string][]balancer.Candidate // by service, as last set in picker; used by Refresh only

	mu           sync.Mutex
	nextVMIndex  int
	linkLimiters map[string]*rate.Limiter // by region
}

// New returns a Resolver whose Refresh sets the candidates of picker. siblings
// returns the siblings of all regions that are alive.
func New(self vm.Info, snapshot func() *inventory.Snapshot, holders HolderTable, siblings func() []vm.Info, picker *balancer.Picker) *Resolver {
	return &Resolver{
		self:              self,
		snapshot:          snapshot,
		holders:           holders,
		siblings:          siblings,
		picker:            picker,
		currentCandidates: map[string][]balancer.Candidate{},
		linkLimiters:      map[string]*rate.Limiter{},
	}
}

// Refresh computes the candidates of all services and the byte budgets of the
// links anew. It must be called from one goroutine after each change of the
// configuration or of the holders. It does nothing before the first configuration.
func (r *Resolver) Refresh(now time.Time) {
	snap := r.snapshot()
	if snap == nil {
		return
	}
	for i := range snap.Document.Services {
		svc := &snap.Document.Services[i]
		r.setCandidates(svc.Name, r.candidates(snap, svc))
	}
	r.updateLinkLimits(now, snap)
}

// setCandidates sets the candidates of a service in picker if they have changed.
// Unchanged lists are not set again because picker copies all its lists for each
// change.
func (r *Resolver) setCandidates(service string, candidates []balancer.Candidate) {
	if previous, ok := r.currentCandidates[service]; ok && slices.Equal(previous, candidates) {
		return
	}
	r.currentCandidates[service] = candidates
	r.picker.SetCandidates(service, candidates)
}

// candidates returns the pools of a service in the region of this VM that have a
// holder and whose failure domain is in service.
func (r *Resolver) candidates(snap *inventory.Snapshot, svc *inventory.Service) []balancer.Candidate {
	var out []balancer.Candidate
	for _, id := range snap.Pools(svc.Name) {
		if snap.RegionOf(id.FailureDomain) != r.self.Region || snap.OutOfService(id.FailureDomain) {
			continue
		}
		holder, ok := r.holders.HolderOf(id)
		if !ok {
			continue
		}
		out = append(out, balancer.Candidate{
			Pool:  id,
			VM:    holder,
			Local: holder.ID == r.self.ID,
			Slots: svc.Slots * len(snap.Targets(id)),
		})
	}
	return out
}

// updateLinkLimits gives this VM an equal share of the byte budget of each link;
// the budget is divided among the registered VMs of the region. While the VMs have
// different lists of the registered VMs, the sum of their shares may exceed the
// budget.
func (r *Resolver) updateLinkLimits(now time.Time, snap *inventory.Snapshot) {
	vmCount := max(1, len(r.holders.RegionVMs()))
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, region := range snap.Document.Regions {
		share := snap.LinkBytesPerSecond(r.self.Region, region.Name) / float64(vmCount)
		burst := int(share * linkBurstWindow.Seconds())
		limiter, ok := r.linkLimiters[region.Name]
		if !ok {
			r.linkLimiters[region.Name] = rate.NewLimiter(rate.Limit(share), burst)
			continue
		}
		limiter.SetLimitAt(now, rate.Limit(share))
		limiter.SetBurstAt(now, burst)
	}
}

// TakeLinkBudget reports whether size bytes may be sent over the link to region
// now, and if so, takes them from the byte budget of this VM for the link. The
// result is false if the region is unknown.
func (r *Resolver) TakeLinkBudget(now time.Time, region string, size int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	limiter, ok := r.linkLimiters[region]
	return ok && limiter.AllowN(now, size)
}

// NextVM returns a VM of another region that is alive, or false if there is none.
// Only regions are considered in which the service has targets in failure domains
// that are in service. If regions is not empty, other regions are ignored.
// Successive calls return the VMs in rotation. NextVM must not be called before the
// first configuration.
func (r *Resolver) NextVM(service string, regions []string) (vm.Info, bool) {
	snap := r.snapshot()
	servingRegions := lo.Uniq(lo.FilterMap(snap.Pools(service), func(id inventory.PoolID, _ int) (string, bool) {
		region := snap.RegionOf(id.FailureDomain)
		excluded := len(regions) > 0 && !slices.Contains(regions, region)
		return region, region != r.self.Region && !excluded && !snap.OutOfService(id.FailureDomain)
	}))
	vms := lo.Filter(r.siblings(), func(v vm.Info, _ int) bool { return slices.Contains(servingRegions, v.Region) })
	if len(vms) == 0 {
		return vm.Info{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextVMIndex++
	return vms[r.nextVMIndex%len(vms)], true
}
