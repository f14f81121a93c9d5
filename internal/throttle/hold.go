package throttle

import (
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/advisory"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Hold is why an endpoint may be sent no caller's request now.
type Hold uint8

const (
	// HoldNone endpoints may be sent requests.
	HoldNone Hold = iota
	// HoldDraining endpoints take nothing new until they end.
	HoldDraining
	// HoldCooldown endpoints have asked this node to send nothing for a while.
	HoldCooldown
	// HoldRateLimit endpoints are known to have no permit.
	HoldRateLimit
)

// String returns the name for logs and metrics.
func (h Hold) String() string { return [...]string{"none", "draining", "cooldown", "rate_limit"}[h] }

// Temporary reports whether the hold expires while the endpoint keeps serving.
func (h Hold) Temporary() bool { return h == HoldCooldown || h == HoldRateLimit }

// Hold returns why an endpoint may be sent nothing now.
func (t *Tracker) Hold(e *serving.Endpoint, now time.Time) Hold {
	if t.rateLimited.Load()+t.coolingDown.Load()+t.draining.Load() == 0 {
		return HoldNone
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.registry.Draining(e.Incarnation()):
		return HoldDraining
	case now.Before(t.cooldowns[e.ID]):
		return HoldCooldown
	case now.Before(t.exhausted[e.Incarnation()]):
		return HoldRateLimit
	}
	return HoldNone
}

// Observe applies what an endpoint's answer says of the endpoint.
func (t *Tracker) Observe(o advisory.Observation, now time.Time) {
	t.logUnreadable(o)
	if o.Cooldown.Value > 0 {
		t.coolDown(o.Endpoint.ID, o.Cooldown.Value, o.Request, now)
	}
	if o.Draining.Value {
		t.markDraining(o.Endpoint, "its answer", now)
	}
	switch {
	case o.RateLimit.Unreadable != "":
	case o.RateLimit.Value > 0:
		t.SetLimit(o.Endpoint, o.RateLimit.Value, now)
	case !o.Sent.IsZero():
		t.ClearLimit(o.Endpoint, o.Sent, now)
	}
}

// maxLogged bounds the bytes of a header's value in the log.
const maxLogged = 100

// logUnreadable logs what an answer says that cannot be read. What is known stays in force.
func (t *Tracker) logUnreadable(o advisory.Observation) {
	t.logValue(o, "rate limit", o.RateLimit.Unreadable)
	t.logValue(o, "cooldown", o.Cooldown.Unreadable)
	t.logValue(o, "draining", o.Draining.Unreadable)
}

// logValue logs one value that cannot be read, if there is one.
func (t *Tracker) logValue(o advisory.Observation, name, value string) {
	if value == "" {
		return
	}
	t.log.Warn("endpoint's advisory cannot be read", "endpoint", string(o.Endpoint.ID), "advisory", name,
		"value", value[:min(len(value), maxLogged)], "request", o.Request)
}

// markDraining notes that an incarnation drains, by its own word or that of a peer.
func (t *Tracker) markDraining(inc serving.Incarnation, source string, now time.Time) {
	t.mu.Lock()
	changed := t.registry.MarkDraining(inc, now)
	if changed {
		t.countLocked()
	}
	full := !t.registry.Draining(inc)
	t.mu.Unlock()
	if full {
		t.log.Warn("too many advisories are known; a draining mark is not kept", "endpoint", string(inc.ID), "started_at", inc.StartedAt, "source", source)
	}
	if !changed {
		return
	}
	t.log.Info("endpoint is draining", "endpoint", string(inc.ID), "started_at", inc.StartedAt, "source", source)
	t.options.OnDraining()
}

// Draining reports whether an incarnation has said that it drains.
func (t *Tracker) Draining(inc serving.Incarnation) bool {
	if t.draining.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.registry.Draining(inc)
}
