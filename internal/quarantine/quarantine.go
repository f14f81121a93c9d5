// Package quarantine keeps requests that end the endpoints that run them from being sent on: it
// finds out which endpoints have ended under requests, and keeps what all nodes know of
// these in a quarantine. What decides is pkg/quarantine; this package adds a lock, the log
// and the dials.
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

// Quarantine is what this node knows of requests that end the endpoints that run them. It
// is safe for concurrent use.
type Quarantine struct {
	log logging.Logger
	// mayTry reports whether this node is the one that sends a request from quarantine
	// to see whether it still ends endpoints.
	mayTry func() bool
	// known is the number of records, so that requests take no lock while there are none.
	known atomic.Int64

	mu   sync.Mutex
	list *qlist.List
}

// NewQuarantine returns an empty quarantine. mayTry reports whether this node is the one
// of all that tries requests that are in it.
func NewQuarantine(mayTry func() bool) *Quarantine {
	return &Quarantine{log: logging.For("quarantine"), mayTry: mayTry, list: qlist.NewList()}
}

// Allowed reports whether a request with this fingerprint may be sent now, and if not what is
// known of it. BeginAttempt asks again once an endpoint is chosen.
func (q *Quarantine) Allowed(f qlist.Fingerprint, now time.Time) (qlist.Record, bool) {
	if q.known.Load() == 0 {
		return qlist.Record{}, true
	}
	q.mu.Lock()
	r, _ := q.list.Get(f)
	mayTry := q.list.TrialAllowed(f, now)
	q.mu.Unlock()
	return r, !r.Blocked() || mayTry && q.mayTry()
}

// BeginAttempt reports whether an allowed request may be sent, and uses up the trial of a
// quarantined one. It is separate from Allowed so that a request that finds all groups full
// does not use up the trial without being sent.
func (q *Quarantine) BeginAttempt(f qlist.Fingerprint, now time.Time) bool {
	if q.known.Load() == 0 {
		return true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	r, _ := q.list.Get(f)
	if !r.Blocked() {
		return true
	}
	if !q.list.StartTrial(f, now) {
		return false
	}
	q.log.Info("a request is sent from quarantine, once", "content", f, "ends", len(r.Crashes))
	return true
}

// endedBefore reports whether an incarnation is known to have ended under requests of some content
// before a moment.
func (q *Quarantine) endedBefore(f qlist.Fingerprint, incarnation qlist.Incarnation, at time.Time) bool {
	if q.known.Load() == 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	r, _ := q.list.Get(f)
	return slices.ContainsFunc(r.Crashes, func(end qlist.Crash) bool { return end.Incarnation == incarnation && end.At.Before(at) })
}

// isBlockedByOneMore reports whether requests of some content are not sent any more once
// they have ended one more endpoint.
func (q *Quarantine) isBlockedByOneMore(f qlist.Fingerprint, now time.Time) bool {
	if q.known.Load() == 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	r, _ := q.list.Get(f)
	return r.BlockedAfterNextCrash(now)
}

// RecordSuccess records that a request was answered completely.
func (q *Quarantine) RecordSuccess(f qlist.Fingerprint, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list.RecordSuccess(f, now)
}

// ended notes that an endpoint's incarnation has ended while it ran a request.
func (q *Quarantine) ended(f qlist.Fingerprint, incarnation qlist.Incarnation, endpoint serving.EndpointID, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	before, _ := q.list.Get(f)
	if !q.list.RecordCrash(f, incarnation, now) {
		return
	}
	q.known.Store(int64(q.list.Len()))
	r, _ := q.list.Get(f)
	if r.Blocked() && !before.Blocked() {
		q.logBlocked(r, "endpoint "+string(endpoint), now)
	}
}

// logBlocked logs that requests of some content are not sent any more, by whose word.
func (q *Quarantine) logBlocked(r qlist.Record, word string, now time.Time) {
	q.log.Warn("a request is in quarantine", "content", r.Fingerprint, "ends", len(r.Crashes), "first_age", now.Sub(r.Crashes[0].At), "word", word)
}

// Merge adds the records of another node or of the table.
func (q *Quarantine) Merge(records []qlist.Record, word string, now time.Time) {
	if len(records) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range q.list.Merge(records, now) {
		q.logBlocked(r, word, now)
	}
	q.known.Store(int64(q.list.Len()))
}

// Changes returns at most a number of records that have changed after a version, and the
// version up to which these are all.
func (q *Quarantine) Changes(since uint64, most int) ([]qlist.Record, uint64) {
	if q.known.Load() == 0 {
		return nil, since
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.Changes(since, most)
}

// Unstored returns at most a number of records with so many ends that the platform's table
// is to hold, and which of its rows are over.
func (q *Quarantine) Unstored(ends, most int) (write []qlist.Record, remove []qlist.Fingerprint) {
	if q.known.Load() == 0 {
		return nil, nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.Unstored(ends, most)
}

// MarkStored records which rows the platform's table holds, and which it no longer has.
func (q *Quarantine) MarkStored(held []qlist.Record, removed []qlist.Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list.MarkStored(held)
	q.list.MarkRemoved(removed)
}

// MarkAllUnstored records that the platform's table may have lost all its rows.
func (q *Quarantine) MarkAllUnstored() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list.MarkAllUnstored()
}

// Expire drops what is over and returns of what the table has a row.
func (q *Quarantine) Expire(now time.Time) []qlist.Fingerprint {
	q.mu.Lock()
	defer q.mu.Unlock()
	rows := q.list.Expire(now)
	q.known.Store(int64(q.list.Len()))
	return rows
}

// Counts returns how many contents are known to have ended endpoints, and how many of them
// are not sent.
func (q *Quarantine) Counts() (known, blocked int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.Len(), q.list.Blocked()
}
