package relay

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

const (
	// remotePenalty is added to the predicted time of an endpoint in another
	// data centre: bytes between data centres cost.
	remotePenalty = 15 * time.Millisecond
	// degradedPenalty keeps requests off a group with a leaving member while
	// there is another.
	degradedPenalty = time.Second
	// suspectFor is how long an endpoint that failed or fell silent is
	// passed over, unless it shows life.
	suspectFor = 2 * time.Second
)

// Size is how much work a request asks of a model engine.
type Size struct {
	Prompt int
	Answer int
	// Objective is the time to the first event that is aimed at.
	Objective time.Duration
}

// late reports whether a first event is predicted to come so late that its
// request does better to come back in a moment: what it would add to a group that
// is behind makes those after it late as well.
func (s Size) late(p Prediction) bool {
	return s.Objective > 0 && p.First > s.Objective*3/2
}

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

// remote is what this node finds of another data centre.
type remote struct {
	// failures counts those of its endpoints since one of them showed life.
	failures int
	// until is when it is tried again.
	until time.Time
}

const (
	// cutAfter is the number of failures in a row after which another data
	// centre counts as cut off. It is tried again with one request after
	// cutRetry, and after twice that each time, up to cutRetryMost.
	cutAfter     = 2
	cutRetry     = 2 * time.Second
	cutRetryMost = 8 * time.Second
)

// retry is the time until a data centre that seems cut off is tried again.
func (r *remote) retry() time.Duration {
	wait := cutRetry
	for range r.failures - cutAfter {
		wait = min(2*wait, cutRetryMost)
	}
	return wait
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
	turn   int
	random *rand.Rand
	// power is drawPower, but for tests.
	power float64
	// suspected is called when an endpoint is newly passed over.
	suspected func()
	// remotes are the other data centres.
	remotes map[serving.DataCentre]*remote
	// candidates is kept between choices.
	candidates []candidate
}

// NewBalancer returns a balancer for a node in a data centre. Nodes must draw
// differently, so each gives its own source.
func NewBalancer(home serving.DataCentre, source rand.Source) *Balancer {
	return &Balancer{home: home, loads: map[serving.EndpointID]*load{}, remotes: map[serving.DataCentre]*remote{}, random: rand.New(source), power: drawPower, suspected: func() {}}
}

func (b *Balancer) load(id serving.EndpointID) *load {
	l := b.loads[id]
	if l == nil {
		l = &load{}
		b.loads[id] = l
	}
	return l
}

// Prediction is how a request would fare at an endpoint.
type Prediction struct {
	// First is the time to the first event, Gap the longest usual pause.
	First time.Duration
	Gap   time.Duration
	// Running is the number of requests there, Unread their prompt tokens
	// that are not read yet.
	Running int
	Unread  int
}

// predict applies the engine's speed to what is under way at a head.
//
// One pass reads at most a chunk of prompt tokens and plays a number of steps
// for all that write; a new request has its first token once the prompts
// before it and its own are read.
func predict(h *directory.Head, l *load, s Size) Prediction {
	e := h.Engine
	running := l.running + l.peers.Running
	context := l.context
	if l.running > 0 {
		context = context * running / l.running
	}
	step := e.StepTime + time.Duration(running)*e.PerSequence + time.Duration(context)*e.PerThousand/1000
	steps := time.Duration(e.StepsPerPass) * step
	unread := l.unread + l.peers.Unread
	chunk := max(1, e.Chunk)
	reading := func(tokens int) time.Duration {
		return time.Duration(float64(tokens) / max(1, e.TokensPerSec) * float64(time.Second))
	}
	passes := (unread + s.Prompt + chunk - 1) / chunk
	first := steps/2 + reading(unread+s.Prompt) + time.Duration(passes)*steps
	gap := steps + reading(min(chunk, unread+s.Prompt))
	return Prediction{
		First:   time.Duration(float64(first) * h.Pace),
		Gap:     time.Duration(float64(gap) * h.Pace),
		Running: running,
		Unread:  unread,
	}
}

// overfull is the part of its slots up to which a head takes requests that
// were under way elsewhere: they are let in ahead of those that wait there.
const overfull = 1.5

// Choice is the outcome of a choice among groups, with why others were passed
// over.
type Choice struct {
	// Head is nil if no group was left.
	Head      *directory.Head
	Predicted Prediction
	Groups    int
	// Incomplete lack a member; Suspected failed or fell silent lately; Tried
	// have failed this very request; Full have no slot.
	Incomplete int
	Suspected  int
	Tried      int
	Full       int
	// Late are predicted to have the first event too late.
	Late int
}

// ChooseHead draws a group, the likelier the sooner the request is predicted to
// have its first event there. What the other nodes have under way is known a
// fraction of a second late, in which a group reads several prompts: if every
// node sent to the best group by these figures, it would be overrun by the time
// that the others learn of it. A request that was under way elsewhere may wait
// at a full group.
func (b *Balancer) ChooseHead(heads []*directory.Head, s Size, failed []serving.EndpointID, underWay bool, now time.Time) Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := Choice{Groups: len(heads)}
	candidates := b.candidates[:0]
	for _, h := range heads {
		l := b.load(h.ID)
		l.dataCentre = h.DataCentre
		predicted := predict(h, l, s)
		slots := h.Slots
		if underWay {
			slots = int(overfull * float64(slots))
		}
		switch {
		case h.Incomplete:
			c.Incomplete++
		case slices.Contains(failed, h.ID):
			c.Tried++
		case now.Before(l.suspectUntil), b.isCutOff(h.DataCentre, now):
			c.Suspected++
		case predicted.Running >= slots:
			c.Full++
		case !underWay && s.late(predicted):
			c.Late++
		default:
			candidates = append(candidates, candidate{h, predicted, b.score(h, predicted)})
		}
	}
	b.candidates = candidates
	if drawn := b.draw(candidates); drawn != nil {
		c.Head, c.Predicted = drawn.head, drawn.predicted
		b.noteTry(drawn.head.DataCentre, now)
	}
	return c
}

// isCutOff reports whether another data centre is not to be tried now. Without
// this, each node lost half a second of a request to each group of a data centre
// that was cut off, again and again.
func (b *Balancer) isCutOff(dataCentre serving.DataCentre, now time.Time) bool {
	r := b.remotes[dataCentre]
	return r != nil && r.failures >= cutAfter && now.Before(r.until)
}

// noteTry has a data centre that seems cut off tried by one request only.
func (b *Balancer) noteTry(dataCentre serving.DataCentre, now time.Time) {
	if r := b.remotes[dataCentre]; r != nil && r.failures >= cutAfter {
		r.until = now.Add(r.retry())
	}
}

// noteFailure counts a failure of an endpoint of another data centre; the
// caller holds the lock.
func (b *Balancer) noteFailure(dataCentre serving.DataCentre, now time.Time) {
	if dataCentre == "" || dataCentre == b.home {
		return
	}
	r := b.remotes[dataCentre]
	if r == nil {
		r = &remote{}
		b.remotes[dataCentre] = r
	}
	r.failures++
	r.until = now.Add(r.retry())
}

// candidate is a group that a request may go to.
type candidate struct {
	head      *directory.Head
	predicted Prediction
	score     time.Duration
}

// score is the time that a group is ranked by.
func (b *Balancer) score(h *directory.Head, predicted Prediction) time.Duration {
	score := max(predicted.First, time.Millisecond)
	if h.DataCentre != b.home {
		score += remotePenalty
	}
	if h.Degraded {
		score += degradedPenalty
	}
	return score
}

// drawPower sets how much likelier a sooner group is drawn: with a half of the
// predicted time, 2^drawPower times.
const drawPower = 2

// draw picks one candidate at random, weighted by their scores.
func (b *Balancer) draw(candidates []candidate) *candidate {
	if len(candidates) == 0 {
		return nil
	}
	best := slices.MinFunc(candidates, func(x, y candidate) int { return cmp.Compare(x.score, y.score) }).score
	var drawn *candidate
	total := 0.0
	for i := range candidates {
		// Each candidate replaces the one drawn so far with its part of the
		// weights up to here.
		weight := math.Pow(float64(best)/float64(candidates[i].score), b.power)
		total += weight
		if b.random.Float64()*total < weight {
			drawn = &candidates[i]
		}
	}
	return drawn
}

// ChoosePlain picks the endpoint of a plain service with the least under way.
func (b *Balancer) ChoosePlain(endpoints []*serving.Endpoint, failed []serving.EndpointID, now time.Time) (*serving.Endpoint, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn++
	var best *serving.Endpoint
	bestScore := 0
	for i := range endpoints {
		e := endpoints[(i+b.turn)%len(endpoints)]
		l := b.load(e.ID)
		if slices.Contains(failed, e.ID) {
			continue
		}
		score := 2 * (l.running + l.peers.Running)
		if now.Before(l.suspectUntil) {
			score += 1000
		}
		if e.DataCentre != b.home {
			score++
		}
		if best == nil || score < bestScore {
			best, bestScore = e, score
		}
	}
	return best, best != nil
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
