package directory

import (
	"time"

	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// SetLogsEachChange sets for which data centres each endpoint change is logged. For the others
// only counts are logged, at most once a second, to bound the log volume: twenty nodes that log each
// change of seventy endpoints write some 3,000 lines a second.
func (d *Directory) SetLogsEachChange(logsEachChange func(serving.DataCentre) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.logsEachChange = logsEachChange
}

// changeCount counts endpoint changes that were not logged individually.
type changeCount struct {
	changed int
	removed int
	// since is when counting started.
	since time.Time
}

// summaryInterval is the minimum time between two summary lines.
const summaryInterval = time.Second

// The caller holds d.mu.
func (d *Directory) logsEach(dataCentre serving.DataCentre) bool {
	return d.logsEachChange == nil || d.logsEachChange(dataCentre)
}

// The caller holds d.mu.
func (d *Directory) logSummary(now time.Time) {
	c := d.unlogged
	if c.changed+c.removed == 0 || now.Sub(c.since) < summaryInterval {
		return
	}
	d.log.Info("endpoints changed", "changed", c.changed, "gone", c.removed, "version", d.tableVersion, "within", now.Sub(c.since))
	d.unlogged = changeCount{since: now}
}

// logChanged logs or counts a change of an endpoint; the caller holds d.mu. Every node logs that
// an endpoint started draining, because only its own line shows from when on it had to stop
// sending requests there; age is how long before that a node first read it from the store.
func (d *Directory) logChanged(e *serving.Endpoint, row table.Row, from origin, now time.Time) {
	if !e.Draining && !d.logsEach(e.DataCentre) {
		d.unlogged.changed++
		return
	}
	d.log.Info("endpoint changed", "endpoint", row.Key, "version", row.Version, "leaving", e.Draining, "age", now.Sub(from.learnedAt), "source", from.source,
		"model", e.Model, "staged", e.Staged, "domain", e.Domain, "group", e.Membership.Group, "epoch", e.Membership.Epoch, "state", e.Membership.State.String())
}

// logRemoved logs or counts the removal of an endpoint's row; the caller holds d.mu.
func (d *Directory) logRemoved(record *endpointRecord, row table.Row, from origin, now time.Time) {
	if !d.logsEach(record.endpoint.DataCentre) {
		d.unlogged.removed++
		return
	}
	d.log.Info("endpoint removed", "endpoint", row.Key, "version", row.Version, "age", now.Sub(from.learnedAt), "source", from.source)
}

// logCold logs that an endpoint has become cold, or is no longer; the caller holds d.mu.
func (d *Directory) logCold(e *serving.Endpoint, row table.Row) {
	if !d.logsEach(e.DataCentre) {
		return
	}
	d.log.Info("endpoint's cold period changed", "endpoint", row.Key, "started_at", e.StartedAt, "version", row.Version, "cold_for", e.ColdFor)
}
