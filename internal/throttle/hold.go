package throttle

import (
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/advisory"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Hold is the reason why an endpoint may not be sent requests now.
type Hold uint8

const (
	// HoldNone means that the endpoint may be sent requests.
	HoldNone Hold = iota
	// HoldDraining means that the endpoint accepts no new requests until it terminates.
	HoldDraining
	// HoldCooldown means that the endpoint has asked this node for a cooldown.
	HoldCooldown
	// HoldRateLimit means that the endpoint has no permit left.
	HoldRateLimit
)

// String returns the name for logs and metrics.
func (h Hold) String() string { return [...]string{"none", "draining", "cooldown", "rate_limit"}[h] }

// Temporary reports whether the hold expires while the endpoint keeps serving.
func (h Hold) Temporary() bool { return h == HoldCooldown || h == HoldRateLimit }

// Hold returns the reason why an endpoint may not be sent requests now, if there is one.
func (t *Tracker) Hold(e *serving.Endpoint, now time.Time) Hold {
	if t.rateLimited.Load()+t.coolingDown.Load()+t.draining.Load() == 0 && e.ColdLimit(now) == 0 {
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

// Observe applies the advisories in an endpoint's response.
func (t *Tracker) Observe(o advisory.Observation, now time.Time) {
	t.logInvalid(o)
	if o.Cooldown.Value > 0 {
		t.startCooldown(o.Endpoint.ID, o.Cooldown.Value, o.Request, now)
	}
	if o.Draining.Value {
		t.markDraining(o.Endpoint, "endpoint response", now)
	}
	switch {
	case o.RateLimit.InvalidValue != "":
	case o.RateLimit.Value > 0:
		t.SetLimit(o.Endpoint, o.RateLimit.Value, now)
	case !o.Sent.IsZero():
		t.ClearLimit(o.Endpoint, o.Sent, now)
	}
}

// maxLoggedBytes truncates header values in the log.
const maxLoggedBytes = 100

// logInvalid logs advisories that could not be parsed; earlier ones stay in force.
func (t *Tracker) logInvalid(o advisory.Observation) {
	t.logInvalidValue(o, "rate limit", o.RateLimit.InvalidValue)
	t.logInvalidValue(o, "cooldown", o.Cooldown.InvalidValue)
	t.logInvalidValue(o, "draining", o.Draining.InvalidValue)
}

func (t *Tracker) logInvalidValue(o advisory.Observation, name, value string) {
	if value == "" {
		return
	}
	t.log.Warn("endpoint sent an invalid advisory", "endpoint", string(o.Endpoint.ID), "advisory", name,
		"value", value[:min(len(value), maxLoggedBytes)], "request", o.Request)
}

// markDraining records that an incarnation is draining, as reported by itself or by a peer.
func (t *Tracker) markDraining(inc serving.Incarnation, source string, now time.Time) {
	t.mu.Lock()
	changed := t.registry.MarkDraining(inc, now)
	if changed {
		t.updateCountsLocked()
	}
	full := !t.registry.Draining(inc)
	t.mu.Unlock()
	if full {
		t.log.Warn("too many advisories; dropped a draining mark", "endpoint", string(inc.ID), "started_at", inc.StartedAt, "source", source)
	}
	if !changed {
		return
	}
	t.log.Info("endpoint is draining", "endpoint", string(inc.ID), "started_at", inc.StartedAt, "source", source)
	t.options.OnDraining()
	t.options.OnChange()
}

// Draining reports whether an incarnation is known to be draining.
func (t *Tracker) Draining(inc serving.Incarnation) bool {
	if t.draining.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.registry.Draining(inc)
}
