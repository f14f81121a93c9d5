// Package claim keeps a request that may not be repeated from running twice.
//
// A caller's idempotency key becomes one row of the platform's table,
// inserted on the condition that it is absent, before the first byte of the
// request leaves for an endpoint. Of all entry instances that hold the same
// key, whichever inserts the row may run the request; the others may not.
//
// Claims are committed in groups: one transaction carries all claims that
// arrived within a short window. Batcher is the pure part of that.
package claim

import "time"

// State is what a claim row says.
type State string

// The states of a claim.
const (
	// StateClaimed means that some entry instance may run or have run it.
	StateClaimed State = "claimed"
	// StateRan means that an endpoint answered.
	StateRan State = "ran"
)

// Row is a claim as the table has it.
type Row struct {
	State State  `json:"state"`
	Node  string `json:"node"`
	// Attempt is unique to the request that made the claim.
	Attempt string `json:"attempt"`
	// Made is when the claim was made, in seconds of Unix time; rows older
	// than the retention are swept.
	Made int64 `json:"made"`
}

// Key returns the table key of a claim.
func Key(workspace, key string) string {
	return "claim/" + workspace + "/" + key
}

// Claim is one insert that waits for its transaction.
type Claim struct {
	Key string
	Row Row
}

// Result is the answer to one claim.
type Result uint8

// The results.
const (
	// ResultGranted means that the request may run, here and nowhere else.
	ResultGranted Result = iota
	// ResultTaken means that the key was claimed before.
	ResultTaken
	// ResultUnavailable means that the table gave no answer: the request
	// must not run.
	ResultUnavailable
)

// Batch is a set of claims for one transaction; no key is in it twice.
type Batch struct {
	Claims []Claim
}

// Batcher collects claims into batches. It has no clock of its own.
type Batcher struct {
	window  time.Duration
	most    int
	pending []Claim
	since   time.Time
	flying  bool
}

// NewBatcher returns a batcher that holds a claim back for the window at
// the longest and puts at most so many claims into one transaction.
func NewBatcher(window time.Duration, most int) *Batcher {
	return &Batcher{window: window, most: most}
}

// Add queues a claim.
func (b *Batcher) Add(now time.Time, c Claim) {
	if len(b.pending) == 0 {
		b.since = now
	}
	b.pending = append(b.pending, c)
}

// Due returns when the next batch should be taken; false when none waits or
// one is still under way.
func (b *Batcher) Due() (time.Time, bool) {
	if b.flying || len(b.pending) == 0 {
		return time.Time{}, false
	}
	if len(b.pending) >= b.most {
		return b.since, true
	}
	return b.since.Add(b.window), true
}

// Take returns the next batch. A second claim of a key stays behind: in one
// transaction with the first it would be granted beside it.
func (b *Batcher) Take(now time.Time) Batch {
	var batch Batch
	var rest []Claim
	taken := map[string]bool{}
	for _, c := range b.pending {
		if taken[c.Key] || len(batch.Claims) >= b.most {
			rest = append(rest, c)
			continue
		}
		taken[c.Key] = true
		batch.Claims = append(batch.Claims, c)
	}
	b.pending = rest
	b.since = now
	b.flying = true
	return batch
}

// Done says that the batch that was taken has its answers.
func (b *Batcher) Done() {
	b.flying = false
}
