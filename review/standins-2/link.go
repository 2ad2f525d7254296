package main

import (
	"slices"

	"goldcresthinge.example/goldcresthinge/internal/standin/netem"
)

// allLinks returns the links of the VMs to the store, to each other and to the targets.
func (r *run) allLinks() []*netem.Link {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.links)
}

// startLink starts a link to an address and returns the address at which it is reached.
func (r *run) startLink(to string) (string, error) {
	l := netem.New(0, 0)
	p, err := l.StartProxy("127.0.0.1:0", to, netem.AToB)
	if err != nil {
		return "", err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links = append(r.links, l)
	r.closers = append(r.closers, l.Close)
	return p.Address(), nil
}
