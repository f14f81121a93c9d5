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
	// allocatorTimeout bounds a request's wait for a permit; another endpoint may have one
	// immediately.
	allocatorTimeout = 150 * time.Millisecond
	// allocatorBackoff is how long a data centre's allocator is not called after a failure.
	allocatorBackoff = 500 * time.Millisecond
	// noPermitBackoff is how long an endpoint is skipped after its allocator was unreachable
	// and this node's local share had no permit.
	noPermitBackoff = 100 * time.Millisecond
	// shareWarmup is how long after its start a node takes no permits from its local share,
	// since it does not know yet how many nodes share the limit.
	shareWarmup = 2 * time.Second
	// maxRetryAfter bounds the Retry-After sent to callers.
	maxRetryAfter = 10 * time.Second
)

// Permit is an allocator's response.
type Permit struct {
	Granted bool
	// Wait is the time until the next permit if none was granted.
	Wait time.Duration
	// Limit is the newest limit known to the allocator.
	Limit advisory.RateLimit
}

// Acquire reports whether a request may be sent to an endpoint, and takes a permit if the
// endpoint is rate limited or cold.
func (t *Tracker) Acquire(ctx context.Context, e *serving.Endpoint) bool {
	knownLimit := t.RateLimit(e.Incarnation())
	if lowerLimit(knownLimit.PerSecond, e.ColdLimit(time.Now())) == 0 {
		return true
	}
	if t.isUnreachable(e.DataCentre) {
		return t.acquireShare(e)
	}
	askCtx, cancel := context.WithTimeout(ctx, allocatorTimeout)
	defer cancel()
	permit, err := t.options.RequestPermit(askCtx, e, knownLimit)
	if err != nil && ctx.Err() != nil {
		// The caller disconnected or its deadline passed; the allocator may be reachable.
		return false
	}
	if err != nil {
		t.markUnreachable(e.DataCentre, err)
		return t.acquireShare(e)
	}
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyLimitLocked(e.Incarnation(), permit.Limit, "allocator", now)
	if !permit.Granted {
		t.exhausted[e.Incarnation()] = now.Add(permit.Wait)
		t.countPermit("denied")
		return false
	}
	t.countPermit("granted")
	return true
}

func (t *Tracker) countPermit(outcome string) {
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

// acquireShare takes a permit from this node's local share of the limit.
func (t *Tracker) acquireShare(e *serving.Endpoint) bool {
	now := time.Now()
	nodes := t.nodes()
	limit := t.EffectiveLimit(e, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	share := t.shares[e.Incarnation()]
	if share == nil {
		share = &ratelimit.LocalShare{}
		t.shares[e.Incarnation()] = share
	}
	if now.Sub(t.started) >= shareWarmup && share.Take(limit, nodes, rand.Float64, now) {
		t.countPermit("own")
		return true
	}
	t.exhausted[e.Incarnation()] = now.Add(noPermitBackoff)
	t.countPermit("none")
	return false
}

func (t *Tracker) nodes() int {
	if t.options.Nodes == nil {
		return 1
	}
	return max(1, t.options.Nodes())
}

// Allocate grants or denies a permit for an endpoint, after applying the limit known to the
// node that requests it. coldPerSecond is the limit of an endpoint that this node takes for cold,
// or zero.
func (t *Tracker) Allocate(inc serving.Incarnation, knownLimit advisory.RateLimit, coldPerSecond float64, now time.Time) Permit {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyLimitLocked(inc, knownLimit, "permit request", now)
	l := t.registry.Lookup(inc)
	perSecond := lowerLimit(l.PerSecond, coldPerSecond)
	if perSecond == 0 {
		return Permit{Granted: true, Limit: l}
	}
	bucket := t.buckets[inc]
	if bucket == nil {
		bucket = &ratelimit.TokenBucket{}
		t.buckets[inc] = bucket
	}
	granted, wait := bucket.Take(perSecond, now)
	return Permit{Granted: granted, Wait: wait, Limit: l}
}

// LimitRetryAfter returns the Retry-After for a caller that found no permit at any of these
// endpoints, or zero if none has a limit. Successive callers are spaced by this node's equal
// share of the limit, so that they do not retry together.
func (t *Tracker) LimitRetryAfter(endpoints []*serving.Endpoint, now time.Time) time.Duration {
	nodes := t.nodes()
	t.mu.Lock()
	defer t.mu.Unlock()
	var best serving.Incarnation
	var at time.Time
	bestLimit := 0.0
	for _, e := range endpoints {
		inc := e.Incarnation()
		limit := lowerLimit(t.registry.Lookup(inc).PerSecond, e.ColdLimit(now))
		if limit == 0 {
			continue
		}
		next := latest(t.exhausted[inc], t.nextRetry[inc], now)
		if at.IsZero() || next.Before(at) {
			best, at, bestLimit = inc, next, limit
		}
	}
	if at.IsZero() {
		return 0
	}
	spacing := time.Duration(float64(nodes) / bestLimit * float64(time.Second))
	t.nextRetry[best] = at.Add(min(spacing, maxRetryAfter))
	return min(maxRetryAfter, at.Sub(now))
}

func latest(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}
