package directory

import (
	"bytes"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/invariant"
	"github.com/ridgehinge/ridgehinge/internal/logging"
	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Codec translates rows into the product's types.
type Codec struct {
	Configuration func(value []byte) (*serving.Configuration, error)
	Endpoint      func(key string, value []byte) (serving.Endpoint, error)
	// ConfigurationTable and ConfigurationKey name the row of the newest
	// configuration, EndpointTable the table of the endpoints' own rows.
	ConfigurationTable string
	ConfigurationKey   string
	EndpointTable      string
}

// removedFor is how long a removed endpoint's version is remembered, so that
// an older row that comes late does not bring it back.
const removedFor = 2 * time.Minute

// endpointRecord is one endpoint's row and what was seen of it since.
type endpointRecord struct {
	row table.Row
	// changed is the version of the last row that differed in substance:
	// most rows are heartbeats.
	changed  uint64
	endpoint *serving.Endpoint
	// epoch is the highest of its groups.
	epoch uint64
	// lastModel is that of its last group in this life, which it starts at
	// once; a row tells none while it is in no group.
	lastModel string
	// observed is a membership that the controller of this data centre was
	// told by the endpoint itself, newer than the row.
	observed   *Observation
	observedAt time.Time
	// observedHere is set if this node's own controller was told; only such
	// observations are told to peers, or they would circle for ever.
	observedHere bool
	// observedVersion orders this node's own observations, of all endpoints.
	observedVersion uint64
	// orders is the highest number of orders of any observation: a peer may
	// repeat an older one, and did, after this node had dropped it for a row.
	orders    uint64
	removedAt time.Time
	// lapsed is what was known of the endpoint when its row went without a
	// notice: it may be cut off from the store and serve on.
	lapsed *serving.Endpoint
	// trustedUntil is until when it counts as listed all the same: its row went
	// while the store was out, or while this node was cut off from it.
	trustedUntil time.Time
}

// Observation is what an endpoint itself said, ahead of its row.
type Observation struct {
	ID         serving.EndpointID
	Model      string
	Membership serving.Membership
	// Orders orders observations of one life.
	Orders uint64
}

// observationFor is how long an observation counts against an older row:
// longer than the list lags.
const observationFor = 5 * time.Second

// Directory collects rows and observations. It is safe for concurrent use.
type Directory struct {
	codec Codec
	log   logging.Logger
	view  atomic.Pointer[View]
	// stale is set when the view does not have all that is known.
	stale atomic.Bool

	mu               sync.Mutex
	configuration    *serving.Configuration
	configurationRow []byte
	// configurationAnswered is when the store last answered this node about the
	// configuration, changed or not.
	configurationAnswered time.Time
	endpoints             map[serving.EndpointID]*endpointRecord
	// covered is the version up to which the endpoint table is known, and
	// coveredAt when it last rose.
	covered   uint64
	coveredAt time.Time
	// resumedAt is when rows last came again after a gap.
	resumedAt time.Time
	// observations counts this node's own.
	observations uint64
	// reports tells of which data centres' endpoints this node logs each change;
	// nil means of all. Of others it logs sums.
	reports  func(serving.DataCentre) bool
	unlogged changeCount
	// returnGrace is for how long after a gap endpoints count as listed whose
	// rows went in it; zero means not at all.
	returnGrace time.Duration
}

// DefaultReturnGrace is a little less than the two seconds after an outage in
// which the platform says that the rows of living endpoints are back.
const DefaultReturnGrace = 1800 * time.Millisecond

// SetReturnGrace sets for how long after a gap in the rows endpoints count as
// listed whose rows went in it.
func (d *Directory) SetReturnGrace(grace time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.returnGrace = grace
}

// gapLeast is the time without any row after which the store, or this node's
// way to it, counts as having been out. Some endpoint's heartbeat changes its
// row many times a second.
const gapLeast = 1500 * time.Millisecond

// New returns a directory that knows nothing yet.
func New(codec Codec) *Directory {
	d := &Directory{
		codec:     codec,
		log:       logging.For("directory"),
		endpoints: map[serving.EndpointID]*endpointRecord{},
	}
	d.view.Store(buildView(nil, nil, nil))
	return d
}

// View returns the newest view. It is built here and not with each change: a message
// that brought 219 observations cost as many views of 1,107 endpoints, of half a
// millisecond each, and a node looks a few times a second.
func (d *Directory) View() *View {
	if d.stale.Load() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.stale.Swap(false) {
			d.build()
		}
	}
	return d.view.Load()
}

// Configuration returns the newest configuration's version and row value.
func (d *Directory) Configuration() (version uint64, value []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.configuration == nil {
		return 0, nil
	}
	return d.configuration.Version, d.configurationRow
}

// noteConfigurationAnswer notes that the store has answered about the configuration.
func (d *Directory) noteConfigurationAnswer(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.configurationAnswered = now
}

// ConfigurationAnswered returns when the store last answered this node about the
// configuration, zero if never. A node that does not watch it relies on its relay.
func (d *Directory) ConfigurationAnswered() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.configurationAnswered
}

// TakeConfiguration takes a configuration from the store or a peer. An older
// one than that in force is left aside, whoever brings it.
func (d *Directory) TakeConfiguration(value []byte, source string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if bytes.Equal(value, d.configurationRow) {
		return
	}
	c, err := d.codec.Configuration(value)
	if err != nil {
		d.log.Error("a configuration cannot be read; the last one stays in force", "source", source, "error", err)
		return
	}
	if d.configuration != nil && c.Version <= d.configuration.Version {
		return
	}
	invariant.Check(d.configuration == nil || c.Version > d.configuration.Version, invariant.Forward, "configuration %d", c.Version)
	d.configuration = c
	d.configurationRow = bytes.Clone(value)
	d.log.Info("a configuration is in force", "version", c.Version, "source", source, "routes", len(c.Routes))
	d.publish()
}

// TakeTable takes a read of the whole endpoint table as of a version; what it
// does not have is gone.
func (d *Directory) TakeTable(rows []table.Row, version uint64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := map[serving.EndpointID]bool{}
	d.cover(version, now)
	changed := d.takeRows(rows, now)
	for _, row := range rows {
		listed[serving.EndpointID(row.Key)] = true
	}
	for id, record := range d.endpoints {
		if record.endpoint != nil && !listed[id] && record.row.Version <= version {
			changed = d.takeRow(table.Row{Key: string(id), Version: version, Removed: true}, now) || changed
		}
	}
	if changed {
		d.publish()
	}
}

// TakeChanges takes the endpoint rows that have changed after one version, up
// to another.
func (d *Directory) TakeChanges(rows []table.Row, since, version uint64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if since <= d.covered {
		d.cover(version, now)
	}
	changed := d.takeRows(rows, now)
	if changed {
		d.publish()
	}
}

func (d *Directory) takeRows(rows []table.Row, now time.Time) bool {
	changed := false
	for _, row := range rows {
		changed = d.takeRow(row, now) || changed
	}
	return changed
}

// cover notes that the table is known up to a version.
func (d *Directory) cover(version uint64, now time.Time) {
	if version > d.covered {
		if d.covered > 0 && now.Sub(d.coveredAt) > gapLeast {
			d.resumedAt = now
			d.log.Info("rows come again", "table", d.codec.EndpointTable, "after", now.Sub(d.coveredAt), "version", version)
		}
		d.covered = version
		d.coveredAt = now
	}
}

// Covered returns the version up to which the endpoint table is known, and
// when it last rose.
func (d *Directory) Covered() (version uint64, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.covered, d.coveredAt
}

// takeRow applies one row and reports whether traffic has to know.
func (d *Directory) takeRow(row table.Row, now time.Time) bool {
	id := serving.EndpointID(row.Key)
	record := d.endpoints[id]
	if record != nil && row.Version <= record.row.Version {
		return false
	}
	if record == nil {
		record = &endpointRecord{}
		d.endpoints[id] = record
	}
	record.row = row
	if row.Removed {
		was := record.endpoint != nil
		if was {
			d.logGone(record, row)
		}
		if was && !record.endpoint.Leaving {
			record.lapsed = record.merged()
			if until := d.resumedAt.Add(d.returnGrace); now.Before(until) {
				record.trustedUntil = until
			}
		}
		record.changed = row.Version
		record.endpoint, record.row.Value, record.removedAt = nil, nil, now
		return was
	}
	e, err := d.codec.Endpoint(row.Key, row.Value)
	if err != nil {
		d.log.Error("an endpoint's row cannot be read", "endpoint", row.Key, "error", err)
		return false
	}
	if record.endpoint != nil && record.endpoint.Same(&e) {
		return false
	}
	if record.endpoint == nil || record.endpoint.Leaving != e.Leaving || record.endpoint.Membership != e.Membership {
		d.logChanged(&e, row)
	}
	record.endpoint, record.lapsed, record.trustedUntil = &e, nil, time.Time{}
	record.noteModel(e.Model)
	record.noteEpoch(e.Membership.Epoch)
	record.changed = row.Version
	if record.observed != nil && newer(e.Membership, record.observed.Membership) {
		record.observed = nil
	}
	return true
}

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

// Changes returns the endpoint rows that have changed in substance after a
// version, and the version up to which these are all.
func (d *Directory) Changes(since uint64) ([]table.Row, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []table.Row
	for _, record := range d.endpoints {
		if record.changed > since {
			out = append(out, record.row)
		}
	}
	return out, d.covered
}

// Refresh drops what has expired and publishes what depends on time.
func (d *Directory) Refresh(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.logSums(now)
	changed := false
	for id, record := range d.endpoints {
		if record.observed != nil && d.outlived(record, now) {
			record.observed = nil
			changed = true
		}
		if record.lapsed != nil && !record.trustedUntil.IsZero() && now.After(record.trustedUntil) {
			record.trustedUntil = time.Time{}
			changed = true
		}
		if record.endpoint == nil && now.Sub(record.removedAt) > removedFor {
			delete(d.endpoints, id)
		}
	}
	if changed {
		d.publish()
	}
}

// outlived reports whether an observation is so old that the endpoint's row
// must tell more. While no rows come, nothing is newer: a group that was formed
// in an outage of the store vanished from every node's view after five seconds.
func (d *Directory) outlived(record *endpointRecord, now time.Time) bool {
	return now.Sub(record.observedAt) >= observationFor && d.coveredAt.Sub(record.observedAt) >= observationFor
}

func (r *endpointRecord) noteEpoch(epoch uint64) { r.epoch = max(r.epoch, epoch) }

func (r *endpointRecord) noteModel(model string) {
	if model != "" {
		r.lastModel = model
	}
}

// merged returns what is known of the endpoint by its row and what was seen
// since.
func (r *endpointRecord) merged() *serving.Endpoint {
	if r.observed == nil && r.endpoint.Model == r.lastModel {
		return r.endpoint
	}
	merged := *r.endpoint
	merged.Model = r.lastModel
	if r.observed != nil {
		merged.Membership = r.observed.Membership
	}
	return &merged
}

// publish has the next look see what has changed.
func (d *Directory) publish() { d.stale.Store(true) }

// build makes the view; the caller holds the lock.
func (d *Directory) build() {
	endpoints := make(map[serving.EndpointID]*serving.Endpoint, len(d.endpoints))
	lapsed := map[serving.EndpointID]*serving.Endpoint{}
	for id, record := range d.endpoints {
		switch {
		case record.endpoint != nil:
			endpoints[id] = record.merged()
		case record.lapsed != nil && !record.trustedUntil.IsZero():
			endpoints[id] = record.lapsed
		case record.lapsed != nil:
			lapsed[id] = record.lapsed
		}
	}
	d.view.Store(buildView(d.configuration, endpoints, lapsed))
}
