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

// drains is an answer that says that its endpoint drains.
func drains(inc serving.Incarnation) advisory.Observation {
	return advisory.Observation{Endpoint: inc, Statement: advisory.Statement{Draining: advisory.Advertised[bool]{Value: true}}}
}

func TestDraining_IsOfOneIncarnation(t *testing.T) {
	told := 0
	tracker := NewTracker(Options{OnDraining: func() { told++ }})
	now := time.Now()
	tracker.Observe(drains(endpoint.Incarnation()), now)
	tracker.Observe(drains(endpoint.Incarnation()), now)
	require.Equal(t, 1, told)
	// An answer without the mark takes nothing back: it was on its way before.
	tracker.Observe(advisory.Observation{Endpoint: endpoint.Incarnation(), Sent: now.Add(time.Second)}, now.Add(2*time.Second))
	require.Equal(t, HoldDraining, tracker.Hold(endpoint, now))

	next := *endpoint
	next.StartedAt++
	require.Equal(t, HoldNone, tracker.Hold(&next, now))
	tracker.Forget(map[serving.EndpointID]*serving.Endpoint{next.ID: &next}, now)
	require.False(t, tracker.Draining(endpoint.Incarnation()))
}

// A row may be gone for a while: the store was out, or came back from an older copy.
func TestDraining_OutlastsItsRowForAWhile(t *testing.T) {
	tracker := NewTracker(Options{})
	now := time.Now()
	tracker.Observe(drains(endpoint.Incarnation()), now)
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
	a.Observe(drains(endpoint.Incarnation()), now)
	// A limit that ends later takes the mark not with it.
	a.SetLimit(endpoint.Incarnation(), 2, now.Add(time.Second))
	a.ClearLimit(endpoint.Incarnation(), now.Add(2*time.Second), now.Add(3*time.Second))
	for _, to := range []*Tracker{b, fresh} {
		var from, at delta.Cursor
		to.ApplyDelta(&at, a.Delta(&from, now), "a", now)
		require.Equal(t, HoldDraining, to.Hold(endpoint, now))
		a.ApplyDelta(&from, to.Delta(&at, now), "b", now)
		require.Empty(t, a.Delta(&from, now).GetAdvisories(), "what was received is not sent again")
	}
}

func TestRegistry_BoundsDrainingMarks(t *testing.T) {
	tracker := NewTracker(Options{})
	for i := range 10_000 {
		tracker.Observe(drains(serving.Incarnation{ID: serving.EndpointID(fmt.Sprint(i))}), time.Now())
	}
	require.EqualValues(t, 4096, tracker.draining.Load())
}
