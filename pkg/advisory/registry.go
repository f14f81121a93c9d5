package advisory

import (
	"cmp"
	"slices"
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

const (
	// maxRecords bounds the incarnations of which a Registry knows something.
	maxRecords = 4096
	// tombstoneTTL is how long a limit that has ended is remembered, so that an older report
	// of it does not bring it back.
	tombstoneTTL = time.Minute
)

// Record is the rate limit of one incarnation of an endpoint.
type Record struct {
	Incarnation serving.Incarnation
	RateLimit
}

// Registry is what one node knows of endpoints' rate limits.
type Registry struct {
	records map[serving.Incarnation]*entry
	// version counts changes; each entry has that of its last one.
	version uint64
}

type entry struct {
	RateLimit
	version uint64
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{records: map[serving.Incarnation]*entry{}} }

// Lookup returns what is known of an incarnation; the zero value is without a limit.
func (r *Registry) Lookup(inc serving.Incarnation) RateLimit {
	if e := r.records[inc]; e != nil {
		return e.RateLimit
	}
	return RateLimit{}
}

// RateLimited counts the limits that are in force.
func (r *Registry) RateLimited() int {
	n := 0
	for _, e := range r.records {
		if e.InForce() {
			n++
		}
	}
	return n
}

// Apply takes what an endpoint said, here or to another node, and reports whether the limit
// has changed by it. What is older than what is known is ignored.
func (r *Registry) Apply(inc serving.Incarnation, l RateLimit) (changed bool) {
	e := r.records[inc]
	if e == nil && (!l.InForce() || len(r.records) >= maxRecords) {
		return false
	}
	if e == nil {
		e = &entry{}
		r.records[inc] = e
	} else if !l.At.After(e.At) {
		return false
	}
	changed = e.PerSecond != l.PerSecond
	e.RateLimit = l
	if changed {
		r.version++
		e.version = r.version
	}
	return changed
}

// Changes returns at most a number of the records that have changed after a version, oldest
// change first, and the version up to which these are all.
func (r *Registry) Changes(since uint64, limit int) ([]Record, uint64) {
	var out []Record
	for inc, e := range r.records {
		if e.version > since {
			out = append(out, Record{inc, e.RateLimit})
		}
	}
	slices.SortFunc(out, func(x, y Record) int {
		return cmp.Compare(r.records[x.Incarnation].version, r.records[y.Incarnation].version)
	})
	if len(out) <= limit {
		return out, r.version
	}
	return out[:limit], r.records[out[limit-1].Incarnation].version
}

// Forget drops the incarnations that are over, and limits that ended long ago.
func (r *Registry) Forget(alive func(serving.Incarnation) bool, now time.Time) {
	for inc, e := range r.records {
		if !alive(inc) || !e.InForce() && now.Sub(e.At) > tombstoneTTL {
			delete(r.records, inc)
		}
	}
}

// Age makes all that was said older, as after a suspension of the machine.
func (r *Registry) Age(by time.Duration) {
	for _, e := range r.records {
		e.At = e.At.Add(-by)
	}
}
