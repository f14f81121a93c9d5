// Package table is the interface to a transactional table service, which
// holds all that must outlive the processes.
package table

import (
	"context"
	"errors"
	"time"
)

// Errors of a Store.
var (
	// ErrUnavailable means that the store refused the call or cannot be
	// reached; nothing was done.
	ErrUnavailable = errors.New("the store is unavailable")
	// ErrUnknown means that a call got no answer; a write may have been done,
	// or may still be done if its condition holds then.
	ErrUnknown = errors.New("the store did not answer")
	// ErrConflict means that a condition of a change did not hold.
	ErrConflict = errors.New("a row has changed meanwhile")
	// ErrHistoryGone means that a watch must begin again with a read.
	ErrHistoryGone = errors.New("the store no longer has this part of its history")
)

// Row is one row. Its version is drawn from one counter of the whole store, and has its era.
type Row struct {
	Table     string
	Partition string
	Key       string
	Value     []byte
	Version   uint64
	// Removed rows occur in watches only.
	Removed bool
}

// Page is rows as of one version of the store.
type Page struct {
	Rows    []Row
	Version uint64
}

// Change is one transaction on one partition, all or nothing.
type Change struct {
	// Conditions name rows with the version that they must have; zero is
	// absent.
	Conditions []Row
	Writes     []Row
	Removals   []Row
}

// Store is a transactional table service. Its methods are safe for
// concurrent use.
type Store interface {
	// Read returns all rows of one partition.
	Read(ctx context.Context, table, partition string) (Page, error)
	// Watch returns what has changed in a table since a version, in order.
	// It waits for a change as long as it is told.
	Watch(ctx context.Context, table string, since uint64, wait time.Duration) (Page, error)
	// Commit carries a change out and returns its version. A condition on a version of an
	// earlier era does not hold.
	Commit(ctx context.Context, c Change) (uint64, error)
	// Era returns the newest era of the store that any answer has named.
	Era() uint64
}
