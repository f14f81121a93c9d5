package advisory

import (
	"cmp"
	"slices"
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

const (
	// maxRecords bounds the incarnations in a Registry.
	maxRecords = 4096
	// drainingTTL is how long a draining mark is kept after its incarnation was last listed; the
	// row may reappear after a store outage or a restore from an older copy.
	drainingTTL = 2 * time.Minute
	// tombstoneTTL is how long a cleared limit is remembered, so that a stale report does not
	// restore it.
	tombstoneTTL = time.Minute
)

// Record has the advisories of one incarnation.
type Record struct {
	Incarnation serving.Incarnation
	RateLimit   RateLimit
	// Draining is irreversible.
	Draining bool
}

// Registry has the advisories that a node received from endpoints and peers.
type Registry struct {
	records map[serving.Incarnation]*entry
	// version counts changes; each entry has the version of its last change.
	version uint64
}

type entry struct {
	limit    RateLimit
	draining bool
	// listed is when the incarnation was last listed, or when the entry was created.
	listed  time.Time
	version uint64
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{records: map[serving.Incarnation]*entry{}} }

// Lookup returns the limit of an incarnation, or the zero value.
func (r *Registry) Lookup(inc serving.Incarnation) RateLimit {
	if e := r.records[inc]; e != nil {
		return e.limit
	}
	return RateLimit{}
}

// Draining reports whether an incarnation is known to be draining.
func (r *Registry) Draining(inc serving.Incarnation) bool {
	e := r.records[inc]
	return e != nil && e.draining
}

// Counts returns the numbers of limits in force and of draining incarnations.
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

// ApplyLimit applies a limit that an endpoint advertised to this node or to a peer, and reports
// whether that changed it. Limits older than the current one are ignored.
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

// MarkDraining records that an incarnation is draining, and reports whether that is new.
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

// add returns a new entry, or nil if the registry is full.
func (r *Registry) add(inc serving.Incarnation, now time.Time) *entry {
	if len(r.records) >= maxRecords {
		return nil
	}
	e := &entry{listed: now}
	r.records[inc] = e
	return e
}

func (r *Registry) touch(e *entry) {
	r.version++
	e.version = r.version
}

// Changes returns up to limit records that changed after a version, oldest change first, and the
// version that they cover.
func (r *Registry) Changes(since uint64, limit int) ([]Record, uint64) {
	if since >= r.version {
		return nil, r.version
	}
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

// Forget drops limits of unlisted incarnations, expired tombstones, and draining marks of
// incarnations that were replaced or have been unlisted for drainingTTL.
func (r *Registry) Forget(listed func(serving.EndpointID) (startedAt int64, ok bool), now time.Time) {
	for inc, e := range r.records {
		startedAt, ok := listed(inc.ID)
		replaced := ok && startedAt > inc.StartedAt
		if ok && !replaced {
			e.listed = now
		}
		limitExpired := !ok || !e.limit.InForce() && now.Sub(e.limit.At) > tombstoneTTL
		drainingExpired := !e.draining || now.Sub(e.listed) > drainingTTL
		if replaced || limitExpired && drainingExpired {
			delete(r.records, inc)
			continue
		}
		if !ok {
			e.limit = RateLimit{}
		}
	}
}

// Backdate makes all advisories older, after a suspension of the machine.
func (r *Registry) Backdate(by time.Duration) {
	for _, e := range r.records {
		e.limit.At = e.limit.At.Add(-by)
		e.listed = e.listed.Add(-by)
	}
}
