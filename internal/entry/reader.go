package entry

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"goldcresthinge.example/goldcresthinge/internal/news"
	"goldcresthinge.example/goldcresthinge/internal/replica"
	"goldcresthinge.example/goldcresthinge/platform"
)

// The reader of a region keeps its copies fresh enough that a change reaches
// each VM well within the shortest bound, 2 s. Other VMs read for themselves only
// when the copies grow older than that reader lets them: relays first.
const (
	readerAge = 600 * time.Millisecond
	relayAge  = 1100 * time.Millisecond
	memberAge = 1350 * time.Millisecond
	// membersFactor stretches these ages for the table of VMs, which changes
	// rarely and has no bound.
	membersFactor = 4
	// changeWait is how long the store may hold a read of operators' rows until
	// one changes.
	changeWait = 550 * time.Millisecond
	// callSlack bounds a read beyond its wait. Slow stores answer in 0.3 s.
	callSlack = 900 * time.Millisecond
	// failurePause is the pause after a failed read.
	failurePause = 400 * time.Millisecond
	// readTick is the pause between two looks at the age of a copy.
	readTick = 50 * time.Millisecond
)

// reader keeps one copy fresh.
type reader struct {
	table    *replica.Table
	store    *platform.Store
	exchange *news.Exchange
	wait     time.Duration // 0: the table changes all the time
	factor   time.Duration
	changed  func()
	log      log.Logger
	failing  bool
}

func (r *reader) run(ctx context.Context) error {
	tick := time.NewTicker(readTick)
	defer tick.Stop()
	var pauseUntil time.Time
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
		if err := r.read(ctx, version); err != nil {
			pauseUntil = time.Now().Add(failurePause)
		}
	}
}

// maxAge is the age of the copy from which this VM reads the table.
func (r *reader) maxAge(now time.Time) time.Duration {
	age := memberAge
	switch {
	case r.exchange.FirstRelay(now):
		age = readerAge
		if r.wait > 0 {
			age = readTick // the store holds the call
		}
	case r.exchange.Relay():
		age = relayAge
	}
	return age * r.factor
}

func (r *reader) read(ctx context.Context, version uint64) error {
	wait := r.wait
	if !r.exchange.Relay() {
		wait = 0
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
		if errors.Is(err, platform.ErrHistoryGone) {
			_ = level.Info(r.log).Log("msg", "history of the store is gone; reading the whole table", "table", r.table.Name())
			c, err = r.store.Read(ctx, r.table.Name())
		}
	}
	if err != nil {
		r.store.DropConnections()
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
	if len(c.Rows) == 0 && !c.Whole {
		asOf = sent.Add(wait) // the store waited that long for a change
	}
	if !r.table.Apply(c, asOf) {
		_ = level.Error(r.log).Log("msg", "changes do not fit the copy", "table", r.table.Name(), "after", c.After)
		return errors.New("changes do not fit the copy")
	}
	r.changed()
	return nil
}
