package throttle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/pkg/advisory"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// cooldownResponse returns a response that requests a cooldown.
func cooldownResponse(span time.Duration) advisory.Observation {
	return advisory.Observation{Endpoint: endpoint.Incarnation(), Statement: advisory.Statement{Cooldown: advisory.Advertised[time.Duration]{Value: span}}}
}

func TestCooldown_KeepsLatestExpiry(t *testing.T) {
	tracker := NewTracker(Options{})
	now := time.Now()
	at := func(seconds float64) time.Time { return now.Add(time.Duration(seconds * float64(time.Second))) }
	tracker.Observe(cooldownResponse(3*time.Second), now)
	// Neither a shorter cooldown nor a response without one shortens it.
	tracker.Observe(cooldownResponse(100*time.Millisecond), at(1))
	tracker.Observe(advisory.Observation{Endpoint: endpoint.Incarnation(), Sent: at(1.5)}, at(2))
	require.Equal(t, HoldCooldown, tracker.Hold(endpoint, at(2.99)))
	require.Equal(t, HoldNone, tracker.Hold(endpoint, at(3.26)), "jitter is bounded")

	tracker.Observe(cooldownResponse(3*time.Second), at(2))
	require.Equal(t, HoldCooldown, tracker.Hold(endpoint, at(4.99)))
	require.Equal(t, HoldNone, tracker.Hold(endpoint, at(5.26)))
	require.Equal(t, HoldNone, tracker.Hold(&serving.Endpoint{ID: "other"}, at(4)))
}

func TestCooldown_SurvivesEndpointRestart(t *testing.T) {
	tracker := NewTracker(Options{})
	now := time.Now()
	tracker.Observe(cooldownResponse(3*time.Second), now)
	next := *endpoint
	next.StartedAt++
	tracker.Forget(map[serving.EndpointID]*serving.Endpoint{next.ID: &next}, now.Add(time.Second))
	require.Equal(t, HoldCooldown, tracker.Hold(&next, now.Add(2*time.Second)))
	require.Equal(t, 1, tracker.CoolingDown())
	tracker.Forget(nil, now.Add(4*time.Second))
	require.Zero(t, tracker.CoolingDown())
}

func TestCooldown_ElapsesDuringSuspension(t *testing.T) {
	tracker := NewTracker(Options{})
	now := time.Now()
	tracker.Observe(cooldownResponse(10*time.Second), now)
	tracker.HandleSuspension(8 * time.Second)
	require.Equal(t, HoldCooldown, tracker.Hold(endpoint, now.Add(1900*time.Millisecond)))
	require.Equal(t, HoldNone, tracker.Hold(endpoint, now.Add(2300*time.Millisecond)))
}

func TestCooldownRetryAfter_ReturnsEarliestExpiry(t *testing.T) {
	tracker := NewTracker(Options{})
	now := time.Now()
	other := &serving.Endpoint{ID: "other"}
	both := []*serving.Endpoint{endpoint, other}
	require.Zero(t, tracker.CooldownRetryAfter(both, now))
	tracker.Observe(cooldownResponse(3*time.Second), now)
	require.InDelta(t, 3*time.Second, tracker.CooldownRetryAfter(both, now), float64(maxCooldownJitter))
	o := cooldownResponse(time.Second)
	o.Endpoint = other.Incarnation()
	tracker.Observe(o, now)
	require.InDelta(t, time.Second, tracker.CooldownRetryAfter(both, now), float64(maxCooldownJitter))
}

func TestObserve_IgnoresInvalidValues(t *testing.T) {
	tracker := NewTracker(Options{})
	now := time.Now()
	tracker.SetLimit(endpoint.Incarnation(), 2, now)
	tracker.Observe(advisory.Observation{Endpoint: endpoint.Incarnation(), Sent: now.Add(time.Second), Statement: advisory.Statement{
		RateLimit: advisory.Advertised[float64]{InvalidValue: "few"},
		Cooldown:  advisory.Advertised[time.Duration]{InvalidValue: "soon"},
		Draining:  advisory.Advertised[bool]{InvalidValue: "perhaps"},
	}}, now.Add(2*time.Second))
	require.EqualValues(t, 2, tracker.RateLimit(endpoint.Incarnation()).PerSecond)
	require.Equal(t, HoldNone, tracker.Hold(endpoint, now))
}

// Responses to control calls may omit a limit that is in force.
func TestObserve_ControlAnswersDoNotClearLimit(t *testing.T) {
	tracker := NewTracker(Options{})
	now := time.Now()
	tracker.SetLimit(endpoint.Incarnation(), 2, now)
	tracker.Observe(advisory.Observation{Endpoint: endpoint.Incarnation()}, now.Add(time.Second))
	require.Equal(t, 1, tracker.RateLimited())
}
