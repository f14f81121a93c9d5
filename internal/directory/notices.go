package directory

import (
	"time"

	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// A row that takes an endpoint out of service is a notice: it is sent to other nodes at once, ahead of
// the other rows that changed with it.

// noticeTTL is how long a notice is kept for streams that have not sent it yet.
const noticeTTL = 10 * time.Second

// echoMargin is how much newer than this node's own read what a peer knows must be to count as the read of
// another node: peers tell this node of its own reads too, whose age lacks the time on the way.
const echoMargin = 150 * time.Millisecond

// notice is an entry of the log of notices.
type notice struct {
	number     uint64
	id         serving.EndpointID
	recordedAt time.Time
	// own is set if this node read the row from the store itself.
	own bool
}

// SetOnNotice sets a function that is called when there is a new notice, evacuation or configuration. It
// must be set before the directory is used, must not block and must not call the directory.
func (d *Directory) SetOnNotice(onNotice func()) { d.onNotice = onNotice }

// leaving reports whether the last row of an endpoint takes it out of service.
func (r *endpointRecord) leaving() bool {
	return r.endpoint == nil && r.graceUntil.IsZero() || r.endpoint != nil && r.endpoint.Draining
}

// recordNotice appends a notice to the log; the caller holds d.mu.
func (d *Directory) recordNotice(id serving.EndpointID, own bool, now time.Time) {
	d.noticeNumber++
	for len(d.notices) > 0 && now.Sub(d.notices[0].recordedAt) > noticeTTL {
		d.notices = d.notices[1:]
	}
	d.notices = append(d.notices, notice{d.noticeNumber, id, now, own})
	d.onNotice()
}

// Notices returns the rows of the notices after a number, and the number of the last one. With ownOnly
// it returns only those that this node read from the store itself.
func (d *Directory) Notices(after uint64, ownOnly bool) (rows []table.Row, last uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.noticeNumber == after {
		return nil, after
	}
	seen := map[serving.EndpointID]bool{}
	for i := len(d.notices) - 1; i >= 0 && d.notices[i].number > after; i-- {
		n := d.notices[i]
		record := d.endpoints[n.id]
		if seen[n.id] || ownOnly && !n.own || record == nil || !record.leaving() {
			continue
		}
		seen[n.id] = true
		rows = append(rows, record.row)
	}
	return rows, d.noticeNumber
}

// NoticesSince returns the rows that changed after a version of the table and take their endpoints out of
// service, and the number of the last notice.
func (d *Directory) NoticesSince(version uint64) (rows []table.Row, last uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, record := range d.endpoints {
		if record.changedVersion > version && record.leaving() {
			rows = append(rows, record.row)
		}
	}
	return rows, d.noticeNumber
}

// ApplyNotices applies notices of a peer that knew the whole table at a time, zero if that is not known.
// They do not change up to which version the table is known here.
func (d *Directory) ApplyNotices(u Update, knownAt, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordKnown(knownAt, now)
	if knownAt.After(d.readAt.Add(echoMargin)) && knownAt.After(d.peersKnownAt) {
		d.peersKnownAt = knownAt
	}
	if len(u.Rows) == 0 {
		return
	}
	if d.tableVersion == 0 {
		// Endpoints that leave, and no others, would look like the whole table.
		d.earlyNotices = append(d.earlyNotices, u)
		return
	}
	d.applyNotices(u, now)
}

// applyNotices applies notices to a known table; the caller holds d.mu.
func (d *Directory) applyNotices(u Update, now time.Time) {
	changed := false
	for _, row := range u.Rows {
		if table.Era(row.Version) >= table.Era(d.tableVersion) {
			changed = d.applyRow(row, u.origin(row.Key, now), now) || changed
		}
	}
	if changed {
		d.markStale()
	}
}

// applyEarlyNotices applies the notices that arrived before the table was known; the caller holds d.mu.
func (d *Directory) applyEarlyNotices(now time.Time) {
	if d.tableVersion == 0 {
		return
	}
	for _, u := range d.earlyNotices {
		d.applyNotices(u, now)
	}
	d.earlyNotices = nil
}

// RecordRead records a complete read of the endpoint table, or of its changes, that started at a time.
func (d *Directory) RecordRead(startedAt, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordKnown(startedAt, now)
	d.readAt = startedAt
}

// recordKnown records that the notices of the table are known as of a time; the caller holds d.mu.
func (d *Directory) recordKnown(at, now time.Time) {
	if !at.After(d.noticesKnownAt) {
		return
	}
	if gap := at.Sub(d.noticesKnownAt); !d.noticesKnownAt.IsZero() && gap > minGap {
		d.recordGap(gap, false, now)
	}
	d.noticesKnownAt = at
}

// recordGap records that updates of the endpoint table have resumed after a gap; the caller holds d.mu.
func (d *Directory) recordGap(gap time.Duration, restored bool, now time.Time) {
	d.resumedAt = now
	d.log.Info("table updates resumed", "table", d.codec.EndpointTable, "after", gap, "version", d.tableVersion, "older_copy", restored)
}

// NoticesKnownAt returns the time as of which the notices of the table are known here, zero if none are.
func (d *Directory) NoticesKnownAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.noticesKnownAt
}

// PeersKnownAt returns the time as of which peers know the notices of the table, if they know more than this
// node has read itself. It does not advance while only this node reads.
func (d *Directory) PeersKnownAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.peersKnownAt
}

// LeavingLearnedAt returns when a node first read the row that takes an endpoint out of service; ok
// is false if no such row is known.
func (d *Directory) LeavingLearnedAt(key string) (at time.Time, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	record := d.endpoints[serving.EndpointID(key)]
	if record == nil || !record.leaving() || record.learnedAt.IsZero() {
		return time.Time{}, false
	}
	return record.learnedAt, true
}
