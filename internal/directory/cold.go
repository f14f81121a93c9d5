package directory

import (
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// coldExtension is by how much a row must prolong a known cold period to count as a new one. Rows
// of one period arrive with different delays.
const coldExtension = 500 * time.Millisecond

// applyCold applies how much longer a row says that the current incarnation is cold, and reports
// whether that is news.
func (r *endpointRecord) applyCold(remaining time.Duration, now time.Time) bool {
	if remaining <= 0 {
		wasCold := now.Before(r.coldUntil)
		r.coldUntil = time.Time{}
		return wasCold
	}
	until := now.Add(remaining)
	if until.Sub(r.coldUntil) <= coldExtension {
		return false
	}
	r.coldUntil = until
	return true
}

// coldStart returns how long an endpoint of a service is cold after its start; the caller holds
// d.mu.
func (d *Directory) coldStart(service string) time.Duration {
	if d.configuration == nil {
		return 0
	}
	return d.configuration.Services[service].ColdStart
}

// withCold returns the endpoint with the limit that applies if it is cold; the caller holds d.mu.
// Endpoints of a data centre whose evacuation has just been lifted are taken for cold, since
// their rows may not show it yet.
func (d *Directory) withCold(record *endpointRecord, e *serving.Endpoint, now time.Time) *serving.Endpoint {
	if d.configuration == nil {
		return e
	}
	service := d.configuration.Services[e.Service]
	if service.ColdPerSec <= 0 {
		return e
	}
	until := record.coldUntil
	if lifted := d.evacuations.LiftedAt(e.DataCentre); !lifted.IsZero() {
		if after := lifted.Add(service.ColdStart); after.After(until) {
			until = after
		}
	}
	if !now.Before(until) {
		return e
	}
	out := *e
	out.ColdUntil, out.ColdPerSec = until, service.ColdPerSec
	return &out
}
