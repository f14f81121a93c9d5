// Package throttle makes entry instances respect the rate limits, cooldowns and draining
// notices that endpoints advertise in their responses.
//
// A rate limit applies to the requests of all nodes together, so one node allocates permits:
// the relay node of the endpoint's data centre. The others request one before they send, and
// remember when the next one is due. Nodes gossip limits and their tombstones, and include the
// limit that they know in each request for a permit. A node that cannot reach the allocator
// uses a small local share of the limit: see ratelimit.LocalShare.
//
// Responses are applied through Observe. Each request checks Hold twice: when its endpoint is
// chosen, and before its first byte is written.
package throttle

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/logging"
	"github.com/ridgehinge/ridgehinge/internal/metrics"
	"github.com/ridgehinge/ridgehinge/pkg/advisory"
	"github.com/ridgehinge/ridgehinge/pkg/ratelimit"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Options of a Tracker.
type Options struct {
	// RequestPermit requests a permit from the allocator of an endpoint. An error means that the
	// allocator is unreachable. If nil, this node allocates all permits itself.
	RequestPermit func(ctx context.Context, e *serving.Endpoint, knownLimit advisory.RateLimit) (Permit, error)
	// Nodes returns the number of nodes.
	Nodes func() int
	// OnDraining is called when an endpoint becomes known to be draining; it may be nil.
	OnDraining func()
	// OnChange is called when an advisory that peers need has changed. It must not block and not call
	// the Tracker; it may be nil.
	OnChange func()
	Metrics  *metrics.Metrics
}

// Tracker keeps one node's view of endpoints' advisories, and the state of the permits that it
// allocates. It is safe for concurrent use.
type Tracker struct {
	options Options
	log     logging.Logger
	started time.Time
	// Numbers of limits, cooldowns and draining incarnations, so that requests take no lock
	// while there are none.
	rateLimited atomic.Int64
	coolingDown atomic.Int64
	draining    atomic.Int64

	mu       sync.Mutex
	registry *advisory.Registry
	// exhausted is when endpoints have their next permit, nextRetry the end of the last
	// Retry-After given to callers.
	exhausted map[serving.Incarnation]time.Time
	nextRetry map[serving.Incarnation]time.Time
	shares    map[serving.Incarnation]*ratelimit.LocalShare
	// buckets has the endpoints whose permits this node allocates.
	buckets map[serving.Incarnation]*ratelimit.TokenBucket
	// cooldowns has the expiry of each endpoint's cooldown.
	cooldowns map[serving.EndpointID]time.Time
	// unreachable has the time until which a data centre's allocator is not called.
	unreachable map[serving.DataCentre]time.Time
}

// NewTracker returns an empty tracker.
func NewTracker(o Options) *Tracker {
	t := &Tracker{
		options:     o,
		log:         logging.For("throttle"),
		started:     time.Now(),
		registry:    advisory.NewRegistry(),
		exhausted:   map[serving.Incarnation]time.Time{},
		nextRetry:   map[serving.Incarnation]time.Time{},
		shares:      map[serving.Incarnation]*ratelimit.LocalShare{},
		buckets:     map[serving.Incarnation]*ratelimit.TokenBucket{},
		cooldowns:   map[serving.EndpointID]time.Time{},
		unreachable: map[serving.DataCentre]time.Time{},
	}
	if t.options.OnDraining == nil {
		t.options.OnDraining = func() {}
	}
	if t.options.OnChange == nil {
		t.options.OnChange = func() {}
	}
	if t.options.RequestPermit == nil {
		t.options.RequestPermit = func(_ context.Context, e *serving.Endpoint, knownLimit advisory.RateLimit) (Permit, error) {
			now := time.Now()
			return t.Allocate(e.Incarnation(), knownLimit, e.ColdLimit(now), now), nil
		}
	}
	return t
}

// SetLimit records a rate limit that an endpoint advertised to this node.
func (t *Tracker) SetLimit(inc serving.Incarnation, perSecond float64, now time.Time) {
	t.applyLimit(inc, advisory.RateLimit{PerSecond: perSecond, At: now}, "endpoint response", now)
}

// ClearLimit records that the response to a request sent at a time advertised no limit. It is
// ignored if the limit was advertised after that time.
func (t *Tracker) ClearLimit(inc serving.Incarnation, sent, now time.Time) {
	if t.rateLimited.Load() > 0 {
		t.applyLimit(inc, advisory.RateLimit{At: sent}, "endpoint response", now)
	}
}

func (t *Tracker) applyLimit(inc serving.Incarnation, l advisory.RateLimit, source string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyLimitLocked(inc, l, source, now)
}

// applyLimitLocked applies an advertised limit; the caller holds the lock.
func (t *Tracker) applyLimitLocked(inc serving.Incarnation, l advisory.RateLimit, source string, now time.Time) {
	before := t.registry.Lookup(inc)
	if !t.registry.ApplyLimit(inc, l) {
		return
	}
	t.updateCountsLocked()
	t.options.OnChange()
	if !l.InForce() {
		delete(t.exhausted, inc)
		delete(t.nextRetry, inc)
	}
	t.log.Info("endpoint's rate limit changed", "endpoint", string(inc.ID), "started_at", inc.StartedAt, "per_second", l.PerSecond,
		"before", before.PerSecond, "source", source, "age", now.Sub(l.At))
}

// RateLimit returns an incarnation's rate limit; it is not in force if none is known.
func (t *Tracker) RateLimit(inc serving.Incarnation) advisory.RateLimit {
	if t.rateLimited.Load() == 0 {
		return advisory.RateLimit{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.registry.Lookup(inc)
}

// RateLimited returns the number of limits in force.
func (t *Tracker) RateLimited() int { return int(t.rateLimited.Load()) }

// Forget drops the state of incarnations that were replaced or have expired, and expired cooldowns.
func (t *Tracker) Forget(listed map[serving.EndpointID]*serving.Endpoint, now time.Time) {
	startedAt := func(id serving.EndpointID) (int64, bool) {
		if e := listed[id]; e != nil {
			return e.StartedAt, true
		}
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registry.Forget(startedAt, now)
	t.updateCountsLocked()
	t.expireCooldowns(now)
	limited := func(inc serving.Incarnation) bool {
		e := listed[inc.ID]
		return t.registry.Lookup(inc).InForce() || e != nil && e.Incarnation() == inc && e.ColdLimit(now) > 0
	}
	forgetUnlimited(t.exhausted, limited)
	forgetUnlimited(t.nextRetry, limited)
	forgetUnlimited(t.shares, limited)
	forgetUnlimited(t.buckets, limited)
}

// forgetUnlimited drops the entries of incarnations without a limit.
func forgetUnlimited[V any](kept map[serving.Incarnation]V, limited func(serving.Incarnation) bool) {
	for inc := range kept {
		if !limited(inc) {
			delete(kept, inc)
		}
	}
}

// HandleSuspension backdates advisories by the time for which the machine was suspended.
func (t *Tracker) HandleSuspension(by time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registry.Backdate(by)
	for id, until := range t.cooldowns {
		t.cooldowns[id] = until.Add(-by)
	}
}

// updateCountsLocked updates the counters from the registry; the caller holds the lock.
func (t *Tracker) updateCountsLocked() {
	limited, draining := t.registry.Counts()
	t.rateLimited.Store(int64(limited))
	t.draining.Store(int64(draining))
}
