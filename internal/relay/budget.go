package relay

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/logging"
)

const (
	// budgetBuckets is the number of parts that the budget's window is counted in.
	budgetBuckets = 10
	// earnedTTLBuckets is for how many of them a request's part of a repeat can be spent, that
	// of the request among them. The more, the more repeats can come at once when many
	// endpoints fail, and the fewer in the long run (earnShare).
	earnedTTLBuckets = 5
	// earnShare is the part of the ratio that a request earns. What is spent in a window
	// was earned in it or in the earnBuckets before, so this share of all of that is no
	// more than the whole ratio of the window, at steady traffic.
	earnShare = float64(budgetBuckets) / (budgetBuckets + earnedTTLBuckets)
	// slackFactor is the part of the slack that is spent: nodes that were just added are
	// counted a little later, and traffic is not steady.
	slackFactor = 0.85
	// probabilityFactor times what is left of less than one repeat is the chance of one. All of
	// it would spend the whole allowance in the mean, and more in every other window.
	probabilityFactor = 0.8
)

// Budget limits how often requests are sent once more, for each service. All nodes share
// the allowance without a shared counter, and a restarted node does not know what it has spent
// before, so nothing may depend on that:
//
//   - A request earns a part of a repeat, at the node that takes it and for a short time.
//     However often nodes start again, each part is spent once at most.
//   - The slack is split between the nodes. A process spends none of it until it is a whole
//     window old: the one before it may have spent it all.
//   - Of many nodes each has less than one repeat at any time. What there is gives a chance
//     of one, and is spent whether it comes or not.
type Budget struct {
	ratio  float64
	slack  float64
	window time.Duration
	log    logging.Logger
	// start is when this process began; windows count from it by the steady clock, since
	// the time of day may jump.
	start time.Time
	// chance returns a number from 0 to 1; nil has parts of a repeat give none.
	randFloat func() float64

	mu       sync.Mutex
	nodes    int
	services map[string]*budgetWindow
}

// budgetWindow counts requests and repeats in a sliding window. It has a bucket more than
// the window, since the newest is not full.
type budgetWindow struct {
	// newest numbers the newest bucket by the time since the process's start.
	newest  int64
	buckets [budgetBuckets + 1]budgetBucket
}

// budgetBucket is one part of a window.
type budgetBucket struct {
	requests int
	retries  int
	// earned is what is left of the repeats that the requests have earned, slack what
	// was spent of the slack.
	earned float64
	slack  float64
}

// bucketAt returns the bucketAt of a number. Those before the first are empty ones.
func (w *budgetWindow) bucketAt(number int64) *budgetBucket {
	n := int64(len(w.buckets))
	return &w.buckets[(number%n+n)%n]
}

// NewBudget returns the budget of a process that begins now, of ratio times the requests plus
// a slack, in each window, for all nodes together.
func NewBudget(ratio, slack float64, window time.Duration, nodes int) *Budget {
	return &Budget{
		ratio:    ratio,
		slack:    slack,
		window:   window,
		log:      logging.For("relay"),
		start:    time.Now(),
		randFloat:   rand.Float64,
		nodes:    max(1, nodes),
		services: map[string]*budgetWindow{},
	}
}

// SetNodes tells how many nodes share the slack. The number never falls
// within a process's life: a node that is not heard may still spend.
func (b *Budget) SetNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n <= b.nodes {
		return
	}
	b.log.Info("more nodes share the retry budget", "nodes", n, "before", b.nodes)
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

// Charge is what a repeat took of the budget.
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

// Refund returns what a repeat took that was not sent after all. The zero charge is that of a
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

// BudgetState is what one service's budget is decided by, for logs and metrics.
type BudgetState struct {
	// Requests and Retries are those of the window.
	Requests int
	Retries  int
	// Earned and Slack are how many repeats are left, those that requests have earned
	// and those of this node's slack.
	Earned float64
	Slack  float64
	Nodes  int
	// Age is how long this process has run.
	Age time.Duration
}

// Allowed bounds the repeats of the window.
func (s BudgetState) Allowed() float64 { return float64(s.Retries) + s.Earned + s.Slack }

// State returns what a service's budget is decided by.
func (b *Budget) State(service string, now time.Time) BudgetState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state(b.advance(service, now), now)
}

// Tightest returns the state of the service that has the fewest repeats left.
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

// state sums up a window; the caller holds the lock.
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

// spendEarned takes repeats out of what requests have earned, what ends first first, and
// returns how many it found.
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

// advance returns the service's window, moved on to now.
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
