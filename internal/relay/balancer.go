package relay

import (
	"math/rand/v2"
	"sync"
	"time"

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
	// news is when the endpoint last showed life to this node.
	news time.Time
	// suspectUntil is set when it failed or fell silent.
	suspectUntil time.Time
	// dataCentre is known once it was a candidate.
	dataCentre serving.DataCentre
}

// PeerLoad is the work that other nodes have at one endpoint.
type PeerLoad struct {
	Running int
	Unread  int
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

// flight is one request at an endpoint.
type flight struct {
	balancer *Balancer
	endpoint serving.EndpointID
	size     Size
	reading  bool
}

// begin counts a request that is sent to an endpoint.
func (b *Balancer) begin(id serving.EndpointID, s Size, now time.Time) *flight {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(id)
	if l.running == 0 {
		// Silence counts from here: nothing was due before.
		l.news = now
	}
	l.running++
	l.unread += s.Prompt
	l.context += s.Prompt
	return &flight{balancer: b, endpoint: id, size: s, reading: true}
}

// event notes that the endpoint has sent something of the request.
func (f *flight) event(now time.Time) {
	f.balancer.mu.Lock()
	defer f.balancer.mu.Unlock()
	l := f.balancer.load(f.endpoint)
	l.news = now
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

// silence returns how long nothing at all has come from the endpoint.
func (f *flight) silence(now time.Time) time.Duration {
	f.balancer.mu.Lock()
	defer f.balancer.mu.Unlock()
	return now.Sub(f.balancer.load(f.endpoint).news)
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

// Own returns what this node has under way, to tell its peers.
func (b *Balancer) Own() map[serving.EndpointID]PeerLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[serving.EndpointID]PeerLoad{}
	for id, l := range b.loads {
		if l.running > 0 {
			out[id] = PeerLoad{Running: l.running, Unread: l.unread}
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
