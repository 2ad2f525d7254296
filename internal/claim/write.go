package claim

import (
	"sync/atomic"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/platform"
)

type writeKind uint8

const (
	insert writeKind = iota // create the claim
	update                  // store how the call ended
	remove                  // delete the claim of a call that did not run
)

// States of the delivery of a write's result.
const (
	pending   int32 = iota
	delivered       // the caller has received the result
	abandoned       // the caller no longer waits
)

// write is one change of a claim row that is queued or being committed. Until
// it is finished, only the queue or the goroutine that commits it may access
// it.
type write struct {
	kind    writeKind
	key     string
	record  Record // remove uses only the nonce
	version uint64 // expected version of the row (IfVersion) in the next attempt

	queued      time.Time
	firstQueued time.Time // time of the first attempt to queue it
	attempts    int
	needsRead   bool // the row must be read before the next attempt
	maybeStored bool // an attempt got no answer and may have taken effect
	recheck     bool // remove the row a second time later, since an insert may take effect late
	rechecking  bool // the second removal is in progress; no caller waits for it

	delivery atomic.Int32
	done     chan result // capacity 1
}

// result is the result of a write. After a successful write, err is nil and
// version is the version of the row. For a duplicate, earlier is the claim that
// was found, or nil if its row can't be decoded.
type result struct {
	version   uint64
	duplicate bool
	earlier   *Record
	err       error
}

func newWrite(k writeKind, key string, r Record, version uint64) *write {
	return &write{kind: k, key: key, record: r, version: version, done: make(chan result, 1)}
}

func (w *write) op() platform.Op {
	op := platform.Op{Key: w.key, IfVersion: w.version}
	if w.kind == remove {
		op.Delete = true
	} else {
		op.Value = w.record.Encode()
	}
	return op
}

// writeStatus is the status of a write according to the current state of its
// row.
type writeStatus uint8

const (
	retryable  writeStatus = iota // not stored; may be retried with the current version of the row
	stored                        // took effect
	duplicate                     // another attempt has claimed the key
	rowMissing                    // the row to change no longer exists
)

// statusFromRow returns the status of a write according to the current row;
// version 0 means that there is no row. For a duplicate it also returns the
// earlier claim, or nil if the row can't be decoded. released reports whether a
// nonce belongs to an attempt of this VM that ended as not run.
func statusFromRow(w *write, row platform.Row, released func(nonce string) bool) (writeStatus, *Record) {
	if row.Version == 0 {
		switch w.kind {
		case insert:
			return retryable, nil
		case update:
			return rowMissing, nil
		default:
			return stored, nil
		}
	}
	r, err := ParseRecord(row.Value)
	own := err == nil && r.Nonce == w.record.Nonce
	switch {
	case w.kind == insert && own && r.State == StateClaimed:
		return stored, nil
	case w.kind == insert && err == nil && r.State == StateClaimed && released(r.Nonce):
		return retryable, nil // replaces the claim of an attempt that did not run
	case w.kind == insert && err != nil:
		return duplicate, nil
	case w.kind == insert:
		return duplicate, &r
	case w.kind == update && !own:
		return rowMissing, nil
	case w.kind == update && r.State == w.record.State && r.Status == w.record.Status:
		return stored, nil
	case w.kind == remove && !own:
		return stored, nil // the claim to delete no longer exists
	default:
		return retryable, nil
	}
}
