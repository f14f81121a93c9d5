// Package memtable implements table.Store in memory with switchable faults, for tests and for
// small clusters on one machine.
package memtable

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/table"
)

// Faults are the injected faults; they can be changed while the table is in use.
type Faults struct {
	// Down rejects every call.
	Down bool
	// Silent leaves every call without a response until its context is done.
	Silent bool
	// LoseAnswers applies writes without a response.
	LoseAnswers bool
	// ApplyDelay is the delay after which a write is applied, if its conditions hold then,
	// without a response to it. 0 applies writes at once.
	ApplyDelay time.Duration
}

type rowID struct{ table, partition, key string }

// Table is a table.Store in memory.
type Table struct {
	mu      sync.Mutex
	rows    map[rowID]table.Row
	history []table.Row
	// compactedTo is the newest version whose history has been discarded.
	compactedTo uint64
	version     uint64
	// era counts the restores from an older copy.
	era     uint64
	faults  Faults
	changed chan struct{}
	calls   int
	reads   map[string]int
}

// New returns an empty table.
func New() *Table {
	return &Table{rows: map[rowID]table.Row{}, changed: make(chan struct{}), reads: map[string]int{}}
}

// SetFaults replaces the injected faults.
func (t *Table) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Calls returns the total number of calls.
func (t *Table) Calls() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls
}

// Reads returns the number of successful Read calls for a table.
func (t *Table) Reads(name string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads[name]
}

// CompactHistory discards the history, so that watches from older versions must resync.
func (t *Table) CompactHistory() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history = nil
	t.compactedTo = t.version
}

// Copy is a snapshot of the table.
type Copy struct {
	rows    map[rowID]table.Row
	version uint64
}

// Copy takes a snapshot of the table.
func (t *Table) Copy() Copy {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Copy{maps.Clone(t.rows), t.version}
}

// Restore replaces the table by an older copy: later writes are lost, and their versions are
// assigned again.
func (t *Table) Restore(c Copy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows, t.version = maps.Clone(c.rows), c.version
	t.history = slices.DeleteFunc(t.history, func(r table.Row) bool { return r.Version > c.version })
	t.compactedTo = min(t.compactedTo, c.version)
	t.era++
	close(t.changed)
	t.changed = make(chan struct{})
}

// Era returns the number of restores. Versions are only comparable within an era, so a server
// of the table must send the era along with them.
func (t *Table) Era() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era
}

// begin counts a call and applies Down and Silent.
func (t *Table) begin(ctx context.Context) error {
	t.mu.Lock()
	t.calls++
	faults := t.faults
	t.mu.Unlock()
	if faults.Down {
		return table.ErrUnavailable
	}
	if faults.Silent {
		<-ctx.Done()
		return errors.Join(table.ErrUnknown, ctx.Err())
	}
	return nil
}

// Read implements table.Store.
func (t *Table) Read(ctx context.Context, name, partition string) (table.Page, error) {
	if err := t.begin(ctx); err != nil {
		return table.Page{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads[name]++
	page := table.Page{Version: t.version}
	for id, row := range t.rows {
		if id.table == name && id.partition == partition {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b table.Row) int { return strings.Compare(a.Key, b.Key) })
	return page, nil
}

// Watch implements table.Store.
func (t *Table) Watch(ctx context.Context, name string, since uint64, wait time.Duration) (table.Page, error) {
	if err := t.begin(ctx); err != nil {
		return table.Page{}, err
	}
	until := time.NewTimer(wait)
	defer until.Stop()
	for {
		page, changed, err := t.changesSince(name, since)
		if err != nil || len(page.Rows) > 0 || wait <= 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-until.C:
			return page, nil
		case <-ctx.Done():
			return table.Page{}, errors.Join(table.ErrUnknown, ctx.Err())
		}
	}
}

func (t *Table) changesSince(name string, since uint64) (table.Page, <-chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if since < t.compactedTo || since > t.version {
		return table.Page{}, nil, table.ErrHistoryGone
	}
	page := table.Page{Version: t.version}
	for _, row := range t.history {
		if row.Table == name && row.Version > since {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, t.changed, nil
}

// Commit implements table.Store.
func (t *Table) Commit(ctx context.Context, c table.Change) (uint64, error) {
	if err := t.begin(ctx); err != nil {
		return 0, err
	}
	t.mu.Lock()
	faults := t.faults
	t.mu.Unlock()
	if faults.ApplyDelay > 0 {
		time.AfterFunc(faults.ApplyDelay, func() { _, _ = t.apply(c) })
		<-ctx.Done()
		return 0, errors.Join(table.ErrUnknown, ctx.Err())
	}
	version, err := t.apply(c)
	if faults.LoseAnswers {
		<-ctx.Done()
		return 0, errors.Join(table.ErrUnknown, ctx.Err())
	}
	return version, err
}

func (t *Table) apply(c table.Change) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, condition := range c.Conditions {
		if t.rows[idOf(condition)].Version != condition.Version {
			return 0, fmt.Errorf("%w: %s/%s", table.ErrConflict, condition.Table, condition.Key)
		}
	}
	t.version++
	for _, row := range c.Writes {
		row.Version = t.version
		t.rows[idOf(row)] = row
		t.history = append(t.history, row)
	}
	for _, row := range c.Removals {
		row.Version, row.Removed, row.Value = t.version, true, nil
		delete(t.rows, idOf(row))
		t.history = append(t.history, row)
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return t.version, nil
}

func idOf(r table.Row) rowID { return rowID{r.Table, r.Partition, r.Key} }

// CommitIgnoringFaults applies a change regardless of the faults, as for a writer that is not
// affected by them.
func (t *Table) CommitIgnoringFaults(c table.Change) error {
	_, err := t.apply(c)
	return err
}
