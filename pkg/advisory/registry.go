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
	// drainingTTL is how long a draining mark outlasts the last listing of its incarnation: a
	// row may come back from an older copy of the store, or after an outage.
	drainingTTL = 2 * time.Minute
	// tombstoneTTL is how long a limit that has ended is remembered, so that an older report
	// of it does not bring it back.
	tombstoneTTL = time.Minute
)

// Record is what one incarnation of an endpoint said.
type Record struct {
	Incarnation serving.Incarnation
	RateLimit   RateLimit
	// Draining is irreversible.
	Draining bool
}

// Registry is what one node knows of what endpoints said, to it or to other nodes.
type Registry struct {
	records map[serving.Incarnation]*entry
	// version counts changes; each entry has that of its last one.
	version uint64
}

type entry struct {
	limit    RateLimit
	draining bool
	// listed is when the incarnation was last seen in the table, or was first heard of.
	listed  time.Time
	version uint64
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{records: map[serving.Incarnation]*entry{}} }

// Lookup returns the limit of an incarnation; the zero value is without one.
func (r *Registry) Lookup(inc serving.Incarnation) RateLimit {
	if e := r.records[inc]; e != nil {
		return e.limit
	}
	return RateLimit{}
}

// Draining reports whether an incarnation is known to drain.
func (r *Registry) Draining(inc serving.Incarnation) bool {
	e := r.records[inc]
	return e != nil && e.draining
}

// Counts returns how many limits are in force, and how many incarnations drain.
func (r *Registry) Counts() (limited, draining int) {
	for _, e := range r.records {
		if e.limit.InForce() {
			limited++
		}
		if e.draining {
			draining++
		}
	}
	return limited, draining
}

// ApplyLimit takes what an endpoint said of its limit, here or to another node, and reports
// whether the limit has changed by it. What is older than what is known is ignored.
func (r *Registry) ApplyLimit(inc serving.Incarnation, l RateLimit) (changed bool) {
	e := r.records[inc]
	if e == nil && !l.InForce() {
		return false
	}
	if e == nil {
		e = r.add(inc, l.At)
	}
	if e == nil || !l.At.After(e.limit.At) {
		return false
	}
	changed = e.limit.PerSecond != l.PerSecond
	e.limit = l
	if changed {
		r.touch(e)
	}
	return changed
}

// MarkDraining notes that an incarnation drains, and reports whether that is new.
func (r *Registry) MarkDraining(inc serving.Incarnation, now time.Time) (changed bool) {
	e := r.records[inc]
	if e == nil {
		e = r.add(inc, now)
	}
	if e == nil || e.draining {
		return false
	}
	e.draining = true
	r.touch(e)
	return true
}

// add returns a new entry, or nil if there are too many.
func (r *Registry) add(inc serving.Incarnation, now time.Time) *entry {
	if len(r.records) >= maxRecords {
		return nil
	}
	e := &entry{listed: now}
	r.records[inc] = e
	return e
}

// touch gives an entry the version of a change.
func (r *Registry) touch(e *entry) {
	r.version++
	e.version = r.version
}

// Changes returns at most a number of the records that have changed after a version, oldest
// change first, and the version up to which these are all.
func (r *Registry) Changes(since uint64, limit int) ([]Record, uint64) {
	var out []Record
	for inc, e := range r.records {
		if e.version > since {
			out = append(out, Record{inc, e.limit, e.draining})
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

// Forget drops what is over, by the incarnations that are listed: limits of others, limits
// that ended long ago, and draining marks of incarnations that were replaced or are long gone.
func (r *Registry) Forget(listed func(serving.EndpointID) (startedAt int64, ok bool), now time.Time) {
	for inc, e := range r.records {
		startedAt, ok := listed(inc.ID)
		replaced := ok && startedAt > inc.StartedAt
		if ok && !replaced {
			e.listed = now
		}
		limitOver := !ok || !e.limit.InForce() && now.Sub(e.limit.At) > tombstoneTTL
		drainingOver := !e.draining || now.Sub(e.listed) > drainingTTL
		if replaced || limitOver && drainingOver {
			delete(r.records, inc)
			continue
		}
		if !ok {
			e.limit = RateLimit{}
		}
	}
}

// Backdate makes all statements older, as after a suspension of the machine.
func (r *Registry) Backdate(by time.Duration) {
	for _, e := range r.records {
		e.limit.At = e.limit.At.Add(-by)
		e.listed = e.listed.Add(-by)
	}
}
