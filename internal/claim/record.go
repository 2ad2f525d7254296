package claim

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"

	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// RowPrefix is the prefix of the keys of all claim rows in the platform's
// table.
const RowPrefix = "claim/"

// State is the state of the call that a claim belongs to.
type State string

// States of a claim.
const (
	StateClaimed State = "claimed" // the call may be in progress
	StateDone    State = "done"    // the call was answered
	StateUnknown State = "unknown" // the call may or may not have run
)

// Record is the value of a claim row. It contains no data of the request.
type Record struct {
	VM          vm.ID     `json:"vm"`
	Incarnation uint64    `json:"incarnation"`
	Nonce       string    `json:"nonce"` // identifies the attempt that made the claim
	State       State     `json:"state"`
	Status      int       `json:"status,omitempty"` // HTTP status of a done call
	Time        time.Time `json:"time"`             // of the claim, by the clock of the VM that made it
}

// Key identifies a request that must run at most once. Key.Key is the
// idempotency key of the request.
type Key struct{ Tenant, Route, Key string }

// RowKey returns the key of the claim row.
func (k Key) RowKey() string {
	sum := k.Digest()
	return RowPrefix + hex.EncodeToString(sum[:])
}

// Digest returns the SHA-256 of the three parts of the key. Each part is
// preceded by its length, so different keys never have the same input.
func (k Key) Digest() [sha256.Size]byte {
	var b []byte
	for _, part := range []string{k.Tenant, k.Route, k.Key} {
		b = binary.BigEndian.AppendUint64(b, uint64(len(part)))
		b = append(b, part...)
	}
	return sha256.Sum256(b)
}

// ParseRecord decodes the value of a claim row. It ignores unknown fields,
// since later versions may add some.
func ParseRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, merry.Prepend(err, "claim row")
	}
	switch {
	case r.VM == "" || r.Nonce == "":
		return Record{}, merry.New("claim row: no VM or no nonce")
	case r.State != StateClaimed && r.State != StateDone && r.State != StateUnknown:
		return Record{}, merry.Errorf("claim row: state %q", r.State)
	case r.State == StateDone && (r.Status < 100 || r.Status > 999):
		return Record{}, merry.Errorf("claim row: done with status %d", r.Status)
	}
	return r, nil
}

// Encode returns the value of a claim row.
func (r Record) Encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic("claim: record can't be encoded: " + err.Error()) // only a year above 9999 can't be encoded
	}
	return b
}

func newNonce() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	return hex.EncodeToString(b[:])
}
