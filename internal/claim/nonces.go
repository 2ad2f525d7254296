package claim

import (
	"sync"
	"time"
)

const (
	// nonceTTL is how long a nonce is stored after its attempt ended as not
	// run. By then, a row with this nonce that a delayed write added, or that a
	// failed deletion left in the table, is likely to be gone.
	nonceTTL  = 10 * time.Minute
	maxNonces = 1 << 16
)

// nonceSet holds the nonces of this VM's attempts that ended as not run; these
// nonces are called released. A new claim of the same key may overwrite a row
// with a released nonce before that row is deleted. Safe for concurrent use.
type nonceSet struct {
	mu        sync.Mutex
	expiry    map[string]time.Time
	lastSweep time.Time
}

func newNonceSet() *nonceSet { return &nonceSet{expiry: map[string]time.Time{}} }

// add stores a nonce for nonceTTL. It does nothing if maxNonces are stored; the
// idempotency key of the attempt then stays claimed until its row is deleted.
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
