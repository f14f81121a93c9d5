// Package claim prevents non-repeatable requests from running twice.
//
// A caller's idempotency key becomes one row of the platform's table,
// inserted on the condition that it is absent, before the first byte of the
// request is sent to an endpoint. Of all entry instances that get a request
// with the same key, only the one that inserts the row may run it.
//
// Claims are committed in batches: one transaction has all claims that arrived
// within a short window. Batcher collects them.
package claim

import "time"

// State is the state of a claim.
type State string

// The states of a claim.
const (
	// StateClaimed means that an entry instance may run or have run the
	// request.
	StateClaimed State = "claimed"
	// StateRan means that an endpoint responded.
	StateRan State = "ran"
)

// Row is a claim's row in the table.
type Row struct {
	State State  `json:"state"`
	Node  string `json:"node"`
	// Attempt is unique to the request that made the claim.
	Attempt string `json:"attempt"`
	// Made is when the claim was made, in Unix seconds. Rows older than the
	// retention time are deleted.
	Made int64 `json:"made"`
}

// Key returns the table key of a claim.
func Key(workspace, key string) string {
	return "claim/" + workspace + "/" + key
}

// Claim is one row to insert.
type Claim struct {
	Key string
	Row Row
}

// Result is the result of one claim.
type Result uint8

// The results.
const (
	// ResultGranted means that the request may run, here and nowhere else.
	ResultGranted Result = iota
	// ResultTaken means that the key was claimed before.
	ResultTaken
	// ResultUnavailable means that the table did not respond: the request
	// must not run.
	ResultUnavailable
)

// Batch is a set of claims for one transaction, with distinct keys.
type Batch struct {
	Claims []Claim
}

// Batcher collects claims into batches. It has no clock, goroutine or lock.
type Batcher struct {
	window      time.Duration
	maxBatch    int
	pending     []Claim
	windowStart time.Time
	inFlight    bool
}

// NewBatcher returns a batcher that delays a claim for at most the window and
// puts at most maxBatch claims into one transaction.
func NewBatcher(window time.Duration, maxBatch int) *Batcher {
	return &Batcher{window: window, maxBatch: maxBatch}
}

// Add queues a claim.
func (b *Batcher) Add(now time.Time, c Claim) {
	if len(b.pending) == 0 {
		b.windowStart = now
	}
	b.pending = append(b.pending, c)
}

// Due returns when the next batch should be taken. It returns false if no
// claim waits or a batch is still in flight.
func (b *Batcher) Due() (time.Time, bool) {
	if b.inFlight || len(b.pending) == 0 {
		return time.Time{}, false
	}
	if len(b.pending) >= b.maxBatch {
		return b.windowStart, true
	}
	return b.windowStart.Add(b.window), true
}

// Take returns the next batch. A second claim of the same key is left for a
// later batch: in the same transaction both would be granted.
func (b *Batcher) Take(now time.Time) Batch {
	var batch Batch
	var rest []Claim
	included := map[string]bool{}
	for _, c := range b.pending {
		if included[c.Key] || len(batch.Claims) >= b.maxBatch {
			rest = append(rest, c)
			continue
		}
		included[c.Key] = true
		batch.Claims = append(batch.Claims, c)
	}
	b.pending = rest
	b.windowStart = now
	b.inFlight = true
	return batch
}

// Done marks the batch that was taken as committed or failed.
func (b *Batcher) Done() {
	b.inFlight = false
}
