package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxRecords bounds the memory of the list to some 2 MB; it leaves room for the many unrelated
	// requests that run on a rack when it fails, more than two hundred on nine endpoints.
	maxRecords = 4096
	// evictFraction is the divisor for the records that are evicted at a time.
	evictFraction = 8
	// recordTTL is how long a record is kept after its last change: longer than callers retry,
	// and short enough for a repaired engine to get the request again.
	recordTTL = time.Hour
	// clearedTTL is how long a record without crashes is kept, so that the success reaches all
	// nodes.
	clearedTTL = time.Minute
	// TrialDelay is how long a request is quarantined before it may be sent once to find out
	// whether it still crashes endpoints.
	TrialDelay = 30 * time.Second
)

// List has one node's records of requests that crashed endpoints.
type List struct {
	records map[Fingerprint]*entry
	// version counts changes; each entry has the version of its last change.
	version uint64
	served  *recentSuccesses
	// parts has the parts of prompts, which would be evicted by the many whole requests.
	parts *recentParts
}

// entry is a record with its state at this node.
type entry struct {
	Record
	version   uint64
	changedAt time.Time
	// storedCrashes is the number of crashes that the platform's table is known to have,
	// storedTrialUsed whether it has the trial, and hasRow whether it has a row at all.
	storedCrashes   int
	storedTrialUsed bool
	hasRow          bool
}

// NewList returns an empty list.
func NewList() *List {
	return &List{records: map[Fingerprint]*entry{}, served: newRecentSuccesses(maxRecentSuccesses), parts: newRecentParts()}
}

// Len returns the number of records.
func (l *List) Len() int { return len(l.records) }

// Blocked returns the number of blocked records.
func (l *List) Blocked() int {
	n := 0
	for _, e := range l.records {
		if l.blocks(e) {
			n++
		}
	}
	return n
}

// Get returns the record of a fingerprint, if there is one.
func (l *List) Get(f Fingerprint) (Record, bool) {
	e := l.records[f]
	if e == nil {
		return Record{}, false
	}
	return e.clone(), true
}

// RecordCrash records that an incarnation crashed while it ran a request, and reports whether
// that is new.
func (l *List) RecordCrash(f Fingerprint, incarnation Incarnation, now time.Time) bool {
	e := l.entry(f, now)
	if !e.addCrash(Crash{incarnation, now}) {
		return false
	}
	l.touch(e, now)
	return true
}

// RecordSuccess records that a request got a complete response.
func (l *List) RecordSuccess(f Fingerprint, now time.Time) {
	e := l.records[f]
	if e == nil {
		l.served.add(f, now)
		return
	}
	l.markServed(e, now)
}

// markServed records a success in a record.
func (l *List) markServed(e *entry, now time.Time) {
	changed := !e.cleared() || now.Sub(e.Served) > ageTolerance
	e.markServed(now)
	if changed {
		l.touch(e, now)
	}
}

// Blocks reports whether requests with a fingerprint may not be sent.
func (l *List) Blocks(f Fingerprint) bool {
	e := l.records[f]
	return e != nil && l.blocks(e)
}

// StartTrial uses up the trial of a blocked fingerprint, and reports whether the request may be sent.
func (l *List) StartTrial(f Fingerprint, s Subject, now time.Time) bool {
	if !l.TrialAllowed(f, s, now) {
		return false
	}
	e := l.records[f]
	e.TrialUsed = true
	l.touch(e, now)
	return true
}

// Merge adds the records of a peer or of the table, and returns those that became blocked.
func (l *List) Merge(records []Record, now time.Time) []Record {
	var blocked []Record
	for _, r := range records {
		e := l.entry(r.Fingerprint, now)
		before := l.blocks(e)
		if e.merge(r) {
			l.touch(e, now)
		}
		if l.blocks(e) && !before {
			blocked = append(blocked, e.clone())
		}
	}
	return blocked
}

// Changes returns up to limit records that changed after a version, and the version that they
// cover. Half of them are those with the most crashes, the others the oldest changes: ordered by
// crashes alone, a message full of records with two crashes would starve all older changes.
func (l *List) Changes(since uint64, limit int) ([]Record, uint64) {
	if since >= l.version {
		return nil, l.version
	}
	var changed []*entry
	for _, e := range l.records {
		if e.version > since {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), cmp.Compare(a.version, b.version))
	})
	mostCrashes := min(limit/2, len(changed))
	slices.SortFunc(changed[mostCrashes:], func(a, b *entry) int { return cmp.Compare(a.version, b.version) })
	count := min(limit, len(changed))
	until := l.version
	if count < len(changed) {
		until = changed[count].version - 1
	}
	var out []Record
	for _, e := range changed[:count] {
		out = append(out, e.clone())
	}
	return out, until
}

// Expire drops expired records and returns the fingerprints of those that have a row.
func (l *List) Expire(now time.Time) []Fingerprint {
	var rows []Fingerprint
	for f, e := range l.records {
		ttl := recordTTL
		if e.cleared() {
			ttl = clearedTTL
		}
		if now.Sub(e.changedAt) <= ttl {
			continue
		}
		if !e.Served.IsZero() {
			l.rememberSuccess(e)
		}
		if e.hasRow {
			rows = append(rows, f)
		}
		delete(l.records, f)
	}
	return rows
}

// entry returns the entry of a fingerprint, creating it if necessary.
func (l *List) entry(f Fingerprint, now time.Time) *entry {
	e := l.records[f]
	if e != nil {
		return e
	}
	if len(l.records) >= maxRecords {
		l.evict()
	}
	served := l.served.lastServed(f, now)
	if part := l.parts.lastServed(f, now); part.After(served) {
		served = part
	}
	e = &entry{Record: Record{Fingerprint: f, Served: served}, changedAt: now}
	l.records[f] = e
	return e
}

// rememberSuccess keeps the last success of a record that expires.
func (l *List) rememberSuccess(e *entry) {
	if e.Part {
		h := l.parts.get(e.Fingerprint)
		h.served = e.Served
		return
	}
	l.served.add(e.Fingerprint, e.Served)
}

// evict drops the records with the fewest crashes, oldest first, so that a flood of unrelated
// requests does not evict one that has crashed several endpoints.
func (l *List) evict() {
	all := make([]*entry, 0, len(l.records))
	for _, e := range l.records {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(len(a.Crashes), len(b.Crashes)), a.changedAt.Compare(b.changedAt))
	})
	for _, e := range all[:maxRecords/evictFraction] {
		delete(l.records, e.Fingerprint)
	}
}

func (l *List) touch(e *entry, now time.Time) {
	l.version++
	e.version = l.version
	e.changedAt = now
}
