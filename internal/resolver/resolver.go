// Package resolver turns the configuration and the ownership of pools into the
// lists that dispatch picks from, and names receivers in other regions.
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

// Ownership names the holders of the pools of the own region.
type Ownership interface {
	HolderOf(id inventory.PoolID) (vm.Info, bool)
	RegionVMs() []vm.Info
}

// linkBurst is the time whose bytes may cross the link at once.
const linkBurst = 2 * time.Second

// Resolver is safe for concurrent use.
type Resolver struct {
	self      vm.Info
	snapshot  func() *inventory.Snapshot
	ownership Ownership
	siblings  func() []vm.Info // live siblings of all regions
	table     *balancer.Picker
	lists     map[string][]balancer.Candidate // as last set; used by Refresh only

	mu    sync.Mutex
	next  int
	links map[string]*rate.Limiter // by region
}

// New returns a router that fills table on Refresh.
func New(self vm.Info, snapshot func() *inventory.Snapshot, ownership Ownership, siblings func() []vm.Info, table *balancer.Picker) *Resolver {
	return &Resolver{
		self:      self,
		snapshot:  snapshot,
		ownership: ownership,
		siblings:  siblings,
		table:     table,
		lists:     map[string][]balancer.Candidate{},
		links:     map[string]*rate.Limiter{},
	}
}

// Refresh rebuilds the candidates of all services. It is called after each
// change of configuration or ownership, from one goroutine.
func (r *Resolver) Refresh(now time.Time) {
	snap := r.snapshot()
	if snap == nil {
		return
	}
	for i := range snap.Document.Services {
		svc := &snap.Document.Services[i]
		r.setCandidates(svc.Name, r.candidates(snap, svc))
	}
	r.refreshLinks(now, snap)
}

// setCandidates replaces the list of a service only if it has changed, since
// the table copies its lists.
func (r *Resolver) setCandidates(service string, list []balancer.Candidate) {
	if last, known := r.lists[service]; known && slices.Equal(last, list) {
		return
	}
	r.lists[service] = list
	r.table.SetCandidates(service, list)
}

func (r *Resolver) candidates(snap *inventory.Snapshot, svc *inventory.Service) []balancer.Candidate {
	var out []balancer.Candidate
	for _, id := range snap.Pools(svc.Name) {
		if snap.RegionOf(id.FailureDomain) != r.self.Region || snap.OutOfService(id.FailureDomain) {
			continue
		}
		holder, ok := r.ownership.HolderOf(id)
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

// refreshLinks divides the byte budget of each link over the registered VMs of
// the own region. While two VMs know different members, the sum may exceed
// the budget.
func (r *Resolver) refreshLinks(now time.Time, snap *inventory.Snapshot) {
	members := max(1, len(r.ownership.RegionVMs()))
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, region := range snap.Document.Regions {
		share := snap.LinkBytesPerSecond(r.self.Region, region.Name) / float64(members)
		burst := int(share * linkBurst.Seconds())
		limiter, ok := r.links[region.Name]
		if !ok {
			r.links[region.Name] = rate.NewLimiter(rate.Limit(share), burst)
			continue
		}
		limiter.SetLimitAt(now, rate.Limit(share))
		limiter.SetBurstAt(now, burst)
	}
}

// Allow reports whether size bytes may cross the link to region, and charges
// them to the budget.
func (r *Resolver) Allow(now time.Time, region string, size int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	limiter, ok := r.links[region]
	return ok && limiter.AllowN(now, size)
}

// NextVM returns a live VM of another region in which service has targets in
// service. VMs take turns.
func (r *Resolver) NextVM(service string, regions []string) (vm.Info, bool) {
	snap := r.snapshot()
	serving := lo.Uniq(lo.FilterMap(snap.Pools(service), func(id inventory.PoolID, _ int) (string, bool) {
		region := snap.RegionOf(id.FailureDomain)
		bound := len(regions) > 0 && !slices.Contains(regions, region)
		return region, region != r.self.Region && !bound && !snap.OutOfService(id.FailureDomain)
	}))
	vms := lo.Filter(r.siblings(), func(v vm.Info, _ int) bool { return slices.Contains(serving, v.Region) })
	if len(vms) == 0 {
		return vm.Info{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	return vms[r.next%len(vms)], true
}
