package directory

import (
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// leaving reports whether the last row of an endpoint takes it out of service.
func (r *endpointRecord) leaving() bool { return r.endpoint == nil || r.endpoint.Draining }

// LeavingLearnedAt returns when a node first read the row that takes an endpoint out of service; ok
// is false if no such row is known.
func (d *Directory) LeavingLearnedAt(key string) (at time.Time, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	record := d.endpoints[serving.EndpointID(key)]
	if record == nil || !record.leaving() || record.learnedAt.IsZero() {
		return time.Time{}, false
	}
	return record.learnedAt, true
}
