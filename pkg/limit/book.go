package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

const (
	// mostRecords bounds the incarnations of which a Book knows a limit.
	mostRecords = 4096
	// endedFor is how long a limit that has ended is remembered, so that word of it that
	// is older than its end does not bring it back.
	endedFor = time.Minute
)

// Record is the limit of one incarnation of an endpoint.
type Record struct {
	Life serving.Incarnation
	Limit
}

// Book is what one node knows of endpoints' limits.
type Book struct {
	records map[serving.Incarnation]*entry
	// version counts changes; each entry has that of its last one.
	version uint64
}

type entry struct {
	Limit
	version uint64
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{records: map[serving.Incarnation]*entry{}} }

// Get returns what is known of an incarnation; the zero value is without a limit.
func (b *Book) Get(incarnation serving.Incarnation) Limit {
	if e := b.records[incarnation]; e != nil {
		return e.Limit
	}
	return Limit{}
}

// InForce counts the limits that are in force.
func (b *Book) InForce() int {
	n := 0
	for _, e := range b.records {
		if e.InForce() {
			n++
		}
	}
	return n
}

// Note takes what an endpoint said, here or to another node, and reports whether the limit
// has changed by it. What is older than what is known says nothing.
func (b *Book) Note(incarnation serving.Incarnation, l Limit) (changed bool) {
	e := b.records[incarnation]
	if e == nil && (!l.InForce() || len(b.records) >= mostRecords) {
		return false
	}
	if e == nil {
		e = &entry{}
		b.records[incarnation] = e
	} else if !l.At.After(e.At) {
		return false
	}
	changed = e.PerSecond != l.PerSecond
	e.Limit = l
	if changed {
		b.version++
		e.version = b.version
	}
	return changed
}

// Changes returns at most a number of the limits that have changed after a version, those
// that changed first first, and the version up to which no other has.
func (b *Book) Changes(since uint64, most int) ([]Record, uint64) {
	var out []Record
	for incarnation, e := range b.records {
		if e.version > since {
			out = append(out, Record{incarnation, e.Limit})
		}
	}
	slices.SortFunc(out, func(x, y Record) int { return cmp.Compare(b.records[x.Life].version, b.records[y.Life].version) })
	if len(out) <= most {
		return out, b.version
	}
	return out[:most], b.records[out[most-1].Life].version
}

// Forget drops the incarnations that are over, and limits that ended long ago.
func (b *Book) Forget(incarnations func(serving.Incarnation) bool, now time.Time) {
	for incarnation, e := range b.records {
		if !incarnations(incarnation) || !e.InForce() && now.Sub(e.At) > endedFor {
			delete(b.records, incarnation)
		}
	}
}

// Age makes all that was said older, as after a suspension of the machine.
func (b *Book) Age(by time.Duration) {
	for _, e := range b.records {
		e.At = e.At.Add(-by)
	}
}
