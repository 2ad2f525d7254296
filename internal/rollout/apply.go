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

// Errors of Apply; check them with errors.Is.
var (
	// ErrStoreUnavailable means that the change was not accepted, because the
	// platform's store is not reachable. Nothing has changed.
	ErrStoreUnavailable = errors.New("store not reachable, nothing changed")
	// ErrOutcomeUnknown means that the store did not answer and could not be
	// read back in time. The change may or may not have been accepted.
	ErrOutcomeUnknown = errors.New("store gave no answer, the change may be accepted")
)

// ConflictError means that the change was refused because it is based on a
// version other than the current one. Nothing has changed.
type ConflictError struct {
	Base, Current uint64
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: the change is based on version %d, the current version is %d; nothing changed", e.Base, e.Current)
}

// commitRetryDelay is the pause between two attempts to determine the result of
// a commit whose answer was lost.
const commitRetryDelay = 100 * time.Millisecond

// change is a prepared change of the configuration.
type change struct {
	base    headRow                // must still be the head row when the change is committed
	head    headRow                // replaces base
	ops     []platform.Op          // the transaction; it writes the head row and the delta row
	next    *configVersion         // the new version
	message *siblingpb.ConfigDelta // the delta or the whole document, as pushed to siblings
}

// Apply accepts document as the version after base and returns the number of
// the new version. If document equals the current one, Apply changes nothing
// and returns base. When Apply returns without an error, the version is
// accepted and in force at this VM, and Apply has tried to push it to the
// siblings. Safe for concurrent use.
//
// Errors: *inventory.FaultsError, *ConflictError, ErrStoreUnavailable, and,
// only if ctx ends or the row of the change has been deleted,
// ErrOutcomeUnknown.
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
		s.noteVersion(head.Version)
		return 0, &ConflictError{Base: base, Current: head.Version}
	}
	c, err := s.prepare(ctx, head, doc)
	if err != nil {
		return 0, err
	}
	if c == nil {
		return base, nil
	}
	if err := s.Objects.Put(ctx, documentName(c.head.Version, c.head.Digest), mustGzip(c.next)); err != nil {
		return 0, unavailable(err)
	}
	if err := s.accept(ctx, c); err != nil {
		return 0, err
	}
	s.log("msg", fmt.Sprintf("configuration version %d is accepted", c.head.Version), "digest", c.head.Digest, "bytes", len(c.message.Document))
	s.installAccepted(c)
	// The version is accepted, so the push continues if the operator
	// disconnects.
	s.push(context.WithoutCancel(ctx), c.message)
	s.deleteOldDelta(ctx, c.head.Version)
	return c.head.Version, nil
}

// mustGzip returns the compressed text of v. Compression can't fail, since it
// writes to memory.
func mustGzip(v *configVersion) []byte {
	data, err := v.gzip()
	if err != nil {
		panic(err)
	}
	return data
}

func unavailable(err error) error {
	return fmt.Errorf("%w: %w", ErrStoreUnavailable, err)
}

// prepare builds the transaction of a change. It returns nil if doc equals the
// document of base.
func (s *Syncer) prepare(ctx context.Context, base headRow, doc *inventory.Document) (*change, error) {
	text, err := inventory.Encode(doc)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	newHead := headRow{Version: base.Version + 1, Digest: inventory.Digest(text), Nonce: s.Nonce()}
	if newHead.Digest == base.Digest {
		return nil, nil
	}
	next := newConfigVersion(newHead.Version, doc, text, newHead.Digest)
	message := &siblingpb.ConfigDelta{ToVersion: newHead.Version, Document: mustGzip(next), Digest: newHead.Digest}
	newDeltaRow := deltaRow{Digest: newHead.Digest, Nonce: newHead.Nonce}
	if base.Version > 0 {
		previous, err := s.versionAt(ctx, base)
		if err != nil {
			return nil, unavailable(err)
		}
		delta, err := inventory.EncodeDelta(previous.snap.Document, doc, text)
		if err == nil && len(delta) < len(message.Document) {
			message.FromVersion, message.Document, newDeltaRow.Delta = base.Version, delta, delta
		}
	}
	c := &change{base: base, head: newHead, next: next, message: message}
	for _, op := range []struct {
		key        string
		value      any
		rowVersion uint64
	}{{headKey, newHead, base.RowVersion}, {deltaKey(newHead.Version), newDeltaRow, 0}} {
		value, err := json.Marshal(op.value)
		if err != nil {
			return nil, merry.Wrap(err)
		}
		c.ops = append(c.ops, platform.Op{Key: op.key, Value: value, IfVersion: op.rowVersion})
	}
	return c, nil
}

// versionAt returns the version that head names. It reads the object store if
// that version is not in force.
func (s *Syncer) versionAt(ctx context.Context, head headRow) (*configVersion, error) {
	if v := s.current.Load(); v != nil && v.snap.Version == head.Version {
		return v, nil
	}
	return s.readDocument(ctx, head)
}

// accept commits a change. If the answer is lost, it repeats the same
// transaction until the head shows the result. The conditions of the
// transaction allow it to take effect only once, and after a repetition an
// earlier attempt that arrives late can no longer change the result.
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
			done, resolveErr := s.resolveCommit(ctx, c, head)
			if done {
				return resolveErr
			}
			if resolveErr == nil { // undecided: committing again decides it
				if _, err = s.Table.Commit(ctx, c.ops); err == nil {
					return nil
				}
			}
		}
		timer := s.Clock.NewTimer(commitRetryDelay, "rollout", "settle")
		select {
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("%w (version %d, digest %s): %w", ErrOutcomeUnknown, c.head.Version, c.head.Digest, err)
		case <-timer.C:
		}
	}
}

// resolveCommit returns resolved if the head shows the result of the change;
// err is then nil or the error of Apply. An error without resolved means that
// the store could not be read.
func (s *Syncer) resolveCommit(ctx context.Context, c *change, head headRow) (resolved bool, err error) {
	conflict := &ConflictError{Base: c.base.Version, Current: head.Version}
	switch resultFromHead(c.head, c.base, head) {
	case commitAccepted:
		return true, nil
	case commitRejected:
		s.noteVersion(head.Version)
		return true, conflict
	case commitSuperseded:
		s.noteVersion(head.Version)
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

// installAccepted puts an accepted version in force. The delta is kept in
// history, for siblings that pull, only if it starts at the version in force.
func (s *Syncer) installAccepted(c *change) {
	delta := c.message
	if current := s.current.Load(); current == nil || current.snap.Version != delta.FromVersion {
		delta = nil
	}
	s.install(c.next, delta)
}

// noteVersion records that a version exists and makes Run fetch it.
func (s *Syncer) noteVersion(version uint64) {
	s.mu.Lock()
	s.progress.highest = max(s.progress.highest, version)
	behind := s.progress.behind()
	s.mu.Unlock()
	if behind {
		s.wakeRun()
	}
}

// deleteOldDelta deletes the oldest delta row after version was accepted, so
// keepDeltas rows remain. If that fails, this one row stays in the table.
func (s *Syncer) deleteOldDelta(ctx context.Context, version uint64) {
	if version <= keepDeltas {
		return
	}
	key := deltaKey(version - keepDeltas)
	row, err := s.Table.Get(ctx, key)
	if err == nil {
		_, err = s.Table.Commit(ctx, []platform.Op{{Key: key, Delete: true, IfVersion: row.Version}})
	}
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		s.log("msg", "old delta row could not be deleted", "key", key, "err", err)
	}
}
