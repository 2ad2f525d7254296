package entry

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"goldcresthinge.example/goldcresthinge/internal/outage"
	"goldcresthinge.example/goldcresthinge/internal/replica"
	"goldcresthinge.example/goldcresthinge/internal/suspendclock"
	"goldcresthinge.example/goldcresthinge/platform"
)

// A change in the store must reach all VMs within a time limit (maxChangeDelay, the
// shorter of the limits for drains and for the configuration; 2 s in the known
// deployments). A VM reads a table from the store when its copy is older than a
// share of that limit. The region relay (see package statesync) has the smallest
// share: it normally reads first, early enough that a change reaches each VM well
// within the limit, and sends its copy to the others. The other VMs read the table
// themselves only if no such copy has arrived, domain relays before the rest. Region relays
// also send their copies to each other; one that is far from the store has a larger share, so
// that the near one reads for both and what servers write crosses regions only if it changes
// something.
const (
	regionRelayAgeShare    = 0.36
	farRegionRelayAgeShare = 0.45
	relayAgeShare          = 0.58
	otherVMAgeShare        = 0.70
	// maxRelayWait is how long a VM waits at the first start of the whole
	// system for a relay to send it the tables before it reads them itself.
	// Traffic begins 8 s after such a start.
	maxRelayWait = 2 * time.Second
	// registrationSettleTime is the least time from the start of a VM to its
	// first read of the table of VMs at the first start of the whole system.
	// All VMs register within 0.3 s of such a start, which is before the read.
	// The VM must also have registered itself.
	registrationSettleTime = 350 * time.Millisecond
	// relaySettleTime is the time from the first read of the table of VMs until this VM
	// acts on its role as a relay. Before, it knows of no other VM and takes itself for
	// the relay; the role follows the table within two checks of the links.
	relaySettleTime = 250 * time.Millisecond
	// vmTableAgeFactor multiplies the ages at which the table of VMs is read, which
	// changes rarely and whose changes have no time limit.
	vmTableAgeFactor = 4
	// statusAgeFactor is the same for the table with the progress of roll-outs. Relays that decide
	// wait for its changes, and the others get these from them.
	statusAgeFactor = 3
	// readTimeoutMargin is the time allowed for a read in addition to the time
	// for which the store may wait for a change. A slow store answers within
	// 0.3 s.
	readTimeoutMargin = 900 * time.Millisecond
	// initialRetryPause is the upper limit of the pause after the first failed read.
	// For VMs other than the region relay it doubles with each further failure up
	// to maxRetryPause. They also receive what that relay reads, and calls of 140
	// VMs to a store that is unavailable would gain nothing.
	initialRetryPause = 400 * time.Millisecond
	maxRetryPause     = 4 * time.Second
	// ageCheckInterval and maxAgeCheckInterval bound the time between two checks of
	// the age of a copy. A VM that becomes a relay starts to read within the latter.
	ageCheckInterval    = 50 * time.Millisecond
	maxAgeCheckInterval = 200 * time.Millisecond
)

// errOlderStore means that the store has answered with a version that is older than one that it had given
// out before.
var errOlderStore = errors.New("the store has an older version than the copy")

// relayRoles reports which roles this VM takes itself to have; see statesync.Syncer.
type relayRoles interface {
	IsRelay() bool
	IsRegionRelay(now time.Time) bool
}

// tableReader keeps the copy of one table up to date.
type tableReader struct {
	table  *replica.Table
	store  *platform.Store
	roles  relayRoles
	needed func() bool // whether the table has to be read at present; nil: always
	// resolveLost is true if lost rows count until they are known to have been removed; see
	// replica.Table.Unresolved.
	resolveLost bool
	longPoll    bool          // the store may delay the answer to a read until the table changes
	ageFactor   time.Duration // multiplies the age at which the table is read; a plain factor
	// maxChangeDelay returns the time within which a change has to reach all
	// VMs.
	maxChangeDelay func() time.Duration
	// vmsKnown reports whether the table of VMs was read at least relaySettleTime ago.
	vmsKnown func() bool
	// registered reports whether the store has confirmed this VM's row in the table of VMs.
	registered func() bool
	// firstStart is true if the whole system starts for the first time, some
	// seconds before traffic begins.
	firstStart bool
	distance   *storeDistance
	onChange   func()
	// recordOutage is called with the time at which a read was sent that shows that the store is
	// unavailable.
	recordOutage func(sentAt time.Time)
	log          log.Logger
	failing      bool // the latest read failed and this was logged
	failures     int  // failed reads since the latest successful one; also counts changes that did not fit the copy
}

// retryPause returns the pause after a number of successive failed reads.
// jitter is in [0, 1) and spreads the reads of many VMs: the pause is between
// half and the whole of its upper limit.
func retryPause(failures int, isRegionRelay bool, jitter float64) time.Duration {
	pause := initialRetryPause
	for i := 1; i < failures && !isRegionRelay && pause < maxRetryPause; i++ {
		pause *= 2
	}
	pause = min(pause, maxRetryPause)
	return pause/2 + time.Duration(jitter*float64(pause/2))
}

func (r *tableReader) run(ctx context.Context) error {
	check := time.NewTimer(ageCheckInterval)
	defer check.Stop()
	var pauseUntil time.Time
	started := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-check.C:
		}
		if r.needed != nil && !r.needed() {
			check.Reset(ageCheckInterval)
			continue
		}
		now := time.Now()
		version, asOf, _ := r.table.State()
		due := pauseUntil
		if version != 0 && asOf.Add(r.maxAge(now)).After(due) {
			due = asOf.Add(r.maxAge(now))
		}
		check.Reset(min(max(due.Sub(now), ageCheckInterval), maxAgeCheckInterval))
		if now.Before(due) {
			continue
		}
		if version == 0 && !r.mayReadInitially(now.Sub(started)) {
			continue
		}
		if err := r.read(ctx, r.table.Position()); err != nil {
			var noResponse *platform.NoResponseError
			if errors.As(err, &noResponse) && !noResponse.NewConnection {
				continue // kept connections were closed, so the next read opens a new one
			}
			r.failures++
			pauseUntil = time.Now().Add(retryPause(r.failures, r.isRegionRelay(now), rand.Float64())) //nolint:gosec // no secret
			continue
		}
		r.failures = 0
	}
}

// mayReadInitially reports whether this VM reads a table of which it has no
// copy yet, uptime after its start. At the first start of the whole system,
// only relays read at once, and the others wait for maxRelayWait. The table of
// VMs is an exception, since a VM needs it to find its relay.
func (r *tableReader) mayReadInitially(uptime time.Duration) bool {
	if uptime >= maxRelayWait || !r.firstStart {
		return true
	}
	if r.table.Name() == platform.TableVMs {
		return r.registered() && uptime >= registrationSettleTime
	}
	return r.isRelay()
}

// isRelay reports whether this VM is known to be the relay of its failure domain.
func (r *tableReader) isRelay() bool { return r.vmsKnown() && r.roles.IsRelay() }

// isRegionRelay reports whether this VM is known to be the relay of its region.
func (r *tableReader) isRegionRelay(now time.Time) bool {
	return r.vmsKnown() && r.roles.IsRegionRelay(now)
}

// maxAge returns the age of the copy at which this VM reads the table.
func (r *tableReader) maxAge(now time.Time) time.Duration {
	share := otherVMAgeShare
	switch {
	case r.waitsForChanges(now):
		return ageCheckInterval // the store delays the answer instead
	case r.isRegionRelay(now) && r.distance.far():
		share = farRegionRelayAgeShare
	case r.isRegionRelay(now):
		share = regionRelayAgeShare
	case r.isRelay():
		share = relayAgeShare
	}
	return time.Duration(share*float64(r.maxChangeDelay())) * r.ageFactor
}

// waitsForChanges reports whether the store is to delay its answer until the table changes.
func (r *tableReader) waitsForChanges(now time.Time) bool {
	return r.longPoll && r.isRegionRelay(now) && !r.distance.far()
}

// showsOutage reports whether a read that failed with err shows that the store is unavailable.
func (r *tableReader) showsOutage(ctx context.Context, err error, took, timeout time.Duration) bool {
	if errors.Is(ctx.Err(), context.Canceled) {
		return false // this VM stops
	}
	f := outage.FailedRead{Refused: errors.Is(err, platform.ErrUnavailable), Repeated: r.failing, Took: took, Timeout: timeout}
	var noResponse *platform.NoResponseError
	if errors.As(err, &noResponse) {
		f.NewConnection = noResponse.NewConnection
	}
	return f.ShowsOutage()
}

// read reads what has changed in the store after the position of the copy, or the whole table if that
// is not possible.
func (r *tableReader) read(ctx context.Context, copied replica.Position) error {
	wait := time.Duration(0)
	if r.waitsForChanges(time.Now()) {
		wait = time.Duration(regionRelayAgeShare*float64(r.maxChangeDelay())) * r.ageFactor
	}
	timeout := wait + readTimeoutMargin
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent, sentAt := time.Now(), suspendclock.Now()
	c, err := r.fetch(ctx, copied, wait)
	if err != nil {
		r.store.CloseIdleConnections()
		if r.showsOutage(ctx, err, time.Since(sent), timeout) {
			r.recordOutage(sent)
		}
		if !r.failing {
			_ = level.Warn(r.log).Log("msg", "read of a store table failed", "table", r.table.Name(), "version", copied.Version, "era", copied.Era, "err", err)
		}
		r.failing = true
		return err
	}
	if r.failing {
		_ = level.Info(r.log).Log("msg", "read of a store table succeeded again", "table", r.table.Name(), "version", c.Version)
	}
	r.failing = false
	if wait == 0 {
		r.distance.record(time.Since(sent))
	}
	asOf := sent
	if len(c.Rows) == 0 && !c.Full {
		asOf = sent.Add(wait) // the store saw no change for that time
	}
	if !r.table.ApplyRead(c, asOf) {
		_ = level.Error(r.log).Log("msg", "changes from the store start after the version of the copy", "table", r.table.Name(), "after", c.BaseVersion)
		return errors.New("changes from the store start after the version of the copy")
	}
	read := replica.Position{Era: cmp.Or(c.Era, copied.Era), Version: c.Version}
	if p := r.table.Position(); read.Compare(p) < 0 && p == copied {
		// Without a pause, the copy would remain as old and be read again at once.
		_ = level.Warn(r.log).Log("msg", "the store has an older version than the copy", "table", r.table.Name(),
			"version", c.Version, "era", c.Era, "copy_version", p.Version, "copy_era", p.Era)
		return errOlderStore
	}
	// The store may have answered at any time after the request was sent, also if it waited for a
	// change, so only the time of sending is proven.
	if !c.Partial {
		r.table.Prove(read, sentAt)
	}
	r.onChange()
	return nil
}

// fetch calls the store for read. Changes are of use only if they continue the versions of the copy:
// once the store has come back from a copy of its own, it has other rows under the same versions.
func (r *tableReader) fetch(ctx context.Context, copied replica.Position, wait time.Duration) (replica.Changes, error) {
	if copied.Version == 0 {
		return r.store.Read(ctx, r.table.Name())
	}
	after := copied.Version
	if v, ok := r.table.Unresolved(); ok && r.resolveLost && v < after {
		after = v
	}
	c, err := r.store.Changes(ctx, r.table.Name(), after, wait)
	switch {
	case errors.Is(err, platform.ErrCompacted) && after < copied.Version:
		_ = level.Warn(r.log).Log("msg", "store no longer has the changes that show which lost rows were removed; these count until they are written or removed again",
			"table", r.table.Name(), "after", after)
		r.table.KeepUnresolved(copied.Era)
	case errors.Is(err, platform.ErrCompacted):
		_ = level.Info(r.log).Log("msg", "store no longer has the changes after the version of the copy; reading the whole table", "table", r.table.Name())
	case err != nil || c.Era == 0 || c.Era == copied.Era:
		return c, err
	case copied.Era != 0:
		_ = level.Warn(r.log).Log("msg", "store came back from a copy; reading the whole table", "table", r.table.Name(),
			"era", c.Era, "copy_version", copied.Version, "copy_era", copied.Era)
	}
	return r.store.Read(ctx, r.table.Name())
}
