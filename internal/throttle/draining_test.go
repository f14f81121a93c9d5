package throttle

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/delta"
	"github.com/ridgehinge/ridgehinge/pkg/advisory"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// drainingResponse returns a response from a draining endpoint.
func drainingResponse(inc serving.Incarnation) advisory.Observation {
	return advisory.Observation{Endpoint: inc, Statement: advisory.Statement{Draining: advisory.Advertised[bool]{Value: true}}}
}

func TestDraining_AppliesToOneIncarnation(t *testing.T) {
	calls := 0
	tracker := NewTracker(Options{OnDraining: func() { calls++ }})
	now := time.Now()
	tracker.Observe(drainingResponse(endpoint.Incarnation()), now)
	tracker.Observe(drainingResponse(endpoint.Incarnation()), now)
	require.Equal(t, 1, calls)
	// A response without the mark may have been in flight before; it does not clear it.
	tracker.Observe(advisory.Observation{Endpoint: endpoint.Incarnation(), Sent: now.Add(time.Second)}, now.Add(2*time.Second))
	require.Equal(t, HoldDraining, tracker.Hold(endpoint, now))

	next := *endpoint
	next.StartedAt++
	require.Equal(t, HoldNone, tracker.Hold(&next, now))
	tracker.Forget(map[serving.EndpointID]*serving.Endpoint{next.ID: &next}, now)
	require.False(t, tracker.Draining(endpoint.Incarnation()))
}

// A row may be missing for a while after a store outage or a restore from an older copy.
func TestDraining_OutlivesRemovedRow(t *testing.T) {
	tracker := NewTracker(Options{})
	now := time.Now()
	tracker.Observe(drainingResponse(endpoint.Incarnation()), now)
	tracker.Forget(nil, now.Add(time.Minute))
	require.True(t, tracker.Draining(endpoint.Incarnation()))
	tracker.Forget(map[serving.EndpointID]*serving.Endpoint{endpoint.ID: endpoint}, now.Add(2*time.Minute))
	tracker.Forget(nil, now.Add(3*time.Minute))
	require.True(t, tracker.Draining(endpoint.Incarnation()))
	tracker.Forget(nil, now.Add(5*time.Minute))
	require.False(t, tracker.Draining(endpoint.Incarnation()))
}

func TestDelta_SendsDrainingMarks(t *testing.T) {
	a, b, fresh := NewTracker(Options{}), NewTracker(Options{}), NewTracker(Options{})
	now := time.Now()
	a.Observe(drainingResponse(endpoint.Incarnation()), now)
	// Clearing a limit does not clear the mark.
	a.SetLimit(endpoint.Incarnation(), 2, now.Add(time.Second))
	a.ClearLimit(endpoint.Incarnation(), now.Add(2*time.Second), now.Add(3*time.Second))
	for _, to := range []*Tracker{b, fresh} {
		var from, at delta.Cursor
		to.ApplyDelta(&at, a.Delta(&from, now), "a", now)
		require.Equal(t, HoldDraining, to.Hold(endpoint, now))
		a.ApplyDelta(&from, to.Delta(&at, now), "b", now)
		require.Empty(t, a.Delta(&from, now).GetAdvisories(), "received records are not sent back")
	}
}

func TestRegistry_BoundsDrainingMarks(t *testing.T) {
	tracker := NewTracker(Options{})
	for i := range 10_000 {
		tracker.Observe(drainingResponse(serving.Incarnation{ID: serving.EndpointID(fmt.Sprint(i))}), time.Now())
	}
	require.EqualValues(t, 4096, tracker.draining.Load())
}
