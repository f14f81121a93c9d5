package throttle

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/advisory"
	"github.com/ridgehinge/ridgehinge/pkg/ratelimit"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

const (
	// allocatorTimeout bounds a request's wait for a permit: other endpoints may have one at
	// once.
	allocatorTimeout = 150 * time.Millisecond
	// allocatorBackoff is how long the allocator of a data centre is not asked after a call
	// that was not answered.
	allocatorBackoff = 500 * time.Millisecond
	// shareBackoff is how long an endpoint is passed over whose allocator is unreachable and
	// of which this node's own share gave no permit.
	shareBackoff = 100 * time.Millisecond
	// shareWarmup is how long after its start a node takes no share: it does not know yet how
	// many nodes there are.
	shareWarmup = 2 * time.Second
	// maxRetryAfter bounds the time after which callers are told to come back.
	maxRetryAfter = 10 * time.Second
)

// Permit is an allocator's answer.
type Permit struct {
	Granted bool
	// Wait is the time until the next permit, if there is none.
	Wait time.Duration
	// Limit is what the allocator knows of the limit.
	Limit advisory.RateLimit
}

// Acquire reports whether a request may be sent to an endpoint, and takes a permit if the
// endpoint limits how much it takes.
func (t *Tracker) Acquire(ctx context.Context, e *serving.Endpoint) bool {
	known := t.RateLimit(e.Incarnation())
	if !known.InForce() {
		return true
	}
	if t.isUnreachable(e.DataCentre) {
		return t.acquireShare(e, known)
	}
	asking, cancel := context.WithTimeout(ctx, allocatorTimeout)
	defer cancel()
	permit, err := t.options.Ask(asking, e, known)
	if err != nil && ctx.Err() != nil {
		// The caller has gone, or its time is over: that says nothing of the allocator.
		return false
	}
	if err != nil {
		t.markUnreachable(e.DataCentre, err)
		return t.acquireShare(e, known)
	}
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyLimitLocked(e.Incarnation(), permit.Limit, "the allocator", now)
	if !permit.Granted {
		t.exhausted[e.Incarnation()] = now.Add(permit.Wait)
		t.count("denied")
		return false
	}
	t.count("granted")
	return true
}

func (t *Tracker) count(outcome string) {
	if t.options.Metrics != nil {
		t.options.Metrics.Inc("rate_limit_permits", map[string]string{"outcome": outcome})
	}
}

func (t *Tracker) isUnreachable(dc serving.DataCentre) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Now().Before(t.unreachable[dc])
}

func (t *Tracker) markUnreachable(dc serving.DataCentre, err error) {
	t.log.Info("rate-limit allocator unreachable; falling back to the local share", "data_centre", string(dc), "error", err)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unreachable[dc] = time.Now().Add(allocatorBackoff)
}

// acquireShare takes a permit out of this node's own share of the limit.
func (t *Tracker) acquireShare(e *serving.Endpoint, known advisory.RateLimit) bool {
	now := time.Now()
	nodes := t.nodes()
	t.mu.Lock()
	defer t.mu.Unlock()
	share := t.shares[e.Incarnation()]
	if share == nil {
		share = &ratelimit.LocalShare{}
		t.shares[e.Incarnation()] = share
	}
	if now.Sub(t.started) >= shareWarmup && share.Take(known.PerSecond, nodes, rand.Float64, now) {
		t.count("own")
		return true
	}
	t.exhausted[e.Incarnation()] = now.Add(shareBackoff)
	t.count("none")
	return false
}

// nodes returns how many nodes there are.
func (t *Tracker) nodes() int {
	if t.options.Nodes == nil {
		return 1
	}
	return max(1, t.options.Nodes())
}

// Allocate gives out a permit at an endpoint, for any node that asks, by what it knows of the
// limit.
func (t *Tracker) Allocate(inc serving.Incarnation, known advisory.RateLimit, now time.Time) Permit {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyLimitLocked(inc, known, "a node that asks", now)
	l := t.registry.Lookup(inc)
	if !l.InForce() {
		return Permit{Granted: true, Limit: l}
	}
	pacer := t.pacers[inc]
	if pacer == nil {
		pacer = &ratelimit.TokenBucket{}
		t.pacers[inc] = pacer
	}
	granted, wait := pacer.Take(l.PerSecond, now)
	return Permit{Granted: granted, Wait: wait, Limit: l}
}

// LimitRetryAfter is the time after which a caller may come back that found no permit at any
// of some endpoints. Each caller is told a later one, by the part of the limit that this node
// would have if all nodes told theirs so.
func (t *Tracker) LimitRetryAfter(endpoints []*serving.Endpoint, now time.Time) time.Duration {
	nodes := t.nodes()
	t.mu.Lock()
	defer t.mu.Unlock()
	var best serving.Incarnation
	var at time.Time
	for _, e := range endpoints {
		inc := e.Incarnation()
		if !t.registry.Lookup(inc).InForce() {
			continue
		}
		next := latest(t.exhausted[inc], t.promised[inc], now)
		if at.IsZero() || next.Before(at) {
			best, at = inc, next
		}
	}
	if at.IsZero() {
		return 0
	}
	spacing := time.Duration(float64(nodes) / t.registry.Lookup(best).PerSecond * float64(time.Second))
	t.promised[best] = at.Add(min(spacing, maxRetryAfter))
	return min(maxRetryAfter, at.Sub(now))
}

// latest returns the latest of some times.
func latest(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}
