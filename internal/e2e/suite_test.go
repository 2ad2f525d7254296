package e2e_test

import (
	"os"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/internal/standin/netem"
)

var (
	szeged    = place{"alfold", "szeged-a", 2}
	debrecen  = place{"alfold", "debrecen-a", 2}
	oneRegion = []place{szeged, debrecen}
	// One VM per region, so that all traffic between siblings crosses the link.
	threeRegions = []place{{"alfold", "szeged-a", 1}, {"dunantul", "gyor-a", 1}, {"tisza", "eger-a", 1}}
)

// clusters has one cluster per spec. They start at the same time, since a new
// VM must wait for 5 s until it takes its first pools.
var clusters = map[string]*cluster{
	"calls":        {topology: topology{places: oneRegion, targets: 2, args: []string{"--warm"}}},
	"keys":         {topology: topology{places: oneRegion, targets: 2, args: []string{"--warm", "--service-time", "100ms"}}},
	"domains":      {topology: topology{places: oneRegion, targets: 2, args: []string{"--warm"}}},
	"domains-down": {topology: topology{places: oneRegion, targets: 2, args: []string{"--warm"}}},
	"stops":        {topology: topology{places: oneRegion, targets: 2, args: []string{"--warm", "--service-time", "100ms", "--distribution", "fixed"}, rules: longCalls}},
	"versions":     {topology: topology{places: oneRegion, targets: 2, args: []string{"--warm"}}},
	"cold":         {topology: topology{places: oneRegion, targets: 2}},
	"leaving":      {topology: topology{places: oneRegion, targets: 3, args: []string{"--warm"}}},
	"regions":      {topology: topology{places: threeRegions, targets: 2, args: []string{"--warm"}, rules: boundRoutes, link: netem.New(0, 0)}},
}

var _ = BeforeSuite(func() {
	Expect(build()).To(Succeed())
	DeferCleanup(func() { _ = os.RemoveAll(programs) })
	var wg sync.WaitGroup
	var mu sync.Mutex
	errs := map[string]error{}
	number := 0
	for name, c := range clusters {
		number++
		c.number = number
		DeferCleanup(c.end)
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
