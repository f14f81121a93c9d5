package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/zeebo/xxh3"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

const (
	simWarmUp = 4 * time.Second
	simLength = 16 * time.Second
)

// unevenRates divides a total rate among nodes, of which the largest have twelve times the demand
// of the smallest.
func unevenRates(nodes int, total float64) []float64 {
	rates := make([]float64, nodes)
	sum := 0.0
	for i := range rates {
		rates[i] = 1 / float64(1+i%12)
		sum += rates[i]
	}
	for i := range rates {
		rates[i] *= total / sum
	}
	return rates
}

// Guards against nodes that prefer the same heads and overload them.
func TestAffinity_SpreadsLoad(t *testing.T) {
	start := time.Now()
	for _, nodes := range []int{9, 85, 139, 300} {
		for _, affinity := range []float64{1, 8} {
			t.Run(fmt.Sprintf("%d nodes, affinity %g", nodes, affinity), func(t *testing.T) {
				t.Parallel()
				s := newSimulation(20, unevenRates(nodes, 300), affinity, start)
				s.run(start, simWarmUp, simLength)
				t.Logf("busiest head %.2f of the mean, %.2f new connections per request", s.busiest(), s.openedPerRequest())
				require.LessOrEqual(t, s.busiest(), 1.5)
			})
		}
	}
}

// Guards against connections that expire unused because requests are spread over all heads.
func TestAffinity_ReusesConnections(t *testing.T) {
	start := time.Now()
	rates := make([]float64, 85)
	for i := range rates {
		rates[i] = 3
	}
	opened := map[float64]float64{}
	for _, affinity := range []float64{1, 8} {
		s := newSimulation(20, rates, affinity, start)
		s.run(start, simWarmUp, simLength)
		opened[affinity] = s.openedPerRequest()
		t.Logf("affinity %g: %.2f new connections per request", affinity, opened[affinity])
	}
	require.LessOrEqual(t, opened[8], 0.3)
	require.Greater(t, opened[1], 0.6)
}

// Guards against a change of one head that moves the connections to others.
func TestSubset_ChangesByOneHead(t *testing.T) {
	preferred := func(node string, heads []*directory.Head) map[string]bool {
		out := map[string]bool{}
		for _, r := range rankHeads(nil, xxh3.HashString(node), "north", heads)[:subsetSize(3, len(heads))] {
			out[string(r.id)] = true
		}
		return out
	}
	heads := simHeads(20)
	for i := range 50 {
		node := fmt.Sprint("n", i)
		before := preferred(node, heads)
		for left := range heads {
			rest := append(append([]*directory.Head{}, heads[:left]...), heads[left+1:]...)
			after := preferred(node, rest)
			missing := 0
			for id := range before {
				if !after[id] {
					missing++
				}
			}
			require.LessOrEqual(t, missing, 1, "node %s without head %d", node, left)
			require.Len(t, after, len(before))
		}
	}
}

// Guards against a subset without a spare head, or one that the demand can't keep warm.
func TestSubsetSize(t *testing.T) {
	for _, test := range []struct {
		demand      float64
		heads, want int
	}{
		{0, 20, 2}, {2.9, 20, 2}, {3, 20, 3}, {500, 20, 20}, {5, 1, 1}, {5, 0, 0},
	} {
		require.Equal(t, test.want, subsetSize(test.demand, test.heads), "%+v", test)
	}
}

// Guards against allocations for each request, and against a subset that is out of date after a
// change of the heads or of the demand.
func TestSelectSubset_Caches(t *testing.T) {
	weights := DefaultWeights
	weights.Affinity = 8
	demand := 3.0
	b := NewBalancer("north", maxSource{}, weights)
	b.SetAffinitySources(AffinitySources{Node: "n",
		Demand:  func(directory.Pool, time.Time) float64 { return demand },
		HasIdle: func(string, time.Time) bool { return false }})
	heads, now := simHeads(20), time.Now()
	b.selectSubset(heads, now)
	require.Len(t, b.affinity.current.preferred, 3)
	require.Zero(t, testing.AllocsPerRun(100, func() { b.selectSubset(heads, now) }))
	demand = 5
	b.selectSubset(heads, now.Add(subsetInterval))
	require.Len(t, b.affinity.current.preferred, 5)
	b.selectSubset(heads[:4], now.Add(subsetInterval))
	require.Len(t, b.affinity.current.preferred, 4)
	b.selectSubset(nil, now)
	require.InDelta(t, 1, b.affinityWeight(heads[0], now), 0)
}

// Guards against a ranking for each request, where some requests are limited to regions and have lists
// of heads of their own.
func TestSelectSubset_CachesForLimitedRequests(t *testing.T) {
	weights := DefaultWeights
	weights.Affinity = 8
	b := NewBalancer("north", maxSource{}, weights)
	b.SetAffinitySources(AffinitySources{Node: "n",
		Demand:  func(directory.Pool, time.Time) float64 { return 3 },
		HasIdle: func(string, time.Time) bool { return false }})
	home, now := simHeads(20), time.Now()
	remote := &directory.Head{Endpoint: &serving.Endpoint{ID: "far", DataCentre: "south", Service: home[0].Service}, Model: home[0].Model}
	lists := [][]*directory.Head{append(slices.Clone(home), remote), slices.Clone(home), {remote}}
	b.selectSubset(lists[0], now)
	s := b.affinity.current
	s.ranked[0].score = 7 // lost by a new ranking
	for _, heads := range lists {
		b.selectSubset(heads, now)
		require.Same(t, s, b.affinity.current)
		require.EqualValues(t, 7, s.ranked[0].score)
		require.Len(t, s.preferred, 3)
	}
}
