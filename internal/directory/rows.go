package directory

import (
	"time"

	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

func (d *Directory) takeRows(rows []table.Row, now time.Time) bool {
	changed := false
	for _, row := range rows {
		changed = d.takeRow(row, now) || changed
	}
	return changed
}

// takeRow applies one row and reports whether traffic has to know.
func (d *Directory) takeRow(row table.Row, now time.Time) bool {
	id := serving.EndpointID(row.Key)
	record := d.endpoints[id]
	if record != nil && row.Version <= record.row.Version {
		return false
	}
	if record == nil {
		record = &endpointRecord{}
		d.endpoints[id] = record
	}
	known := record.row
	record.row = row
	if row.Removed {
		return d.takeRemoval(record, row, now)
	}
	e, err := d.codec.Endpoint(row.Key, row.Value)
	if err != nil {
		return d.takeUnreadable(record, row, err, now)
	}
	restored := known.Version > 0 && table.Era(row.Version) > table.Era(known.Version)
	if restored && record.tellsOlder(&e) {
		record.row = known
		record.row.Version = row.Version
		return false
	}
	return d.takeEndpoint(record, &e, row)
}

// takeRemoval takes the end of an endpoint's row.
func (d *Directory) takeRemoval(record *endpointRecord, row table.Row, now time.Time) bool {
	was := record.endpoint != nil
	if was {
		d.logGone(record, row)
	}
	if was && !record.endpoint.Draining {
		record.lapsed = record.merged()
		if until := d.resumedAt.Add(d.returnGrace); now.Before(until) {
			record.trustedUntil = until
		}
	}
	record.changed = row.Version
	record.endpoint, record.row.Value, record.removedAt = nil, nil, now
	return was
}

// takeEndpoint takes what a row says of its endpoint.
func (d *Directory) takeEndpoint(record *endpointRecord, e *serving.Endpoint, row table.Row) bool {
	before := record.endpoint
	if before != nil && before.StartedAt == e.StartedAt && e.StartedAt != 0 && before.Draining {
		// Nobody takes a notice to leave back: a row without it is an older copy's.
		e.Draining = true
	}
	if before != nil && before.Equal(e) {
		record.writes = e.Writes
		return false
	}
	if before == nil || before.StartedAt != e.StartedAt {
		d.startIncarnation(record, e)
	}
	if before == nil || before.Draining != e.Draining || before.Membership != e.Membership {
		d.logChanged(e, row)
	}
	record.endpoint, record.lapsed, record.trustedUntil = e, nil, time.Time{}
	record.changed, record.writes = row.Version, e.Writes
	if record.startedAt != e.StartedAt {
		// The row is of the incarnation before the one that was observed.
		return true
	}
	record.noteModel(e.Model)
	record.noteEpoch(e.Membership.Epoch)
	if record.observed != nil && newer(e.Membership, record.observed.Membership) {
		record.observed = nil
	}
	return true
}

// tellsOlder reports whether the first row that the store has of an endpoint since it came
// back from an older copy may be the copy's: an incarnation that is known to leave or to have gone,
// or a membership that has ended, would come to incarnation again. What the endpoint itself writes
// has a higher count, or comes as a second row.
func (r *endpointRecord) tellsOlder(e *serving.Endpoint) bool {
	if e.StartedAt != r.startedAt {
		return e.StartedAt < r.startedAt
	}
	return e.Writes < r.writes || e.Writes == r.writes && r.endpoint == nil
}

// takeUnreadable takes a row that cannot be read: another writer may have left it. It names
// no endpoint to use, whatever stood there before.
func (d *Directory) takeUnreadable(record *endpointRecord, row table.Row, err error, now time.Time) bool {
	was := record.endpoint != nil || record.lapsed != nil
	if was || record.removedAt.IsZero() {
		// Heartbeats of such a writer would fill the log.
		d.log.Error("an endpoint's row cannot be read; the endpoint is not used", "endpoint", row.Key, "version", row.Version, "error", err)
	}
	record.endpoint, record.lapsed, record.trustedUntil = nil, nil, time.Time{}
	record.changed = row.Version
	record.removedAt = now
	return was
}

// startIncarnation notes that a row is of another incarnation than the one before, if it is of another
// than the present one: that knows nothing of before, and its counts begin anew.
func (d *Directory) startIncarnation(record *endpointRecord, e *serving.Endpoint) {
	if record.startedAt == e.StartedAt {
		return
	}
	if record.endpoint != nil {
		d.log.Info("endpoint restarted under its id", "endpoint", string(e.ID), "started_at", e.StartedAt, "before", record.startedAt)
	}
	record.renew(e.StartedAt)
}
