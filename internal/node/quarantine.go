package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/clock"
	"github.com/ridgehinge/ridgehinge/internal/control"
	"github.com/ridgehinge/ridgehinge/internal/platform"
	"github.com/ridgehinge/ridgehinge/internal/quarantinetable"
	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

// runQuarantine reads the quarantine's table when the node starts, since all nodes may have been
// killed, and keeps the table up to date while the node is the controller. Until the first read
// succeeds, requests that crashed endpoints before are sent like any others.
func (n *Node) runQuarantine(ctx context.Context, t *quarantinetable.Table) {
	loaded := t.Load(ctx)
	clock.Every(ctx, quarantinetable.Interval, func(now time.Time) {
		t.Expire(now)
		snapshot := n.loop.Snapshot()
		switch {
		case snapshot.IsController:
			t.Sync(ctx, quarantinetable.Role{FirstDataCentre: isFirstDataCentre(n.settings.DataCentre, snapshot.Remotes)}, now)
		case !loaded:
			loaded = t.Load(ctx)
		default:
			t.Suspend()
		}
	})
}

// isFirstDataCentre reports whether no reachable data centre precedes this one by name.
func isFirstDataCentre(own fleet.DataCentre, remotes []control.Remote) bool {
	for _, r := range remotes {
		if r.Node.DataCentre < own {
			return false
		}
	}
	return true
}

// quarantineStore is the part of the platform's table that has the quarantine. Its store is never
// restored from an older copy, so it has a single era.
type quarantineStore struct{ client *platform.Client }

// Read implements quarantinetable.Store.
func (s quarantineStore) Read(ctx context.Context, name, partition string) (table.Page, error) {
	prefix := rowKey(name, partition, "")
	rows, err := s.client.Scan(ctx, prefix)
	if err != nil {
		return table.Page{}, storeError(err)
	}
	page := table.Page{}
	for _, row := range rows {
		page.Version = max(page.Version, row.Version)
		page.Rows = append(page.Rows, table.Row{Table: name, Partition: partition, Key: strings.TrimPrefix(row.Key, prefix), Value: row.Value, Version: row.Version})
	}
	return page, nil
}

// Commit implements quarantinetable.Store.
func (s quarantineStore) Commit(ctx context.Context, c table.Change) (uint64, error) {
	txn := platform.Txn{}
	for _, row := range c.Conditions {
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: rowKey(row.Table, row.Partition, row.Key), Version: row.Version})
	}
	for _, row := range c.Writes {
		txn.Writes = append(txn.Writes, platform.Write{Key: rowKey(row.Table, row.Partition, row.Key), Value: json.RawMessage(row.Value)})
	}
	for _, row := range c.Removals {
		txn.Deletes = append(txn.Deletes, rowKey(row.Table, row.Partition, row.Key))
	}
	outcome, err := s.client.Commit(ctx, txn)
	if err != nil {
		return 0, storeError(err)
	}
	if !outcome.Committed {
		return 0, table.ErrConflict
	}
	return outcome.Version, nil
}

// Era implements quarantinetable.Store.
func (quarantineStore) Era() uint64 { return 0 }

// rowKey returns the key of a row in the platform's table, which has neither tables nor partitions.
func rowKey(name, partition, key string) string { return name + "/" + partition + "/" + key }

// storeError returns the platform client's error as one of a table: a commit without a valid response
// may have taken effect.
func storeError(err error) error {
	if errors.Is(err, platform.ErrUnavailable) {
		return fmt.Errorf("%w: %w", table.ErrUnknown, err)
	}
	return err
}
