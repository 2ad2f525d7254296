package e2e_test

import (
	"os"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/internal/standin/netem"
)

// Failure domains, each with its region, its name and its number of entry VMs.
var (
	szeged    = domainSpec{"alfold", "szeged-a", 2}
	debrecen  = domainSpec{"alfold", "debrecen-a", 2}
	oneRegion = []domainSpec{szeged, debrecen}
	// Each region has one VM, so all traffic between siblings crosses the link.
	threeRegions = []domainSpec{{"alfold", "szeged-a", 1}, {"dunantul", "gyor-a", 1}, {"tisza", "eger-a", 1}}
)

// clusters holds the clusters by name. Each is used by one Describe container, or by
// one of the cases that a spec runs concurrently. They are started concurrently, because
// a new VM waits for 5 s before it takes its first pools.
var clusters = map[string]*cluster{
	"calls":           {topology: topology{domains: oneRegion, targetsPerPool: 2, targetArgs: []string{"--warm"}}},
	"idempotency":     {topology: topology{domains: oneRegion, targetsPerPool: 2, targetArgs: []string{"--warm", "--service-time", "100ms"}}},
	"domains":         {topology: topology{domains: oneRegion, targetsPerPool: 2, targetArgs: []string{"--warm"}}},
	"domains-down":    {topology: topology{domains: oneRegion, targetsPerPool: 2, targetArgs: []string{"--warm"}}},
	"vm-stops":        {topology: topology{domains: oneRegion, targetsPerPool: 2, targetArgs: []string{"--warm", "--service-time", "100ms", "--distribution", "fixed"}, adjustInitialDocument: setLongCallTimeout}},
	"versions":        {topology: topology{domains: oneRegion, targetsPerPool: 2, targetArgs: []string{"--warm"}}},
	"cold-targets":    {topology: topology{domains: oneRegion, targetsPerPool: 2}},
	"leaving-targets": {topology: topology{domains: oneRegion, targetsPerPool: 3, targetArgs: []string{"--warm"}}},
	"regions":         {topology: topology{domains: threeRegions, targetsPerPool: 2, targetArgs: []string{"--warm"}, adjustInitialDocument: addRegionBoundRoutes, link: netem.New(0, 0)}},
}

var _ = BeforeSuite(func() {
	Expect(buildPrograms()).To(Succeed())
	DeferCleanup(func() { _ = os.RemoveAll(programDir) })
	var wg sync.WaitGroup
	var mu sync.Mutex
	errs := map[string]error{}
	addressOctet := 0
	for name, c := range clusters {
		addressOctet++
		c.addressOctet = addressOctet
		DeferCleanup(c.killAll)
		wg.Go(func() {
			err := c.start()
			mu.Lock()
			defer mu.Unlock()
			errs[name] = err
		})
	}
	wg.Wait()
	for name, err := range errs {
		Expect(err).NotTo(HaveOccurred(), name)
	}
})
