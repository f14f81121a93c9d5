package directory

import (
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Observation is what an endpoint itself said, ahead of its row.
type Observation struct {
	ID         serving.EndpointID
	Model      string
	Membership serving.Membership
	// Orders orders observations of one incarnation, which began at StartedAt.
	Orders    uint64
	StartedAt int64
}

// observationFor is how long an observation counts against an older row:
// longer than the list lags.
const observationFor = 5 * time.Second

// newer reports whether a row's membership must be later than an observed
// one: epochs only rise, and so do the states within one.
func newer(row, observed serving.Membership) bool {
	switch {
	case row.Epoch != observed.Epoch:
		return row.Epoch > observed.Epoch
	case observed.Group == "":
		// It has left; the row was written before.
		return false
	}
	return row.State > observed.State
}

// repeats reports whether an observation is older than what is known: it was
// taken in the same group earlier. A peer's message may come after a later one.
func repeats(o, known serving.Membership) bool {
	return o.Group != "" && o.Group == known.Group && o.Epoch == known.Epoch && o.State < known.State
}

// Observe takes what an endpoint itself said about its membership, to this
// node's controller (here) or to that of a peer.
func (d *Directory) Observe(o Observation, here bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	record := d.endpoints[o.ID]
	if record == nil || record.endpoint == nil {
		return
	}
	if o.StartedAt != record.startedAt && !d.observeIncarnation(record, o, here) {
		return
	}
	if o.Orders < record.orders || repeats(o.Membership, record.merged().Membership) {
		return
	}
	record.noteEpoch(o.Membership.Epoch)
	if o.Membership.Group == "" {
		// Rows of the groups that it was in are older.
		o.Membership.Epoch = record.epoch
	}
	known := record.observed != nil && *record.observed == o
	if here && !(known && record.observedHere) {
		d.observations++
		record.observedVersion = d.observations
	}
	record.orders = o.Orders
	record.observedAt = now
	record.observedHere = here
	if known {
		return
	}
	record.observed = &o
	record.noteModel(o.Model)
	d.publish()
}

// observeIncarnation notes that an observation is of another incarnation than the present one, and
// reports whether it is of a later one. What this node's controller was told just now is;
// a peer may repeat what is old.
func (d *Directory) observeIncarnation(record *endpointRecord, o Observation, here bool) bool {
	if o.StartedAt == 0 || !here && o.StartedAt < record.startedAt {
		return false
	}
	d.log.Info("endpoint restarted under its id", "endpoint", string(o.ID), "started_at", o.StartedAt, "before", record.startedAt, "told_here", here)
	record.renew(o.StartedAt)
	d.publish()
	return true
}

// Observations returns those of this node after a version that may be newer than the
// rows, and the version up to which these are all.
func (d *Directory) Observations(since uint64, now time.Time) ([]Observation, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Observation
	for _, record := range d.endpoints {
		if record.observed != nil && record.observedHere && record.observedVersion > since && now.Sub(record.observedAt) < observationFor {
			out = append(out, *record.observed)
		}
	}
	return out, d.observations
}

// outlived reports whether an observation is so old that the endpoint's row
// must tell more. While no rows come, nothing is newer: a group that was formed
// in an outage of the store vanished from every node's view after five seconds.
func (d *Directory) outlived(record *endpointRecord, now time.Time) bool {
	return now.Sub(record.observedAt) >= observationFor && d.coveredAt.Sub(record.observedAt) >= observationFor
}
