// Package quarantine stops requests that crash the endpoints that run them. It detects crashes,
// attributes them to requests, and merges the records of all nodes. The rules are in
// pkg/quarantine; this package adds locking, logging and the crash probes.
package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/logging"
	qlist "github.com/ridgehinge/ridgehinge/pkg/quarantine"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Quarantine keeps this node's records of requests that crashed endpoints. It is safe for
// concurrent use.
type Quarantine struct {
	log logging.Logger
	// trialAllowed reports whether this node is the one that sends trial requests, to find
	// out whether a quarantined request still crashes endpoints.
	trialAllowed func() bool
	// onChange is called when records were added; it must not block and not call the Quarantine.
	onChange func()
	// recordCount is the number of records, so that requests take no lock while there are none.
	recordCount atomic.Int64

	mu   sync.Mutex
	list *qlist.List
}

// NewQuarantine returns an empty quarantine. trialAllowed reports whether this node is the one
// that sends trial requests.
func NewQuarantine(trialAllowed func() bool) *Quarantine {
	return &Quarantine{log: logging.For("quarantine"), trialAllowed: trialAllowed, list: qlist.NewList(), onChange: func() {}}
}

// SetOnChange sets a function that is called when records were added. It must be set before the
// quarantine is used, must not block and must not call it.
func (q *Quarantine) SetOnChange(onChange func()) { q.onChange = onChange }

// Allowed reports whether a request with this subject may be sent now, and returns the record that
// keeps it from being sent. BeginAttempt checks again once an endpoint is chosen.
func (q *Quarantine) Allowed(s qlist.Subject, now time.Time) (qlist.Record, bool) {
	if q.recordCount.Load() == 0 {
		return qlist.Record{}, true
	}
	q.mu.Lock()
	blocked := q.blocked(s)
	trialAllowed := !slices.ContainsFunc(blocked, func(r qlist.Record) bool { return !q.list.TrialAllowed(r.Fingerprint, s, now) })
	q.mu.Unlock()
	if len(blocked) == 0 {
		return qlist.Record{}, true
	}
	return blocked[0], trialAllowed && q.trialAllowed()
}

// Record returns the record of a fingerprint, an empty one if there is none.
func (q *Quarantine) Record(f qlist.Fingerprint) qlist.Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	r, _ := q.list.Get(f)
	return r
}

// blocked returns the records that keep a request from being sent, that of a part first; the caller
// holds the lock.
func (q *Quarantine) blocked(s qlist.Subject) []qlist.Record {
	var out []qlist.Record
	for _, f := range q.blockedFingerprints(s) {
		r, _ := q.list.Get(f)
		out = append(out, r)
	}
	return out
}

// blockedFingerprints returns the fingerprints of the records that blocked returns; the caller holds the
// lock.
func (q *Quarantine) blockedFingerprints(s qlist.Subject) []qlist.Fingerprint {
	return slices.DeleteFunc(s.Fingerprints(), func(f qlist.Fingerprint) bool { return !q.list.Blocks(f) })
}

// BeginAttempt reports whether an allowed request may be sent, and uses up the trial of a
// quarantined one. It is separate from Allowed so that a request that finds all groups full
// does not use up the trial without being sent.
func (q *Quarantine) BeginAttempt(s qlist.Subject, now time.Time) bool {
	if q.recordCount.Load() == 0 && len(s.Parts) == 0 {
		return true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	blocked := q.blocked(s)
	for _, r := range blocked {
		if !q.list.TrialAllowed(r.Fingerprint, s, now) {
			return false
		}
	}
	for _, r := range blocked {
		q.list.StartTrial(r.Fingerprint, s, now)
		q.log.Info("sending a trial request from quarantine", "content", r.Fingerprint, "part", r.Part, "ends", len(r.Crashes))
	}
	q.list.RecordSent(s.Parts)
	return true
}

// crashedBefore reports whether a record of a subject has a crash of an incarnation before a time.
func (q *Quarantine) crashedBefore(s qlist.Subject, incarnation qlist.Incarnation, at time.Time) bool {
	if q.recordCount.Load() == 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.ContainsFunc(s.Fingerprints(), func(f qlist.Fingerprint) bool {
		r, _ := q.list.Get(f)
		return slices.ContainsFunc(r.Crashes, func(crash qlist.Crash) bool { return crash.Incarnation == incarnation && crash.At.Before(at) })
	})
}

// blockedAfterNextCrash reports whether one more crash would quarantine a request.
func (q *Quarantine) blockedAfterNextCrash(s qlist.Subject, now time.Time) bool {
	if q.recordCount.Load() == 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.ContainsFunc(s.Fingerprints(), func(f qlist.Fingerprint) bool {
		r, _ := q.list.Get(f)
		return r.BlockedAfterNextCrash(now)
	})
}

// RecordSuccess records that a request got a complete response.
func (q *Quarantine) RecordSuccess(s qlist.Subject, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list.RecordSuccess(s.Content, now)
	q.list.RecordPartSuccess(s.Parts, now)
}

// RecordPartSuccess records that an endpoint has responded to a prompt with these parts and goes on.
func (q *Quarantine) RecordPartSuccess(parts []qlist.Fingerprint, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list.RecordPartSuccess(parts, now)
}

// addCrash records that an incarnation crashed while it ran a request.
func (q *Quarantine) addCrash(s qlist.Subject, incarnation qlist.Incarnation, endpoint serving.EndpointID, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	before := q.blockedFingerprints(s)
	changed := q.list.RecordPartCrash(s.Parts, incarnation, now)
	if q.list.RecordCrash(s.Content, incarnation, now) {
		changed = append(changed, s.Content)
	}
	q.recordCount.Store(int64(q.list.Len()))
	q.onChange()
	for _, f := range changed {
		if q.list.Blocks(f) && !slices.Contains(before, f) {
			r, _ := q.list.Get(f)
			q.logBlocked(r, "endpoint "+string(endpoint), now)
		}
	}
}

// logBlocked logs that a fingerprint was quarantined, with the source of the last record.
func (q *Quarantine) logBlocked(r qlist.Record, source string, now time.Time) {
	q.log.Warn("quarantined a request", "content", r.Fingerprint, "part", r.Part, "ends", len(r.Crashes), "first_age", now.Sub(r.Crashes[0].At), "word", source)
}

// Merge adds the records of a peer or of the table; source names it in the log.
func (q *Quarantine) Merge(records []qlist.Record, source string, now time.Time) {
	if len(records) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range q.list.Merge(records, now) {
		q.logBlocked(r, source, now)
	}
	q.recordCount.Store(int64(q.list.Len()))
	q.onChange()
}

// Changes returns up to limit records that changed after a version, and the version that they
// cover.
func (q *Quarantine) Changes(since uint64, limit int) ([]qlist.Record, uint64) {
	if q.recordCount.Load() == 0 {
		return nil, since
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.Changes(since, limit)
}

// Unstored returns up to limit records with at least minCrashes that are to be written to the
// platform's table, and the fingerprints of rows that are to be removed.
func (q *Quarantine) Unstored(minCrashes, limit int) (write []qlist.Record, remove []qlist.Fingerprint) {
	if q.recordCount.Load() == 0 {
		return nil, nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.Unstored(minCrashes, limit)
}

// MarkStored records which rows the platform's table has, and which were removed.
func (q *Quarantine) MarkStored(stored []qlist.Record, removed []qlist.Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list.MarkStored(stored)
	q.list.MarkRemoved(removed)
}

// MarkAllUnstored records that the platform's table may have lost all rows.
func (q *Quarantine) MarkAllUnstored() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list.MarkAllUnstored()
}

// Expire drops expired records and returns the fingerprints of those that have a row.
func (q *Quarantine) Expire(now time.Time) []qlist.Fingerprint {
	q.mu.Lock()
	defer q.mu.Unlock()
	rows := q.list.Expire(now)
	q.recordCount.Store(int64(q.list.Len()))
	return rows
}

// Counts returns the number of fingerprints with crashes, and how many of them are quarantined.
func (q *Quarantine) Counts() (known, blocked int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.Len(), q.list.Blocked()
}
