package relay

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/pkg/health"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// suspectFor is how long an endpoint that failed or fell silent is passed over,
// unless it shows life.
const suspectFor = 2 * time.Second

// load is what is under way at one endpoint.
type load struct {
	running int
	// unread is the prompt tokens of requests that have no first event yet;
	// context is the tokens of all that run.
	unread  int
	context int
	// peers is what the other nodes last told.
	peers PeerLoad
	// news is when the endpoint last showed life to this node, or had nothing to do
	// for it; event is when it last sent something.
	news  time.Time
	event time.Time
	// epoch is that of the group that results are of: those of an earlier group say
	// nothing of this one. Plain endpoints have none.
	epoch   uint64
	results health.Results
	paces   health.Paces
	// suspectUntil is set when it failed or fell silent.
	suspectUntil time.Time
	// dataCentre is known once it was a candidate.
	dataCentre serving.DataCentre
}

// PeerLoad is the work that other nodes have at one endpoint, and what they find of it.
type PeerLoad struct {
	Running int
	Unread  int
	// Event is when it last sent any of them something, zero if it did not lately.
	Event time.Time
	// Tally is what requests to it came to, in the group of an epoch.
	Epoch uint64
	Tally health.Tally
	// Pace is that of its events.
	Pace health.Pace
}

// Plus adds what further nodes have and find. What they find of an earlier group is
// left out.
func (p PeerLoad) Plus(other PeerLoad) PeerLoad {
	sum := PeerLoad{Running: p.Running + other.Running, Unread: p.Unread + other.Unread, Event: p.Event, Epoch: max(p.Epoch, other.Epoch)}
	if other.Event.After(sum.Event) {
		sum.Event = other.Event
	}
	for _, l := range []PeerLoad{p, other} {
		if l.Epoch == sum.Epoch {
			sum.Tally = sum.Tally.Plus(l.Tally)
			sum.Pace = sum.Pace.Plus(l.Pace)
		}
	}
	return sum
}

// tally is what requests to an endpoint came to lately, at all nodes, in the group of
// an epoch.
func (l *load) tally(epoch uint64, now time.Time) health.Tally {
	var sum health.Tally
	if l.epoch == epoch {
		sum = l.results.Tally(now)
	}
	if l.peers.Epoch == epoch {
		sum = sum.Plus(l.peers.Tally)
	}
	return sum
}

// Balancer knows what is under way at each endpoint and chooses among them.
// It is safe for concurrent use.
type Balancer struct {
	home  serving.DataCentre
	mu    sync.Mutex
	loads map[serving.EndpointID]*load
	// turn breaks ties, so that equal endpoints take turns.
	turn    int
	random  *rand.Rand
	weights Weights
	// suspected is called when an endpoint is newly passed over.
	suspected func()
	// remotes are the other data centres.
	remotes map[serving.DataCentre]*remote
	// told is what other nodes find.
	told Hearsay
	// candidates is kept between choices, doubtful are those that only others
	// found fault with.
	candidates []candidate
	doubtful   []candidate
}

// NewBalancer returns a balancer for a node in a data centre. Nodes must draw
// differently, so each gives its own source.
func NewBalancer(home serving.DataCentre, source rand.Source, weights Weights) *Balancer {
	return &Balancer{home: home, loads: map[serving.EndpointID]*load{}, remotes: map[serving.DataCentre]*remote{}, random: rand.New(source), weights: weights, suspected: func() {}}
}

func (b *Balancer) load(id serving.EndpointID) *load {
	l := b.loads[id]
	if l == nil {
		l = &load{}
		b.loads[id] = l
	}
	return l
}

// pace is how an endpoint kept its pace lately, at all nodes, in the group of an epoch.
func (l *load) pace(epoch uint64, now time.Time) health.Pace {
	var sum health.Pace
	if l.epoch == epoch {
		sum = l.paces.Pace(now)
	}
	if l.peers.Epoch == epoch {
		sum = sum.Plus(l.peers.Pace)
	}
	return sum
}

// leads notes the epoch of the group that an endpoint leads, and reports whether it is
// not an earlier one; what was found of the group before is forgotten.
func (l *load) leads(epoch uint64) bool {
	if epoch > l.epoch {
		l.epoch, l.results, l.paces = epoch, health.Results{}, health.Paces{}
	}
	return epoch == l.epoch
}

// flight is one request at an endpoint.
type flight struct {
	balancer *Balancer
	endpoint serving.EndpointID
	epoch    uint64
	size     Size
	reading  bool
	// last is when the endpoint last sent something of this request, or when it was
	// sent.
	last time.Time
	// head is the group's, nil at a plain endpoint.
	head *directory.Head
}

// begin counts a request that is sent to an endpoint.
func (b *Balancer) begin(e *serving.Endpoint, s Size, now time.Time) *flight {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(e.ID)
	if l.running == 0 {
		// Silence counts from here: nothing was due before.
		l.news = now
	}
	l.running++
	l.unread += s.Prompt
	l.context += s.Prompt
	return &flight{balancer: b, endpoint: e.ID, epoch: e.Membership.Epoch, size: s, reading: true, last: now}
}

// mostPause bounds a pause that counts for an endpoint's pace: a longer one is a stall,
// and has its own remedy.
const mostPause = time.Second

// event notes that the endpoint has sent something of the request.
func (f *flight) event(now time.Time) {
	f.balancer.mu.Lock()
	defer f.balancer.mu.Unlock()
	l := f.balancer.load(f.endpoint)
	if !f.reading && f.head != nil && l.leads(f.epoch) {
		l.paces.Note(min(mostPause, now.Sub(f.last)), passTime(f.head, l), now)
	}
	f.last = now
	l.news, l.event = now, now
	l.suspectUntil = time.Time{}
	if r := f.balancer.remotes[l.dataCentre]; r != nil {
		r.failures = 0
	}
	if f.reading {
		f.reading = false
		l.unread -= f.size.Prompt
	}
}

// end takes the request off the endpoint's count.
func (f *flight) end() {
	f.balancer.mu.Lock()
	defer f.balancer.mu.Unlock()
	l := f.balancer.load(f.endpoint)
	l.running--
	l.context -= f.size.Prompt
	if f.reading {
		f.reading = false
		l.unread -= f.size.Prompt
	}
}

// note counts what the request came to.
func (f *flight) note(failed bool, now time.Time) {
	b := f.balancer
	b.mu.Lock()
	l := b.load(f.endpoint)
	if l.leads(f.epoch) {
		l.results.Note(failed, now)
	}
	b.mu.Unlock()
	if failed && b.weights.Failures == health.Suspect {
		b.Suspect(f.endpoint, now)
	}
}

// silence returns how long nothing at all has come from the endpoint.
func (f *flight) silence(now time.Time) time.Duration {
	f.balancer.mu.Lock()
	defer f.balancer.mu.Unlock()
	l := f.balancer.load(f.endpoint)
	evidence := health.Evidence{Own: l.news, Waiting: f.reading}
	if f.balancer.weights.SharedEvents {
		evidence.Others = l.peers.Event
	}
	return evidence.SilentFor(now)
}

// quiet returns how long nothing has come of this very request.
func (f *flight) quiet(now time.Time) time.Duration {
	f.balancer.mu.Lock()
	defer f.balancer.mu.Unlock()
	return now.Sub(f.last)
}

// isFailing reports whether any of the last requests to an endpoint failed. A request
// that may run once goes there on a new connection: that a dead endpoint refuses it is
// certain, while a kept connection only breaks.
func (b *Balancer) isFailing(e *serving.Endpoint, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.weights.Failures == health.Compare && b.load(e.ID).tally(e.Membership.Epoch, now).Failed > leastTold
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
	case l.peers.Event.After(l.event):
		return l.peers.Event
	}
	return l.event
}

// Suspect has an endpoint passed over for a while.
func (b *Balancer) Suspect(id serving.EndpointID, now time.Time) {
	b.mu.Lock()
	l := b.load(id)
	fresh := now.After(l.suspectUntil)
	l.suspectUntil = now.Add(suspectFor)
	b.noteFailure(l.dataCentre, now)
	b.mu.Unlock()
	if fresh {
		b.suspected()
	}
}

// OnSuspect has a function called when an endpoint is newly passed over. It is
// set before the balancer is used, and must not wait.
func (b *Balancer) OnSuspect(f func()) { b.suspected = f }

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

// leastTold is the weight, in requests, below which results are not worth telling.
const leastTold = 0.3

// Own returns what this node has under way and finds, to tell its peers.
func (b *Balancer) Own(now time.Time) map[serving.EndpointID]PeerLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[serving.EndpointID]PeerLoad{}
	for id, l := range b.loads {
		tally := l.results.Tally(now)
		if l.running > 0 || tally.Served+tally.Failed > leastTold {
			out[id] = PeerLoad{Running: l.running, Unread: l.unread, Event: l.event, Epoch: l.epoch, Tally: tally, Pace: l.paces.Pace(now)}
		}
	}
	return out
}

// SetPeers takes the sum of what the other nodes told.
func (b *Balancer) SetPeers(loads map[serving.EndpointID]PeerLoad) {
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
func (b *Balancer) Forget(listed map[serving.EndpointID]*serving.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, l := range b.loads {
		if listed[id] == nil && l.running == 0 {
			delete(b.loads, id)
		}
	}
}
