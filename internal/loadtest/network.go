package loadtest

import (
	"context"
	"net"
	"sync"

	"goldcresthinge.example/goldcresthinge/internal/standin/netem"
)

type relayKey struct{ from, address string }

// relays makes the relays over the link between regions when they are first
// used. Place A of the link is the first region that dialed.
type relays struct {
	mu       sync.Mutex
	placeA   string
	regionOf map[string]string // by address
	made     map[relayKey]string
	between  *netem.Link
}

func (r *relays) add(address, region string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.regionOf[address] = region
}

// address returns the address under which a region reaches another address.
func (r *relays) address(from, address string) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	region, known := r.regionOf[address]
	if !known || region == from {
		return address, nil
	}
	key := relayKey{from, address}
	if via, ok := r.made[key]; ok {
		return via, nil
	}
	if r.placeA == "" {
		r.placeA = from
	}
	direction := netem.AToB
	if from != r.placeA {
		direction = netem.BToA
	}
	relay, err := r.between.StartProxy("127.0.0.1:0", address, direction)
	if err != nil {
		return "", err
	}
	r.made[key] = relay.Address()
	return relay.Address(), nil
}

func (r *relays) dialer(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		via, err := r.address(from, address)
		if err != nil {
			return nil, err
		}
		return (&net.Dialer{}).DialContext(ctx, network, via)
	}
}

// freeAddresses returns loopback addresses whose ports were free just now.
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
