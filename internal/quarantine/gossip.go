package quarantine

import (
	"time"

	"github.com/ridgehinge/ridgehinge/internal/clock"
	"github.com/ridgehinge/ridgehinge/internal/delta"
	"github.com/ridgehinge/ridgehinge/internal/peers/quarantinepb"
	qlist "github.com/ridgehinge/ridgehinge/pkg/quarantine"
)

// maxDeltaRecords bounds the records of one message, and its bytes (TestDelta_BytesOfQuarantineRecords).
const maxDeltaRecords = 64

// Delta returns what the peer has not heard yet, and what this node has heard of it; nil is
// nothing, which takes no byte of a message.
func (q *Quarantine) Delta(l *delta.Cursor, now time.Time) *quarantinepb.News {
	records, version := q.Changes(l.Acked(), maxDeltaRecords)
	if version == 0 && l.Received() == 0 {
		return nil
	}
	return &quarantinepb.News{Records: toWire(records, now), Version: version, Seen: l.Received()}
}

// ApplyDelta merges what a peer tells, by whose word.
func (q *Quarantine) ApplyDelta(l *delta.Cursor, told *quarantinepb.News, word string, now time.Time) {
	q.Merge(fromWire(told.GetRecords(), now), word, now)
	l.Advance(told.GetVersion(), told.GetSeen())
}

func toWire(records []qlist.Record, now time.Time) []*quarantinepb.Record {
	var out []*quarantinepb.Record
	for _, r := range records {
		told := &quarantinepb.Record{Fingerprint: r.Fingerprint[:], Tried: r.TrialUsed}
		for _, end := range r.Crashes {
			told.Ends = append(told.Ends, &quarantinepb.IncarnationEnd{Incarnation: uint64(end.Incarnation), AgeMs: clock.AgeMillis(end.At, now)})
		}
		if !r.Served.IsZero() {
			age := clock.AgeMillis(r.Served, now)
			told.ServedAgeMs = &age
		}
		out = append(out, told)
	}
	return out
}

// fromWire is the reverse of toWire. What has no fingerprint says nothing of any request.
func fromWire(told []*quarantinepb.Record, now time.Time) []qlist.Record {
	var out []qlist.Record
	for _, t := range told {
		r := qlist.Record{TrialUsed: t.GetTried()}
		if copy(r.Fingerprint[:], t.GetFingerprint()) != len(r.Fingerprint) {
			continue
		}
		for _, end := range t.GetEnds() {
			r.Crashes = append(r.Crashes, qlist.Crash{Incarnation: qlist.Incarnation(end.GetIncarnation()), At: clock.FromAgeMillis(end.GetAgeMs(), now)})
		}
		if t.ServedAgeMs != nil {
			r.Served = clock.FromAgeMillis(t.GetServedAgeMs(), now)
		}
		out = append(out, r)
	}
	return out
}
