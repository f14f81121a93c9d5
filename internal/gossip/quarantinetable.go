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

// QuarantineTable has a row for each content, in one partition.
const QuarantineTable = "ridgehinge-quarantine"

const (
	// rowsWritten bounds the rows of one change, which the platform bounds to 100.
	rowsWritten = 100
	// quarantineRows bounds the rows of the table, of 102 bytes with three ends. Half of it is kept
	// for those in quarantine: what ended two endpoints may have merely run there.
	quarantineRows = 1024
	// quarantineApart is the time between two reads while some data centre is not heard,
	// and between two tries at a store that does not answer.
	quarantineApart = time.Second
	quarantineCall  = time.Second
	// quarantineSecond is how long the relays of other data centres leave it to the first
	// one to write. They read what it has written before they write themselves: it may be
	// cut off from the store.
	quarantineSecond = 2 * time.Second
)

// quarantineTable keeps what is known of requests that end endpoints in step with the table.
type quarantineTable struct {
	list  *quarantine.Quarantine
	store table.Store
	log   logging.Logger
	// read is when the table was last read, tried when that or a write was last tried;
	// zero means never.
	read  time.Time
	tried time.Time
	// era is that of the store by which the versions count.
	era uint64
	// versions has the rows that the table is known to have.
	versions map[qlist.Fingerprint]uint64
	// over are rows that are to be removed.
	over []qlist.Fingerprint
	// full is set while the table takes no more rows.
	full bool
}

func newQuarantineTable(q *quarantine.Quarantine, store table.Store) *quarantineTable {
	return &quarantineTable{list: q, store: store, log: logging.For("quarantine"), versions: map[qlist.Fingerprint]uint64{}}
}

// step makes the calls that are due: a read at first and while another data centre is not
// heard, and a change when there is something to be kept.
func (c *quarantineTable) step(ctx context.Context, duty quarantineDuty, now time.Time) {
	c.meetEra()
	if now.Sub(c.tried) < quarantineApart && (c.read.IsZero() || c.tried.After(c.read)) {
		return
	}
	write, remove := c.due()
	due := len(write)+len(remove) > 0
	switch since := now.Sub(c.read); {
	case c.read.IsZero(), duty.apart && since >= quarantineApart, !duty.first && due && since >= quarantineSecond:
		c.tried = now
		if !c.readTable(ctx) {
			return
		}
		c.read = now
		write, remove = c.due()
	case !duty.first:
		return
	}
	if len(write)+len(remove) == 0 {
		return
	}
	c.tried = now
	if c.commit(ctx, write, remove) {
		c.tried = time.Time{}
	}
}

// meetEra has the table read and written again when the store came back from an older copy: it
// may lack what it held.
func (c *quarantineTable) meetEra() {
	era := c.store.Era()
	if era == c.era {
		return
	}
	c.era, c.read = era, time.Time{}
	c.list.MarkAllUnstored()
}

// due returns what is to be written and removed now.
func (c *quarantineTable) due() (write []qlist.Record, remove []qlist.Fingerprint) {
	ends := qlist.MaxCrashes - 1
	if len(c.versions) >= quarantineRows/2 {
		ends = qlist.MaxCrashes
	}
	most := min(rowsWritten, quarantineRows-len(c.versions))
	c.noteFull(most <= 0)
	write, remove = c.list.Unstored(ends, max(0, most))
	remove = append(remove, c.over...)
	return write, remove[:min(len(remove), rowsWritten-len(write))]
}

// noteFull logs when the table becomes full, and when it takes rows again.
func (c *quarantineTable) noteFull(full bool) {
	if full == c.full {
		return
	}
	c.full = full
	c.log.Warn("the quarantine's table has reached its bound, or has room again", "full", full, "rows", len(c.versions), "bound", quarantineRows)
}

// quarantineRow is the value of a row.
type quarantineRow struct {
	// Ends are the incarnations of endpoints that crashed.
	Ends []qlist.Incarnation `json:"ends"`
	// Tried is set once a request was sent from quarantine.
	Tried bool `json:"tried,omitempty"`
}

// readTable takes what the table holds and reports whether it could be read.
func (c *quarantineTable) readTable(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, quarantineCall)
	defer cancel()
	page, err := c.store.Read(ctx, QuarantineTable, "")
	if err != nil {
		c.log.Info("the quarantine's table cannot be read; what is known stays in force", "error", err)
		return false
	}
	now := time.Now()
	clear(c.versions)
	var records []qlist.Record
	unreadable, firstErr := 0, error(nil)
	for _, row := range page.Rows {
		f, err := qlist.ParseFingerprint(row.Key)
		if err == nil {
			// Also a row that cannot be read is replaced by this node's own.
			c.versions[f] = row.Version
			var r qlist.Record
			if r, err = parseRecord(f, row.Value, now); err == nil {
				records = append(records, r)
				continue
			}
		}
		unreadable++
		firstErr = cmp.Or(firstErr, err)
	}
	if unreadable > 0 {
		// Another writer's: they say nothing of any request, and the others hold.
		c.log.Error("rows of the quarantine cannot be read; they are left alone", "rows", unreadable, "first_error", firstErr)
	}
	c.list.Merge(records, "table", now)
	c.list.MarkStored(records, nil)
	if len(records) > 0 {
		c.log.Info("read the quarantine's table", "rows", len(page.Rows), "records", len(records), "version", page.Version)
	}
	return true
}

// parseRecord reads a row's value. When an endpoint ended is not kept, since clocks differ:
// it counts as now.
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

// commit writes and removes rows and reports whether that was done. A row that another
// node has changed meanwhile has the table read again.
func (c *quarantineTable) commit(ctx context.Context, write []qlist.Record, remove []qlist.Fingerprint) bool {
	change := table.Change{}
	for _, r := range write {
		value := quarantineRow{Tried: r.TrialUsed}
		for _, end := range r.Crashes {
			value.Ends = append(value.Ends, end.Incarnation)
		}
		text, _ := json.Marshal(value) // A plain struct always encodes.
		row := table.Row{Table: QuarantineTable, Key: r.Fingerprint.String(), Value: text}
		change.Writes = append(change.Writes, row)
		row.Version = c.versions[r.Fingerprint]
		change.Conditions = append(change.Conditions, row)
	}
	for _, f := range remove {
		change.Removals = append(change.Removals, table.Row{Table: QuarantineTable, Key: f.String()})
	}
	ctx, cancel := context.WithTimeout(ctx, quarantineCall)
	defer cancel()
	version, err := c.store.Commit(ctx, change)
	if errors.Is(err, table.ErrConflict) {
		c.read = time.Time{}
		return false
	}
	if err != nil {
		// It may have been done: then the next try meets a conflict and reads.
		c.log.Info("the quarantine's table does not take a change; it is tried again", "writes", len(write), "removals", len(remove), "error", err)
		return false
	}
	for _, r := range write {
		c.versions[r.Fingerprint] = version
	}
	for _, f := range remove {
		delete(c.versions, f)
	}
	c.over = slices.DeleteFunc(c.over, func(f qlist.Fingerprint) bool { return slices.Contains(remove, f) })
	c.list.MarkStored(write, remove)
	c.log.Info("the quarantine's table was changed", "writes", len(write), "removals", len(remove), "version", version)
	return true
}
