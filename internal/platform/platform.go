// Package platform holds the interfaces to the services that the platform
// gives: a transactional table, an object store and a list of VMs. Adapters
// and stand-ins live in packages below this one.
package platform

import (
	"context"
	"errors"
	"fmt"
)

// Errors of the platform's services. Adapters wrap them; test with errors.Is.
var (
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrUnavailable means that the request had no effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUncertain means that no answer came: a write may have taken effect.
	ErrUncertain = errors.New("platform gave no answer")
)

// Row is one row of the table. Version changes with each write and is never 0.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// Op is one write of a transaction. It applies only if the row has the version
// IfVersion; 0 means that the row must not exist.
type Op struct {
	Key       string
	Value     []byte
	Delete    bool
	IfVersion uint64
}

// ConflictError means that a condition of a transaction did not hold and that
// nothing was written. Rows holds the current state of the rows in conflict;
// a row with version 0 does not exist.
type ConflictError struct {
	Rows []Row
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict on %d rows", len(e.Rows))
}

// Table is the platform's transactional table. All methods may be called from
// any goroutine. Reads see every transaction whose Commit has returned.
type Table interface {
	// Get returns one row, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows whose keys start with prefix, by key.
	Scan(ctx context.Context, prefix string, limit int) ([]Row, error)
	// Commit applies all ops or none. It returns the rows written, in the
	// order of ops (deleted rows with version 0), a *ConflictError,
	// ErrUnavailable or ErrUncertain.
	Commit(ctx context.Context, ops []Op) ([]Row, error)
}

// ObjectStore keeps whole objects by name. All methods may be called from any
// goroutine.
type ObjectStore interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

// VMEntry is a line of the platform's list of VMs. Address is host:port of the
// process it serves.
type VMEntry struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// VMList is the platform's list of live and leaving VMs. The list lags.
type VMList interface {
	List(ctx context.Context) ([]VMEntry, error)
}
