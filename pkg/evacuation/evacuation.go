// Package evacuation keeps which data centres the operator has evacuated. Endpoints of an
// evacuated data centre get no new requests until the evacuation is lifted.
//
// A Registry holds the complete list as of one version of the platform's table, so that nodes
// which exchange lists agree on the newest one. The package has no clock, locks or I/O.
package evacuation

import (
	"cmp"
	"slices"
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// maxRecords bounds the data centres in a Registry; names come from rows of the table.
const maxRecords = 256

// Record is the state of one data centre that is or was evacuated.
type Record struct {
	DataCentre serving.DataCentre
	// Lifted is set once the evacuation is over.
	Lifted bool
	// ChangedAt is when a node first learnt of the state.
	ChangedAt time.Time
}

// Change is the change of one data centre's row.
type Change struct {
	DataCentre serving.DataCentre
	Lifted     bool
	// Version is the version of the row.
	Version uint64
}

// Registry has the evacuations that a node knows of.
type Registry struct {
	// version is the version of the table as of which the records are complete.
	version uint64
	records map[serving.DataCentre]Record
}

// NewRegistry returns a registry that knows of no evacuation.
func NewRegistry() *Registry { return &Registry{records: map[serving.DataCentre]Record{}} }

// Version returns the version as of which the registry is complete, or zero.
func (r *Registry) Version() uint64 { return r.version }

// IsEvacuated reports whether a data centre is evacuated.
func (r *Registry) IsEvacuated(dc serving.DataCentre) bool {
	record, ok := r.records[dc]
	return ok && !record.Lifted
}

// LiftedAt returns when the last evacuation of a data centre was lifted, or the zero time if it
// is evacuated or never was.
func (r *Registry) LiftedAt(dc serving.DataCentre) time.Time {
	if record := r.records[dc]; record.Lifted {
		return record.ChangedAt
	}
	return time.Time{}
}

// Records returns all records by name.
func (r *Registry) Records() []Record {
	out := make([]Record, 0, len(r.records))
	for _, record := range r.records {
		out = append(out, record)
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return out
}

// ApplyChanges applies changed rows and returns the records that changed. Rows as of which the
// registry is already complete are ignored.
func (r *Registry) ApplyChanges(changes []Change, now time.Time) []Record {
	var changed []Record
	version := r.version
	for _, c := range changes {
		if c.Version <= r.version {
			continue
		}
		version = max(version, c.Version)
		record := Record{DataCentre: c.DataCentre, Lifted: c.Lifted, ChangedAt: now}
		if _, known := r.records[c.DataCentre]; (known || !c.Lifted) && r.set(record) {
			changed = append(changed, record)
		}
	}
	r.version = version
	return changed
}

// ApplySnapshot applies a complete read of the table as of a version and returns the records that
// changed. Data centres that are not listed are no longer evacuated.
func (r *Registry) ApplySnapshot(evacuated []serving.DataCentre, version uint64, now time.Time) []Record {
	records := make([]Record, 0, len(evacuated))
	for _, dc := range evacuated {
		records = append(records, Record{DataCentre: dc, ChangedAt: now})
	}
	return r.Merge(records, version, now)
}

// Merge applies a peer's records if those are complete as of a later version, and returns the
// records that changed. A peer that started after an evacuation was lifted has no record of it.
func (r *Registry) Merge(records []Record, version uint64, now time.Time) []Record {
	if version <= r.version {
		return nil
	}
	r.version = version
	var changed []Record
	listed := map[serving.DataCentre]bool{}
	for _, record := range records {
		listed[record.DataCentre] = true
		if r.set(record) {
			changed = append(changed, record)
		}
	}
	for dc := range r.records {
		lifted := Record{DataCentre: dc, Lifted: true, ChangedAt: now}
		if !listed[dc] && r.set(lifted) {
			changed = append(changed, lifted)
		}
	}
	return changed
}

// set applies a record and reports whether that changed the state of its data centre.
func (r *Registry) set(record Record) bool {
	before, known := r.records[record.DataCentre]
	if known && before.Lifted == record.Lifted || !known && len(r.records) >= maxRecords {
		return false
	}
	r.records[record.DataCentre] = record
	return true
}

// Backdate makes all records older, after a suspension of the machine.
func (r *Registry) Backdate(by time.Duration) {
	for dc, record := range r.records {
		record.ChangedAt = record.ChangedAt.Add(-by)
		r.records[dc] = record
	}
}
