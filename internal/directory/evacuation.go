package directory

import (
	"time"

	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/pkg/evacuation"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Evacuations returns the known evacuations and the version as of which they are complete.
func (d *Directory) Evacuations() ([]evacuation.Record, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.evacuations.Records(), d.evacuations.Version()
}

// MergeEvacuations applies the evacuations that a peer knows as of a version.
func (d *Directory) MergeEvacuations(records []evacuation.Record, version uint64, source string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evacuationsChanged(d.evacuations.Merge(records, version, now), source, now)
}

// applyEvacuations applies the rows of the configuration table; since is zero after a full read.
func (d *Directory) applyEvacuations(rows []table.Row, since, version uint64, now time.Time) {
	if d.codec.Evacuation == nil {
		return
	}
	var listed []serving.DataCentre
	var changes []evacuation.Change
	for _, row := range rows {
		dc, ok := d.codec.Evacuation(row.Key)
		if !ok {
			continue
		}
		changes = append(changes, evacuation.Change{DataCentre: dc, Lifted: row.Removed, Version: row.Version})
		if !row.Removed {
			listed = append(listed, dc)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if since == 0 {
		d.evacuationsChanged(d.evacuations.ApplySnapshot(listed, version, now), "store", now)
		return
	}
	d.evacuationsChanged(d.evacuations.ApplyChanges(changes, now), "store", now)
}

// evacuationsChanged logs changed records and marks the view as stale; the caller holds d.mu.
func (d *Directory) evacuationsChanged(changed []evacuation.Record, source string, now time.Time) {
	for _, record := range changed {
		what := "data centre evacuated; its endpoints get no new requests"
		if record.Lifted {
			what = "evacuation lifted"
		}
		d.log.Info(what, "evacuated", string(record.DataCentre), "version", d.evacuations.Version(), "age", now.Sub(record.ChangedAt), "source", source)
	}
	if len(changed) > 0 {
		d.markStale()
		d.onNotice()
	}
}

// evacuatedDataCentres returns the data centres that are evacuated; the caller holds d.mu.
func (d *Directory) evacuatedDataCentres() map[serving.DataCentre]bool {
	out := map[serving.DataCentre]bool{}
	for _, record := range d.evacuations.Records() {
		if !record.Lifted {
			out[record.DataCentre] = true
		}
	}
	return out
}
