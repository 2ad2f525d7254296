package claim

import (
	"sync/atomic"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/platform"
)

type kind uint8

const (
	insert kind = iota // make the claim
	update             // store how the call ended
	remove             // delete the claim of a call that did not run
)

// Delivery states of a write.
const (
	pending   int32 = iota
	delivered       // the result was handed to the caller
	abandoned       // the caller no longer waits
)

// write is one change of a claim row on its way to the table. Until it is
// finished, it belongs to the queue or to the goroutine that commits it.
type write struct {
	kind    kind
	key     string
	record  Record // for remove, only the nonce counts
	version uint64 // IfVersion of the next attempt

	queued      time.Time
	first       time.Time // when it was queued first
	tries       int
	needsRead   bool // the row has to be read before the next attempt
	maybeStored bool // an attempt got no answer
	recheck     bool // to be removed once more later, since an insert may take effect late
	rechecking  bool // that second removal; nobody waits for it

	delivery atomic.Int32
	done     chan result // capacity 1
}

// result is how a write ended. For a stored write err is nil and version that
// of the row. For a duplicate, earlier is the claim found, or nil if its row
// can't be read.
type result struct {
	version   uint64
	duplicate bool
	earlier   *Record
	err       error
}

func newWrite(k kind, key string, r Record, version uint64) *write {
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

// verdict is what the current state of a row means for a write.
type verdict uint8

const (
	again     verdict = iota // not stored; may be tried under the version of the row
	stored                   // took effect
	duplicate                // another attempt has claimed the key
	gone                     // the row to change no longer exists
)

// judge compares a write with the row as it is now (version 0: no row).
// released reports whether a nonce belongs to an attempt of this VM that ended
// as not run.
func judge(w *write, row platform.Row, released func(nonce string) bool) (verdict, *Record) {
	if row.Version == 0 {
		switch w.kind {
		case insert:
			return again, nil
		case update:
			return gone, nil
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
		return again, nil // replaces the claim of an attempt that did not run
	case w.kind == insert && err != nil:
		return duplicate, nil
	case w.kind == insert:
		return duplicate, &r
	case w.kind == update && !own:
		return gone, nil
	case w.kind == update && r.State == w.record.State && r.Status == w.record.Status:
		return stored, nil
	case w.kind == remove && !own:
		return stored, nil // the claim to delete is no longer there
	default:
		return again, nil
	}
}
