package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"goldcresthinge.example/goldcresthinge/internal/replica"
	"goldcresthinge.example/goldcresthinge/internal/statesync"
	"goldcresthinge.example/goldcresthinge/platform"
)

// The reader of a region keeps its copies fresh enough that a change reaches
// each VM well within the shortest bound for changes. Other VMs read for themselves
// only when the copies grow older than that reader lets them: relays first. The
// ages are shares of the bound, 2 s at today's sites.
const (
	readerAge = 0.36
	relayAge  = 0.58
	memberAge = 0.70
	// firstWait is how long a VM waits at the first start for a relay to send it the tables
	// before it reads them. The lead before traffic is 8 s.
	firstWait = 1200 * time.Millisecond
	// settleWait is the pause between the registration of a VM and its first
	// read of the table of VMs. At a first start all register within 0.3 s.
	settleWait = 350 * time.Millisecond
	// membersFactor stretches these ages for the table of VMs, which changes
	// rarely and has no bound.
	membersFactor = 4
	// callSlack bounds a read beyond its wait. Slow stores answer in 0.3 s.
	callSlack = 900 * time.Millisecond
	// failurePause is the pause after a failed read. For VMs other than the
	// region's reader it doubles up to longestFailurePause, since they also get
	// what the reader reads: during an outage, calls of 140 VMs gain nothing.
	failurePause        = 400 * time.Millisecond
	longestFailurePause = 4 * time.Second
	// readTick is the pause between two looks at the age of a copy.
	readTick = 50 * time.Millisecond
)

// reader keeps one copy fresh.
type reader struct {
	table    *replica.Table
	store    *platform.Store
	exchange *statesync.Syncer
	held     bool // the store may hold a read until the table changes
	factor   time.Duration
	// bound is the time within which a change has to reach all VMs.
	bound func() time.Duration
	// registered tells whether the entry of this VM is written.
	registered func() bool
	// firstStart is true if all VMs start for the first time, some seconds
	// before traffic.
	firstStart bool
	changed    func()
	log        log.Logger
	failing    bool
	failures   int // in a row
}

// pauseAfter returns the pause after a number of failed reads in a row. draw is
// in [0, 1) and spreads the reads of many VMs.
func pauseAfter(failures int, reader bool, draw float64) time.Duration {
	pause := failurePause
	for i := 1; i < failures && !reader && pause < longestFailurePause; i++ {
		pause *= 2
	}
	pause = min(pause, longestFailurePause)
	return pause/2 + time.Duration(draw*float64(pause/2))
}

func (r *reader) run(ctx context.Context) error {
	tick := time.NewTicker(readTick)
	defer tick.Stop()
	var pauseUntil time.Time
	started := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		now := time.Now()
		version, asOf, _ := r.table.State()
		if now.Before(pauseUntil) || (version != 0 && now.Sub(asOf) < r.maxAge(now)) {
			continue
		}
		if version == 0 && !r.readsFirst(now.Sub(started)) {
			continue
		}
		if err := r.read(ctx, version); err != nil {
			r.failures++
			pauseUntil = time.Now().Add(pauseAfter(r.failures, r.exchange.IsRegionRelay(now), rand.Float64())) //nolint:gosec // no secret
			continue
		}
		r.failures = 0
	}
}

// readsFirst reports whether this VM reads a table that it does not have, up
// after its start. Only the table of VMs has to be read to find a relay.
func (r *reader) readsFirst(up time.Duration) bool {
	if up >= firstWait || !r.firstStart {
		return true
	}
	if r.table.Name() == platform.TableVMs {
		return r.registered() && up >= settleWait
	}
	return r.exchange.IsRelay()
}

// maxAge is the age of the copy from which this VM reads the table.
func (r *reader) maxAge(now time.Time) time.Duration {
	share := memberAge
	switch {
	case r.exchange.IsRegionRelay(now):
		if r.held {
			return readTick // the store holds the call instead
		}
		share = readerAge
	case r.exchange.IsRelay():
		share = relayAge
	}
	return time.Duration(share*float64(r.bound())) * r.factor
}

func (r *reader) read(ctx context.Context, version uint64) error {
	wait := time.Duration(0)
	if r.held && r.exchange.IsRegionRelay(time.Now()) {
		wait = time.Duration(readerAge * float64(r.bound()))
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	sent := time.Now()
	var c replica.Changes
	var err error
	if version == 0 {
		c, err = r.store.Read(ctx, r.table.Name())
	} else {
		c, err = r.store.Changes(ctx, r.table.Name(), version, wait)
		if errors.Is(err, platform.ErrCompacted) {
			_ = level.Info(r.log).Log("msg", "history of the store is gone; reading the whole table", "table", r.table.Name())
			c, err = r.store.Read(ctx, r.table.Name())
		}
	}
	if err != nil {
		r.store.CloseIdleConnections()
		if !r.failing {
			_ = level.Warn(r.log).Log("msg", "store not readable", "table", r.table.Name(), "version", version, "err", err)
		}
		r.failing = true
		return err
	}
	if r.failing {
		_ = level.Info(r.log).Log("msg", "store readable again", "table", r.table.Name(), "version", c.Version)
	}
	r.failing = false
	asOf := sent
	if len(c.Rows) == 0 && !c.Full {
		asOf = sent.Add(wait) // the store waited that long for a change
	}
	if !r.table.Apply(c, asOf) {
		_ = level.Error(r.log).Log("msg", "changes do not fit the copy", "table", r.table.Name(), "after", c.BaseVersion)
		return errors.New("changes do not fit the copy")
	}
	r.changed()
	return nil
}
