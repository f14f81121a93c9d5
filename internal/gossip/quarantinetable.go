package gossip

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

// QuarantineTable has a row for each fingerprint, in one partition.
const QuarantineTable = "ridgehinge-quarantine"

const (
	// maxRowsPerChange is the platform's bound.
	maxRowsPerChange = 100
	// maxQuarantineRows bounds the rows of the table. Half of them are reserved for blocked
	// requests; one with two crashes may have merely run there.
	maxQuarantineRows = 1024
	// quarantineReadInterval is the time between two reads while another data centre is
	// unreachable, and between two attempts while the store is unavailable.
	quarantineReadInterval = time.Second
	quarantineCallTimeout  = time.Second
	// secondaryWriteDelay is how long after a read the relays of other data centres leave
	// writing to the first one, which may be unable to reach the store. They read the table
	// again before they write.
	secondaryWriteDelay = 2 * time.Second
)

// quarantineTable synchronizes the quarantine with its table.
type quarantineTable struct {
	list  *quarantine.Quarantine
	store table.Store
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
	// full is set while the table has maxQuarantineRows.
	full bool
}

func newQuarantineTable(q *quarantine.Quarantine, store table.Store) *quarantineTable {
	return &quarantineTable{list: q, store: store, log: logging.For("quarantine"), versions: map[qlist.Fingerprint]uint64{}}
}

// sync makes the calls that are due: an initial read, reads while another data centre is
// unreachable, and a commit if there are pending changes.
func (t *quarantineTable) sync(ctx context.Context, role quarantineRole, now time.Time) {
	t.checkEra()
	if now.Sub(t.lastAttempt) < quarantineReadInterval && (t.lastRead.IsZero() || t.lastAttempt.After(t.lastRead)) {
		return
	}
	write, remove := t.pending()
	pending := len(write)+len(remove) > 0
	switch since := now.Sub(t.lastRead); {
	case t.lastRead.IsZero(), role.partitioned && since >= quarantineReadInterval, !role.firstDataCentre && pending && since >= secondaryWriteDelay:
		t.lastAttempt = now
		if !t.readTable(ctx) {
			return
		}
		t.lastRead = now
		write, remove = t.pending()
	case !role.firstDataCentre:
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
func (t *quarantineTable) checkEra() {
	era := t.store.Era()
	if era == t.era {
		return
	}
	t.era, t.lastRead = era, time.Time{}
	t.list.MarkAllUnstored()
}

// pending returns the records to be written and the rows to be removed now.
func (t *quarantineTable) pending() (write []qlist.Record, remove []qlist.Fingerprint) {
	minCrashes := qlist.MaxCrashes - 1
	if len(t.versions) >= maxQuarantineRows/2 {
		minCrashes = qlist.MaxCrashes
	}
	limit := min(maxRowsPerChange, maxQuarantineRows-len(t.versions))
	t.logFull(limit <= 0)
	write, remove = t.list.Unstored(minCrashes, max(0, limit))
	remove = append(remove, t.expired...)
	return write, remove[:min(len(remove), maxRowsPerChange-len(write))]
}

// logFull logs when the table becomes full or has room again.
func (t *quarantineTable) logFull(full bool) {
	if full == t.full {
		return
	}
	t.full = full
	t.log.Warn("the quarantine's table became full or has room again", "full", full, "rows", len(t.versions), "bound", maxQuarantineRows)
}

// quarantineRow is the value of a row.
type quarantineRow struct {
	// Ends are the incarnations of endpoints that crashed.
	Ends []qlist.Incarnation `json:"ends"`
	// Tried is set once a request was sent from quarantine.
	Tried bool `json:"tried,omitempty"`
}

// readTable merges the table's records and reports whether it could be read.
func (t *quarantineTable) readTable(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, quarantineCallTimeout)
	defer cancel()
	page, err := t.store.Read(ctx, QuarantineTable, "")
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
	var value quarantineRow
	if err := json.Unmarshal(text, &value); err != nil {
		return qlist.Record{}, err
	}
	r := qlist.Record{Fingerprint: f, TrialUsed: value.Tried}
	for _, inc := range value.Ends {
		r.Crashes = append(r.Crashes, qlist.Crash{Incarnation: inc, At: now})
	}
	return r, nil
}

// commit writes and removes rows and reports whether it succeeded. On a conflict with another
// node's change the table is read again.
func (t *quarantineTable) commit(ctx context.Context, write []qlist.Record, remove []qlist.Fingerprint) bool {
	change := table.Change{}
	for _, r := range write {
		value := quarantineRow{Tried: r.TrialUsed}
		for _, crash := range r.Crashes {
			value.Ends = append(value.Ends, crash.Incarnation)
		}
		text, _ := json.Marshal(value) // Encoding a plain struct never fails.
		row := table.Row{Table: QuarantineTable, Key: r.Fingerprint.String(), Value: text}
		change.Writes = append(change.Writes, row)
		row.Version = t.versions[r.Fingerprint]
		change.Conditions = append(change.Conditions, row)
	}
	for _, f := range remove {
		change.Removals = append(change.Removals, table.Row{Table: QuarantineTable, Key: f.String()})
	}
	ctx, cancel := context.WithTimeout(ctx, quarantineCallTimeout)
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
