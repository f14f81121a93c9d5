package directory

import (
	"time"

	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// sourceStore is the source of rows that this node read from the store itself.
const sourceStore = "store"

// origin is where a row came from, and when a node first read it from the store.
type origin struct {
	source    string
	learnedAt time.Time
}

func (d *Directory) applyRows(rows []table.Row, from origin, now time.Time) bool {
	changed := false
	for _, row := range rows {
		changed = d.applyRow(row, from, now) || changed
	}
	return changed
}

// applyRow applies one row and reports whether the view has to be rebuilt.
func (d *Directory) applyRow(row table.Row, from origin, now time.Time) bool {
	id := serving.EndpointID(row.Key)
	record := d.endpoints[id]
	if record != nil && row.Version <= record.row.Version {
		return false
	}
	if record == nil {
		record = &endpointRecord{}
		d.endpoints[id] = record
	}
	previous := record.row
	record.row = row
	if row.Removed {
		return d.applyRemoval(record, row, from, now)
	}
	e, err := d.codec.Endpoint(row.Key, row.Value)
	if err != nil {
		return d.applyUnreadable(record, row, err, now)
	}
	restored := previous.Version > 0 && table.Era(row.Version) > table.Era(previous.Version)
	if restored && record.isOlderCopy(&e) {
		record.row = previous
		record.row.Version = row.Version
		return false
	}
	return d.applyEndpoint(record, &e, row, from, now)
}

func (d *Directory) applyRemoval(record *endpointRecord, row table.Row, from origin, now time.Time) bool {
	wasListed := record.endpoint != nil
	if wasListed {
		d.logRemoved(record, row, from, now)
	}
	if wasListed && !record.endpoint.Draining {
		record.lapsed = record.merged()
		if until := d.resumedAt.Add(d.returnGrace); now.Before(until) {
			record.graceUntil = until
		} else {
			d.recordNotice(record.endpoint.ID, from.source == sourceStore, now)
		}
	}
	record.changedVersion, record.learnedAt = row.Version, from.learnedAt
	record.endpoint, record.row.Value, record.removedAt = nil, nil, now
	return wasListed
}

func (d *Directory) applyEndpoint(record *endpointRecord, e *serving.Endpoint, row table.Row, from origin, now time.Time) bool {
	before := record.endpoint
	if before != nil && before.StartedAt == e.StartedAt && e.StartedAt != 0 && before.Draining {
		// Draining cannot be revoked: a row without it comes from an older copy.
		e.Draining = true
	}
	if before == nil || before.StartedAt != e.StartedAt {
		d.startIncarnation(record, e)
	}
	// A row of an incarnation before the observed one says nothing about that one.
	coldChanged := record.startedAt == e.StartedAt && record.applyCold(e.ColdFor, now)
	if coldChanged {
		d.logCold(e, row)
	}
	if before != nil && before.Equal(e) && !coldChanged {
		record.writes = e.Writes
		return false
	}
	if before == nil || before.Draining != e.Draining || before.Membership != e.Membership {
		d.logChanged(e, row, from, now)
	}
	if e.Draining && (before == nil || !before.Draining || before.StartedAt != e.StartedAt) {
		d.recordNotice(serving.EndpointID(row.Key), from.source == sourceStore, now)
	}
	record.endpoint, record.lapsed, record.graceUntil = e, nil, time.Time{}
	record.changedVersion, record.learnedAt, record.writes = row.Version, from.learnedAt, e.Writes
	if record.startedAt != e.StartedAt {
		// The row is of an incarnation before the observed one.
		return true
	}
	record.recordModel(e.Model)
	record.raiseEpoch(e.Membership.Epoch)
	if record.observed != nil && supersedes(e.Membership, record.observed.Membership) {
		record.observed = nil
	}
	return true
}

// isOlderCopy reports whether the first row of an endpoint in a new era may be the restored
// copy's, which would undo a known drain, removal or change of group. A row that the endpoint
// itself writes later has a higher write count, or is the second row of the era.
func (r *endpointRecord) isOlderCopy(e *serving.Endpoint) bool {
	if e.StartedAt != r.startedAt {
		return e.StartedAt < r.startedAt
	}
	return e.Writes < r.writes || e.Writes == r.writes && r.endpoint == nil
}

// applyUnreadable removes the endpoint of a row that cannot be parsed, such as one by another
// writer.
func (d *Directory) applyUnreadable(record *endpointRecord, row table.Row, err error, now time.Time) bool {
	wasKnown := record.endpoint != nil || record.lapsed != nil
	if wasKnown || record.removedAt.IsZero() {
		// Logged only once: such a writer's heartbeats would fill the log.
		d.log.Error("cannot decode the endpoint's row; ignoring the endpoint", "endpoint", row.Key, "version", row.Version, "error", err)
	}
	record.endpoint, record.lapsed, record.graceUntil = nil, nil, time.Time{}
	record.changedVersion = row.Version
	record.removedAt = now
	return wasKnown
}

// startIncarnation resets the record if the row is of another incarnation than the current one.
func (d *Directory) startIncarnation(record *endpointRecord, e *serving.Endpoint) {
	if record.startedAt == e.StartedAt {
		return
	}
	if record.endpoint != nil {
		d.log.Info("endpoint restarted under its id", "endpoint", string(e.ID), "started_at", e.StartedAt, "before", record.startedAt)
	}
	record.resetForIncarnation(e.StartedAt)
}
