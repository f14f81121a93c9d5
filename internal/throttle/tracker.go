// Package throttle keeps what entry instances send to an endpoint within what the endpoint
// asks for in its answers.
//
// An endpoint in need advertises how many requests a second it takes from all nodes together.
// No node sees all of them, so one allocates permits: the node that relays for the endpoint's
// data centre. The others ask it for one before they send, and remember until when there is
// none. Nodes gossip limits and their ends; whoever asks for a permit includes what it knows.
//
// A node that cannot reach the allocator takes a small share of the limit by itself: see
// ratelimit.LocalShare.
//
// An endpoint that rejects a request may ask the node for a cooldown, and one that leaves says
// so in all its answers. Each answer's advisory.Statement comes here through Observe, and each
// request asks Hold twice: when its endpoint is chosen, and before its first byte is written.
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
	// Ask asks the allocator of an endpoint for a permit. An error means that it was not
	// reached. nil has this node allocate all permits.
	Ask func(ctx context.Context, e *serving.Endpoint, known advisory.RateLimit) (Permit, error)
	// Nodes returns how many nodes there are.
	Nodes func() int
	// OnDraining is called when an endpoint is newly known to drain; nil does nothing.
	OnDraining func()
	Metrics    *metrics.Metrics
}

// Tracker is what one node knows of endpoints' advisories, and the permits that it has
// allocated.
// It is safe for concurrent use.
type Tracker struct {
	options Options
	log     logging.Logger
	started time.Time
	// These count limits, cooldowns and draining incarnations, so that requests take no lock
	// while there are none.
	rateLimited atomic.Int64
	coolingDown atomic.Int64
	draining    atomic.Int64

	mu       sync.Mutex
	registry *advisory.Registry
	// exhausted tells until when endpoints have no permit, promised until when callers have
	// been told to come back for those after that.
	exhausted map[serving.Incarnation]time.Time
	promised  map[serving.Incarnation]time.Time
	shares    map[serving.Incarnation]*ratelimit.LocalShare
	// pacers are of the endpoints whose permits this node allocates.
	pacers map[serving.Incarnation]*ratelimit.TokenBucket
	// cooldowns tells until when endpoints have asked this node to send nothing.
	cooldowns map[serving.EndpointID]time.Time
	// unreachable tells until when the allocator of a data centre is not asked.
	unreachable map[serving.DataCentre]time.Time
}

// NewTracker returns a tracker that knows nothing yet.
func NewTracker(o Options) *Tracker {
	t := &Tracker{
		options:     o,
		log:         logging.For("throttle"),
		started:     time.Now(),
		registry:    advisory.NewRegistry(),
		exhausted:   map[serving.Incarnation]time.Time{},
		promised:    map[serving.Incarnation]time.Time{},
		shares:      map[serving.Incarnation]*ratelimit.LocalShare{},
		pacers:      map[serving.Incarnation]*ratelimit.TokenBucket{},
		cooldowns:   map[serving.EndpointID]time.Time{},
		unreachable: map[serving.DataCentre]time.Time{},
	}
	if t.options.OnDraining == nil {
		t.options.OnDraining = func() {}
	}
	if t.options.Ask == nil {
		t.options.Ask = func(_ context.Context, e *serving.Endpoint, known advisory.RateLimit) (Permit, error) {
			return t.Allocate(e.Incarnation(), known, time.Now()), nil
		}
	}
	return t
}

// SetLimit notes that an endpoint has advertised a limit to this node.
func (t *Tracker) SetLimit(inc serving.Incarnation, perSecond float64, now time.Time) {
	t.applyLimit(inc, advisory.RateLimit{PerSecond: perSecond, At: now}, "its answer", now)
}

// ClearLimit notes that an answer to a request that was sent at some time advertised no limit.
// One that was sent before the limit was last advertised says nothing of its end.
func (t *Tracker) ClearLimit(inc serving.Incarnation, sent, now time.Time) {
	if t.rateLimited.Load() > 0 {
		t.applyLimit(inc, advisory.RateLimit{At: sent}, "its answer", now)
	}
}

func (t *Tracker) applyLimit(inc serving.Incarnation, l advisory.RateLimit, source string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyLimitLocked(inc, l, source, now)
}

// applyLimitLocked takes what an endpoint said; the caller holds the lock.
func (t *Tracker) applyLimitLocked(inc serving.Incarnation, l advisory.RateLimit, source string, now time.Time) {
	before := t.registry.Lookup(inc)
	if !t.registry.ApplyLimit(inc, l) {
		return
	}
	t.countLocked()
	if !l.InForce() {
		delete(t.exhausted, inc)
		delete(t.promised, inc)
	}
	t.log.Info("endpoint's rate limit has changed", "endpoint", string(inc.ID), "started_at", inc.StartedAt, "per_second", l.PerSecond,
		"before", before.PerSecond, "source", source, "age", now.Sub(l.At))
}

// RateLimit returns what is known of an endpoint's limit.
func (t *Tracker) RateLimit(inc serving.Incarnation) advisory.RateLimit {
	if t.rateLimited.Load() == 0 {
		return advisory.RateLimit{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.registry.Lookup(inc)
}

// RateLimited returns the number of limits that are known.
func (t *Tracker) RateLimited() int { return int(t.rateLimited.Load()) }

// Forget drops what is known of incarnations that are over.
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
	t.countLocked()
	t.expireCooldowns(now)
	forget(t.exhausted, t.registry)
	forget(t.promised, t.registry)
	forget(t.shares, t.registry)
	forget(t.pacers, t.registry)
}

// forget drops what is kept of incarnations without a limit.
func forget[V any](kept map[serving.Incarnation]V, registry *advisory.Registry) {
	for inc := range kept {
		if !registry.Lookup(inc).InForce() {
			delete(kept, inc)
		}
	}
}

// HandleSuspension backdates what endpoints said by the time the machine was suspended.
func (t *Tracker) HandleSuspension(by time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registry.Backdate(by)
	for id, until := range t.cooldowns {
		t.cooldowns[id] = until.Add(-by)
	}
}

// countLocked counts what the registry has; the caller holds the lock.
func (t *Tracker) countLocked() {
	limited, draining := t.registry.Counts()
	t.rateLimited.Store(int64(limited))
	t.draining.Store(int64(draining))
}
