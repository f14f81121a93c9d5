package directory

import (
	"sync"
	"sync/atomic"
	"time"

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
	changed uint64
	// writes is the highest count of writes of any row of the present incarnation.
	writes   uint64
	endpoint *serving.Endpoint
	// startedAt tells the endpoint's present incarnation: that of the row, or of an observation
	// that came ahead of it.
	startedAt int64
	// epoch is the highest of its groups.
	epoch uint64
	// lastModel is that of its last group in this incarnation, which it starts at
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
	// configuration, changed or not, or when the node started.
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
	// draining reports whether an incarnation has said itself that it leaves; nil is for none.
	draining func(serving.Incarnation) bool
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

// SetDraining sets what reports whether an incarnation has said itself that it leaves,
// whatever its row says. It is set before the directory is used, and must not call it.
func (d *Directory) SetDraining(draining func(serving.Incarnation) bool) { d.draining = draining }

// Invalidate has the next look see what is known by now of draining endpoints.
func (d *Directory) Invalidate() { d.publish() }

// drains reports whether an endpoint has said itself that it leaves.
func (d *Directory) drains(e *serving.Endpoint) bool {
	return d.draining != nil && d.draining(e.Incarnation())
}

// marked returns an endpoint as leaving if it has said so itself: rows lag, and those of an
// older copy of the store or another writer do not tell.
func (d *Directory) marked(e *serving.Endpoint) *serving.Endpoint {
	if e.Draining || !d.drains(e) {
		return e
	}
	leaving := *e
	leaving.Draining = true
	return &leaving
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

		configurationAnswered: time.Now(),
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

// ApplySnapshot replaces the endpoint table by a complete read of it as of a version; rows
// that are not in it are removed.
func (d *Directory) ApplySnapshot(rows []table.Row, version uint64, now time.Time) {
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

// ApplyChanges applies the endpoint rows that changed after version since, up to version.
func (d *Directory) ApplyChanges(rows []table.Row, since, version uint64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if table.Era(version) < table.Era(d.covered) {
		// Whoever tells it has not heard yet that the store came back from an older copy.
		return
	}
	if since <= d.covered {
		d.cover(version, now)
	}
	changed := d.takeRows(rows, now)
	if changed {
		d.publish()
	}
}

// cover notes that the table is known up to a version.
func (d *Directory) cover(version uint64, now time.Time) {
	if version > d.covered {
		// A copy lacks the rows of endpoints that came since it was made, which write them
		// again.
		restored := table.Era(version) > table.Era(d.covered)
		if d.covered > 0 && (restored || now.Sub(d.coveredAt) > gapLeast) {
			d.resumedAt = now
			d.log.Info("rows come again", "table", d.codec.EndpointTable, "after", now.Sub(d.coveredAt), "version", version, "older_copy", restored)
		}
		d.covered = version
		d.coveredAt = now
	}
}

// TableVersion returns the version up to which the endpoint table is known, and when it
// last rose.
func (d *Directory) TableVersion() (version uint64, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.covered, d.coveredAt
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

// renew forgets what was known of the incarnation before.
func (r *endpointRecord) renew(startedAt int64) {
	r.startedAt = startedAt
	r.epoch, r.orders, r.writes, r.lastModel, r.observed = 0, 0, 0, "", nil
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
	if r.observed == nil && r.endpoint.Model == r.lastModel && r.endpoint.StartedAt == r.startedAt {
		return r.endpoint
	}
	merged := *r.endpoint
	merged.Model = r.lastModel
	if merged.StartedAt != r.startedAt {
		merged.StartedAt, merged.Draining, merged.Membership = r.startedAt, false, serving.Membership{}
	}
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
			endpoints[id] = d.marked(record.merged())
		case record.lapsed != nil && d.drains(record.lapsed):
			// It has left, as one whose row said so.
		case record.lapsed != nil && !record.trustedUntil.IsZero():
			endpoints[id] = record.lapsed
		case record.lapsed != nil:
			lapsed[id] = record.lapsed
		}
	}
	d.view.Store(buildView(d.configuration, endpoints, lapsed))
}
