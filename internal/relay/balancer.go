package relay

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/throttle"
	"github.com/ridgehinge/ridgehinge/pkg/health"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// suspectDuration is how long an endpoint that failed or stalled is avoided, unless it sends an
// event.
const suspectDuration = 2 * time.Second

// Balancer tracks the requests in flight at each endpoint and chooses among endpoints.
// It is safe for concurrent use.
type Balancer struct {
	home  serving.DataCentre
	mu    sync.Mutex
	loads map[serving.EndpointID]*load
	// rotation breaks ties, so that equal endpoints are chosen in rotation.
	rotation int
	random   *rand.Rand
	weights  Weights
	// offsets is used only with Weights.FirstOffset.
	offsets *Offsets
	// onSuspect is called when an endpoint becomes suspect.
	onSuspect func()
	// hold returns why an endpoint must not be sent requests now.
	hold func(e *serving.Endpoint, now time.Time) throttle.Hold
	// remotes holds the state of the other data centres.
	remotes map[serving.DataCentre]*remoteState
	// running and peersRunning are the requests in flight of this node and of the others.
	running      int
	peersRunning int
	// peerLoadsAt is when the loads of the other nodes were last set.
	peerLoadsAt time.Time
	// peerReports is what other nodes report.
	peerReports PeerReports
	// candidates and peerSuspected are reused between choices; peerSuspected holds the
	// candidates that only other nodes suspect.
	candidates    []candidate
	peerSuspected []candidate
	affinity      affinity
	// lastEvent is when any endpoint last sent this node an event.
	lastEvent time.Time
	// nodes is the number of nodes of all data centres.
	nodes int
	// linksLost is set while this node has lost its links to all endpoints.
	linksLost bool
}

// NewBalancer returns a balancer for a node in the given data centre. Each node must pass a
// differently seeded source, so that nodes choose independently.
func NewBalancer(home serving.DataCentre, source rand.Source, weights Weights) *Balancer {
	return &Balancer{home: home, loads: map[serving.EndpointID]*load{}, remotes: map[serving.DataCentre]*remoteState{}, random: rand.New(source), weights: weights, offsets: NewOffsets(), onSuspect: func() {},
		hold: func(*serving.Endpoint, time.Time) throttle.Hold { return throttle.HoldNone }}
}

func (b *Balancer) load(id serving.EndpointID) *load {
	l := b.loads[id]
	if l == nil {
		l = &load{}
		b.loads[id] = l
	}
	return l
}

// isFailing reports whether recent requests to an endpoint failed. Requests that must not run twice
// then use a new connection: a crashed endpoint refuses it, which proves that the request did not
// run, while a kept connection merely breaks.
func (b *Balancer) isFailing(e *serving.Endpoint, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	tally, _ := b.load(e.ID).observed(e.Membership.Epoch, now)
	return b.weights.Failures == health.Compare && tally.Failed > minReportedWeight
}

// LastEvent returns when an endpoint last sent an event to any node, as far as this node knows,
// or the zero time.
func (b *Balancer) LastEvent(id serving.EndpointID) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.loads[id]
	switch {
	case l == nil:
		return time.Time{}
	case l.peers.LastEvent.After(l.lastEvent):
		return l.peers.LastEvent
	}
	return l.lastEvent
}

// LastEventOfAny returns when any endpoint last sent this node an event.
func (b *Balancer) LastEventOfAny() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastEvent
}

// Suspect marks an endpoint as suspect for suspectDuration.
func (b *Balancer) Suspect(id serving.EndpointID, now time.Time) {
	b.mu.Lock()
	l := b.load(id)
	newlySuspected := now.After(l.suspectUntil)
	l.suspectUntil = now.Add(suspectDuration)
	b.recordRemoteFailure(l.dataCentre, now)
	b.mu.Unlock()
	if newlySuspected {
		b.onSuspect()
	}
}

// OnSuspect sets a function that is called when an endpoint becomes suspect. It must be set before
// the balancer is used, and must not block.
func (b *Balancer) OnSuspect(f func()) { b.onSuspect = f }

// SetHold sets the function that returns why an endpoint must not be sent requests now. It must be
// set before the balancer is used, and must not call the balancer.
func (b *Balancer) SetHold(hold func(e *serving.Endpoint, now time.Time) throttle.Hold) {
	b.hold = hold
}

// SetLinksLost sets whether this node has lost its links to all endpoints. What it finds meanwhile is
// not reported to other nodes, and not held against the endpoints afterwards.
func (b *Balancer) SetLinksLost(lost bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.linksLost = lost
	if lost {
		return
	}
	for _, l := range b.loads {
		l.suspectUntil = time.Time{}
		l.results = health.Results{}
	}
	clear(b.remotes)
}

// Suspects returns the endpoints that are suspect now, for other nodes.
func (b *Balancer) Suspects(now time.Time) []serving.EndpointID {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []serving.EndpointID
	if b.linksLost {
		return out
	}
	for id, l := range b.loads {
		if now.Before(l.suspectUntil) {
			out = append(out, id)
		}
	}
	return out
}

// minReportedWeight is the decayed number of requests below which results are not reported.
const minReportedWeight = 0.3

// LocalLoads returns this node's loads and results by endpoint, for its peers.
func (b *Balancer) LocalLoads(now time.Time) map[serving.EndpointID]PeerLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[serving.EndpointID]PeerLoad{}
	if b.linksLost {
		// What was sent on lost links would take up the endpoints until its deadlines.
		return out
	}
	for id, l := range b.loads {
		tally := l.results.Tally(now)
		if l.running > 0 || tally.Served+tally.Failed > minReportedWeight {
			out[id] = PeerLoad{Running: l.running, Unread: l.unread, LastEvent: l.lastEvent, Epoch: l.epoch, Tally: tally, Pace: l.paces.Pace(now)}
		}
	}
	return out
}

// SetPeerLoads sets the sum of the loads reported by the other nodes.
func (b *Balancer) SetPeerLoads(loads map[serving.EndpointID]PeerLoad) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peerLoadsAt = time.Now()
	b.peersRunning = 0
	for id, l := range b.loads {
		l.peers = loads[id]
	}
	for id, p := range loads {
		b.load(id).peers = p
		b.peersRunning += p.Running
	}
}

// Forget drops the endpoints that are not known and have no requests in flight.
func (b *Balancer) Forget(known map[serving.EndpointID]*serving.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, l := range b.loads {
		if known[id] == nil && l.running == 0 {
			delete(b.loads, id)
		}
	}
}
