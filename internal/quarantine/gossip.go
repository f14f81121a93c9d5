package quarantine

import (
	"time"

	"github.com/ridgehinge/ridgehinge/internal/clock"
	"github.com/ridgehinge/ridgehinge/internal/delta"
	"github.com/ridgehinge/ridgehinge/internal/peers/quarantinepb"
	qlist "github.com/ridgehinge/ridgehinge/pkg/quarantine"
)

// maxDeltaRecords bounds the records in one message, and with them its size.
const maxDeltaRecords = 64

// Delta returns the records that a peer lacks and acknowledges those received from it. It
// returns nil if there is nothing to send.
func (q *Quarantine) Delta(c *delta.Cursor, now time.Time) *quarantinepb.News {
	records, version := q.EncodedChanges(c.Acked(), now)
	if version == 0 && c.Received() == 0 {
		return nil
	}
	return &quarantinepb.News{Records: records, Version: version, Seen: c.Received()}
}

// EncodedChanges returns up to maxDeltaRecords records that changed after a version, and the version
// that they cover.
func (q *Quarantine) EncodedChanges(since uint64, now time.Time) ([]*quarantinepb.Record, uint64) {
	records, version := q.Changes(since, maxDeltaRecords)
	return toWire(records, now), version
}

// MergeEncoded merges records from a peer; source names it in the log.
func (q *Quarantine) MergeEncoded(records []*quarantinepb.Record, source string, now time.Time) {
	q.Merge(fromWire(records, now), source, now)
}

// ApplyDelta merges records from a peer; source names it in the log.
func (q *Quarantine) ApplyDelta(c *delta.Cursor, d *quarantinepb.News, source string, now time.Time) {
	q.MergeEncoded(d.GetRecords(), source, now)
	c.Advance(d.GetVersion(), d.GetSeen())
}

func toWire(records []qlist.Record, now time.Time) []*quarantinepb.Record {
	var out []*quarantinepb.Record
	for _, r := range records {
		record := &quarantinepb.Record{Fingerprint: r.Fingerprint[:], Tried: r.TrialUsed, Part: r.Part}
		for _, crash := range r.Crashes {
			record.Ends = append(record.Ends, &quarantinepb.IncarnationEnd{Incarnation: uint64(crash.Incarnation), AgeMs: clock.AgeMillis(crash.At, now)})
		}
		if !r.Served.IsZero() {
			age := clock.AgeMillis(r.Served, now)
			record.ServedAgeMs = &age
		}
		out = append(out, record)
	}
	return out
}

// fromWire is the reverse of toWire. Records with an invalid fingerprint are dropped.
func fromWire(records []*quarantinepb.Record, now time.Time) []qlist.Record {
	var out []qlist.Record
	for _, record := range records {
		r := qlist.Record{TrialUsed: record.GetTried(), Part: record.GetPart()}
		if copy(r.Fingerprint[:], record.GetFingerprint()) != len(r.Fingerprint) {
			continue
		}
		for _, crash := range record.GetEnds() {
			r.Crashes = append(r.Crashes, qlist.Crash{Incarnation: qlist.Incarnation(crash.GetIncarnation()), At: clock.FromAgeMillis(crash.GetAgeMs(), now)})
		}
		if record.ServedAgeMs != nil {
			r.Served = clock.FromAgeMillis(record.GetServedAgeMs(), now)
		}
		out = append(out, r)
	}
	return out
}
