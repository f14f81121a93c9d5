package relay

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/logging"
)

const (
	// budgetBuckets is the number of buckets in the budget's window.
	budgetBuckets = 10
	// earnedTTLBuckets is for how many buckets, including its own, the credit that a request
	// earns can be spent. A higher value allows more retries at once when many endpoints fail,
	// and fewer in the long run (earnShare).
	earnedTTLBuckets = 5
	// earnShare is the part of the ratio that a request earns. Credit spent in a window was
	// earned in it or in the earnedTTLBuckets before it, so this share keeps retries within
	// the ratio at steady traffic.
	earnShare = float64(budgetBuckets) / (budgetBuckets + earnedTTLBuckets)
	// slackFactor is the part of the slack that is spent: new nodes are counted late, and
	// traffic is not steady.
	slackFactor = 0.85
	// probabilityFactor times a remaining credit below one retry is the probability that a
	// retry is granted. With a factor of one the mean would equal the full allowance, and
	// every other window would exceed it.
	probabilityFactor = 0.8
)

// Budget limits the retries of each service. All nodes share the allowance without a shared
// counter, and a restarted node does not know what its previous incarnation spent:
//
//   - A request earns a fraction of a retry, at the node that received it and for a short time.
//     Each fraction is spent at most once, however often nodes restart.
//   - The slack is split between the nodes. A process spends none of it until it has run for a
//     full window, since its previous incarnation may have spent it all.
//   - With many nodes, each has less than one retry at any time. That fraction is the basis of a
//     random draw, and is spent whether or not the draw grants a retry.
type Budget struct {
	ratio  float64
	slack  float64
	window time.Duration
	log    logging.Logger
	// start is when this process started; windows are counted from it by the monotonic clock,
	// since the wall clock may jump.
	start time.Time
	// randFloat returns a random number in [0, 1); if it is nil, only whole retries are granted.
	randFloat func() float64

	mu       sync.Mutex
	nodes    int
	services map[string]*budgetWindow
}

// budgetWindow counts requests and retries in a sliding window. It has one bucket more than the
// window, since the newest is partial.
type budgetWindow struct {
	// newest is the number of the newest bucket, counted from the start of the process.
	newest  int64
	buckets [budgetBuckets + 1]budgetBucket
}

type budgetBucket struct {
	requests int
	retries  int
	// earned is the unspent credit of the requests, in retries; slack is how much of the slack
	// was spent.
	earned float64
	slack  float64
}

// bucketAt returns the bucket with the given number. Numbers before the first yield empty buckets.
func (w *budgetWindow) bucketAt(number int64) *budgetBucket {
	n := int64(len(w.buckets))
	return &w.buckets[(number%n+n)%n]
}

// NewBudget returns the budget of a process that starts now. In each window, all nodes together
// may send ratio times the requests plus slack retries.
func NewBudget(ratio, slack float64, window time.Duration, nodes int) *Budget {
	return &Budget{
		ratio:     ratio,
		slack:     slack,
		window:    window,
		log:       logging.For("relay"),
		start:     time.Now(),
		randFloat: rand.Float64,
		nodes:     max(1, nodes),
		services:  map[string]*budgetWindow{},
	}
}

// SetNodes sets how many nodes share the slack. The number never falls within an incarnation: a
// node that is unreachable may still spend its share.
func (b *Budget) SetNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n <= b.nodes {
		return
	}
	b.log.Info("retry budget is shared by more nodes", "nodes", n, "before", b.nodes)
	b.nodes = n
}

// RecordRequest counts a request for a service, which adds to its retry budget.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.advance(service, now)
	newest := w.bucketAt(w.newest)
	newest.requests++
	newest.earned += earnShare * b.ratio
}

// Charge is the credit and slack that a retry consumed.
type Charge struct{ earned, slack float64 }

// AcquireRetry asks for one retry and counts it if granted.
func (b *Budget) AcquireRetry(service string, now time.Time) (charge Charge, granted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.advance(service, now)
	s := b.state(w, now)
	available := s.Earned + s.Slack
	granted = available >= 1
	if !granted && (b.randFloat == nil || available <= 0) {
		return Charge{}, false
	}
	newest := w.bucketAt(w.newest)
	spent := min(1, available)
	charge.earned = w.spendEarned(spent)
	charge.slack = spent - charge.earned
	newest.slack += charge.slack
	if !granted {
		granted = b.randFloat() < probabilityFactor*available
	}
	if granted {
		newest.retries++
	}
	return charge, granted
}

// Refund returns the charge of a retry that was not sent after all. The zero Charge belongs to a
// first attempt.
func (b *Budget) Refund(service string, c Charge, now time.Time) {
	if c == (Charge{}) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.advance(service, now)
	newest := w.bucketAt(w.newest)
	newest.retries--
	newest.earned += c.earned
	newest.slack -= c.slack
}

// BudgetState is the state of one service's budget, for logs and metrics.
type BudgetState struct {
	// Requests and Retries are counted over the window.
	Requests int
	Retries  int
	// Earned and Slack are the retries left: credit earned by requests, and this node's share
	// of the slack.
	Earned float64
	Slack  float64
	Nodes  int
	// Age is the time since the process started.
	Age time.Duration
}

// Allowed returns the maximum number of retries in the window.
func (s BudgetState) Allowed() float64 { return float64(s.Retries) + s.Earned + s.Slack }

// State returns the state of a service's budget.
func (b *Budget) State(service string, now time.Time) BudgetState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state(b.advance(service, now), now)
}

// Tightest returns the state of the service that has the fewest retries left.
func (b *Budget) Tightest(now time.Time) BudgetState {
	b.mu.Lock()
	defer b.mu.Unlock()
	var tightest BudgetState
	for service := range b.services {
		s := b.state(b.advance(service, now), now)
		if tightest.Nodes == 0 || s.Earned+s.Slack < tightest.Earned+tightest.Slack {
			tightest = s
		}
	}
	return tightest
}

// state sums up a window; the caller must hold the lock.
func (b *Budget) state(w *budgetWindow, now time.Time) BudgetState {
	s := BudgetState{Nodes: b.nodes, Age: now.Sub(b.start)}
	spent := 0.0
	for _, bucket := range w.buckets {
		s.Requests += bucket.requests
		s.Retries += bucket.retries
		spent += bucket.slack
	}
	for i := range int64(earnedTTLBuckets) {
		s.Earned += w.bucketAt(w.newest - i).earned
	}
	if s.Age >= b.window {
		s.Slack = max(0, slackFactor*b.slack/float64(b.nodes)-spent)
	}
	return s
}

// spendEarned consumes up to the given number of retries from the earned credit, that which
// expires first before the rest, and returns how much it consumed.
func (w *budgetWindow) spendEarned(retries float64) float64 {
	found := 0.0
	for i := int64(earnedTTLBuckets - 1); i >= 0; i-- {
		bucket := w.bucketAt(w.newest - i)
		part := min(bucket.earned, retries-found)
		bucket.earned -= part
		found += part
	}
	return found
}

// advance returns the service's window, advanced to now.
func (b *Budget) advance(service string, now time.Time) *budgetWindow {
	w := b.services[service]
	newest := max(0, int64(now.Sub(b.start)/(b.window/budgetBuckets)))
	if w == nil {
		w = &budgetWindow{newest: newest}
		b.services[service] = w
	}
	if newest-w.newest > int64(len(w.buckets)) {
		*w = budgetWindow{newest: newest}
	}
	for w.newest < newest {
		w.newest++
		*w.bucketAt(w.newest) = budgetBucket{}
	}
	return w
}
