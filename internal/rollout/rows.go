package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"

	"goldcresthinge.example/goldcresthinge/internal/platform"
)

// Keys in the platform's store.
const headKey = "config/head"

// keepDeltas is the number of delta rows kept. A VM that is further behind
// reads the whole document.
const keepDeltas = 64

func deltaKey(version uint64) string { return fmt.Sprintf("config/delta/%d", version) }

// fullName contains the digest, so that two operators that race for the same
// version never overwrite each other's object.
func fullName(version uint64, digest string) string {
	return fmt.Sprintf("config/full/%d-%s", version, digest)
}

// headRow is the value of config/head.
type headRow struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"` // of the canonical text of the version
	Nonce   string `json:"nonce"`  // of the change that made the version
	// Row is the version of the row in the table, 0: there is no row.
	Row uint64 `json:"-"`
}

// deltaRow is the value of config/delta/<version>.
type deltaRow struct {
	Digest string `json:"digest"`
	Nonce  string `json:"nonce"`
	// Delta is the change from the version before. Empty: read the whole
	// document.
	Delta []byte `json:"delta,omitempty"`
}

// readHead returns a head of version 0 if there is none.
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
	h := headRow{Row: row.Version}
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

// verdict is what the head in the store says about a commit whose answer was
// lost or that met a conflict.
type verdict uint8

const (
	// verdictOpen: the head is as before, the commit may still arrive.
	verdictOpen verdict = iota
	// verdictAccepted: the head carries the nonce of the commit.
	verdictAccepted
	// verdictRejected: another change has the version.
	verdictRejected
	// verdictPassed: the head is at a later version; the delta row of the own
	// version tells who made it.
	verdictPassed
)

// settle judges a commit by the head that was read back. base is the head that
// the commit was conditioned on.
func settle(mine, base, head headRow) verdict {
	switch {
	case head.Nonce == mine.Nonce:
		return verdictAccepted
	case head.Row == base.Row:
		return verdictOpen
	case head.Version > mine.Version:
		return verdictPassed
	default:
		return verdictRejected
	}
}
