package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/platform"
)

// Errors of Apply; test with errors.Is.
var (
	// ErrStoreUnavailable means that the change was not accepted, since the
	// platform's store is not reachable. Nothing has changed.
	ErrStoreUnavailable = errors.New("store not reachable, nothing changed")
	// ErrOutcomeUnknown means that the store gave no answer and could not be read
	// back in time: the change may or may not be accepted.
	ErrOutcomeUnknown = errors.New("store gave no answer, the change may be accepted")
)

// ConflictError means that the change was not made because it is based on a
// version that is not the current one. Nothing has changed.
type ConflictError struct {
	Base, Current uint64
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: the change is based on version %d, the current version is %d; nothing changed", e.Base, e.Current)
}

// settleDelay is the pause between two attempts to settle a lost answer.
const settleDelay = 100 * time.Millisecond

// change is a prepared change with the head that it is conditioned on.
type change struct {
	base headRow
	head headRow
	ops  []platform.Op
	next *version
	wire *siblingpb.ConfigDelta
}

// Apply makes document the version after base and returns its number. A
// document equal to the current one changes nothing and returns base. When
// Apply returns without error, the version is accepted and in force at this
// VM, and a push to the siblings was tried.
//
// Errors: *inventory.FaultsError, *ConflictError, ErrStoreUnavailable,
// ErrOutcomeUnknown (the latter only when ctx ends).
func (s *Syncer) Apply(ctx context.Context, base uint64, document []byte) (uint64, error) {
	doc, err := inventory.Parse(document)
	if err != nil {
		return 0, err
	}
	head, err := readHead(ctx, s.Table)
	if err != nil {
		return 0, unavailable(err)
	}
	if head.Version != base {
		s.seen(head.Version)
		return 0, &ConflictError{Base: base, Current: head.Version}
	}
	c, err := s.prepare(ctx, head, doc)
	if err != nil {
		return 0, err
	}
	if c == nil {
		return base, nil
	}
	if err := s.Objects.Put(ctx, fullName(c.head.Version, c.head.Digest), mustGzip(c.next)); err != nil {
		return 0, unavailable(err)
	}
	if err := s.accept(ctx, c); err != nil {
		return 0, err
	}
	s.log("msg", fmt.Sprintf("version %d is accepted", c.head.Version), "digest", c.head.Digest, "bytes", len(c.wire.Document))
	s.installAccepted(c)
	// The version is accepted, so the push goes on when the operator has gone.
	s.push(context.WithoutCancel(ctx), c.wire)
	s.trim(ctx, c.head.Version)
	return c.head.Version, nil
}

// mustGzip cannot fail, since it writes to memory.
func mustGzip(v *version) []byte {
	data, err := v.gzip()
	if err != nil {
		panic(err)
	}
	return data
}

func unavailable(err error) error {
	return fmt.Errorf("%w: %w", ErrStoreUnavailable, err)
}

// prepare builds the transaction. It returns nil if doc equals the base.
func (s *Syncer) prepare(ctx context.Context, base headRow, doc *inventory.Document) (*change, error) {
	text, err := inventory.Encode(doc)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	mine := headRow{Version: base.Version + 1, Digest: inventory.Digest(text), Nonce: s.Nonce()}
	if mine.Digest == base.Digest {
		return nil, nil
	}
	next := newVersion(mine.Version, doc, text, mine.Digest)
	wire := &siblingpb.ConfigDelta{ToVersion: mine.Version, Document: mustGzip(next), Digest: mine.Digest}
	row := deltaRow{Digest: mine.Digest, Nonce: mine.Nonce}
	if base.Version > 0 {
		before, err := s.versionAt(ctx, base)
		if err != nil {
			return nil, unavailable(err)
		}
		delta, err := inventory.EncodeDelta(before.snap.Document, doc, text)
		if err == nil && len(delta) < len(wire.Document) {
			wire.FromVersion, wire.Document, row.Delta = base.Version, delta, delta
		}
	}
	c := &change{base: base, head: mine, next: next, wire: wire}
	for _, op := range []struct {
		key   string
		value any
		row   uint64
	}{{headKey, mine, base.Row}, {deltaKey(mine.Version), row, 0}} {
		value, err := json.Marshal(op.value)
		if err != nil {
			return nil, merry.Wrap(err)
		}
		c.ops = append(c.ops, platform.Op{Key: op.key, Value: value, IfVersion: op.row})
	}
	return c, nil
}

// versionAt returns the configuration of a head, fetching it if needed.
func (s *Syncer) versionAt(ctx context.Context, head headRow) (*version, error) {
	if v := s.current.Load(); v != nil && v.snap.Version == head.Version {
		return v, nil
	}
	return s.readFull(ctx, head)
}

// accept commits a change and settles a lost answer. The same transaction is
// repeated until the head tells the result: its conditions let it take effect
// only once, and after a repetition no late arrival of an earlier attempt can
// change the result.
func (s *Syncer) accept(ctx context.Context, c *change) error {
	_, err := s.Table.Commit(ctx, c.ops)
	if err == nil {
		return nil
	}
	if errors.Is(err, platform.ErrUnavailable) {
		return unavailable(err)
	}
	for {
		head, readErr := readHead(ctx, s.Table)
		if readErr == nil {
			done, settleErr := s.judge(ctx, c, head)
			if done {
				return settleErr
			}
			if settleErr == nil { // open: commit again, which decides it
				if _, err = s.Table.Commit(ctx, c.ops); err == nil {
					return nil
				}
			}
		}
		timer := s.Clock.NewTimer(settleDelay, "rollout", "settle")
		select {
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("%w (version %d, digest %s): %w", ErrOutcomeUnknown, c.head.Version, c.head.Digest, err)
		case <-timer.C:
		}
	}
}

// judge returns done if the head settles the change. An error without done
// means that the store could not be read.
func (s *Syncer) judge(ctx context.Context, c *change, head headRow) (done bool, err error) {
	conflict := &ConflictError{Base: c.base.Version, Current: head.Version}
	switch settle(c.head, c.base, head) {
	case verdictAccepted:
		return true, nil
	case verdictRejected:
		s.seen(head.Version)
		return true, conflict
	case verdictPassed:
		s.seen(head.Version)
		row, err := readDelta(ctx, s.Table, c.head.Version)
		switch {
		case errors.Is(err, platform.ErrNotFound):
			return true, fmt.Errorf("%w (version %d is no longer kept)", ErrOutcomeUnknown, c.head.Version)
		case err != nil:
			return false, err
		case row.Nonce == c.head.Nonce:
			return true, nil
		}
		return true, conflict
	default:
		return false, nil
	}
}

// installAccepted puts an accepted version in force, with the delta as history
// only if it leads from the version in force.
func (s *Syncer) installAccepted(c *change) {
	via := c.wire
	if old := s.current.Load(); old == nil || old.snap.Version != via.FromVersion {
		via = nil
	}
	s.install(c.next, via)
}

// seen notes that a version exists and lets Run fetch it.
func (s *Syncer) seen(version uint64) {
	s.mu.Lock()
	s.progress.highest = max(s.progress.highest, version)
	behind := s.progress.behind()
	s.mu.Unlock()
	if behind {
		s.wake()
	}
}

// trim deletes the delta row that falls out of the kept ones. A failure leaves
// one row behind.
func (s *Syncer) trim(ctx context.Context, version uint64) {
	if version <= keepDeltas {
		return
	}
	key := deltaKey(version - keepDeltas)
	row, err := s.Table.Get(ctx, key)
	if err == nil {
		_, err = s.Table.Commit(ctx, []platform.Op{{Key: key, Delete: true, IfVersion: row.Version}})
	}
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		s.log("msg", "old delta row stays", "key", key, "err", err)
	}
}
