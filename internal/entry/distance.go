package entry

import (
	"slices"
	"sync"
	"time"
)

const (
	// farStoreLatency is the time of a read above which the store stands in another region.
	// Within a region a read takes about 6 ms in the known deployments, from another region
	// 28 ms or more.
	farStoreLatency = 15 * time.Millisecond
	// distanceReads is the number of latest reads whose shortest time counts. A store that is
	// slow for a while changes the result only if all of them are slow.
	distanceReads = 8
)

// storeDistance estimates from the times of reads whether the store stands in another region. It
// is safe for concurrent use.
type storeDistance struct {
	mu    sync.Mutex
	times []time.Duration // of the latest reads
}

// record adds the time that a read took.
func (d *storeDistance) record(took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.times) == distanceReads {
		d.times = d.times[1:]
	}
	d.times = append(d.times, took)
}

// far reports whether the store stands in another region, as far as is known.
func (d *storeDistance) far() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.times) > 0 && slices.Min(d.times) > farStoreLatency
}
