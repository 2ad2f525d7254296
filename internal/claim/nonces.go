package claim

import (
	"sync"
	"time"
)

const (
	// A released nonce is remembered as long as a late write or a failed
	// deletion can plausibly leave its row behind.
	nonceTTL  = 10 * time.Minute
	maxNonces = 1 << 16
)

// nonces remembers attempts of this VM that ended as not run, so that their
// rows can be replaced before they are deleted. Safe for concurrent use.
type nonces struct {
	mu     sync.Mutex
	expiry map[string]time.Time
	swept  time.Time
}

func newNonces() *nonces { return &nonces{expiry: map[string]time.Time{}} }

// add remembers a nonce. When there are too many, it does nothing: a forgotten
// nonce only means that its key stays claimed until the row is deleted.
func (n *nonces) add(now time.Time, nonce string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Sub(n.swept) >= nonceTTL/10 {
		for k, t := range n.expiry {
			if !now.Before(t) {
				delete(n.expiry, k)
			}
		}
		n.swept = now
	}
	if len(n.expiry) < maxNonces {
		n.expiry[nonce] = now.Add(nonceTTL)
	}
}

func (n *nonces) has(nonce string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, ok := n.expiry[nonce]
	return ok
}
