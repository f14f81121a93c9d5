package relay

import (
	"sync"
	"time"
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
	return &Budget{ratio: ratio, slack: slack, window: window, nodes: max(1, nodes), services: map[string]*budgetWindow{}}
}

// SetNodes tells how many nodes share the slack. The number never falls
// within a process's life: a node that is not heard may still spend.
func (b *Budget) SetNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(b.nodes, n)
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
	requests, repeats := 0, 0
	for i := range w.requests {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	allowed := budgetMargin * (b.ratio*float64(requests) + b.slack/float64(b.nodes))
	if float64(repeats+1) > allowed {
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
