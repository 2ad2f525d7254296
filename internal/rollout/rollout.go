// Package rollout keeps the configuration of an entry VM at the version that
// the platform's store holds. A version is accepted by compare-and-set, pushed
// to siblings, pulled from siblings that have a higher one, and read from the
// store. A VM never installs a version lower than the one in force.
//
// The head row, or head, is the table row that contains the number and the
// digest of the current version. A version is accepted when the head row names
// it. Its whole document is an object in the object store; its delta row
// contains the change from the version before. Table rows have row versions of
// their own, which are unrelated to the versions of the configuration. The
// version in force at a VM is confirmed at a time if no higher version was
// accepted before that time.
package rollout

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/quartz"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/membership"
	"goldcresthinge.example/goldcresthinge/internal/platform"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// Peers provides the siblings of this VM and exchanges with them.
type Peers interface {
	membership.RoundTripper
	// Siblings returns the known siblings of all regions, without this VM.
	Siblings() []vm.Info
}

// Config holds the settings and dependencies of a Syncer. Self, Table, Objects
// and Peers are required.
type Config struct {
	Self    vm.Info
	Table   platform.Table
	Objects platform.ObjectStore
	VMs     platform.VMList // nil: there is no list
	// IsEntryVM reports whether an entry of the platform's list is an entry VM.
	// nil: all entries except those with the address of a target.
	IsEntryVM func(platform.VMEntry) bool
	Peers     Peers
	Seeds     []string       // sibling addresses to query, needed before any sibling is known
	Clock     quartz.Clock   // nil: the real clock
	Logger    log.Logger     // nil: no logging
	Metrics   tally.Scope    // nil: no metrics
	Jitter    func() float64 // in [0,1); nil: random
	Nonce     func() string  // unique per change; nil: random
}

// configVersion is one version of the configuration with its canonical text.
type configVersion struct {
	snap   *inventory.Snapshot
	text   []byte
	digest string
	gzip   func() ([]byte, error) // returns the compressed text, which is made only once
}

func newConfigVersion(number uint64, doc *inventory.Document, text []byte, digest string) *configVersion {
	return &configVersion{
		snap: inventory.NewSnapshot(number, doc), text: text, digest: digest,
		gzip: sync.OnceValues(func() ([]byte, error) { return inventory.Compress(text) }),
	}
}

// Syncer keeps the configuration of this VM up to date. All methods are safe
// for concurrent use.
type Syncer struct {
	Config
	current atomic.Pointer[configVersion]
	wakeup  chan struct{} // receives a value when a higher version was seen; capacity 1

	// installMu serializes installations and the calls of subscribers.
	installMu   sync.Mutex
	subscribers []func(*inventory.Snapshot)

	mu           sync.Mutex // lock order: installMu before mu
	progress     progress
	history      map[uint64]*siblingpb.ConfigDelta // deltas with which HandlePull answers siblings, by FromVersion
	lastVMList   []platform.VMEntry                // the platform's list as last read
	loggedErrors map[string]string                 // last error by operation; empty after success
}

// New returns a Syncer without a version. Run must be called to keep it up to
// date.
func New(c Config) *Syncer {
	if c.Clock == nil {
		c.Clock = quartz.NewReal()
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Metrics == nil {
		c.Metrics = tally.NoopScope
	}
	if c.Jitter == nil {
		c.Jitter = rand.Float64
	}
	if c.Nonce == nil {
		c.Nonce = func() string {
			return string(c.Self.ID) + "-" + strconv.FormatUint(rand.Uint64(), 36) + strconv.FormatUint(rand.Uint64(), 36)
		}
	}
	c.Logger = log.With(c.Logger, "part", "rollout")
	return &Syncer{
		Config:  c,
		wakeup:  make(chan struct{}, 1),
		history: map[uint64]*siblingpb.ConfigDelta{},

		loggedErrors: map[string]string{},
	}
}

// Current returns the snapshot in force, or nil before the first version.
func (s *Syncer) Current() *inventory.Snapshot {
	if v := s.current.Load(); v != nil {
		return v.snap
	}
	return nil
}

// Subscribe calls fn with each version that comes into force, in order. If
// there is a version already, Subscribe calls fn with it before it returns.
// Calls of fn never overlap. fn must not block for long and must not call
// Subscribe, Apply or HandlePush.
func (s *Syncer) Subscribe(fn func(*inventory.Snapshot)) {
	s.installMu.Lock()
	defer s.installMu.Unlock()
	s.subscribers = append(s.subscribers, fn)
	if snap := s.Current(); snap != nil {
		fn(snap)
	}
}

// install puts a version in force, unless the version in force is as high or
// higher. delta is the delta that leads to v from the version in force, or nil
// for a whole document.
func (s *Syncer) install(v *configVersion, delta *siblingpb.ConfigDelta) {
	s.installMu.Lock()
	defer s.installMu.Unlock()
	old := s.current.Load()
	number := v.snap.Version
	if old != nil && old.snap.Version >= number {
		return
	}
	s.current.Store(v)
	s.mu.Lock()
	s.progress.recordInstalled(number)
	if delta != nil {
		s.history[delta.FromVersion] = delta
		if number > keepDeltas {
			delete(s.history, number-keepDeltas)
		}
	} else {
		clear(s.history) // no chain of deltas leads to a whole document
	}
	s.mu.Unlock()
	s.Metrics.Gauge("config_version").Update(float64(number))
	s.log("msg", fmt.Sprintf("configuration version %d is in force", number), "digest", v.digest)
	for _, fn := range s.subscribers {
		fn(v.snap)
	}
}

// ObserveSibling records the version of a sibling and makes Run pull if it is
// higher than the one in force. For the response to a request of this VM, now
// is the time at which the request was written, and confirmedAge is the age
// that the sibling stated. For a request of the sibling, confirmedAge must be
// NotConfirmed: after a pause, this VM may read an old request that states that
// its old version was confirmed a moment ago.
func (s *Syncer) ObserveSibling(now time.Time, from vm.Info, version uint64, confirmedAge time.Duration) {
	if from.ID == s.Self.ID {
		return
	}
	s.mu.Lock()
	s.progress.recordSibling(now, from, version, confirmedAge)
	behind := s.progress.behind()
	s.mu.Unlock()
	if behind {
		s.wakeRun()
	}
}

// ConfirmedAge returns the age of the confirmation of the version in force. ok
// is false if the age exceeds MaxConfirmedAge or no version is in force.
func (s *Syncer) ConfirmedAge(now time.Time) (age time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.progress.confirmedAge(now)
}

// wakeRun makes Run fetch without waiting for its timer. It does not block.
func (s *Syncer) wakeRun() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

func (s *Syncer) log(keyvals ...any) { _ = s.Logger.Log(keyvals...) }

// logFailureOrRecovery logs an error, or the first success after an error, only
// if it differs from the last result of the same operation, since a store that
// is down causes an error every two seconds.
func (s *Syncer) logFailureOrRecovery(operation string, err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	s.mu.Lock()
	last := s.loggedErrors[operation]
	s.loggedErrors[operation] = text
	s.mu.Unlock()
	switch text {
	case last:
	case "":
		s.log("msg", operation+" succeeded again")
	default:
		s.log("msg", operation+" failed", "err", text)
	}
}
