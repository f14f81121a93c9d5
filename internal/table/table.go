// Package table is the interface to a transactional table service, which holds all state that must
// survive restarts.
package table

import (
	"context"
	"errors"
	"time"
)

// Errors of a Store.
var (
	// ErrUnavailable means that the store rejected the call or is unreachable, and that nothing
	// was written.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUnknown means that a call got no response. A write may have been committed, or may still be
	// if its condition holds then.
	ErrUnknown = errors.New("no response from the store")
	// ErrConflict means that a condition of a change did not hold.
	ErrConflict = errors.New("a condition of the change did not hold")
	// ErrHistoryGone means that the watched table has to be read again.
	ErrHistoryGone = errors.New("the store no longer has the history after this version")
)

// Row is one row. Its version is drawn from one counter of the whole store and includes the era.
type Row struct {
	Table     string
	Partition string
	Key       string
	Value     []byte
	Version   uint64
	// Removed rows occur only in the results of watches.
	Removed bool
}

// Page is a set of rows as of one version of the store.
type Page struct {
	Rows    []Row
	Version uint64
}

// Change is one atomic transaction on one partition.
type Change struct {
	// Conditions are rows with the version that each must have; zero means that the row must be
	// absent.
	Conditions []Row
	Writes     []Row
	Removals   []Row
}

// Store is a transactional table service. Its methods are safe for concurrent use.
type Store interface {
	// Read returns all rows of one partition.
	Read(ctx context.Context, table, partition string) (Page, error)
	// Watch returns what has changed in a table since a version, in order. It waits up to the
	// given time for a change.
	Watch(ctx context.Context, table string, since uint64, wait time.Duration) (Page, error)
	// Commit applies a change and returns its version. A condition on a version of an earlier era
	// does not hold.
	Commit(ctx context.Context, c Change) (uint64, error)
	// Era returns the newest era that any response of the store has named.
	Era() uint64
}
