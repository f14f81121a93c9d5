package directory

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/logging"
	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/pkg/evacuation"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Codec translates rows into the product's types.
type Codec struct {
	Configuration func(value []byte) (*serving.Configuration, error)
	Endpoint      func(key string, value []byte) (serving.Endpoint, error)
	// Evacuation returns the data centre that a row of ConfigurationTable evacuates; ok is false
	// for other rows. It may be nil.
	Evacuation func(key string) (dc serving.DataCentre, ok bool)
	// ConfigurationTable and ConfigurationKey name the row of the newest configuration,
	// EndpointTable the table of endpoint rows.
	ConfigurationTable string
	ConfigurationKey   string
	EndpointTable      string
}

// tombstoneTTL is how long a removed endpoint's version is kept, so that an older row that arrives
// late does not restore the endpoint.
const tombstoneTTL = 2 * time.Minute

// endpointRecord is one endpoint's row merged with later observations.
type endpointRecord struct {
	row table.Row
	// changedVersion is the version of the last row that was more than a heartbeat, and learnedAt
	// when a node first read that row from the store.
	changedVersion uint64
	learnedAt      time.Time
	// writes is the write count of the current incarnation's last row.
	writes   uint64
	endpoint *serving.Endpoint
	// startedAt identifies the current incarnation, taken from the row or from a newer
	// observation.
	startedAt int64
	// maxEpoch is the highest epoch of any group of this incarnation.
	maxEpoch uint64
	// lastModel is the model of the incarnation's last group, which it can start without loading
	// weights; a row has no model while the endpoint is in no group.
	lastModel string
	// observed is a membership that the endpoint itself reported, newer than the row.
	observed   *Observation
	observedAt time.Time
	// observedLocally is set if this node's own controller received the report. Only such
	// observations are sent to peers, so that they are not relayed in a loop.
	observedLocally bool
	// observedVersion orders this node's own observations across endpoints.
	observedVersion uint64
	// maxOrders is the highest order count of any observation. It outlives the observation,
	// because a peer may resend an older one.
	maxOrders uint64
	removedAt time.Time
	// lapsed is the endpoint's last state if its row was removed while it was not draining: it may
	// be partitioned from the store and still serve.
	lapsed *serving.Endpoint
	// graceUntil is how long an endpoint whose row was removed during a gap in the table's updates
	// still counts as listed.
	graceUntil time.Time
	// coldUntil is until when the current incarnation is cold by its rows, or by default while it
	// is only known from an observation.
	coldUntil time.Time
}

// Directory collects rows and observations. It is safe for concurrent use.
type Directory struct {
	codec Codec
	log   logging.Logger
	view  atomic.Pointer[View]
	// changes counts the changes that a view has to show, and viewed is the count that the current
	// view shows. It is set only once the view is built, so that no reader takes the previous one
	// for current while another goroutine builds the next.
	changes atomic.Uint64
	viewed  atomic.Uint64

	mu               sync.Mutex
	configuration    *serving.Configuration
	configurationRow []byte
	// configurationResponseAt is when the store last completed a configuration read or watch,
	// changed or not, or when the node started.
	configurationResponseAt time.Time
	evacuations             *evacuation.Registry
	endpoints               map[serving.EndpointID]*endpointRecord
	// tableVersion is the version up to which the endpoint table is known, and tableVersionAt when
	// it last rose.
	tableVersion   uint64
	tableVersionAt time.Time
	// resumedAt is when updates of the endpoint table last resumed after a gap.
	resumedAt time.Time
	// notices has the last notices, in the order of their numbers.
	notices      []notice
	noticeNumber uint64
	// noticesKnownAt is the time as of which the notices of the table are known.
	noticesKnownAt time.Time
	// readAt is when the last read of this node started, and peersKnownAt the same as noticesKnownAt for
	// what peers know beyond that.
	readAt       time.Time
	peersKnownAt time.Time
	onNotice     func()
	// earlyNotices has the notices that arrived before the table.
	earlyNotices []Update
	// observations counts this node's own observations.
	observations uint64
	// logsEachChange reports whether each endpoint change in a data centre is logged; nil means in
	// all. Changes in the others are logged as counts.
	logsEachChange func(serving.DataCentre) bool
	unlogged       changeCount
	// draining reports whether an incarnation has advertised that it is draining; nil means none
	// has.
	draining func(serving.Incarnation) bool
	// returnGrace is how long after a gap the endpoints whose rows were removed in it count as
	// listed; zero disables this.
	returnGrace time.Duration
}

// DefaultReturnGrace is a little less than the two seconds after an outage within which the
// platform rewrites the rows of live endpoints.
const DefaultReturnGrace = 1800 * time.Millisecond

// SetReturnGrace sets how long after a gap in updates the endpoints whose rows were removed in it
// count as listed.
func (d *Directory) SetReturnGrace(grace time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.returnGrace = grace
}

// SetDraining sets the function that reports whether an incarnation has advertised that it is
// draining, whatever its row says. Call it before the directory is used; the function must not
// call the directory.
func (d *Directory) SetDraining(draining func(serving.Incarnation) bool) { d.draining = draining }

// Invalidate makes the next View read the draining state again.
func (d *Directory) Invalidate() { d.markStale() }

func (d *Directory) isDraining(e *serving.Endpoint) bool {
	return d.draining != nil && d.draining(e.Incarnation())
}

// withDraining returns the endpoint with Draining set if it has advertised that it is draining.
// Its row may lag, come from an older copy of the store, or be from a writer that does not record
// draining.
func (d *Directory) withDraining(e *serving.Endpoint) *serving.Endpoint {
	if e.Draining || !d.isDraining(e) {
		return e
	}
	out := *e
	out.Draining = true
	return &out
}

// minGap is the time without any row update after which the store counts as having been
// unavailable to this node. Heartbeats change rows many times a second.
const minGap = 1500 * time.Millisecond

// New returns an empty directory.
func New(codec Codec) *Directory {
	d := &Directory{
		codec:       codec,
		log:         logging.For("directory"),
		evacuations: evacuation.NewRegistry(),
		endpoints:   map[serving.EndpointID]*endpointRecord{},
		onNotice:    func() {},

		configurationResponseAt: time.Now(),
	}
	d.view.Store(buildView(viewInput{}))
	return d
}

// View returns the newest view. It is built on demand, because one message may bring hundreds of
// observations, and a view of a thousand endpoints takes half a millisecond.
func (d *Directory) View() *View {
	if d.viewed.Load() != d.changes.Load() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if changes := d.changes.Load(); d.viewed.Load() != changes {
			d.rebuildView()
			d.viewed.Store(changes)
		}
	}
	return d.view.Load()
}

// ApplySnapshot replaces the endpoint table by a complete read of it as of a version. Endpoints
// without a row are removed.
func (d *Directory) ApplySnapshot(rows []table.Row, version uint64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := map[serving.EndpointID]bool{}
	d.advanceTableVersion(version, now)
	origin := origin{source: sourceStore, learnedAt: now}
	changed := d.applyRows(rows, origin, now)
	for _, row := range rows {
		listed[serving.EndpointID(row.Key)] = true
	}
	for id, record := range d.endpoints {
		if record.endpoint != nil && !listed[id] && record.row.Version <= version {
			changed = d.applyRow(table.Row{Key: string(id), Version: version, Removed: true}, origin, now) || changed
		}
	}
	if changed {
		d.markStale()
	}
	d.applyEarlyNotices(now)
}

// ApplyChanges applies the endpoint rows that the store says changed after version since, up to
// version.
func (d *Directory) ApplyChanges(rows []table.Row, since, version uint64, now time.Time) {
	d.Apply(Update{Rows: rows, Since: since, Version: version, Source: sourceStore}, now)
}

// Update has the endpoint rows that changed after version Since, up to Version.
type Update struct {
	Rows    []table.Row
	Since   uint64
	Version uint64
	// Source names the sender in the log.
	Source string
	// LearnedAt has when a node first read a row from the store, by key. Rows without an entry
	// were read just now.
	LearnedAt map[string]time.Time
}

// Apply applies an update.
func (d *Directory) Apply(u Update, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if table.Era(u.Version) < table.Era(d.tableVersion) {
		// The sender has not yet seen the store's newer era.
		return
	}
	if u.Since <= d.tableVersion {
		d.advanceTableVersion(u.Version, now)
	}
	changed := false
	for _, row := range u.Rows {
		changed = d.applyRow(row, u.origin(row.Key, now), now) || changed
	}
	if changed {
		d.markStale()
	}
	d.applyEarlyNotices(now)
}

func (u *Update) origin(key string, now time.Time) origin {
	learnedAt, ok := u.LearnedAt[key]
	if !ok {
		learnedAt = now
	}
	return origin{u.Source, learnedAt}
}

// advanceTableVersion records that the table is known up to a version.
func (d *Directory) advanceTableVersion(version uint64, now time.Time) {
	if version > d.tableVersion {
		// A restored copy lacks the rows of endpoints added after it was taken, until they write
		// them again.
		restored := table.Era(version) > table.Era(d.tableVersion)
		// Rows that wait for their turn are no gap while notices arrive.
		gap := min(now.Sub(d.tableVersionAt), now.Sub(d.noticesKnownAt))
		if d.tableVersion > 0 && (restored || gap > minGap) {
			d.recordGap(gap, restored, now)
		}
		d.tableVersion = version
		d.tableVersionAt = now
	}
}

// TableVersion returns the version up to which the endpoint table is known, and when it
// last rose.
func (d *Directory) TableVersion() (version uint64, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tableVersion, d.tableVersionAt
}

// Changes returns the endpoint rows that changed by more than a heartbeat after a version, and the
// version up to which the list is complete.
func (d *Directory) Changes(since uint64) ([]table.Row, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []table.Row
	for _, record := range d.endpoints {
		if record.changedVersion > since {
			out = append(out, record.row)
		}
	}
	return out, d.tableVersion
}

// Refresh drops expired observations, grace periods and tombstones.
func (d *Directory) Refresh(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.logSummary(now)
	changed := false
	for id, record := range d.endpoints {
		if record.observed != nil && d.observationExpired(record, now) {
			record.observed = nil
			changed = true
		}
		if record.lapsed != nil && !record.graceUntil.IsZero() && now.After(record.graceUntil) {
			record.graceUntil = time.Time{}
			d.recordNotice(id, false, now)
			changed = true
		}
		if record.endpoint == nil && now.Sub(record.removedAt) > tombstoneTTL {
			delete(d.endpoints, id)
		}
	}
	if changed {
		d.markStale()
	}
}

// resetForIncarnation clears the state of the previous incarnation.
func (r *endpointRecord) resetForIncarnation(startedAt int64) {
	r.startedAt = startedAt
	r.maxEpoch, r.maxOrders, r.writes, r.lastModel, r.observed = 0, 0, 0, "", nil
	r.coldUntil = time.Time{}
}

func (r *endpointRecord) raiseEpoch(epoch uint64) { r.maxEpoch = max(r.maxEpoch, epoch) }

func (r *endpointRecord) recordModel(model string) {
	if model != "" {
		r.lastModel = model
	}
}

// merged returns the endpoint's row with later observations applied.
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

// markStale makes the next View rebuild.
func (d *Directory) markStale() { d.changes.Add(1) }

// Endpoint returns an endpoint as the newest view would have it, or nil. Unlike View it builds
// nothing: operations look at the endpoints that they wait for many times a second, while rows
// change all the time.
func (d *Directory) Endpoint(id serving.EndpointID) *serving.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	record := d.endpoints[id]
	if record == nil {
		return nil
	}
	return d.listed(record, time.Now())
}

// listed returns the endpoint of a record, or nil if it is not listed; d.mu must be held.
func (d *Directory) listed(record *endpointRecord, now time.Time) *serving.Endpoint {
	switch {
	case record.endpoint != nil:
		return d.withCold(record, d.withDraining(record.merged()), now)
	case record.lapsed != nil && !record.graceUntil.IsZero() && !d.isDraining(record.lapsed):
		return d.withCold(record, record.lapsed, now)
	}
	return nil
}

// rebuildView builds the view; d.mu must be held.
func (d *Directory) rebuildView() {
	now := time.Now()
	endpoints := make(map[serving.EndpointID]*serving.Endpoint, len(d.endpoints))
	lapsed := map[serving.EndpointID]*serving.Endpoint{}
	for id, record := range d.endpoints {
		if e := d.listed(record, now); e != nil {
			endpoints[id] = e
		} else if record.lapsed != nil && !d.isDraining(record.lapsed) {
			// An endpoint that has advertised draining is not lapsed: its removal is final.
			lapsed[id] = record.lapsed
		}
	}
	d.view.Store(buildView(viewInput{d.configuration, endpoints, lapsed, d.evacuatedDataCentres()}))
}
