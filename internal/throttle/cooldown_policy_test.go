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

// cooldownPolicy is how nodes treat endpoints that reject requests and ask for cooldowns.
type cooldownPolicy struct {
	name string
	// ignore disregards cooldowns, shareCooldowns applies each one at all nodes, and
	// weighByFailures weighs endpoints by their failure rate at all nodes.
	ignore          bool
	shareCooldowns  bool
	weighByFailures bool
	maxAttempts     int
	// retryAfter returns the Retry-After given the time until the first cooldown expires.
	retryAfter func(untilExpiry time.Duration) time.Duration
}

func untilFirstExpiry(untilExpiry time.Duration) time.Duration { return untilExpiry }

func cappedAt(bound time.Duration) func(time.Duration) time.Duration {
	return func(untilExpiry time.Duration) time.Duration { return min(untilExpiry, bound) }
}

// scenario is a service with some endpoints that shed load.
type scenario struct {
	nodes     int
	endpoints int
	// perSecond is the arrival rate over all nodes.
	perSecond float64
	// healthy endpoints reject nothing, the others this fraction of their requests.
	healthy     int
	rejectRatio float64
}

const (
	shedDuration = 11 * time.Second
	shedCooldown = 3 * time.Second
	shedGrace    = 500 * time.Millisecond
	// firstEvent is the time to a request's first event, sendTime that of a rejected attempt.
	firstEvent = 100 * time.Millisecond
	sendTime   = 6 * time.Millisecond
	runTime    = time.Second
	slots      = 26
	objective  = 300 * time.Millisecond
	// lateValue is the value of a late response relative to one in time.
	lateValue     = 0.26
	deadline      = 8 * time.Second
	callerRetries = 1
)

// arrival is one attempt of a caller.
type arrival struct {
	at      time.Duration
	firstAt time.Duration
	retries int
}

// arrivals is a heap ordered by time.
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

type outcome struct {
	requests, inTime, late, attempts int
	// maxInCooldown is the maximum number of requests from one node to one endpoint in a
	// cooldown, after its grace period.
	maxInCooldown int
}

func (o *outcome) add(other outcome) {
	o.requests += other.requests
	o.inTime += other.inTime
	o.late += other.late
	o.attempts += other.attempts
	o.maxInCooldown = max(o.maxInCooldown, other.maxInCooldown)
}

func (o outcome) value() float64 {
	return (float64(o.inTime) + lateValue*float64(o.late)) / float64(o.requests)
}

func (o outcome) String() string {
	part := func(n int) float64 { return float64(n) / float64(o.requests) }
	return fmt.Sprintf("value %.3f, in time %.3f, late %.3f, not served %.3f, attempts %.2f a request, maximum %d in a cooldown",
		o.value(), part(o.inTime), part(o.late), 1-part(o.inTime+o.late), part(o.attempts), o.maxInCooldown)
}

// simulation is one run of a scenario.
type simulation struct {
	scenario
	policy    cooldownPolicy
	random    *rand.Rand
	start     time.Time
	trackers  []*Tracker
	endpoints []*serving.Endpoint
	// inFlight has the completion times of the requests at each endpoint.
	inFlight [][]time.Duration
	results  []health.Results
	// cooldownStart is when an endpoint last started a cooldown for a node, inCooldown the
	// number of requests since. Both are keyed by node and endpoint.
	cooldownStart map[[2]int]time.Duration
	inCooldown    map[[2]int]int
	out           outcome
}

// run simulates callers that send through the nodes while endpoints shed load.
func (s scenario) run(seed uint64, policy cooldownPolicy) outcome {
	p := &simulation{scenario: s, policy: policy, random: rand.New(rand.NewPCG(seed, 1)), start: time.Now(),
		inFlight: make([][]time.Duration, s.endpoints), results: make([]health.Results, s.endpoints),
		cooldownStart: map[[2]int]time.Duration{}, inCooldown: map[[2]int]int{}}
	for range s.nodes {
		p.trackers = append(p.trackers, NewTracker(Options{}))
	}
	for i := range s.endpoints {
		p.endpoints = append(p.endpoints, &serving.Endpoint{ID: serving.EndpointID(fmt.Sprint("e", i))})
	}
	var queue arrivals
	for at := time.Duration(0); at < shedDuration; at += time.Duration(p.random.ExpFloat64() / s.perSecond * float64(time.Second)) {
		queue = append(queue, arrival{at: at, firstAt: at})
	}
	p.out.requests = len(queue)
	for heap.Init(&queue); queue.Len() > 0; {
		if retry, ok := p.serve(heap.Pop(&queue).(arrival)); ok {
			heap.Push(&queue, retry)
		}
	}
	return p.out
}

// serve simulates one attempt of a caller, and returns its retry if there is one.
func (p *simulation) serve(q arrival) (retry arrival, ok bool) {
	node := p.random.IntN(p.nodes)
	at := q.at
	tried := map[int]bool{}
	for len(tried) < p.policy.maxAttempts {
		to, found := p.choose(node, tried, at)
		if !found {
			break
		}
		if p.send(node, to, at) {
			p.recordLatency(at + firstEvent - q.firstAt)
			return arrival{}, false
		}
		tried[to] = true
		at += sendTime
	}
	if q.retries == callerRetries {
		return arrival{}, false
	}
	after := 300 * time.Millisecond
	if untilExpiry := p.trackers[node].CooldownRetryAfter(p.endpoints, p.start.Add(at)); untilExpiry > 0 {
		after = p.policy.retryAfter(untilExpiry)
	}
	after = min(after, (deadline-(at-q.firstAt))/3)
	return arrival{at: at + after, firstAt: q.firstAt, retries: q.retries + 1}, true
}

// recordLatency counts a response as in time or late.
func (p *simulation) recordLatency(took time.Duration) {
	if took <= objective {
		p.out.inTime++
	} else {
		p.out.late++
	}
}

// choose picks a random endpoint that a node may send to.
func (p *simulation) choose(node int, tried map[int]bool, at time.Duration) (int, bool) {
	now := p.start.Add(at)
	chosen, total := -1, 0.0
	for i, e := range p.endpoints {
		if tried[i] || p.trackers[node].Hold(e, now) != HoldNone {
			continue
		}
		weight := 1.0
		if p.policy.weighByFailures {
			weight = health.Weight(p.results[i].Tally(now).Rate())
		}
		total += weight
		if p.random.Float64()*total < weight {
			chosen = i
		}
	}
	return chosen, chosen >= 0
}

// send reports whether an endpoint accepts a request from a node.
func (p *simulation) send(node, to int, at time.Duration) bool {
	now := p.start.Add(at)
	p.out.attempts++
	p.recordInCooldown(node, to, at)
	if to >= p.healthy && p.random.Float64() < p.rejectRatio {
		p.results[to].Record(true, now)
		p.requestCooldown(node, to, at)
		return false
	}
	kept := p.inFlight[to][:0]
	for _, end := range p.inFlight[to] {
		if end > at {
			kept = append(kept, end)
		}
	}
	p.inFlight[to] = kept
	if len(kept) >= slots {
		return false
	}
	p.results[to].Record(false, now)
	p.inFlight[to] = append(kept, at+runTime)
	return true
}

// recordInCooldown counts the requests that a node sends to an endpoint in a cooldown.
func (p *simulation) recordInCooldown(node, to int, at time.Duration) {
	pair := [2]int{node, to}
	cooldownStart, ok := p.cooldownStart[pair]
	if since := at - cooldownStart; ok && since > shedGrace && since < shedCooldown {
		p.inCooldown[pair]++
		p.out.maxInCooldown = max(p.out.maxInCooldown, p.inCooldown[pair])
	}
}

// requestCooldown lets a node receive a cooldown from an endpoint, as the policy applies it.
func (p *simulation) requestCooldown(node, to int, at time.Duration) {
	pair := [2]int{node, to}
	if cooldownStart, ok := p.cooldownStart[pair]; !ok || at-cooldownStart >= shedCooldown {
		p.cooldownStart[pair], p.inCooldown[pair] = at, 0
	}
	statement := advisory.Statement{Cooldown: advisory.Advertised[time.Duration]{Value: shedCooldown}}
	o := advisory.Observation{Endpoint: p.endpoints[to].Incarnation(), Statement: statement}
	trackers := p.trackers[node : node+1]
	switch {
	case p.policy.ignore:
		return
	case p.policy.shareCooldowns:
		trackers = p.trackers
	}
	for _, tracker := range trackers {
		tracker.Observe(o, p.start.Add(at))
	}
}

// Simulates policies for endpoints that shed load and ask each node for a cooldown, and prints
// how callers fare. Policies that honour cooldowns must stay within the allowance.
// WAYS_SEEDS sets the number of seeds.
func TestCooldownPolicies(t *testing.T) {
	seeds := uint64(1)
	if text := os.Getenv("WAYS_SEEDS"); text != "" {
		var err error
		seeds, err = strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
	}
	for name, s := range map[string]scenario{
		"  9 nodes,  9 endpoints reject 45 in 100": {9, 9, 62, 0, 0.45},
		"  9 nodes,  8 of 9 reject all":            {9, 9, 62, 1, 1},
		"300 nodes,  9 endpoints reject 45 in 100": {300, 9, 62, 0, 0.45},
		"300 nodes, 60 endpoints reject 45 in 100": {300, 60, 400, 0, 0.45},
		"300 nodes, 53 of 60 reject all":           {300, 60, 400, 7, 1},
	} {
		t.Run(name, func(t *testing.T) {
			for _, policy := range []cooldownPolicy{
				{name: "ignored", ignore: true, maxAttempts: 4, retryAfter: untilFirstExpiry},
				{name: "four attempts, first expiry", maxAttempts: 4, retryAfter: untilFirstExpiry},
				{name: "four attempts, at most 0.3 s", maxAttempts: 4, retryAfter: cappedAt(300 * time.Millisecond)},
				{name: "four attempts, at most 0.1 s", maxAttempts: 4, retryAfter: cappedAt(100 * time.Millisecond)},
				{name: "two attempts, at most 0.1 s", maxAttempts: 2, retryAfter: cappedAt(100 * time.Millisecond)},
				{name: "one attempt, at most 0.1 s", maxAttempts: 1, retryAfter: cappedAt(100 * time.Millisecond)},
				{name: "four attempts, weighed", weighByFailures: true, maxAttempts: 4, retryAfter: cappedAt(100 * time.Millisecond)},
				{name: "shared", shareCooldowns: true, maxAttempts: 4, retryAfter: cappedAt(100 * time.Millisecond)},
			} {
				var sum outcome
				for seed := range seeds {
					sum.add(s.run(seed, policy))
				}
				t.Logf("%s, %-28s: %s", name, policy.name, sum)
				if !policy.ignore {
					require.LessOrEqual(t, sum.maxInCooldown, 2, policy.name)
				}
			}
		})
	}
}
