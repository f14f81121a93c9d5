package throttle

import (
	"math/rand/v2"
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// An endpoint that sheds load rejects a request and asks the sending node for a cooldown.
// Cooldowns are not gossiped, since the endpoint has not asked the other nodes. They are keyed
// by endpoint id and survive a restart of the endpoint.

const (
	// cooldownJitter is the largest fraction of a cooldown that is added to it, up to
	// maxCooldownJitter, so that nodes that were asked together do not resume together.
	cooldownJitter    = 0.1
	maxCooldownJitter = 250 * time.Millisecond
)

// startCooldown starts or extends a cooldown. A later, shorter one does not end it earlier.
func (t *Tracker) startCooldown(id serving.EndpointID, span time.Duration, request string, now time.Time) {
	jitter := min(maxCooldownJitter, time.Duration(cooldownJitter*float64(span)))
	until := now.Add(span + rand.N(jitter+1))
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.cooldowns[id]
	if !until.After(current) {
		return
	}
	if !now.Before(current) {
		t.log.Info("endpoint asked for a cooldown", "endpoint", string(id), "retry_after", span, "request", request)
	}
	t.cooldowns[id] = until
	t.coolingDown.Store(int64(len(t.cooldowns)))
}

// expireCooldowns drops expired cooldowns; the caller holds the lock.
func (t *Tracker) expireCooldowns(now time.Time) {
	for id, until := range t.cooldowns {
		if !now.Before(until) {
			delete(t.cooldowns, id)
		}
	}
	t.coolingDown.Store(int64(len(t.cooldowns)))
}

// CoolingDown returns the number of endpoints with a cooldown, including ones that have
// expired since the last cleanup.
func (t *Tracker) CoolingDown() int { return int(t.coolingDown.Load()) }

// CooldownRetryAfter returns the time until the earliest cooldown of these endpoints expires,
// or zero if none has one.
func (t *Tracker) CooldownRetryAfter(endpoints []*serving.Endpoint, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := time.Duration(0)
	for _, e := range endpoints {
		remaining := t.cooldowns[e.ID].Sub(now)
		if remaining > 0 && (first == 0 || remaining < first) {
			first = remaining
		}
	}
	return first
}
