// Package membership tracks which entry instances and endpoints of a data
// centre are alive, from reports and heartbeats that expire.
//
// Endpoints are assigned to entry instances by rendezvous hashing: each
// endpoint is watched by a few of them. A watcher sends its peers the reports
// that changed, and vouches with every heartbeat that its other reports are
// still valid. The age of a report or heartbeat counts on the clock of the
// node that uses it, from the moment when that node sent its poll or its last
// heartbeat. So a paused process or a delayed message never makes an old report
// appear fresh.
//
// Tracker is a pure state machine: it has no clock, goroutine or socket.
package membership

import (
	"math"
	"sort"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

// Options of a Tracker.
type Options struct {
	Self Node
	// Incarnation must be higher at each start of the process.
	Incarnation uint64
	// Start is the time at which the stamps in heartbeats are 0.
	Start time.Time
	// Watchers is how many entry instances watch one endpoint.
	Watchers int
	// OwnTTL is how long this node vouches for a report of its own poll.
	OwnTTL time.Duration
	// VouchTTL is how long a peer's vouch is valid.
	VouchTTL time.Duration
	// PeerTTL is how long a silent peer is considered alive.
	PeerTTL time.Duration
	// LoadEvery is the minimum time between two updates of an endpoint's report
	// that change only the load.
	LoadEvery time.Duration
}

// DefaultOptions returns options for small data centres, which detect a lost
// member within two seconds.
func DefaultOptions(self Node, incarnation uint64, start time.Time) Options {
	return Options{
		Self:        self,
		Incarnation: incarnation,
		Start:       start,
		Watchers:    2,
		OwnTTL:      1200 * time.Millisecond,
		VouchTTL:    3 * time.Second,
		PeerTTL:     1500 * time.Millisecond,
		LoadEvery:   time.Second,
	}
}

// TTLs are the values of OwnTTL, VouchTTL, PeerTTL and LoadEvery.
type TTLs struct{ Own, Vouch, Peer, Load time.Duration }

// SetTTLs sets the TTLs, which depend on the size of the data centre.
func (t *Tracker) SetTTLs(ttls TTLs) {
	t.options.OwnTTL = ttls.Own
	t.options.VouchTTL = ttls.Vouch
	t.options.PeerTTL = ttls.Peer
	t.options.LoadEvery = ttls.Load
}

// withdrawalTTL is how long withdrawals are kept for unreachable peers. It
// bounds the memory that replaced instances use.
const withdrawalTTL = 10 * time.Minute

// localReport is a report of this node's own polls.
type localReport struct {
	report fleet.Report
	// sentAt is when the poll was sent.
	sentAt time.Time
	seq    uint64
	// publishedAt is the time of the last change sent to peers.
	publishedAt time.Time
}

// withdrawal is a tombstone of a report for which this node no longer vouches.
type withdrawal struct {
	at  time.Time
	seq uint64
}

// knownNode is a listed node and since when it has been listed.
type knownNode struct {
	node  Node
	since time.Time
}

type peer struct {
	node          Node
	incarnation   uint64
	firstReceived time.Time
	// stamp is the peer's last stamp, which heartbeats echo.
	stamp time.Duration
	// aliveAt is when the peer was last known to be alive, and vouchedAt the
	// time for which it last vouched for its reports, on this node's clock.
	aliveAt   time.Time
	vouchedAt time.Time
	// seq is the last change received from the peer; ackedSeq is the last
	// change that the peer has acknowledged.
	seq      uint64
	ackedSeq uint64
	stopping bool
	// knowsIncarnation is set once the peer has echoed a stamp of this
	// incarnation; until then heartbeats include this node's address and the
	// nodes it knows.
	knowsIncarnation bool
	reports          map[fleet.InstanceID]fleet.Report
	// demand is the peer's demand; sentDemand is the demand last sent to it.
	demand     map[string]float64
	sentDemand map[string]float64

	configurationRevision uint64
	groupsRevision        uint64
}

// Tracker tracks the peers and endpoints of one node's data centre.
type Tracker struct {
	options Options
	seq     uint64
	// changes counts the changes that affect an endpoint's Status, besides time.
	changes uint64
	// minDeltaSeq is the highest seq of a withdrawal that has been dropped; a
	// peer that has not acknowledged it needs a snapshot.
	minDeltaSeq uint64
	local       map[fleet.InstanceID]*localReport
	// withdrawn is separate from local because a heartbeat scans all local
	// reports, but the withdrawals only for a peer that lacks some.
	withdrawn     map[fleet.InstanceID]withdrawal
	lastWithdrawn uint64
	peers         map[NodeID]*peer
	known         map[NodeID]knownNode
	// reporters lists the peers that have a report of an endpoint, so that
	// Status need not scan all peers.
	reporters map[fleet.InstanceID][]*peer
}

// New returns a tracker without peers and reports.
func New(options Options) *Tracker {
	return &Tracker{
		options:   options,
		local:     map[fleet.InstanceID]*localReport{},
		withdrawn: map[fleet.InstanceID]withdrawal{},
		peers:     map[NodeID]*peer{},
		known:     map[NodeID]knownNode{},
		reporters: map[fleet.InstanceID][]*peer{},
	}
}

// Changes returns a counter of changed reports. While it is the same, a Status
// can only be extended or expire.
func (t *Tracker) Changes() uint64 { return t.changes }

// setPeerReport stores a peer's report of an endpoint.
func (t *Tracker) setPeerReport(p *peer, r fleet.Report) {
	if _, ok := p.reports[r.Instance]; !ok {
		t.reporters[r.Instance] = append(t.reporters[r.Instance], p)
	}
	if !p.reports[r.Instance].EqualExceptLoad(r) {
		t.changes++
	}
	p.reports[r.Instance] = r
}

// removePeerReport removes a peer's report of an endpoint.
func (t *Tracker) removePeerReport(p *peer, id fleet.InstanceID) {
	if _, ok := p.reports[id]; !ok {
		return
	}
	t.changes++
	delete(p.reports, id)
	list := t.reporters[id]
	for i, other := range list {
		if other == p {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	t.reporters[id] = list
	if len(list) == 0 {
		delete(t.reporters, id)
	}
}

// removePeerReports removes all reports of a peer.
func (t *Tracker) removePeerReports(p *peer) {
	for id := range p.reports {
		t.removePeerReport(p, id)
	}
}

// addKnown adds a node of this data centre to the known nodes.
func (t *Tracker) addKnown(now time.Time, node Node) {
	if node.ID == "" || node.ID == t.options.Self.ID || node.DataCentre != t.options.Self.DataCentre {
		return
	}
	since := now
	if old, ok := t.known[node.ID]; ok {
		since = old.since
	}
	t.known[node.ID] = knownNode{node, since}
}

// SetKnown replaces the nodes listed by the platform and the settings. Peers
// that are not listed are kept.
func (t *Tracker) SetKnown(now time.Time, nodes []Node) {
	listed := map[NodeID]bool{}
	for _, node := range nodes {
		listed[node.ID] = true
		t.addKnown(now, node)
	}
	for id := range t.known {
		if !listed[id] {
			delete(t.known, id)
		}
	}
}

// Nodes returns this node, all known nodes and all peers, sorted by id.
func (t *Tracker) Nodes() []Node {
	all := map[NodeID]Node{t.options.Self.ID: t.options.Self}
	for id, k := range t.known {
		all[id] = k.node
	}
	for id, p := range t.peers {
		all[id] = p.node
	}
	out := make([]Node, 0, len(all))
	for _, node := range all {
		out = append(out, node)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Live returns the sorted ids of the nodes that are alive and not stopping,
// including this node.
func (t *Tracker) Live(now time.Time) []NodeID {
	out := []NodeID{t.options.Self.ID}
	for id, p := range t.peers {
		if t.peerAlive(now, p) && !p.stopping {
			out = append(out, id)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// WatchCandidates returns the nodes that share the watching of endpoints: those alive, and
// those that became known less than PeerTTL ago. Without the latter, nodes that start
// together would each watch all endpoints at first.
func (t *Tracker) WatchCandidates(now time.Time) []NodeID {
	out := t.Live(now)
	for id, k := range t.known {
		if _, isPeer := t.peers[id]; !isPeer && now.Sub(k.since) <= t.options.PeerTTL {
			out = append(out, id)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

func (t *Tracker) peerAlive(now time.Time, p *peer) bool {
	return now.Sub(p.aliveAt) <= t.options.PeerTTL
}

// Revisions returns the revisions that a peer last reported.
func (t *Tracker) Revisions(id NodeID) (configuration, groups uint64) {
	p := t.peers[id]
	if p == nil {
		return 0, 0
	}
	return p.configurationRevision, p.groupsRevision
}

// Demand returns the total demand of the live peers by pool.
func (t *Tracker) Demand(now time.Time) map[string]float64 {
	out := map[string]float64{}
	for _, p := range t.peers {
		if !t.peerAlive(now, p) {
			continue
		}
		for name, rate := range p.demand {
			out[name] += rate
		}
	}
	return out
}

// Watches reports whether this node is among the watchers of an endpoint.
func (t *Tracker) Watches(live []NodeID, id fleet.InstanceID) bool {
	return isWatcher(live, id, t.options.Self.ID, t.options.Watchers)
}

// isWatcher ranks the nodes by a hash of node and endpoint, so that the
// removal of a node reassigns only the endpoints that it watched.
func isWatcher(live []NodeID, id fleet.InstanceID, self NodeID, watchers int) bool {
	ownScore := score(self, id)
	higher := 0
	for _, node := range live {
		if node == self {
			continue
		}
		s := score(node, id)
		if s > ownScore || s == ownScore && node < self {
			higher++
		}
		if higher >= watchers {
			return false
		}
	}
	return true
}

func score(node NodeID, id fleet.InstanceID) uint64 {
	return xxh3.HashStringSeed(string(id), xxh3.HashString(string(node)))
}

// Observe records a report of this node's own poll. The time is when the poll
// was sent.
func (t *Tracker) Observe(sentAt time.Time, r fleet.Report) {
	o := t.local[r.Instance]
	if o == nil {
		if w, ok := t.withdrawn[r.Instance]; ok && sentAt.Before(w.at) {
			return
		}
		delete(t.withdrawn, r.Instance)
		o = &localReport{}
		t.local[r.Instance] = o
	}
	if sentAt.Before(o.sentAt) {
		return
	}
	o.sentAt = sentAt
	if o.report == r || !t.shouldPublish(sentAt, o, r) {
		return
	}
	if !o.report.EqualExceptLoad(r) {
		t.changes++
	}
	t.seq++
	o.seq = t.seq
	o.report = r
	o.publishedAt = sentAt
}

// minLoadChange is the minimum change of an endpoint's load, as a fraction of
// its slots, that is sent to peers.
const minLoadChange = 0.25

// shouldPublish reports whether a report is sent to peers now. Load changes
// are limited because the load changes with every request, and routing allows
// for delayed loads.
func (t *Tracker) shouldPublish(now time.Time, o *localReport, r fleet.Report) bool {
	if !o.report.EqualExceptLoad(r) || r.Load == o.report.Load {
		return true
	}
	step := max(1, minLoadChange*float64(r.Slots))
	return math.Abs(float64(r.Load-o.report.Load)) >= step && now.Sub(o.publishedAt) >= t.options.LoadEvery
}

// Unreachable withdraws this node's report of an endpoint, which refused the
// connection or has not responded for too long.
func (t *Tracker) Unreachable(now time.Time, id fleet.InstanceID) {
	if _, ok := t.local[id]; !ok {
		return
	}
	delete(t.local, id)
	t.changes++
	t.seq++
	t.lastWithdrawn = t.seq
	t.withdrawn[id] = withdrawal{now, t.seq}
}

// Expire withdraws this node's reports that have expired. It must run before
// NextHeartbeat, because a heartbeat must not vouch for expired reports.
func (t *Tracker) Expire(now time.Time) {
	for id, o := range t.local {
		if now.Sub(o.sentAt) > t.options.OwnTTL {
			t.Unreachable(now, id)
		}
	}
}

// Forget removes unlisted peers that have been silent for the given time, and
// expired withdrawals.
func (t *Tracker) Forget(now time.Time, silence time.Duration) {
	for id, p := range t.peers {
		lastSeen := laterOf(p.aliveAt, p.firstReceived)
		if _, listed := t.known[id]; !listed && now.Sub(lastSeen) > silence {
			t.removePeerReports(p)
			delete(t.peers, id)
		}
	}
	for id, w := range t.withdrawn {
		if now.Sub(w.at) > withdrawalTTL {
			t.minDeltaSeq = max(t.minDeltaSeq, w.seq)
			delete(t.withdrawn, id)
		}
	}
}

// Status is the latest valid report of an endpoint.
type Status struct {
	Report fleet.Report
	// Seen is when the report was last known to be valid.
	Seen time.Time
	// Until is when the report expires unless it is renewed.
	Until time.Time
}

// Status returns the latest valid report of an endpoint. Reports of an older
// state don't extend the validity of a newer one.
func (t *Tracker) Status(now time.Time, id fleet.InstanceID) (Status, bool) {
	best := Status{}
	if o := t.local[id]; o != nil {
		best.merge(now, o.report, o.sentAt, t.options.OwnTTL)
	}
	for _, p := range t.reporters[id] {
		best.merge(now, p.reports[id], p.vouchedAt, t.options.VouchTTL)
	}
	return best, !best.Until.IsZero()
}

func (s *Status) merge(now time.Time, r fleet.Report, seen time.Time, ttl time.Duration) {
	until := seen.Add(ttl)
	if !until.After(now) {
		return
	}
	switch {
	case s.Until.IsZero() || r.Newer(s.Report):
		s.Report = r
		s.Seen = seen
		s.Until = until
	case s.Report.Newer(r):
	default:
		s.Seen = laterOf(s.Seen, seen)
		s.Until = laterOf(s.Until, until)
	}
}
