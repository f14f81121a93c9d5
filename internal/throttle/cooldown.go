package throttle

import (
	"math/rand/v2"
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// An endpoint that sheds load rejects a request and asks the node that sent it to send nothing
// for a while. Cooldowns are the node's own: the endpoint has not asked the others. They hold
// for the endpoint's id, restarts included, since nothing says that a restart ends them.

const (
	// cooldownJitter is the part of a cooldown that is added to it at most, up to
	// maxCooldownJitter: nodes that were asked at the same moment do not come back together.
	cooldownJitter    = 0.1
	maxCooldownJitter = 250 * time.Millisecond
)

// coolDown starts a cooldown, or extends the one that is under way. A later answer that asks
// for less takes nothing back.
func (t *Tracker) coolDown(id serving.EndpointID, span time.Duration, request string, now time.Time) {
	jitter := min(maxCooldownJitter, time.Duration(cooldownJitter*float64(span)))
	until := now.Add(span + rand.N(jitter+1))
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.cooldowns[id]
	if !until.After(known) {
		return
	}
	if !now.Before(known) {
		t.log.Info("endpoint asked for a cooldown", "endpoint", string(id), "retry_after", span, "request", request)
	}
	t.cooldowns[id] = until
	t.coolingDown.Store(int64(len(t.cooldowns)))
}

// expireCooldowns drops those that are over; the caller holds the lock.
func (t *Tracker) expireCooldowns(now time.Time) {
	for id, until := range t.cooldowns {
		if !now.Before(until) {
			delete(t.cooldowns, id)
		}
	}
	t.coolingDown.Store(int64(len(t.cooldowns)))
}

// CoolingDown returns the number of endpoints with a cooldown that was not over when that was
// last looked at.
func (t *Tracker) CoolingDown() int { return int(t.coolingDown.Load()) }

// CooldownRetryAfter returns the time until the first cooldown of some endpoints ends, zero if
// none has one.
func (t *Tracker) CooldownRetryAfter(endpoints []*serving.Endpoint, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := time.Duration(0)
	for _, e := range endpoints {
		left := t.cooldowns[e.ID].Sub(now)
		if left > 0 && (first == 0 || left < first) {
			first = left
		}
	}
	return first
}
