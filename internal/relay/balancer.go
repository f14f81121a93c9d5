package relay

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/throttle"
	"github.com/ridgehinge/ridgehinge/pkg/health"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// suspectDuration is how long an endpoint that failed or fell silent is passed over,
// unless it sends something.
const suspectDuration = 2 * time.Second

// Balancer knows what is under way at each endpoint and chooses among them.
// It is safe for concurrent use.
type Balancer struct {
	home  serving.DataCentre
	mu    sync.Mutex
	loads map[serving.EndpointID]*load
	// turn breaks ties, so that equal endpoints take turns.
	rotation int
	random   *rand.Rand
	weights  Weights
	// suspected is called when an endpoint is newly passed over.
	onSuspect func()
	// hold tells why an endpoint may be sent nothing now.
	hold func(e *serving.Endpoint, now time.Time) throttle.Hold
	// remotes are the other data centres.
	remotes map[serving.DataCentre]*remoteState
	// told is what other nodes find.
	peerReports PeerReports
	// candidates is kept between choices, doubtful are those that only others
	// found fault with.
	candidates    []candidate
	peerSuspected []candidate
}

// NewBalancer returns a balancer for a node in a data centre. Nodes must draw
// differently, so each gives its own source.
func NewBalancer(home serving.DataCentre, source rand.Source, weights Weights) *Balancer {
	return &Balancer{home: home, loads: map[serving.EndpointID]*load{}, remotes: map[serving.DataCentre]*remoteState{}, random: rand.New(source), weights: weights, onSuspect: func() {},
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

// isFailing reports whether any of the last requests to an endpoint failed. A request
// that may run once goes there on a new connection: that a dead endpoint refuses it is
// certain, while a kept connection only breaks.
func (b *Balancer) isFailing(e *serving.Endpoint, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	tally, _ := b.load(e.ID).observed(e.Membership.Epoch, now)
	return b.weights.Failures == health.Compare && tally.Failed > minReportedWeight
}

// LastEvent returns when an endpoint last sent any node something, as far as this
// one knows; zero if it does not.
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

// Suspect has an endpoint passed over for a while.
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

// OnSuspect has a function called when an endpoint is newly passed over. It is
// set before the balancer is used, and must not wait.
func (b *Balancer) OnSuspect(f func()) { b.onSuspect = f }

// SetHold sets what tells why an endpoint may be sent nothing now. It is set before the
// balancer is used, and must not call it.
func (b *Balancer) SetHold(hold func(e *serving.Endpoint, now time.Time) throttle.Hold) {
	b.hold = hold
}

// Suspects returns the endpoints that are passed over now.
func (b *Balancer) Suspects(now time.Time) []serving.EndpointID {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []serving.EndpointID
	for id, l := range b.loads {
		if now.Before(l.suspectUntil) {
			out = append(out, id)
		}
	}
	return out
}

// minReportedWeight is the weight, in requests, below which results are not worth telling.
const minReportedWeight = 0.3

// LocalLoads returns this node's loads and results by endpoint, to be sent to its peers.
func (b *Balancer) LocalLoads(now time.Time) map[serving.EndpointID]PeerLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[serving.EndpointID]PeerLoad{}
	for id, l := range b.loads {
		tally := l.results.Tally(now)
		if l.running > 0 || tally.Served+tally.Failed > minReportedWeight {
			out[id] = PeerLoad{Running: l.running, Unread: l.unread, LastEvent: l.lastEvent, Epoch: l.epoch, Tally: tally, Pace: l.paces.Pace(now)}
		}
	}
	return out
}

// SetPeerLoads sets the sum of the loads that the other nodes reported.
func (b *Balancer) SetPeerLoads(loads map[serving.EndpointID]PeerLoad) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, l := range b.loads {
		l.peers = loads[id]
	}
	for id, p := range loads {
		b.load(id).peers = p
	}
}

// Forget drops the endpoints that are not listed and have nothing under way.
func (b *Balancer) Forget(known map[serving.EndpointID]*serving.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, l := range b.loads {
		if known[id] == nil && l.running == 0 {
			delete(b.loads, id)
		}
	}
}
