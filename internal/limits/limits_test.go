package limits

import (
	"context"
	"errors"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/ridgehinge/ridgehinge/internal/news"
	"github.com/ridgehinge/ridgehinge/internal/peers/sharepb"
	"github.com/ridgehinge/ridgehinge/pkg/limit"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

var endpoint = &serving.Endpoint{ID: "e", StartedAt: 7, DataCentre: "north"}

// places takes places for a time, asking every millisecond of it, and counts those granted.
func places(k *Keeper, incarnation serving.Incarnation, known limit.Limit, from time.Time, for_ time.Duration) int {
	granted := 0
	for at := time.Duration(0); at < for_; at += time.Millisecond {
		if k.Grant(incarnation, known, from.Add(at)).Granted {
			granted++
		}
	}
	return granted
}

func TestALimitEndsByAnAnswerToWhatWasSentSince(t *testing.T) {
	k := NewKeeper(Options{})
	now := time.Now()
	incarnation := endpoint.Incarnation()
	k.Named(incarnation, 2, now)
	require.True(t, k.Known(incarnation).InForce())

	// The answer to a request that was sent before may be older than the need.
	k.NotNamed(incarnation, now.Add(-time.Second), now.Add(time.Second))
	require.True(t, k.Known(incarnation).InForce())

	k.NotNamed(incarnation, now.Add(time.Second), now.Add(2*time.Second))
	require.False(t, k.Known(incarnation).InForce())
	require.True(t, k.Place(t.Context(), endpoint))

	// Word of the need that is older than its end does not bring it back.
	k.note(incarnation, limit.Limit{PerSecond: 2, At: now.Add(500 * time.Millisecond)}, "a peer", now)
	require.False(t, k.Known(incarnation).InForce())
}

func TestALimitIsOfOneLife(t *testing.T) {
	k := NewKeeper(Options{})
	k.Named(endpoint.Incarnation(), 1, time.Now())
	next := *endpoint
	next.StartedAt++
	require.False(t, k.Known(next.Incarnation()).InForce())
	k.Forget(map[serving.EndpointID]*serving.Endpoint{"e": &next}, time.Now())
	require.Zero(t, k.InForce())
	require.False(t, k.Known(endpoint.Incarnation()).InForce())
}

func TestPlacesFollowALimitThatChanges(t *testing.T) {
	k := NewKeeper(Options{})
	now := time.Now()
	incarnation := endpoint.Incarnation()
	require.InDelta(t, 80, places(k, incarnation, limit.Limit{PerSecond: 20, At: now}, now, 4*time.Second), 6)
	// What had been saved up at the higher limit is gone.
	later := now.Add(4 * time.Second)
	require.InDelta(t, 4, places(k, incarnation, limit.Limit{PerSecond: 1, At: later}, later, 4*time.Second), 1)
	// A node that still knows the higher limit does not bring it back.
	latest := now.Add(8 * time.Second)
	require.InDelta(t, 4, places(k, incarnation, limit.Limit{PerSecond: 20, At: now}, latest, 4*time.Second), 1)
}

// An endpoint that takes next to nothing gets a request now and then: one that gets nothing
// answers nothing, and its need would be taken to last for ever.
func TestAnEndpointThatTakesNextToNothingIsStillAsked(t *testing.T) {
	k := NewKeeper(Options{})
	now := time.Now()
	require.InDelta(t, 5, places(k, endpoint.Incarnation(), limit.Limit{PerSecond: 1e-9, At: now}, now, 20*time.Second), 1)
}

func TestANodeThatCannotAskTakesASmallPart(t *testing.T) {
	asked := 0
	k := NewKeeper(Options{
		Ask: func(context.Context, *serving.Endpoint, limit.Limit) (Answer, error) {
			asked++
			return Answer{}, errors.New("cut off")
		},
		Nodes: func() int { return 9 },
	})
	k.Named(endpoint.Incarnation(), 90, time.Now())
	require.False(t, k.Place(t.Context(), endpoint), "a fresh incarnation does not know how many there are")
	require.True(t, k.Full(endpoint, time.Now()))
	require.False(t, k.Place(t.Context(), endpoint))
	require.Equal(t, 1, asked, "who does not answer is not asked by each request")

	k.began = time.Now().Add(-time.Minute)
	taken := 0
	for began := time.Now(); time.Since(began) < time.Second; time.Sleep(2 * time.Millisecond) {
		if k.Place(t.Context(), endpoint) {
			taken++
		}
	}
	require.Positive(t, taken)
	require.Less(t, taken, 10)
}

func TestACallerThatLeavesSaysNothingOfWhoWasAsked(t *testing.T) {
	k := NewKeeper(Options{Ask: func(ctx context.Context, _ *serving.Endpoint, _ limit.Limit) (Answer, error) {
		return Answer{Granted: true}, ctx.Err()
	}})
	k.Named(endpoint.Incarnation(), 1, time.Now())
	gone, leave := context.WithCancel(t.Context())
	leave()
	require.False(t, k.Place(gone, endpoint))
	require.False(t, k.isSilent(endpoint.DataCentre))
	require.True(t, k.Place(t.Context(), endpoint), "the next caller's request asks")
}

func TestCallersAreToldTimesThatTheLimitCanKeep(t *testing.T) {
	k := NewKeeper(Options{Nodes: func() int { return 2 }})
	now := time.Now()
	k.Named(endpoint.Incarnation(), 4, now)
	k.full[endpoint.Incarnation()] = now.Add(100 * time.Millisecond)
	all := []*serving.Endpoint{endpoint}
	require.Equal(t, 100*time.Millisecond, k.Return(all, now))
	require.Equal(t, 600*time.Millisecond, k.Return(all, now))
	require.Equal(t, 1100*time.Millisecond, k.Return(all, now))
	for range 100 {
		require.LessOrEqual(t, k.Return(all, now), mostReturn)
	}
}

func TestPeersAreToldOfLimitsAndTheirEnds(t *testing.T) {
	a, b := NewKeeper(Options{}), NewKeeper(Options{})
	var atA, atB news.Link
	swap := func(now time.Time) {
		b.TakeNews(&atB, a.News(&atA, now), "a", now)
		a.TakeNews(&atA, b.News(&atB, now), "b", now)
	}
	now := time.Now()
	for i := range 3 * recordsTold {
		a.Named(serving.Incarnation{ID: endpoint.ID, StartedAt: int64(i)}, 1, now)
	}
	for range 4 {
		swap(now)
	}
	require.Equal(t, 3*recordsTold, b.InForce(), "more than one message holds")
	require.Empty(t, a.News(&atA, now).GetLimits(), "what was heard is not told again")

	b.NotNamed(serving.Incarnation{ID: endpoint.ID}, now.Add(time.Second), now.Add(2*time.Second))
	swap(now.Add(2 * time.Second))
	require.False(t, a.Known(serving.Incarnation{ID: endpoint.ID}).InForce())
	require.Equal(t, 3*recordsTold-1, a.InForce())
}

func TestWhatIsNoNumberOfRequestsTellsNothing(t *testing.T) {
	k := NewKeeper(Options{})
	now := time.Now()
	for _, perSecond := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1} {
		var l news.Link
		k.TakeNews(&l, &sharepb.LimitNews{Limits: []*sharepb.EndpointLimit{{Endpoint: "e", StartedAt: 7, PerSecond: perSecond}}}, "a peer", now)
		require.Zero(t, k.InForce())
		k.Named(endpoint.Incarnation(), 2, now)
		k.TakeNews(&l, &sharepb.LimitNews{Limits: []*sharepb.EndpointLimit{{Endpoint: "e", StartedAt: 7, PerSecond: perSecond}}}, "a peer", now)
		require.EqualValues(t, 2, k.Known(endpoint.Incarnation()).PerSecond)
		k = NewKeeper(Options{})
	}
}

// A flood of limits stays within its bound, and costs what it costs: the figures are printed.
func TestWhatNewsOfLimitsCosts(t *testing.T) {
	k := NewKeeper(Options{})
	now := time.Now()
	for i := range 10_000 {
		k.Named(serving.Incarnation{ID: "i-0123456789", StartedAt: 1_796_275_439_253 + int64(i)}, 1.5, now)
	}
	require.Equal(t, 4096, k.InForce())
	var l news.Link
	told := k.News(&l, now)
	require.Len(t, told.GetLimits(), recordsTold)
	t.Logf("a message of %d limits has %d bytes", recordsTold, proto.Size(told))
	require.Less(t, proto.Size(told), 8<<10)
}
