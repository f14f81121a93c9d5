package groupcontrol

import (
	"context"
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// This file uses endpoints again that were unreachable for a short time, such as those of a
// partitioned domain. Without it all of them are excluded for deadTTL.

const (
	// recheckInterval is the time between two reports requested from an endpoint that is marked
	// as dead. A lost domain of 37 then costs 37 calls per second while its rows are listed.
	recheckInterval = time.Second
	// repeatWindow is how long after an endpoint was found dead a second time excludes it for the
	// whole deadTTL: an endpoint that fails again and again would end each of its groups.
	repeatWindow = 30 * time.Second
)

// renewed returns the mark of an endpoint that is found dead now.
func (d deadMark) renewed(e *serving.Endpoint, now time.Time) deadMark {
	out := deadMark{at: now, startedAt: e.StartedAt}
	if d.startedAt == e.StartedAt && now.Sub(d.at) < repeatWindow {
		out.checkedAt = d.checkedAt
		out.repeated = d.responded || d.repeated
	}
	return out
}

// recheckDead asks a listed endpoint that is marked as dead for a report; the caller holds the
// lock.
func (c *Controller) recheckDead(ctx context.Context, e *serving.Endpoint, now time.Time) {
	if !c.options.RecheckDead || !c.isDead(e, now) {
		return
	}
	d := c.dead[e.ID]
	if d.repeated || now.Sub(d.at) < recheckInterval || now.Sub(d.checkedAt) < recheckInterval {
		return
	}
	d.checkedAt = now
	c.dead[e.ID] = d
	c.running.Go(func() {
		if _, err := c.report(ctx, e); err == nil {
			c.recordResponse(e)
		}
	})
}

// recordResponse ends the exclusion of an endpoint that responds again.
func (c *Controller) recordResponse(e *serving.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.dead[e.ID]
	if !c.isDead(e, time.Now()) || d.repeated {
		return
	}
	d.responded = true
	c.dead[e.ID] = d
	c.requestTick()
	c.log.Info("endpoint marked as dead responds again", "endpoint", string(e.ID), "after", time.Since(d.at))
}
