package throttle

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/pkg/advisory"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// coldEndpoint returns an endpoint that is cold for a second.
func coldEndpoint(now time.Time) *serving.Endpoint {
	return &serving.Endpoint{ID: "e", StartedAt: 7, DataCentre: "north", ColdUntil: now.Add(time.Second), ColdPerSec: 4}
}

func TestCold_NeedsPermits(t *testing.T) {
	asked := 0
	tracker := NewTracker(Options{RequestPermit: func(_ context.Context, e *serving.Endpoint, _ advisory.RateLimit) (Permit, error) {
		asked++
		return Permit{Wait: time.Minute}, nil
	}})
	now := time.Now()
	e := coldEndpoint(now)
	require.Equal(t, HoldNone, tracker.Hold(e, now))
	require.False(t, tracker.Acquire(t.Context(), e))
	require.Equal(t, HoldRateLimit, tracker.Hold(e, now), "it is skipped until the next permit")
	require.Positive(t, tracker.LimitRetryAfter([]*serving.Endpoint{e}, now))
	tracker.Forget(map[serving.EndpointID]*serving.Endpoint{e.ID: e}, now)
	require.Equal(t, HoldRateLimit, tracker.Hold(e, now))

	warm := *e
	warm.ColdUntil = now
	require.True(t, tracker.Acquire(t.Context(), &warm))
	require.Equal(t, HoldNone, tracker.Hold(&warm, now))
	require.Equal(t, 1, asked)
	tracker.Forget(map[serving.EndpointID]*serving.Endpoint{e.ID: &warm}, now)
	require.Empty(t, tracker.exhausted)
}

// The asking node may know of a cold period before the allocator does.
func TestAllocate_LowerOfLimits(t *testing.T) {
	now := time.Now()
	for name, test := range map[string]struct {
		advertised, cold, want float64
	}{
		"neither":       {0, 0, 1000},
		"cold":          {0, 20, 20},
		"advertised":    {20, 0, 20},
		"colder":        {50, 20, 20},
		"more limited":  {20, 50, 20},
		"invalid limit": {0, -1, 1000},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker(Options{})
			inc := endpoint.Incarnation()
			granted := 0
			for at := time.Duration(0); at < time.Second; at += time.Millisecond {
				limit := advisory.RateLimit{PerSecond: test.advertised, At: now}
				if tracker.Allocate(inc, limit, test.cold, now.Add(at)).Granted {
					granted++
				}
			}
			require.InDelta(t, test.want, granted, 0.1*test.want+1)
		})
	}
}
