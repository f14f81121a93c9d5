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

// permits takes permits for a time, asking every millisecond of it, and counts those granted.
func permits(t *Tracker, inc serving.Incarnation, known advisory.RateLimit, from time.Time, for_ time.Duration) int {
	granted := 0
	for at := time.Duration(0); at < for_; at += time.Millisecond {
		if t.Allocate(inc, known, from.Add(at)).Granted {
			granted++
		}
	}
	return granted
}

func TestRateLimit_EndsByAnAnswerToALaterRequest(t *testing.T) {
	tracker := NewTracker(Options{})
	now := time.Now()
	incarnation := endpoint.Incarnation()
	tracker.SetLimit(incarnation, 2, now)
	require.True(t, tracker.RateLimit(incarnation).InForce())

	// The answer to a request that was sent before may be older than the need.
	tracker.ClearLimit(incarnation, now.Add(-time.Second), now.Add(time.Second))
	require.True(t, tracker.RateLimit(incarnation).InForce())

	tracker.ClearLimit(incarnation, now.Add(time.Second), now.Add(2*time.Second))
	require.False(t, tracker.RateLimit(incarnation).InForce())
	require.True(t, tracker.Acquire(t.Context(), endpoint))

	// Word of the need that is older than its end does not bring it back.
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

func TestAllocate_FollowsAChangedLimit(t *testing.T) {
	tracker := NewTracker(Options{})
	now := time.Now()
	incarnation := endpoint.Incarnation()
	require.InDelta(t, 80, permits(tracker, incarnation, advisory.RateLimit{PerSecond: 20, At: now}, now, 4*time.Second), 6)
	// What had been saved up at the higher limit is gone.
	later := now.Add(4 * time.Second)
	require.InDelta(t, 4, permits(tracker, incarnation, advisory.RateLimit{PerSecond: 1, At: later}, later, 4*time.Second), 1)
	// A node that still knows the higher limit does not bring it back.
	latest := now.Add(8 * time.Second)
	require.InDelta(t, 4, permits(tracker, incarnation, advisory.RateLimit{PerSecond: 20, At: now}, latest, 4*time.Second), 1)
}

// An endpoint that takes next to nothing gets a request now and then: one that gets nothing
// answers nothing, and its need would be taken to last for ever.
func TestAllocate_ProbesAnEndpointWithATinyLimit(t *testing.T) {
	tracker := NewTracker(Options{})
	now := time.Now()
	require.InDelta(t, 5, permits(tracker, endpoint.Incarnation(), advisory.RateLimit{PerSecond: 1e-9, At: now}, now, 20*time.Second), 1)
}

func TestAcquire_FallsBackToTheLocalShare(t *testing.T) {
	asked := 0
	tracker := NewTracker(Options{
		Ask: func(context.Context, *serving.Endpoint, advisory.RateLimit) (Permit, error) {
			asked++
			return Permit{}, errors.New("cut off")
		},
		Nodes: func() int { return 9 },
	})
	const perSecond = 900
	tracker.SetLimit(endpoint.Incarnation(), perSecond, time.Now())
	require.False(t, tracker.Acquire(t.Context(), endpoint), "a fresh incarnation does not know how many there are")
	require.Equal(t, HoldRateLimit, tracker.Hold(endpoint, time.Now()))
	require.False(t, tracker.Acquire(t.Context(), endpoint))
	require.Equal(t, 1, asked, "who does not answer is not asked by each request")

	tracker.started = time.Now().Add(-time.Minute)
	taken := 0
	for began := time.Now(); time.Since(began) < time.Second; time.Sleep(2 * time.Millisecond) {
		if tracker.Acquire(t.Context(), endpoint) {
			taken++
		}
	}
	require.Greater(t, taken, perSecond/200)
	require.Less(t, taken, perSecond/9)
}

func TestAcquire_CallerThatLeavesDoesNotMarkTheAllocator(t *testing.T) {
	tracker := NewTracker(Options{Ask: func(ctx context.Context, _ *serving.Endpoint, _ advisory.RateLimit) (Permit, error) {
		return Permit{Granted: true}, ctx.Err()
	}})
	tracker.SetLimit(endpoint.Incarnation(), 1, time.Now())
	gone, leave := context.WithCancel(t.Context())
	leave()
	require.False(t, tracker.Acquire(gone, endpoint))
	require.False(t, tracker.isUnreachable(endpoint.DataCentre))
	require.True(t, tracker.Acquire(t.Context(), endpoint), "the next caller's request asks")
}

func TestLimitRetryAfter_SpacesCallersByTheLimit(t *testing.T) {
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

func TestDelta_SendsLimitsAndTheirEnds(t *testing.T) {
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
	require.Equal(t, 3*maxDeltaRecords, b.RateLimited(), "more than one message holds")
	require.Empty(t, a.Delta(&atA, now).GetAdvisories(), "what was heard is not told again")

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

// A flood of limits stays within its bound, and costs what it costs: the figures are printed.
func TestDelta_BoundsRecordsAndBytes(t *testing.T) {
	tracker := NewTracker(Options{})
	now := time.Now()
	for i := range 10_000 {
		tracker.SetLimit(serving.Incarnation{ID: "i-0123456789", StartedAt: 1_796_275_439_253 + int64(i)}, 1.5, now)
	}
	require.Equal(t, 4096, tracker.RateLimited())
	var l delta.Cursor
	told := tracker.Delta(&l, now)
	require.Len(t, told.GetAdvisories(), maxDeltaRecords)
	t.Logf("a message of %d limits has %d bytes", maxDeltaRecords, proto.Size(told))
	require.Less(t, proto.Size(told), 8<<10)
}
