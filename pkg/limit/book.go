package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

const (
	// mostRecords bounds the lives of which a Book knows a limit.
	mostRecords = 4096
	// endedFor is how long a limit that has ended is remembered, so that word of it that
	// is older than its end does not bring it back.
	endedFor = time.Minute
)

// Record is the limit of one life of an endpoint.
type Record struct {
	Life serving.Life
	Limit
}

// Book is what one node knows of endpoints' limits.
type Book struct {
	records map[serving.Life]*entry
	// version counts changes; each entry has that of its last one.
	version uint64
}

type entry struct {
	Limit
	version uint64
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{records: map[serving.Life]*entry{}} }

// Get returns what is known of a life; the zero value is without a limit.
func (b *Book) Get(life serving.Life) Limit {
	if e := b.records[life]; e != nil {
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
func (b *Book) Note(life serving.Life, l Limit) (changed bool) {
	e := b.records[life]
	if e == nil && (!l.InForce() || len(b.records) >= mostRecords) {
		return false
	}
	if e == nil {
		e = &entry{}
		b.records[life] = e
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
	for life, e := range b.records {
		if e.version > since {
			out = append(out, Record{life, e.Limit})
		}
	}
	slices.SortFunc(out, func(x, y Record) int { return cmp.Compare(b.records[x.Life].version, b.records[y.Life].version) })
	if len(out) <= most {
		return out, b.version
	}
	return out[:most], b.records[out[most-1].Life].version
}

// Forget drops the lives that are over, and limits that ended long ago.
func (b *Book) Forget(lives func(serving.Life) bool, now time.Time) {
	for life, e := range b.records {
		if !lives(life) || !e.InForce() && now.Sub(e.At) > endedFor {
			delete(b.records, life)
		}
	}
}

// Age makes all that was said older, as after a suspension of the machine.
func (b *Book) Age(by time.Duration) {
	for _, e := range b.records {
		e.At = e.At.Add(-by)
	}
}
