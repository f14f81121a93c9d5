package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxRecords bounds the records: with the contents that were served lately they take
	// 1.8 MB (TestAFloodStaysWithinItsBounds). A rack of nine endpoints that fails leaves
	// 234 of requests that merely ran there.
	maxRecords = 4096
	// evictPart is the part of the records that makes room at once.
	evictPart = 8
	// keepFor is how long after its last end a record is kept: longer than a caller
	// tries, and short enough for a repaired engine to serve what ended it.
	keepFor = time.Hour
	// clearedFor is how long a record is kept whose requests were served since: until
	// all nodes have heard of that.
	clearedFor = time.Minute
	// TrialDelay is how long a request is in quarantine before one may be sent to see whether
	// it still crashes endpoints.
	TrialDelay = 30 * time.Second
)

// List is what one node knows of requests that ended endpoints.
type List struct {
	records map[Fingerprint]*entry
	// version counts changes; each entry has that of its last one.
	version uint64
	served  *recent
}

// entry is a record with what this node has done about it.
type entry struct {
	Record
	version uint64
	// changedAt is when the record last changed.
	changedAt time.Time
	// stored is how many ends the platform's table is known to have, and storedTried
	// whether it has the trial; inTable is set while a row stands there.
	stored      int
	storedTried bool
	inTable     bool
}

// NewList returns an empty list.
func NewList() *List {
	return &List{records: map[Fingerprint]*entry{}, served: newRecent(servedKept)}
}

// Len returns the number of records.
func (l *List) Len() int { return len(l.records) }

// Blocked counts the records whose requests are not sent.
func (l *List) Blocked() int {
	n := 0
	for _, e := range l.records {
		if e.Blocked() {
			n++
		}
	}
	return n
}

// Get returns what is known of a content; false means nothing.
func (l *List) Get(f Fingerprint) (Record, bool) {
	e := l.records[f]
	if e == nil {
		return Record{}, false
	}
	return e.clone(), true
}

// RecordCrash records that an endpoint's incarnation crashed while it ran a request, and
// reports whether this was unknown.
func (l *List) RecordCrash(f Fingerprint, incarnation Incarnation, now time.Time) bool {
	e := l.entry(f, now)
	if !e.addEnd(Crash{incarnation, now}) {
		return false
	}
	l.changed(e, now)
	return true
}

// RecordSuccess records that a request was answered completely.
func (l *List) RecordSuccess(f Fingerprint, now time.Time) {
	e := l.records[f]
	if e == nil {
		l.served.note(f, now)
		return
	}
	news := !e.cleared() || now.Sub(e.Served) > ageSlack
	e.serve(now)
	if news {
		l.changed(e, now)
	}
}

// TrialAllowed reports whether a blocked request may be sent once.
func (l *List) TrialAllowed(f Fingerprint, now time.Time) bool {
	e := l.records[f]
	return e != nil && !e.TrialUsed && now.Sub(e.lastEnd()) >= TrialDelay
}

// StartTrial records that a blocked request is sent, and reports whether it may be.
func (l *List) StartTrial(f Fingerprint, now time.Time) bool {
	if !l.TrialAllowed(f, now) {
		return false
	}
	e := l.records[f]
	e.TrialUsed = true
	l.changed(e, now)
	return true
}

// Merge adds what another node or the table knows, and returns the records that became
// blocked by it.
func (l *List) Merge(records []Record, now time.Time) []Record {
	var blocked []Record
	for _, r := range records {
		e := l.entry(r.Fingerprint, now)
		before := e.Blocked()
		if e.merge(r) {
			l.changed(e, now)
		}
		if e.Blocked() && !before {
			blocked = append(blocked, e.clone())
		}
	}
	return blocked
}

// Changes returns at most a number of the records that have changed after a version, and
// the version up to which no other has. Half of them are those with most ends, the others
// those that changed first: told by their ends alone, as many as one message holds that
// have two ends keep all older news from being told, and are told again each time.
func (l *List) Changes(since uint64, most int) ([]Record, uint64) {
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
	worst := min(most/2, len(changed))
	slices.SortFunc(changed[worst:], func(a, b *entry) int { return cmp.Compare(a.version, b.version) })
	told := min(most, len(changed))
	until := l.version
	if told < len(changed) {
		until = changed[told].version - 1
	}
	var out []Record
	for _, e := range changed[:told] {
		out = append(out, e.clone())
	}
	return out, until
}

// Expire drops the records that are over and returns those of which the table has a row.
func (l *List) Expire(now time.Time) []Fingerprint {
	var rows []Fingerprint
	for f, e := range l.records {
		keep := keepFor
		if e.cleared() {
			keep = clearedFor
		}
		if now.Sub(e.changedAt) <= keep {
			continue
		}
		if !e.Served.IsZero() {
			l.served.note(f, e.Served)
		}
		if e.inTable {
			rows = append(rows, f)
		}
		delete(l.records, f)
	}
	return rows
}

// entry returns the entry of a content, a new one if there is none.
func (l *List) entry(f Fingerprint, now time.Time) *entry {
	e := l.records[f]
	if e != nil {
		return e
	}
	if len(l.records) >= maxRecords {
		l.evict()
	}
	e = &entry{Record: Record{Fingerprint: f, Served: l.served.at(f, now)}, changedAt: now}
	l.records[f] = e
	return e
}

// evict makes room: those that were served since, then those with the fewest ends go
// first, the oldest of them before others. A flood of requests that merely ran somewhere
// pushes out none that has ended several endpoints.
func (l *List) evict() {
	all := make([]*entry, 0, len(l.records))
	for _, e := range l.records {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(len(a.Crashes), len(b.Crashes)), a.changedAt.Compare(b.changedAt))
	})
	for _, e := range all[:maxRecords/evictPart] {
		delete(l.records, e.Fingerprint)
	}
}

func (l *List) changed(e *entry, now time.Time) {
	l.version++
	e.version = l.version
	e.changedAt = now
}
