// Package membership tracks which entry instances and endpoints of a data
// centre are alive, from direct evidence that expires.
//
// The entry instances share out the watching of endpoints by rendezvous
// hashing: each endpoint is watched by a few of them. A watcher tells its
// peers what changed, and vouches with every beat that the rest still holds.
// Evidence is dated by the clock of whoever uses it, from the moment that the
// question left it, so a paused process or a delayed message never makes old
// evidence look fresh.
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
	// Start is the origin of the stamps in beats.
	Start time.Time
	// Watchers is how many entry instances watch one endpoint.
	Watchers int
	// OwnTTL is how long a report that this node got itself is vouched for.
	OwnTTL time.Duration
	// VouchTTL is how long a vouch counts after the moment it is dated to.
	VouchTTL time.Duration
	// PeerTTL is how long a silent peer still counts as alive.
	PeerTTL time.Duration
	// LoadEvery is the least time between two reports of one endpoint that
	// differ in the load only.
	LoadEvery time.Duration
}

// DefaultOptions returns options that find a lost member within two seconds
// at the size of some ten entry instances.
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

// TTLs are how long each kind of evidence is valid.
type TTLs struct{ Own, Vouch, Peer, Load time.Duration }

// SetTTLs sets how long evidence is valid, which depends on the size of the data centre.
func (t *Tracker) SetTTLs(times TTLs) {
	t.options.OwnTTL = times.Own
	t.options.VouchTTL = times.Vouch
	t.options.PeerTTL = times.Peer
	t.options.LoadEvery = times.Load
}

// forgetAfter is how long a withdrawn report is kept for peers that were cut
// off; without a bound a year of replaced instances would fill the memory.
const forgetAfter = 10 * time.Minute

// ownReport is a report that this node vouches for.
type ownReport struct {
	report fleet.Report
	// at is when the question left that the report answers.
	at  time.Time
	seq uint64
	// told is when the report was last passed on.
	told time.Time
}

// withdrawal is a report that this node vouches for no longer.
type withdrawal struct {
	at  time.Time
	seq uint64
}

// knownNode is a node that should exist, and since when it is known.
type knownNode struct {
	node  Node
	since time.Time
}

type peer struct {
	node        Node
	incarnation uint64
	first       time.Time
	// stamp is the peer's last stamp, to be echoed.
	stamp time.Duration
	// heard and vouched are on this node's clock.
	heard   time.Time
	vouched time.Time
	// seq is the last of the peer's changes held here; acked is the last of
	// this node's changes that the peer holds.
	seq     uint64
	acked   uint64
	leaving bool
	// greeted is set once the peer has shown that it knows this life of this
	// node; until then beats say where the node is, and whom it knows.
	greeted bool
	reports map[fleet.InstanceID]fleet.Report
	// demand is what the peer has told, told what this node has told it.
	demand map[string]float64
	told   map[string]float64

	configurationRevision uint64
	groupsRevision        uint64
}

// Tracker is one node's knowledge of its peers and endpoints.
type Tracker struct {
	options Options
	seq     uint64
	// changes counts what could change an endpoint's Status, beside time.
	changes uint64
	// floor is the highest seq of a withdrawn report that was forgotten; a
	// peer that has not seen it needs all reports anew.
	floor uint64
	own   map[fleet.InstanceID]*ownReport
	// withdrawn is apart from own: a beat looks at all own reports, and at
	// the withdrawals only for a peer that lacks the last of them.
	withdrawn     map[fleet.InstanceID]withdrawal
	lastWithdrawn uint64
	peers         map[NodeID]*peer
	known         map[NodeID]knownNode
	// holders lists the peers that have a report of an endpoint, so that
	// Status looks at a few peers only, however many there are.
	holders map[fleet.InstanceID][]*peer
}

// New returns a tracker that knows nobody.
func New(options Options) *Tracker {
	return &Tracker{
		options:   options,
		own:       map[fleet.InstanceID]*ownReport{},
		withdrawn: map[fleet.InstanceID]withdrawal{},
		peers:     map[NodeID]*peer{},
		known:     map[NodeID]knownNode{},
		holders:   map[fleet.InstanceID][]*peer{},
	}
}

// Changes rises whenever a report has changed; a Status that was looked up
// before may since only have been lengthened, or have lapsed.
func (t *Tracker) Changes() uint64 { return t.changes }

// hold notes that a peer has a report of an endpoint.
func (t *Tracker) hold(p *peer, r fleet.Report) {
	if _, ok := p.reports[r.Instance]; !ok {
		t.holders[r.Instance] = append(t.holders[r.Instance], p)
	}
	if !p.reports[r.Instance].EqualExceptLoad(r) {
		t.changes++
	}
	p.reports[r.Instance] = r
}

// release undoes hold.
func (t *Tracker) release(p *peer, id fleet.InstanceID) {
	if _, ok := p.reports[id]; !ok {
		return
	}
	t.changes++
	delete(p.reports, id)
	list := t.holders[id]
	for i, other := range list {
		if other == p {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	t.holders[id] = list
	if len(list) == 0 {
		delete(t.holders, id)
	}
}

// releaseAll undoes hold for all of a peer's reports.
func (t *Tracker) releaseAll(p *peer) {
	for id := range p.reports {
		t.release(p, id)
	}
}

// learn remembers where a node of the data centre is, until it is heard.
func (t *Tracker) learn(now time.Time, node Node) {
	if node.ID == "" || node.ID == t.options.Self.ID || node.DataCentre != t.options.Self.DataCentre {
		return
	}
	since := now
	if old, ok := t.known[node.ID]; ok {
		since = old.since
	}
	t.known[node.ID] = knownNode{node, since}
}

// SetKnown replaces the list of nodes that should exist, as the platform or
// the settings have it. Nodes that were heard stay known by that.
func (t *Tracker) SetKnown(now time.Time, nodes []Node) {
	listed := map[NodeID]bool{}
	for _, node := range nodes {
		listed[node.ID] = true
		t.learn(now, node)
	}
	for id := range t.known {
		if !listed[id] {
			delete(t.known, id)
		}
	}
}

// Nodes returns this node and all nodes it has heard of, by id.
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

// Live returns the ids of the nodes that are alive and not leaving, this
// node among them, in order.
func (t *Tracker) Live(now time.Time) []NodeID {
	out := []NodeID{t.options.Self.ID}
	for id, p := range t.peers {
		if t.peerAlive(now, p) && !p.leaving {
			out = append(out, id)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// WatchCandidates returns the nodes among which the watching of endpoints is divided: those
// alive, and those known that have had no time to be heard yet. Without the latter, each of
// many nodes that start together would watch everything at first.
func (t *Tracker) WatchCandidates(now time.Time) []NodeID {
	out := t.Live(now)
	for id, k := range t.known {
		if _, heard := t.peers[id]; !heard && now.Sub(k.since) <= t.options.PeerTTL {
			out = append(out, id)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

func (t *Tracker) peerAlive(now time.Time, p *peer) bool {
	return now.Sub(p.heard) <= t.options.PeerTTL
}

// Revisions returns the revisions that a peer last said it holds.
func (t *Tracker) Revisions(id NodeID) (configuration, groups uint64) {
	p := t.peers[id]
	if p == nil {
		return 0, 0
	}
	return p.configurationRevision, p.groupsRevision
}

// Demand sums what the living peers tell of each workspace's requests.
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
	return watches(live, id, t.options.Self.ID, t.options.Watchers)
}

// watches ranks the nodes by a hash of node and endpoint together, so that a
// node's end moves only the endpoints that it watched.
func watches(live []NodeID, id fleet.InstanceID, self NodeID, k int) bool {
	mine := score(self, id)
	higher := 0
	for _, node := range live {
		if node == self {
			continue
		}
		s := score(node, id)
		if s > mine || s == mine && node < self {
			higher++
		}
		if higher >= k {
			return false
		}
	}
	return true
}

func score(node NodeID, id fleet.InstanceID) uint64 {
	return xxh3.HashStringSeed(string(id), xxh3.HashString(string(node)))
}

// Observe takes a report that this node got itself. The time is when the
// question left this node.
func (t *Tracker) Observe(asked time.Time, r fleet.Report) {
	o := t.own[r.Instance]
	if o == nil {
		if w, ok := t.withdrawn[r.Instance]; ok && asked.Before(w.at) {
			return
		}
		delete(t.withdrawn, r.Instance)
		o = &ownReport{}
		t.own[r.Instance] = o
	}
	if asked.Before(o.at) {
		return
	}
	o.at = asked
	if o.report == r || !t.worthTelling(asked, o, r) {
		return
	}
	if !o.report.EqualExceptLoad(r) {
		t.changes++
	}
	t.seq++
	o.seq = t.seq
	o.report = r
	o.told = asked
}

// loadStep is the part of an endpoint's slots by which its load must have
// changed to be told.
const loadStep = 0.25

// worthTelling reports whether peers should hear of a report now. The load
// changes with every request; told at every change it would fill the beats,
// and routing allows for loads that are late.
func (t *Tracker) worthTelling(now time.Time, o *ownReport, r fleet.Report) bool {
	if !o.report.EqualExceptLoad(r) || r.Load == o.report.Load {
		return true
	}
	step := max(1, loadStep*float64(r.Slots))
	return math.Abs(float64(r.Load-o.report.Load)) >= step && now.Sub(o.told) >= t.options.LoadEvery
}

// Unreachable withdraws this node's own report: the endpoint refused the
// connection, or the report is too old.
func (t *Tracker) Unreachable(now time.Time, id fleet.InstanceID) {
	if _, ok := t.own[id]; !ok {
		return
	}
	delete(t.own, id)
	t.changes++
	t.seq++
	t.lastWithdrawn = t.seq
	t.withdrawn[id] = withdrawal{now, t.seq}
}

// Expire withdraws this node's own reports that have grown too old. It must
// run before each NextHeartbeat: a heartbeat must not vouch for what has lapsed.
func (t *Tracker) Expire(now time.Time) {
	for id, o := range t.own {
		if now.Sub(o.at) > t.options.OwnTTL {
			t.Unreachable(now, id)
		}
	}
}

// Forget drops what is of no use any more: peers that have been silent for
// long and that nobody lists, and old withdrawals.
func (t *Tracker) Forget(now time.Time, silence time.Duration) {
	for id, p := range t.peers {
		last := later(p.heard, p.first)
		if _, listed := t.known[id]; !listed && now.Sub(last) > silence {
			t.releaseAll(p)
			delete(t.peers, id)
		}
	}
	for id, w := range t.withdrawn {
		if now.Sub(w.at) > forgetAfter {
			t.floor = max(t.floor, w.seq)
			delete(t.withdrawn, id)
		}
	}
}

// Status is the best evidence about an endpoint.
type Status struct {
	Report fleet.Report
	// Seen is the moment that the evidence is dated to.
	Seen time.Time
	// Until is when the evidence ends unless it is renewed.
	Until time.Time
}

// Status returns the latest report of an endpoint that is still vouched for.
// Evidence of an older state never lengthens the life of a newer one.
func (t *Tracker) Status(now time.Time, id fleet.InstanceID) (Status, bool) {
	best := Status{}
	if o := t.own[id]; o != nil {
		best.take(now, o.report, o.at, t.options.OwnTTL)
	}
	for _, p := range t.holders[id] {
		best.take(now, p.reports[id], p.vouched, t.options.VouchTTL)
	}
	return best, !best.Until.IsZero()
}

func (s *Status) take(now time.Time, r fleet.Report, seen time.Time, ttl time.Duration) {
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
		s.Seen = later(s.Seen, seen)
		s.Until = later(s.Until, until)
	}
}
