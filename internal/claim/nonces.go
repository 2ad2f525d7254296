package claim

import (
	"sync"
	"time"
)

const (
	// A released nonce is kept for as long as a delayed write or a failed
	// deletion is likely to leave its row in the table.
	nonceTTL  = 10 * time.Minute
	maxNonces = 1 << 16
)

// nonceSet holds the nonces of this VM's attempts that ended as not run. A
// claim may replace their rows before these are deleted. Safe for concurrent
// use.
type nonceSet struct {
	mu        sync.Mutex
	expiry    map[string]time.Time
	lastSweep time.Time
}

func newNonceSet() *nonceSet { return &nonceSet{expiry: map[string]time.Time{}} }

// add stores a nonce for nonceTTL. It does nothing if maxNonces are stored;
// then the key of the nonce stays claimed until its row is deleted.
func (n *nonceSet) add(now time.Time, nonce string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Sub(n.lastSweep) >= nonceTTL/10 {
		for k, t := range n.expiry {
			if !now.Before(t) {
				delete(n.expiry, k)
			}
		}
		n.lastSweep = now
	}
	if len(n.expiry) < maxNonces {
		n.expiry[nonce] = now.Add(nonceTTL)
	}
}

func (n *nonceSet) contains(nonce string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, ok := n.expiry[nonce]
	return ok
}
