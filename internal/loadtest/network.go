package loadtest

import (
	"context"
	"net"
	"sync"

	"goldcresthinge.example/goldcresthinge/internal/standin/netem"
)

// proxyKey identifies a proxy by the region that uses it and the address that it
// connects to.
type proxyKey struct{ fromRegion, address string }

// interRegionProxies starts proxies over the link between regions. Each proxy is
// started at its first use and serves one region and one address. End A of the
// link is the first region that connected to another one. It is safe for
// concurrent use.
type interRegionProxies struct {
	mu           sync.Mutex
	regionA      string
	regionOf     map[string]string // by address
	proxyAddress map[proxyKey]string
	link         *netem.Link
}

// setRegion records the region in which address is served.
func (r *interRegionProxies) setRegion(address, region string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.regionOf[address] = region
}

// addressFrom returns the address at which fromRegion reaches address: that of a
// proxy if address is in another region, otherwise address itself. It starts the
// proxy if there is none yet.
func (r *interRegionProxies) addressFrom(fromRegion, address string) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	region, registered := r.regionOf[address]
	if !registered || region == fromRegion {
		return address, nil
	}
	key := proxyKey{fromRegion, address}
	if existing, ok := r.proxyAddress[key]; ok {
		return existing, nil
	}
	if r.regionA == "" {
		r.regionA = fromRegion
	}
	direction := netem.AToB
	if fromRegion != r.regionA {
		direction = netem.BToA
	}
	proxy, err := r.link.StartProxy("127.0.0.1:0", address, direction)
	if err != nil {
		return "", err
	}
	r.proxyAddress[key] = proxy.Address()
	return proxy.Address(), nil
}

// dialer returns a dial function for connections that are opened in fromRegion.
func (r *interRegionProxies) dialer(fromRegion string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		dialAddress, err := r.addressFrom(fromRegion, address)
		if err != nil {
			return nil, err
		}
		return (&net.Dialer{}).DialContext(ctx, network, dialAddress)
	}
}

// freeAddresses returns n loopback addresses whose ports were free during the
// call. Another process may take a port before the caller listens on it.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}
