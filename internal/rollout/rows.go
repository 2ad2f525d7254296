package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"

	"goldcresthinge.example/goldcresthinge/internal/platform"
)

// Key of the head row in the platform's store.
const headKey = "config/head"

// keepDeltas is the number of delta rows that are kept. A VM that is further
// behind reads the whole document.
const keepDeltas = 64

func deltaKey(version uint64) string { return fmt.Sprintf("config/delta/%d", version) }

// documentName returns the name of a version's document in the object store. It
// contains the digest, so two operators who try to make the same version never
// overwrite each other's object.
func documentName(version uint64, digest string) string {
	return fmt.Sprintf("config/full/%d-%s", version, digest)
}

// headRow is the value of the head row, config/head, which names the current
// version.
type headRow struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"` // of the canonical text of the version
	Nonce   string `json:"nonce"`  // of the change that made the version
	// RowVersion is the version of the table row, which changes with each write
	// of the row, or 0 if there is no row.
	RowVersion uint64 `json:"-"`
}

// deltaRow is the value of the row config/delta/<version>.
type deltaRow struct {
	Digest string `json:"digest"`
	Nonce  string `json:"nonce"`
	// Delta is the change from the previous version. If it is empty, the whole
	// document must be read.
	Delta []byte `json:"delta,omitempty"`
}

// readHead reads the head row. If there is none, it returns a head of version
// 0.
func readHead(ctx context.Context, table platform.Table) (headRow, error) {
	row, err := table.Get(ctx, headKey)
	if errors.Is(err, platform.ErrNotFound) {
		return headRow{}, nil
	}
	if err != nil {
		return headRow{}, merry.Prepend(err, "read "+headKey)
	}
	return decodeHead(row)
}

func decodeHead(row platform.Row) (headRow, error) {
	h := headRow{RowVersion: row.Version}
	if row.Version == 0 {
		return h, nil
	}
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return headRow{}, merry.Prepend(err, "decode "+headKey)
	}
	return h, nil
}

func readDelta(ctx context.Context, table platform.Table, version uint64) (deltaRow, error) {
	row, err := table.Get(ctx, deltaKey(version))
	if err != nil {
		return deltaRow{}, merry.Prepend(err, "read "+deltaKey(version))
	}
	var d deltaRow
	if err := json.Unmarshal(row.Value, &d); err != nil {
		return deltaRow{}, merry.Prepend(err, "decode "+deltaKey(version))
	}
	return d, nil
}

// commitResult is the result of a commit, according to the head in the store,
// after its answer was lost or it met a conflict.
type commitResult uint8

const (
	// commitUndecided: the head has not changed; the commit may still take
	// effect.
	commitUndecided commitResult = iota
	// commitAccepted: the head contains the nonce of the commit.
	commitAccepted
	// commitRejected: another change has become the version that the commit
	// would have made.
	commitRejected
	// commitSuperseded: the head has a later version. The delta row of the
	// commit's version shows which change became that version.
	commitSuperseded
)

// resultFromHead returns the result of the commit that would make newHead from
// base, according to the head that was read back.
func resultFromHead(newHead, base, head headRow) commitResult {
	switch {
	case head.Nonce == newHead.Nonce:
		return commitAccepted
	case head.RowVersion == base.RowVersion:
		return commitUndecided
	case head.Version > newHead.Version:
		return commitSuperseded
	default:
		return commitRejected
	}
}
