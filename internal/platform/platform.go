// Package platform defines the interfaces to the services of the platform: a
// transactional table, an object store and a list of VMs. The packages below
// this one implement them, as an HTTP client and as an in-memory stand-in. The
// package platform at the root of the module is independent of this one: it is the
// adapter to the platform on which the command goldcresthinged entry runs.
package platform

import (
	"context"
	"errors"
	"fmt"
)

// Errors of the platform's services. Implementations wrap them; test with
// errors.Is.
var (
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrUnavailable means that the request had no effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUncertain means that no valid response arrived: a write may or may not
	// have taken effect, and may still take effect later.
	ErrUncertain = errors.New("platform gave no answer")
)

// Row is one row of the table. Version changes with each write. The version of an
// existing row is never 0.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// Op is one write of a transaction: it sets the row Key to Value, or deletes it.
// Its condition is that the row has the version IfVersion, or does not exist if
// IfVersion is 0.
type Op struct {
	Key       string
	Value     []byte
	Delete    bool
	IfVersion uint64
}

// ConflictError means that a condition of a transaction did not hold and that
// nothing was written. Rows holds the current state of each row whose condition
// did not hold; a row with version 0 does not exist.
type ConflictError struct {
	Rows []Row
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict on %d rows", len(e.Rows))
}

// Table is the platform's transactional table. All methods may be called from
// any goroutine. A read returns the effect of every transaction whose Commit
// returned without an error before the read began.
type Table interface {
	// Get returns one row, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns the first rows, at most limit, whose keys start with prefix,
	// in the order of their keys.
	Scan(ctx context.Context, prefix string, limit int) ([]Row, error)
	// Commit applies all ops or none. It returns the rows written in the order
	// of ops, deleted ones with version 0. The error is a *ConflictError or
	// ErrUnavailable if nothing was written, or ErrUncertain.
	Commit(ctx context.Context, ops []Op) ([]Row, error)
}

// ObjectStore stores objects by name. Put replaces the whole object. Get returns
// ErrNotFound if the object does not exist. All methods may be called from any
// goroutine.
type ObjectStore interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

// VMEntry is an entry of the platform's list of VMs. Address is the host:port of
// the process on the VM. Leaving means that the VM is about to stop.
type VMEntry struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// VMList is the platform's list of running and leaving VMs. The list is updated
// with a delay.
type VMList interface {
	List(ctx context.Context) ([]VMEntry, error)
}
