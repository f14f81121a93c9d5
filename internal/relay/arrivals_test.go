package relay

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/pkg/admission"
)

var arrivalsPool = directory.Pool{Service: "llm", Model: "large"}

// Guards against rates that differ from the requests, that mix kinds or levels, or that outlast a
// surge.
func TestArrivals_FollowsRequests(t *testing.T) {
	a := NewArrivals()
	now := time.Unix(1000, 0)
	for i := range 1000 {
		now = now.Add(10 * time.Millisecond)
		a.RecordArrival(arrivalsPool, 2, uint32(i%4), 300, i%4 == 0, now)
		a.RecordArrival(arrivalsPool, 12, 7, 10, false, now)
		if i%2 == 0 {
			a.RecordStart(arrivalsPool, 200, now)
		}
	}
	r := a.Rates(now)[arrivalsPool]
	require.InEpsilon(t, 50, r.Starts, 0.03)
	require.InEpsilon(t, 10_000, r.TokensRead, 0.03)
	require.Len(t, r.Levels, 2)
	require.Equal(t, []admission.Level{2, admission.MaxLevel}, []admission.Level{r.Levels[0].Level, r.Levels[1].Level})
	require.InEpsilon(t, 75, r.Levels[0].New, 0.03)
	require.InEpsilon(t, 25, r.Levels[0].Returning, 0.03)
	require.InEpsilon(t, 30_000, r.Levels[0].Tokens, 0.03)
	require.Len(t, r.Levels[0].Workspaces, 4)
	require.InEpsilon(t, 25, r.Levels[0].Workspaces[0].Requests, 0.03)
	require.Less(t, a.Rates(now.Add(5 * time.Second))[arrivalsPool].Starts, 0.5)
}

// Guards against unbounded memory with many workspaces, and against naming any but the largest.
func TestArrivals_BoundsWorkspaces(t *testing.T) {
	a := NewArrivals()
	now := time.Unix(1000, 0)
	for i := range uint32(2 * maxWorkspaces) {
		for range 1 + i%20/19*3 {
			a.RecordArrival(arrivalsPool, 0, i, 1, false, now)
		}
	}
	l := a.pools[arrivalsPool].levels[0]
	require.Len(t, l.workspaces, maxWorkspaces)
	named := a.Rates(now)[arrivalsPool].Levels[0].Workspaces
	require.Len(t, named, MaxNamedWorkspaces)
	for i, w := range named {
		require.Equal(t, admission.WorkspaceDemand{Workspace: uint32(19 + 20*i), Requests: perSecond(4)}, w)
	}
	a.Rates(now.Add(10 * time.Second))
	require.Empty(t, l.workspaces)
}

// Guards against sums that lose or repeat a level or workspace, and that change their operands.
func TestPoolRates_Add(t *testing.T) {
	level := func(l admission.Level, rate float64, workspaces ...admission.WorkspaceDemand) admission.LevelDemand {
		return admission.LevelDemand{Level: l, Rates: admission.Rates{New: rate, Returning: 2 * rate, Tokens: 3 * rate}, Workspaces: workspaces}
	}
	a := PoolRates{Starts: 1, TokensRead: 2, Offset: 100, OffsetWeight: 3, Levels: []admission.LevelDemand{level(0, 1, admission.WorkspaceDemand{Workspace: 4, Requests: 1}, admission.WorkspaceDemand{Workspace: 9, Requests: 2}), level(3, 5)}}
	b := PoolRates{Starts: 10, TokensRead: 20, Offset: 200, OffsetWeight: 1, Levels: []admission.LevelDemand{level(0, 10, admission.WorkspaceDemand{Workspace: 9, Requests: 7}), level(1, 8)}}
	want := PoolRates{Starts: 11, TokensRead: 22, Offset: 125, OffsetWeight: 4, Levels: []admission.LevelDemand{level(0, 11, admission.WorkspaceDemand{Workspace: 4, Requests: 1}, admission.WorkspaceDemand{Workspace: 9, Requests: 9}), level(1, 8), level(3, 5)}}
	require.Equal(t, want, a.Add(b))
	require.Equal(t, want, b.Add(a))
	require.Equal(t, a, a.Add(PoolRates{}))
	require.Equal(t, 1.0, a.Levels[0].New)
	require.Equal(t, 2.0, a.Levels[0].Workspaces[1].Requests)
}

func BenchmarkRecordArrival(b *testing.B) {
	a := NewArrivals()
	now := time.Unix(1000, 0)
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		a.RecordArrival(arrivalsPool, admission.Level(i%3), uint32(i%24), 600, i%8 == 0, now)
	}
}

// Guards against one request with an absurd number of prompt tokens that makes a pool look short.
func TestArrivals_BoundsTokens(t *testing.T) {
	a, now := NewArrivals(), time.Now()
	pool := directory.Pool{Service: "llm", Model: "m"}
	a.RecordArrival(pool, 0, 1, math.MaxInt, false, now)
	a.RecordStart(pool, math.MaxInt, now)
	rates := a.PoolRates(pool, now)
	require.InDelta(t, perSecond(maxCountedTokens), rates.Levels[0].Tokens, 1)
	require.InDelta(t, perSecond(maxCountedTokens), rates.TokensRead, 1)
}
