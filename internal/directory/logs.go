package directory

import (
	"time"

	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// SetLogsEachChange sets for which data centres each change of an endpoint is logged. Other
// nodes than the one that manages the endpoints log a sum each second, to bound the volume.
func (d *Directory) SetLogsEachChange(reports func(serving.DataCentre) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reports = reports
}

// changeCount counts changes of endpoints that were not logged one by one.
type changeCount struct {
	changed int
	gone    int
	// since is when the count began.
	since time.Time
}

// sumPause is the least time between two lines of sums.
const sumPause = time.Second

// logsEach reports whether each change of a data centre's endpoints is logged; the
// caller holds the lock.
func (d *Directory) logsEach(dataCentre serving.DataCentre) bool {
	return d.reports == nil || d.reports(dataCentre)
}

// logSums logs what was only counted; the caller holds the lock.
func (d *Directory) logSums(now time.Time) {
	c := d.unlogged
	if c.changed+c.gone == 0 || now.Sub(c.since) < sumPause {
		return
	}
	d.log.Info("endpoints have changed", "changed", c.changed, "gone", c.gone, "version", d.covered, "within", now.Sub(c.since))
	d.unlogged = changeCount{since: now}
}

// logChanged logs or counts a change of an endpoint; the caller holds the lock. Each node
// logs a notice to leave, whoever decides on the endpoint: no request may go there from
// then on, and only the node's own line tells since when it knew.
func (d *Directory) logChanged(e *serving.Endpoint, row table.Row) {
	if !e.Draining && !d.logsEach(e.DataCentre) {
		d.unlogged.changed++
		return
	}
	d.log.Info("an endpoint has changed", "endpoint", row.Key, "version", row.Version, "leaving", e.Draining,
		"model", e.Model, "staged", e.Staged, "domain", e.Domain, "group", e.Membership.Group, "epoch", e.Membership.Epoch, "state", e.Membership.State.String())
}

// logGone logs or counts the end of an endpoint's row; the caller holds the lock.
func (d *Directory) logGone(record *endpointRecord, row table.Row) {
	if !d.logsEach(record.endpoint.DataCentre) {
		d.unlogged.gone++
		return
	}
	d.log.Info("an endpoint is gone", "endpoint", row.Key, "version", row.Version)
}
