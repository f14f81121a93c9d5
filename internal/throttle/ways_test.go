package throttle

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/pkg/advisory"
	"github.com/ridgehinge/ridgehinge/pkg/health"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// way is how nodes deal with endpoints that reject requests and ask for cooldowns.
type way struct {
	name string
	// ignore has nodes send on as if nothing was asked, share has all nodes honor what one of
	// them was asked, and weigh has all choose by what all were answered.
	ignore bool
	share  bool
	weigh  bool
	// tries bounds the endpoints to which one request is sent.
	tries int
	// retryAfter is what a caller is told by a node at which the first cooldown ends after a
	// time.
	retryAfter func(end time.Duration) time.Duration
}

func firstEnd(end time.Duration) time.Duration { return end }

func atMost(bound time.Duration) func(time.Duration) time.Duration {
	return func(end time.Duration) time.Duration { return min(end, bound) }
}

// shedding is a service of which some endpoints shed load for a while.
type shedding struct {
	nodes     int
	endpoints int
	// perSecond is how many requests come a second in all.
	perSecond float64
	// healthy endpoints reject nothing, the others this share of what they are sent.
	healthy int
	share   float64
}

const (
	shedFor      = 11 * time.Second
	shedCooldown = 3 * time.Second
	shedGrace    = 500 * time.Millisecond
	// firstEvent is how long an endpoint takes for a request's first event, sendTime a send
	// that is rejected.
	firstEvent = 100 * time.Millisecond
	sendTime   = 6 * time.Millisecond
	runTime    = time.Second
	slots      = 26
	objective  = 300 * time.Millisecond
	// lateWorth is the worth of an answer after the objective, against one in time.
	lateWorth = 0.26
	deadline  = 8 * time.Second
	// callerRetries is how often a caller comes back.
	callerRetries = 1
)

// arrival is one try of a caller.
type arrival struct {
	at      time.Duration
	first   time.Duration
	retries int
}

// arrivals is a queue by time.
type arrivals []arrival

func (q arrivals) Len() int           { return len(q) }
func (q arrivals) Less(i, j int) bool { return q[i].at < q[j].at }
func (q arrivals) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *arrivals) Push(x any)        { *q = append(*q, x.(arrival)) }
func (q *arrivals) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// outcome is how callers fared.
type outcome struct {
	requests, inTime, late, sends int
	// worst is the most that reached an endpoint from one node in a cooldown, after its grace.
	worst int
}

func (o *outcome) add(other outcome) {
	o.requests += other.requests
	o.inTime += other.inTime
	o.late += other.late
	o.sends += other.sends
	o.worst = max(o.worst, other.worst)
}

func (o outcome) worth() float64 {
	return (float64(o.inTime) + lateWorth*float64(o.late)) / float64(o.requests)
}

func (o outcome) String() string {
	part := func(n int) float64 { return float64(n) / float64(o.requests) }
	return fmt.Sprintf("worth %.3f, in time %.3f, late %.3f, not served %.3f, sends %.2f a request, worst %d in a cooldown",
		o.worth(), part(o.inTime), part(o.late), 1-part(o.inTime+o.late), part(o.sends), o.worst)
}

// play is one run of a shedding service.
type play struct {
	shedding
	way       way
	random    *rand.Rand
	start     time.Time
	trackers  []*Tracker
	endpoints []*serving.Endpoint
	// running is when what runs at each endpoint ends, results what became of requests there.
	running [][]time.Duration
	results []health.Results
	// asked is when an endpoint last began a cooldown for a node, and within what came since.
	asked  map[[2]int]time.Duration
	within map[[2]int]int
	out    outcome
}

// run has callers send through the nodes while endpoints shed load.
func (s shedding) run(seed uint64, w way) outcome {
	p := &play{shedding: s, way: w, random: rand.New(rand.NewPCG(seed, 1)), start: time.Now(),
		running: make([][]time.Duration, s.endpoints), results: make([]health.Results, s.endpoints),
		asked: map[[2]int]time.Duration{}, within: map[[2]int]int{}}
	for range s.nodes {
		p.trackers = append(p.trackers, NewTracker(Options{}))
	}
	for i := range s.endpoints {
		p.endpoints = append(p.endpoints, &serving.Endpoint{ID: serving.EndpointID(fmt.Sprint("e", i))})
	}
	var queue arrivals
	for at := time.Duration(0); at < shedFor; at += time.Duration(p.random.ExpFloat64() / s.perSecond * float64(time.Second)) {
		queue = append(queue, arrival{at: at, first: at})
	}
	p.out.requests = len(queue)
	for heap.Init(&queue); queue.Len() > 0; {
		if again, ok := p.serve(heap.Pop(&queue).(arrival)); ok {
			heap.Push(&queue, again)
		}
	}
	return p.out
}

// serve plays one try of a caller, and returns its next one if it comes back.
func (p *play) serve(q arrival) (again arrival, ok bool) {
	node := p.random.IntN(p.nodes)
	at := q.at
	tried := map[int]bool{}
	for len(tried) < p.way.tries {
		to, found := p.choose(node, tried, at)
		if !found {
			break
		}
		if p.send(node, to, at) {
			p.note(at + firstEvent - q.first)
			return arrival{}, false
		}
		tried[to] = true
		at += sendTime
	}
	if q.retries == callerRetries {
		return arrival{}, false
	}
	after := 300 * time.Millisecond
	if end := p.trackers[node].CooldownRetryAfter(p.endpoints, p.start.Add(at)); end > 0 {
		after = p.way.retryAfter(end)
	}
	after = min(after, (deadline-(at-q.first))/3)
	return arrival{at: at + after, first: q.first, retries: q.retries + 1}, true
}

// note counts a request whose first event came after a time.
func (p *play) note(took time.Duration) {
	if took <= objective {
		p.out.inTime++
	} else {
		p.out.late++
	}
}

// choose draws an endpoint that a node may send to.
func (p *play) choose(node int, tried map[int]bool, at time.Duration) (int, bool) {
	now := p.start.Add(at)
	chosen, total := -1, 0.0
	for i, e := range p.endpoints {
		if tried[i] || p.trackers[node].Hold(e, now) != HoldNone {
			continue
		}
		weight := 1.0
		if p.way.weigh {
			weight = health.Weight(p.results[i].Tally(now).Rate())
		}
		total += weight
		if p.random.Float64()*total < weight {
			chosen = i
		}
	}
	return chosen, chosen >= 0
}

// send reports whether an endpoint takes a request from a node.
func (p *play) send(node, to int, at time.Duration) bool {
	now := p.start.Add(at)
	p.out.sends++
	p.noteWithin(node, to, at)
	if to >= p.healthy && p.random.Float64() < p.share {
		p.results[to].Record(true, now)
		p.ask(node, to, at)
		return false
	}
	kept := p.running[to][:0]
	for _, end := range p.running[to] {
		if end > at {
			kept = append(kept, end)
		}
	}
	p.running[to] = kept
	if len(kept) >= slots {
		return false
	}
	p.results[to].Record(false, now)
	p.running[to] = append(kept, at+runTime)
	return true
}

// noteWithin counts what reaches an endpoint from a node in a cooldown.
func (p *play) noteWithin(node, to int, at time.Duration) {
	pair := [2]int{node, to}
	asked, ok := p.asked[pair]
	if since := at - asked; ok && since > shedGrace && since < shedCooldown {
		p.within[pair]++
		p.out.worst = max(p.out.worst, p.within[pair])
	}
}

// ask has an endpoint ask a node for a cooldown.
func (p *play) ask(node, to int, at time.Duration) {
	pair := [2]int{node, to}
	if asked, ok := p.asked[pair]; !ok || at-asked >= shedCooldown {
		p.asked[pair], p.within[pair] = at, 0
	}
	statement := advisory.Statement{Cooldown: advisory.Advertised[time.Duration]{Value: shedCooldown}}
	o := advisory.Observation{Endpoint: p.endpoints[to].Incarnation(), Statement: statement}
	trackers := p.trackers[node : node+1]
	switch {
	case p.way.ignore:
		return
	case p.way.share:
		trackers = p.trackers
	}
	for _, tracker := range trackers {
		tracker.Observe(o, p.start.Add(at))
	}
}

// How nodes can deal with endpoints that shed load and ask each node for a cooldown. The test
// prints how callers fare in each way; those that honor the cooldown keep what is allowed.
// WAYS_SEEDS plays more than one seed of each.
func TestWaysToHonorCooldowns(t *testing.T) {
	seeds := uint64(1)
	if text := os.Getenv("WAYS_SEEDS"); text != "" {
		var err error
		seeds, err = strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
	}
	for name, s := range map[string]shedding{
		"  9 nodes,  9 endpoints reject 45 in 100": {9, 9, 62, 0, 0.45},
		"  9 nodes,  8 of 9 reject all":            {9, 9, 62, 1, 1},
		"300 nodes,  9 endpoints reject 45 in 100": {300, 9, 62, 0, 0.45},
		"300 nodes, 60 endpoints reject 45 in 100": {300, 60, 400, 0, 0.45},
		"300 nodes, 53 of 60 reject all":           {300, 60, 400, 7, 1},
	} {
		t.Run(name, func(t *testing.T) {
			for _, w := range []way{
				{name: "ignored", ignore: true, tries: 4, retryAfter: firstEnd},
				{name: "four tries, first end", tries: 4, retryAfter: firstEnd},
				{name: "four tries, at most 0.3 s", tries: 4, retryAfter: atMost(300 * time.Millisecond)},
				{name: "four tries, at most 0.1 s", tries: 4, retryAfter: atMost(100 * time.Millisecond)},
				{name: "two tries, at most 0.1 s", tries: 2, retryAfter: atMost(100 * time.Millisecond)},
				{name: "one try, at most 0.1 s", tries: 1, retryAfter: atMost(100 * time.Millisecond)},
				{name: "four tries, weighed", weigh: true, tries: 4, retryAfter: atMost(100 * time.Millisecond)},
				{name: "shared", share: true, tries: 4, retryAfter: atMost(100 * time.Millisecond)},
			} {
				var sum outcome
				for seed := range seeds {
					sum.add(s.run(seed, w))
				}
				t.Logf("%s, %-25s: %s", name, w.name, sum)
				if !w.ignore {
					require.LessOrEqual(t, sum.worst, 2, w.name)
				}
			}
		})
	}
}
