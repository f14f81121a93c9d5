package relay

import (
	"time"

	"github.com/zeebo/xxh3"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/pkg/admission"
)

// returningFraction of the route's timeout is the remaining time below which a request counts as one
// that returns after a rejection. Callers' first attempts have 0.85 to 1 of the timeout left, and
// callers under overload are told to return after a fifth of it.
const returningFraction = 0.8

// minRetryAfter is the least Retry-After that the schedule of return times may give. Without time left
// it gives zero, which the header can't express, and every rejection must have the header.
const minRetryAfter = time.Millisecond

// pool returns the pool of the request, and false for a plain service or an unknown model. Callers
// could otherwise make nodes keep state for any number of models.
func (c *call) pool() (directory.Pool, bool) {
	pool := directory.Pool{Service: c.service, Model: c.attrs.Model}
	engine := c.view.Configuration.Services[c.service].Engine
	if engine == nil {
		return pool, false
	}
	_, known := engine.Model(c.attrs.Model)
	return pool, known
}

// isReturning reports whether the caller appears to return after a rejection.
func (c *call) isReturning() bool {
	return c.attrs.HasDeadline && float64(c.attrs.Remaining) < returningFraction*float64(c.route.Timeout)
}

// shed rejects the request if its pool has more demand than it can serve and the request is beyond
// its share. It reports whether it did.
func (c *call) shed(now time.Time) bool {
	pool, ok := c.pool()
	if c.options.Overload == nil || !ok {
		return false
	}
	q := overloadRequest{
		pool:      pool,
		heads:     c.view.Heads[pool],
		level:     c.level,
		workspace: uint32(xxh3.HashString(c.workspace)),
		tokens:    c.attrs.PromptTokens,
		objective: c.route.Objective,
		returning: c.isReturning(),
	}
	isAdmitted := c.options.Overload.Admit(q, now)
	if isAdmitted || c.lastEvent != "" {
		// Endpoints have already worked on a stream that a caller resumes.
		return false
	}
	c.recordInTime(false, now)
	c.reject(rejection{cause: causeOverload, retryAfter: c.overloadRetryAfter(now)})
	return true
}

// overloadRetryAfter returns when a caller that found no capacity is to return.
func (c *call) overloadRetryAfter(now time.Time) time.Duration {
	pool, ok := c.pool()
	if c.options.Overload == nil || !ok {
		return c.options.Balancer.weights.OverloadRetryAfter
	}
	first, _ := c.options.Balancer.earliestFirst(c.view.Heads[pool], c.sizeFor(pool, now), now)
	after := c.options.Overload.RetryAfter(pool, admission.Caller{
		Remaining:  c.remaining(),
		Timeout:    c.route.Timeout,
		Objective:  c.route.Objective,
		FirstEvent: first,
		Returning:  c.isReturning(),
	}, now)
	if after < minRetryAfter {
		return c.options.Balancer.weights.OverloadRetryAfter
	}
	return after
}

// countReturn counts the outcome of a request for a pool that returned after a rejection.
func (c *call) countReturn(outcome string) {
	if _, ok := c.pool(); ok && c.options.Overload != nil && c.isReturning() {
		c.options.Metrics.Inc("returns", map[string]string{"outcome": outcome})
	}
}

// recordStart counts the first event of the request, or its response if that is no stream.
func (c *call) recordStart(now time.Time) {
	pool, ok := c.pool()
	if c.options.Overload == nil || !ok {
		return
	}
	c.options.Overload.arrivals.RecordStart(pool, c.attrs.PromptTokens, now)
	if now.Sub(c.start) <= c.route.Objective {
		c.countReturn("in_time")
	} else {
		c.countReturn("late")
	}
}

// sizeFor returns the work of the request in a pool, with what is known of the pool.
func (c *call) sizeFor(pool directory.Pool, now time.Time) RequestSize {
	size := c.size()
	size.Offset = c.options.Balancer.FirstOffset(pool, now)
	if c.isOrdered() {
		size.LessUrgent = c.options.Overload.LessUrgent(pool, c.level)
	}
	return size
}
