package directory

import (
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Observation is a membership that an endpoint itself reported, ahead of its row.
type Observation struct {
	ID         serving.EndpointID
	Model      string
	Membership serving.Membership
	// Orders is the incarnation's order count, which orders its observations; StartedAt identifies
	// the incarnation.
	Orders    uint64
	StartedAt int64
}

// observationTTL is how long an observation overrides an older row: longer than rows lag behind.
const observationTTL = 5 * time.Second

// supersedes reports whether a row's membership is later than an observed one: epochs only rise,
// and so do the states within one.
func supersedes(row, observed serving.Membership) bool {
	switch {
	case row.Epoch != observed.Epoch:
		return row.Epoch > observed.Epoch
	case observed.Group == "":
		// The endpoint has left its group, and the row was written before.
		return false
	}
	return row.State > observed.State
}

// isStaleObservation reports whether an observation is older than the known state of the same
// group. Messages of peers may arrive out of order.
func isStaleObservation(o, known serving.Membership) bool {
	return o.Group != "" && o.Group == known.Group && o.Epoch == known.Epoch && o.State < known.State
}

// Observe applies a membership that an endpoint reported to this node's controller (local) or to a
// peer's.
func (d *Directory) Observe(o Observation, local bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	record := d.endpoints[o.ID]
	if record == nil || record.endpoint == nil {
		return
	}
	if o.StartedAt != record.startedAt && !d.observeIncarnation(record, o, local, now) {
		return
	}
	if o.Orders < record.maxOrders || isStaleObservation(o.Membership, record.merged().Membership) {
		return
	}
	record.raiseEpoch(o.Membership.Epoch)
	if o.Membership.Group == "" {
		// Rows of the endpoint's former groups are older.
		o.Membership.Epoch = record.maxEpoch
	}
	unchanged := record.observed != nil && *record.observed == o
	if local && !(unchanged && record.observedLocally) {
		d.observations++
		record.observedVersion = d.observations
	}
	record.maxOrders = o.Orders
	record.observedAt = now
	record.observedLocally = local
	if unchanged {
		return
	}
	record.observed = &o
	record.recordModel(o.Model)
	d.markStale()
}

// observeIncarnation handles an observation of another incarnation and reports whether it is a
// later one. A local observation always is; a peer's may be old.
func (d *Directory) observeIncarnation(record *endpointRecord, o Observation, local bool, now time.Time) bool {
	if o.StartedAt == 0 || !local && o.StartedAt < record.startedAt {
		return false
	}
	d.log.Info("endpoint restarted under its id", "endpoint", string(o.ID), "started_at", o.StartedAt, "before", record.startedAt, "told_here", local)
	record.resetForIncarnation(o.StartedAt)
	// Its row, which shows whether it is cold, has not arrived yet.
	record.coldUntil = now.Add(d.coldStart(record.endpoint.Service))
	d.markStale()
	return true
}

// Observations returns this node's own observations after a version that may be newer than the
// rows, and the version up to which the list is complete.
func (d *Directory) Observations(since uint64, now time.Time) ([]Observation, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Observation
	for _, record := range d.endpoints {
		if record.observed != nil && record.observedLocally && record.observedVersion > since && now.Sub(record.observedAt) < observationTTL {
			out = append(out, *record.observed)
		}
	}
	return out, d.observations
}

// observationExpired reports whether an observation is so old that the endpoint's row must be
// newer. It never expires while the table is not updated: groups formed during a store outage have
// no row yet.
func (d *Directory) observationExpired(record *endpointRecord, now time.Time) bool {
	return now.Sub(record.observedAt) >= observationTTL && d.tableVersionAt.Sub(record.observedAt) >= observationTTL
}
