package throttle

import (
	"context"
	"errors"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/ridgehinge/ridgehinge/internal/delta"
	"github.com/ridgehinge/ridgehinge/internal/peers/sharepb"
	"github.com/ridgehinge/ridgehinge/pkg/advisory"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

var endpoint = &serving.Endpoint{ID: "e", StartedAt: 7, DataCentre: "north"}

// countGranted requests a permit every millisecond for a duration and counts those granted.
func countGranted(t *Tracker, inc serving.Incarnation, knownLimit advisory.RateLimit, from time.Time, duration time.Duration) int {
	granted := 0
	for at := time.Duration(0); at < duration; at += time.Millisecond {
		if t.Allocate(inc, knownLimit, 0, from.Add(at)).Granted {
			granted++
		}
	}
	return granted
}

func TestRateLimit_ClearedByLaterRequestOnly(t *testing.T) {
	tracker := NewTracker(Options{})
	now := time.Now()
	incarnation := endpoint.Incarnation()
	tracker.SetLimit(incarnation, 2, now)
	require.True(t, tracker.RateLimit(incarnation).InForce())

	// The response to an earlier request may predate the limit.
	tracker.ClearLimit(incarnation, now.Add(-time.Second), now.Add(time.Second))
	require.True(t, tracker.RateLimit(incarnation).InForce())

	tracker.ClearLimit(incarnation, now.Add(time.Second), now.Add(2*time.Second))
	require.False(t, tracker.RateLimit(incarnation).InForce())
	require.True(t, tracker.Acquire(t.Context(), endpoint))

	// A limit reported by a peer that is older than the tombstone is ignored.
	tracker.applyLimit(incarnation, advisory.RateLimit{PerSecond: 2, At: now.Add(500 * time.Millisecond)}, "a peer", now)
	require.False(t, tracker.RateLimit(incarnation).InForce())
}

func TestRateLimit_DoesNotSurviveEndpointRestart(t *testing.T) {
	tracker := NewTracker(Options{})
	tracker.SetLimit(endpoint.Incarnation(), 1, time.Now())
	next := *endpoint
	next.StartedAt++
	require.False(t, tracker.RateLimit(next.Incarnation()).InForce())
	tracker.Forget(map[serving.EndpointID]*serving.Endpoint{"e": &next}, time.Now())
	require.Zero(t, tracker.RateLimited())
	require.False(t, tracker.RateLimit(endpoint.Incarnation()).InForce())
}

func TestAllocate_AppliesChangedLimit(t *testing.T) {
	tracker := NewTracker(Options{})
	now := time.Now()
	incarnation := endpoint.Incarnation()
	require.InDelta(t, 80, countGranted(tracker, incarnation, advisory.RateLimit{PerSecond: 20, At: now}, now, 4*time.Second), 6)
	// Tokens accumulated at the higher limit are dropped.
	later := now.Add(4 * time.Second)
	require.InDelta(t, 4, countGranted(tracker, incarnation, advisory.RateLimit{PerSecond: 1, At: later}, later, 4*time.Second), 1)
	// A stale higher limit from another node is ignored.
	latest := now.Add(8 * time.Second)
	require.InDelta(t, 4, countGranted(tracker, incarnation, advisory.RateLimit{PerSecond: 20, At: now}, latest, 4*time.Second), 1)
}

// An endpoint that gets no requests sends no responses, so its tiny limit would never clear.
func TestAllocate_ProbesEndpointWithTinyLimit(t *testing.T) {
	tracker := NewTracker(Options{})
	now := time.Now()
	require.InDelta(t, 5, countGranted(tracker, endpoint.Incarnation(), advisory.RateLimit{PerSecond: 1e-9, At: now}, now, 20*time.Second), 1)
}

func TestAcquire_FallsBackToLocalShare(t *testing.T) {
	calls := 0
	tracker := NewTracker(Options{
		RequestPermit: func(context.Context, *serving.Endpoint, advisory.RateLimit) (Permit, error) {
			calls++
			return Permit{}, errors.New("unreachable")
		},
		Nodes: func() int { return 9 },
	})
	const perSecond = 900
	tracker.SetLimit(endpoint.Incarnation(), perSecond, time.Now())
	require.False(t, tracker.Acquire(t.Context(), endpoint), "a node that has just started does not know the number of nodes")
	require.Equal(t, HoldRateLimit, tracker.Hold(endpoint, time.Now()))
	require.False(t, tracker.Acquire(t.Context(), endpoint))
	require.Equal(t, 1, calls, "an unreachable allocator is not called for each request")

	tracker.started = time.Now().Add(-time.Minute)
	granted := 0
	for start := time.Now(); time.Since(start) < time.Second; time.Sleep(2 * time.Millisecond) {
		if tracker.Acquire(t.Context(), endpoint) {
			granted++
		}
	}
	require.Greater(t, granted, perSecond/200)
	require.Less(t, granted, perSecond/9)
}

func TestAcquire_CancelDoesNotMarkAllocator(t *testing.T) {
	tracker := NewTracker(Options{RequestPermit: func(ctx context.Context, _ *serving.Endpoint, _ advisory.RateLimit) (Permit, error) {
		return Permit{Granted: true}, ctx.Err()
	}})
	tracker.SetLimit(endpoint.Incarnation(), 1, time.Now())
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	require.False(t, tracker.Acquire(cancelled, endpoint))
	require.False(t, tracker.isUnreachable(endpoint.DataCentre))
	require.True(t, tracker.Acquire(t.Context(), endpoint), "the next request still calls the allocator")
}

func TestLimitRetryAfter_SpacesCallersByLimit(t *testing.T) {
	tracker := NewTracker(Options{Nodes: func() int { return 2 }})
	now := time.Now()
	tracker.SetLimit(endpoint.Incarnation(), 4, now)
	tracker.exhausted[endpoint.Incarnation()] = now.Add(100 * time.Millisecond)
	all := []*serving.Endpoint{endpoint}
	require.Equal(t, 100*time.Millisecond, tracker.LimitRetryAfter(all, now))
	require.Equal(t, 600*time.Millisecond, tracker.LimitRetryAfter(all, now))
	require.Equal(t, 1100*time.Millisecond, tracker.LimitRetryAfter(all, now))
	for range 100 {
		require.LessOrEqual(t, tracker.LimitRetryAfter(all, now), maxRetryAfter)
	}
}

func TestDelta_SendsLimitsAndTombstones(t *testing.T) {
	a, b := NewTracker(Options{}), NewTracker(Options{})
	var atA, atB delta.Cursor
	swap := func(now time.Time) {
		b.ApplyDelta(&atB, a.Delta(&atA, now), "a", now)
		a.ApplyDelta(&atA, b.Delta(&atB, now), "b", now)
	}
	now := time.Now()
	for i := range 3 * maxDeltaRecords {
		a.SetLimit(serving.Incarnation{ID: endpoint.ID, StartedAt: int64(i)}, 1, now)
	}
	for range 4 {
		swap(now)
	}
	require.Equal(t, 3*maxDeltaRecords, b.RateLimited(), "sent in several messages")
	require.Empty(t, a.Delta(&atA, now).GetAdvisories(), "received records are not sent back")

	b.ClearLimit(serving.Incarnation{ID: endpoint.ID}, now.Add(time.Second), now.Add(2*time.Second))
	swap(now.Add(2 * time.Second))
	require.False(t, a.RateLimit(serving.Incarnation{ID: endpoint.ID}).InForce())
	require.Equal(t, 3*maxDeltaRecords-1, a.RateLimited())
}

func TestApplyDelta_IgnoresAbsurdLimits(t *testing.T) {
	tracker := NewTracker(Options{})
	now := time.Now()
	for _, perSecond := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1} {
		var l delta.Cursor
		tracker.ApplyDelta(&l, &sharepb.AdvisoryDelta{Advisories: []*sharepb.EndpointAdvisory{{Endpoint: "e", StartedAt: 7, PerSecond: perSecond}}}, "a peer", now)
		require.Zero(t, tracker.RateLimited())
		tracker.SetLimit(endpoint.Incarnation(), 2, now)
		tracker.ApplyDelta(&l, &sharepb.AdvisoryDelta{Advisories: []*sharepb.EndpointAdvisory{{Endpoint: "e", StartedAt: 7, PerSecond: perSecond}}}, "a peer", now)
		require.EqualValues(t, 2, tracker.RateLimit(endpoint.Incarnation()).PerSecond)
		tracker = NewTracker(Options{})
	}
}

// Guards the bounds on records kept and on the bytes of one message.
func TestDelta_BoundsRecordsAndBytes(t *testing.T) {
	tracker := NewTracker(Options{})
	now := time.Now()
	for i := range 10_000 {
		tracker.SetLimit(serving.Incarnation{ID: "i-0123456789", StartedAt: 1_796_275_439_253 + int64(i)}, 1.5, now)
	}
	require.Equal(t, 4096, tracker.RateLimited())
	var l delta.Cursor
	sent := tracker.Delta(&l, now)
	require.Len(t, sent.GetAdvisories(), maxDeltaRecords)
	t.Logf("a message of %d limits has %d bytes", maxDeltaRecords, proto.Size(sent))
	require.Less(t, proto.Size(sent), 8<<10)
}
