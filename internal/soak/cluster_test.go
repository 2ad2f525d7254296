package soak_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/standin/freeport"
	"goldcresthinge.example/goldcresthinge/internal/standin/netem"
	"goldcresthinge.example/goldcresthinge/platform"
	"goldcresthinge.example/goldcresthinge/platform/platformtest"
)

const (
	serviceOne = "one"
	serviceTwo = "two"

	coldPerSecond = 10 // requests/s that a cold server bears
	coldFor       = 3 * time.Second
	serverWork    = 15 * time.Millisecond
	serverSlots   = 2
	// Servers of each failure domain.
	serversOne, serversTwo = 3, 2
)

var (
	domains = []string{"a", "b", "c"}
	regions = map[string]string{"a": "east", "b": "east", "c": "west"}
)

// site is a place for backend servers, which come and go. Its address stays.
type site struct {
	name, domain   string
	listen, target string // address of the link and of the servers
	link           *netem.Link

	mu      sync.Mutex // held while the server is replaced
	server  *platformtest.Server
	started int
}

// world is a whole deployment with its callers.
type world struct {
	dir, program string
	store        *platformtest.Store
	ledger       *ledger
	sites        []*site
	evacuating   sync.Mutex

	mu      sync.Mutex
	vms     []*vm
	vmCount int
	callers int // so far
	version int
	moved   bool // the moving route leads to serviceTwo
	closers []func()
}

func newWorld(dir, program string, vms int, rng *rand.Rand) (*world, error) {
	w := &world{dir: dir, program: program, store: platformtest.NewStore(), ledger: newLedger()}
	w.store.Stored = w.throughLinks
	if err := w.configure(false); err != nil {
		return nil, err
	}
	for _, domain := range domains {
		for i := range serversOne + serversTwo {
			s, err := newSite(fmt.Sprintf("%s%d", domain, i), domain)
			if err != nil {
				return nil, err
			}
			service := serviceOne
			if i >= serversOne {
				service = serviceTwo
			}
			s.mu.Lock()
			err = w.startServer(s, service, 0)
			s.mu.Unlock()
			if err != nil {
				return nil, err
			}
			w.sites = append(w.sites, s)
		}
	}
	for i := range vms {
		if _, err := w.addVM(domains[i%len(domains)], rng); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// throughLinks replaces the address of a VM's entry by that of the link that
// leads to it.
func (w *world) throughLinks(table, key string, value []byte) []byte {
	if table != platform.TableVMs {
		return value
	}
	entry, err := platform.DecodeVM(key, value)
	if err != nil {
		w.ledger.fail("entry of %s cannot be read: %v", key, err)
		return value
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, v := range w.vms {
		if v.id == key {
			entry.Address = v.listen["siblings-relay"]
		}
	}
	out, err := platform.EncodeVM(entry)
	if err != nil {
		w.ledger.fail("entry of %s: %v", key, err)
		return value
	}
	return out
}

func (w *world) addVM(domain string, rng *rand.Rand) (*vm, error) {
	client := w.store.Client()
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // it does not block
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: client, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	w.mu.Lock()
	w.vmCount++
	id := fmt.Sprintf("vm-%s-%d", domain, w.vmCount)
	w.closers = append(w.closers, func() { _ = server.Close() })
	w.mu.Unlock()
	v, err := newVM(w.dir, id, domain, l.Addr().String(), client)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.vms = append(w.vms, v)
	w.mu.Unlock()
	go v.supervise(w.program, rand.New(rand.NewPCG(rng.Uint64(), 0)), w.ledger.fail) //nolint:gosec // no secret
	return v, nil
}

// removeVM takes a VM away for good.
func (w *world) removeVM(v *vm) {
	w.mu.Lock()
	w.vms = slices.DeleteFunc(w.vms, func(o *vm) bool { return o == v })
	w.mu.Unlock()
	v.close()
}

func (w *world) pickVM(rng *rand.Rand) *vm {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.vms) == 0 {
		return nil
	}
	return w.vms[rng.IntN(len(w.vms))]
}

func (w *world) allVMs() []*vm {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.vms)
}

func newSite(name, domain string) (*site, error) {
	target, err := freeport.Address()
	if err != nil {
		return nil, err
	}
	s := &site{name: name, domain: domain, target: target}
	s.link, s.listen, err = relay(target)
	return s, err
}

// startServer starts the next server of a site, whose lock is held.
func (w *world) startServer(s *site, service string, cold time.Duration) error {
	s.started++
	server := &platformtest.Server{
		ID: fmt.Sprintf("%s-%d", s.name, s.started), Service: service, FailureDomain: s.domain, Address: s.listen,
		Slots: serverSlots, ServiceTime: serverWork, Record: w.ledger.reached,
	}
	server.SetCold(cold)
	if err := server.Listen(s.target); err != nil {
		return err
	}
	s.server = server
	return server.Register(w.store)
}

func addedPrefix(version int) string { return fmt.Sprintf("/added%d/", version) }

// configure stores the next configuration. Each adds a route; move changes the
// service of the moving route.
func (w *world) configure(move bool) error {
	w.mu.Lock()
	w.version++
	w.moved = w.moved != move
	version := w.version
	routes := w.routesLocked()
	w.mu.Unlock()
	err := w.store.Configure(version, routes, []platformtest.Service{
		{Name: serviceOne, ColdPerS: coldPerSecond, Connections: 200}, {Name: serviceTwo, ColdPerS: coldPerSecond, Connections: 200},
	})
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	w.ledger.changes = append(w.ledger.changes, change{version, time.Now()})
	return err
}

func (w *world) routesLocked() []platformtest.Route {
	const timeoutMs = 5000
	moving := serviceOne
	if w.moved {
		moving = serviceTwo
	}
	routes := []platformtest.Route{
		{Name: "lookup", Prefix: "/lookup/", Service: serviceOne, Idempotent: true, MaxAttempts: 3, TimeoutMs: timeoutMs},
		{Name: "order", Prefix: "/order/", Service: serviceOne, MaxAttempts: 2, TimeoutMs: timeoutMs},
		{Name: "book", Prefix: "/book/", Service: serviceTwo, MaxAttempts: 2, TimeoutMs: timeoutMs},
		{Name: "moving", Prefix: "/moving/", Service: moving, MaxAttempts: 2, TimeoutMs: timeoutMs},
	}
	for version := 1; version <= w.version; version++ {
		routes = append(routes, platformtest.Route{
			Name: fmt.Sprintf("added-%d", version), Prefix: addedPrefix(version), Service: serviceOne, Idempotent: true,
			MaxAttempts: 2, TimeoutMs: timeoutMs,
		})
	}
	return routes
}

// drawRoute chooses the route of a request.
func (w *world) drawRoute(rng *rand.Rand, r *request, idempotent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	routes := slices.DeleteFunc(w.routesLocked(), func(o platformtest.Route) bool { return idempotent && !o.Idempotent })
	// A third of the requests shows the newest versions.
	i := rng.IntN(len(routes))
	if rng.IntN(3) == 0 {
		i = len(routes) - 1 - rng.IntN(min(2, len(routes)))
	}
	r.route = routes[i]
	r.services = []string{r.route.Service}
	if r.route.Name == "moving" {
		r.services = []string{serviceOne, serviceTwo}
	}
	// Any other route is in all versions.
	r.version = max(w.version-(len(routes)-1-i), 0)
	if r.route.Prefix != addedPrefix(r.version) {
		r.version = 0
	}
}

// heal ends what faults may have left behind.
func (w *world) heal() error {
	for _, v := range w.allVMs() {
		v.wake()
		v.storeClient.SetFaults(platformtest.StoreFaults{})
		for _, l := range []*netem.Link{v.callerLink, v.siblingLink, v.storeLink} {
			calmLink(l)
		}
	}
	for _, domain := range domains {
		w.store.Return(domain)
	}
	for _, s := range w.sites {
		calmLink(s.link)
		s.mu.Lock()
		s.server.SetFaults(platformtest.ServerFaults{})
		err := s.server.Register(w.store)
		s.mu.Unlock()
		if err != nil {
			return err
		}
	}
	return nil
}

func calmLink(l *netem.Link) {
	l.Resume()
	l.SetDelay(netem.AToB, 0)
	l.SetDelay(netem.BToA, 0)
}

// serving reports whether a VM is ready and answers on each kind of route.
func (w *world) serving(ctx context.Context, v *vm, c *caller) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.ready+platform.ReadinessPath, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false
	}
	before := c.served
	c.use(v)
	return c.served > before
}

func (w *world) close() {
	for _, v := range w.allVMs() {
		v.close()
	}
	for _, s := range w.sites {
		s.server.Close()
		s.link.Close()
	}
	for _, f := range w.closers {
		f()
	}
}
