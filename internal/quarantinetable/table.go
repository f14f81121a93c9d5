// Package quarantinetable keeps the quarantine in a table of the platform: all nodes may be killed at
// once, and a partitioned data centre may still reach the table.
package quarantinetable

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/logging"
	"github.com/ridgehinge/ridgehinge/internal/quarantine"
	"github.com/ridgehinge/ridgehinge/internal/table"
	qlist "github.com/ridgehinge/ridgehinge/pkg/quarantine"
)

// Name is the table, which has a row for each fingerprint, in one partition.
const Name = "ridgehinge-quarantine"

// Interval is the time between two calls of Sync.
const Interval = 250 * time.Millisecond

const (
	// maxRowsPerChange is the platform's bound.
	maxRowsPerChange = 100
	// maxRows bounds the rows of the table, of about a hundred bytes each. Half of them
	// are reserved for blocked requests; one with two crashes may have merely run there.
	maxRows = 1024
	// readInterval is the time between two reads while another data centre is
	// unreachable, and between two attempts while the store is unavailable.
	readInterval = time.Second
	callTimeout  = time.Second
	// secondaryWriteDelay is how long after a read the relays of other data centres leave
	// writing to the first one, which may be unable to reach the store. They read the table
	// again before they write.
	secondaryWriteDelay = 2 * time.Second
)

// Store has the table.
type Store interface {
	// Read returns all rows of one partition.
	Read(ctx context.Context, table, partition string) (table.Page, error)
	// Commit applies a change and returns its version. It fails with table.ErrConflict if a condition
	// does not hold.
	Commit(ctx context.Context, c table.Change) (uint64, error)
	// Era returns the newest era of the store, in which it may lack earlier rows.
	Era() uint64
}

// Role is what a node does with the table.
type Role struct {
	// FirstDataCentre is set for the node that writes. Others write what that one has not written
	// some time after they have read the table.
	FirstDataCentre bool
	// Partitioned is set while another data centre is unreachable; its records then arrive
	// through the table.
	Partitioned bool
}

// Table synchronizes the quarantine of one node with its table. It is not safe for concurrent use.
type Table struct {
	list  *quarantine.Quarantine
	store Store
	log   logging.Logger
	// lastRead is when the table was last read, lastAttempt when a read or write was last
	// attempted; zero means never.
	lastRead    time.Time
	lastAttempt time.Time
	// era is the store era to which the versions belong.
	era uint64
	// versions has the versions of the table's known rows.
	versions map[qlist.Fingerprint]uint64
	// expired are rows that are to be removed.
	expired []qlist.Fingerprint
	// full is set while the table has maxRows.
	full bool
}

// New returns the table of a node's quarantine.
func New(q *quarantine.Quarantine, store Store) *Table {
	return &Table{list: q, store: store, log: logging.For("quarantine"), versions: map[qlist.Fingerprint]uint64{}}
}

// Expire drops expired records. Their rows are removed by a later Sync.
func (t *Table) Expire(now time.Time) { t.expired = append(t.expired, t.list.Expire(now)...) }

// Load reads the table and reports whether that succeeded.
func (t *Table) Load(ctx context.Context) bool { return t.readTable(ctx) }

// Suspend makes the next Sync read the table again. It is called while another node synchronizes it,
// which also removes the rows of expired records.
func (t *Table) Suspend() { t.lastRead, t.expired = time.Time{}, nil }

// Sync makes the calls that are due: an initial read, reads while another data centre is
// unreachable, and a commit if there are pending changes.
func (t *Table) Sync(ctx context.Context, role Role, now time.Time) {
	t.checkEra()
	if now.Sub(t.lastAttempt) < readInterval && (t.lastRead.IsZero() || t.lastAttempt.After(t.lastRead)) {
		return
	}
	write, remove := t.pending()
	pending := len(write)+len(remove) > 0
	switch since := now.Sub(t.lastRead); {
	case t.lastRead.IsZero(), role.Partitioned && since >= readInterval, !role.FirstDataCentre && pending && since >= secondaryWriteDelay:
		t.lastAttempt = now
		if !t.readTable(ctx) {
			return
		}
		t.lastRead = now
		write, remove = t.pending()
	case !role.FirstDataCentre:
		return
	}
	if len(write)+len(remove) == 0 {
		return
	}
	t.lastAttempt = now
	if t.commit(ctx, write, remove) {
		t.lastAttempt = time.Time{}
	}
}

// checkEra has the table read and written again after the store was restored from an older copy,
// which may lack rows.
func (t *Table) checkEra() {
	era := t.store.Era()
	if era == t.era {
		return
	}
	t.era, t.lastRead = era, time.Time{}
	t.list.MarkAllUnstored()
}

// pending returns the records to be written and the rows to be removed now.
func (t *Table) pending() (write []qlist.Record, remove []qlist.Fingerprint) {
	// Records with fewer crashes are lost if all nodes are killed.
	minCrashes := qlist.MaxCrashes - 1
	if len(t.versions) >= maxRows/2 {
		minCrashes = qlist.MaxCrashes
	}
	limit := min(maxRowsPerChange, maxRows-len(t.versions))
	t.logFull(limit <= 0)
	write, remove = t.list.Unstored(minCrashes, max(0, limit))
	remove = append(remove, t.expired...)
	return write, remove[:min(len(remove), maxRowsPerChange-len(write))]
}

// logFull logs when the table becomes full or has room again.
func (t *Table) logFull(full bool) {
	if full == t.full {
		return
	}
	t.full = full
	t.log.Warn("the quarantine's table became full or has room again", "full", full, "rows", len(t.versions), "bound", maxRows)
}

// rowValue is the value of a row.
type rowValue struct {
	// Ends are the incarnations of endpoints that crashed.
	Ends []qlist.Incarnation `json:"ends"`
	// Tried is set once a request was sent from quarantine.
	Tried bool `json:"tried,omitempty"`
	// Part is set for a part of prompts.
	Part bool `json:"part,omitempty"`
}

// readTable merges the table's records and reports whether it could be read.
func (t *Table) readTable(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	page, err := t.store.Read(ctx, Name, "")
	if err != nil {
		t.log.Info("failed to read the quarantine's table; keeping the known records", "error", err)
		return false
	}
	now := time.Now()
	clear(t.versions)
	var records []qlist.Record
	invalid, firstErr := 0, error(nil)
	for _, row := range page.Rows {
		f, err := qlist.ParseFingerprint(row.Key)
		if err == nil {
			// An invalid row is also replaced by this node's record of the fingerprint.
			t.versions[f] = row.Version
			var r qlist.Record
			if r, err = parseRecord(f, row.Value, now); err == nil {
				records = append(records, r)
				continue
			}
		}
		invalid++
		firstErr = cmp.Or(firstErr, err)
	}
	if invalid > 0 {
		// Another program may have written them.
		t.log.Error("ignoring invalid rows of the quarantine's table", "rows", invalid, "first_error", firstErr)
	}
	t.list.Merge(records, "table", now)
	t.list.MarkStored(records, nil)
	if len(records) > 0 {
		t.log.Info("read the quarantine's table", "rows", len(page.Rows), "records", len(records), "version", page.Version)
	}
	return true
}

// parseRecord decodes a row. Rows have no times of crashes, since clocks differ; crashes are
// dated now.
func parseRecord(f qlist.Fingerprint, text []byte, now time.Time) (qlist.Record, error) {
	var value rowValue
	if err := json.Unmarshal(text, &value); err != nil {
		return qlist.Record{}, err
	}
	r := qlist.Record{Fingerprint: f, TrialUsed: value.Tried, Part: value.Part}
	for _, inc := range value.Ends {
		r.Crashes = append(r.Crashes, qlist.Crash{Incarnation: inc, At: now})
	}
	return r, nil
}

// commit writes and removes rows and reports whether it succeeded. On a conflict with another
// node's change the table is read again.
func (t *Table) commit(ctx context.Context, write []qlist.Record, remove []qlist.Fingerprint) bool {
	change := table.Change{}
	for _, r := range write {
		value := rowValue{Tried: r.TrialUsed, Part: r.Part}
		for _, crash := range r.Crashes {
			value.Ends = append(value.Ends, crash.Incarnation)
		}
		text, _ := json.Marshal(value) // Encoding a plain struct never fails.
		row := table.Row{Table: Name, Key: r.Fingerprint.String(), Value: text}
		change.Writes = append(change.Writes, row)
		row.Version = t.versions[r.Fingerprint]
		change.Conditions = append(change.Conditions, row)
	}
	for _, f := range remove {
		change.Removals = append(change.Removals, table.Row{Table: Name, Key: f.String()})
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err := t.store.Commit(ctx, change)
	if errors.Is(err, table.ErrConflict) {
		t.lastRead = time.Time{}
		return false
	}
	if err != nil {
		// The change may have been applied; the next attempt then conflicts and reads.
		t.log.Info("failed to change the quarantine's table; retrying", "writes", len(write), "removals", len(remove), "error", err)
		return false
	}
	for _, r := range write {
		t.versions[r.Fingerprint] = version
	}
	for _, f := range remove {
		delete(t.versions, f)
	}
	t.expired = slices.DeleteFunc(t.expired, func(f qlist.Fingerprint) bool { return slices.Contains(remove, f) })
	t.list.MarkStored(write, remove)
	t.log.Info("changed the quarantine's table", "writes", len(write), "removals", len(remove), "version", version)
	return true
}
