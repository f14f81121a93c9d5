package relay

import (
	"sync"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/logging"
)

// budgetBuckets is the number of parts that the budget's window is counted in.
const budgetBuckets = 10

// Budget limits how often requests are sent once more, for each service. All
// nodes share the allowance without a shared counter: each spends its part of
// the slack, and the ratio of its own requests.
type Budget struct {
	ratio  float64
	slack  float64
	window time.Duration

	log logging.Logger

	mu sync.Mutex
	// start is the first time seen; windows count from it by the steady
	// clock, since the time of day may jump.
	start    time.Time
	nodes    int
	services map[string]*budgetWindow
}

// budgetWindow counts requests and repeats in a sliding window.
type budgetWindow struct {
	bucket   int64
	requests [budgetBuckets + 1]int
	repeats  [budgetBuckets + 1]int
}

// budgetMargin keeps the sum of all nodes below the allowance: windows slide,
// and buckets do not.
const budgetMargin = 0.85

// NewBudget returns a budget of ratio times the requests plus a slack, in
// each window, for all nodes together.
func NewBudget(ratio, slack float64, window time.Duration, nodes int) *Budget {
	return &Budget{
		ratio:    ratio,
		slack:    slack,
		window:   window,
		log:      logging.For("relay"),
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

// BudgetState is what one service's budget is decided by, for logs and metrics.
type BudgetState struct {
	// Requests and Repeats are those of the window, Allowed bounds the repeats.
	Requests int
	Repeats  int
	Allowed  float64
	Nodes    int
	// Age is how long this life of the node has counted.
	Age time.Duration
}

// State returns what a service's budget is decided by.
func (b *Budget) State(service string, now time.Time) BudgetState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state(b.advance(service, now), now)
}

// Tightest returns the state of the service that has used up the most of its budget.
func (b *Budget) Tightest(now time.Time) BudgetState {
	b.mu.Lock()
	defer b.mu.Unlock()
	var tightest BudgetState
	for service := range b.services {
		state := b.state(b.advance(service, now), now)
		if tightest.Nodes == 0 || float64(state.Repeats)*tightest.Allowed > float64(tightest.Repeats)*state.Allowed {
			tightest = state
		}
	}
	return tightest
}

// state sums up a window; the caller holds the lock.
func (b *Budget) state(w *budgetWindow, now time.Time) BudgetState {
	s := BudgetState{Nodes: b.nodes, Age: now.Sub(b.start)}
	for i := range w.requests {
		s.Requests += w.requests[i]
		s.Repeats += w.repeats[i]
	}
	s.Allowed = budgetMargin * (b.ratio*float64(s.Requests) + b.slack/float64(b.nodes))
	return s
}

// Request counts a request for a service.
func (b *Budget) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.advance(service, now)
	w.requests[w.bucket%int64(len(w.requests))]++
}

// Repeat asks for one more sending of a request, and counts it if granted.
func (b *Budget) Repeat(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.advance(service, now)
	if s := b.state(w, now); float64(s.Repeats+1) > s.Allowed {
		return false
	}
	w.repeats[w.bucket%int64(len(w.repeats))]++
	return true
}

// advance returns the service's window, moved on to now.
func (b *Budget) advance(service string, now time.Time) *budgetWindow {
	w := b.services[service]
	if b.start.IsZero() {
		b.start = now
	}
	bucket := max(0, int64(now.Sub(b.start)/(b.window/budgetBuckets)))
	if w == nil {
		w = &budgetWindow{bucket: bucket}
		b.services[service] = w
	}
	if bucket-w.bucket > int64(len(w.requests)) {
		*w = budgetWindow{bucket: bucket}
	}
	for w.bucket < bucket {
		w.bucket++
		w.requests[w.bucket%int64(len(w.requests))] = 0
		w.repeats[w.bucket%int64(len(w.repeats))] = 0
	}
	return w
}
