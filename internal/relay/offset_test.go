package relay

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/directory"
)

var testPool = directory.Pool{Service: "s", Model: "m"}

// recordSamples records samples that arrive ten times a second, and returns the time after them.
func recordSamples(o *Offsets, n int, sample time.Duration, now time.Time) time.Time {
	for range n {
		o.Record(testPool, sample, now)
		now = now.Add(100 * time.Millisecond)
	}
	return now
}

// Guards against requests being admitted that an engine's unstated constant time makes late.
func TestOffsets_ConvergesToConstant(t *testing.T) {
	o := NewOffsets()
	now := recordSamples(o, 60, 115*time.Millisecond, time.Now())
	for range 100 {
		now = recordSamples(o, 1, 115*time.Millisecond, now)
		require.InDelta(t, 115, o.InUse(testPool, now).Milliseconds(), 15)
	}
	require.Zero(t, o.InUse(directory.Pool{Service: "s", Model: "other"}, now))
}

// Guards against rejections by an idle pool that outlast the late first events after a restart of all
// nodes.
func TestOffsets_ForgetsLateEventsAfterRestart(t *testing.T) {
	o := NewOffsets()
	now := recordSamples(o, 30, 2*time.Second, time.Now())
	require.LessOrEqual(t, o.InUse(testPool, now), 150*time.Millisecond)
	require.Zero(t, o.InUse(testPool, now.Add(2*offsetWindow)), "without further samples")
	now = recordSamples(o, 12, 0, now)
	require.Zero(t, o.InUse(testPool, now), "with prompt first events")
}

// Guards against an offset above the bound, and against a negative one.
func TestOffsets_Bounds(t *testing.T) {
	o := NewOffsets()
	now := recordSamples(o, 300, time.Minute, time.Now())
	require.Equal(t, maxOffset, o.InUse(testPool, now))
	now = recordSamples(o, 300, -time.Minute, now)
	require.Zero(t, o.InUse(testPool, now))
}

// Guards against a wrong share of the peers' estimates in the offset of a node.
func TestOffsets_SharesWithPeers(t *testing.T) {
	const high, low = 120 * time.Millisecond, 60 * time.Millisecond
	for name, c := range map[string]struct {
		own, peers WeightedOffset
		expected   time.Duration
	}{
		"no samples":                  {},
		"too few samples":             {own: WeightedOffset{high, 2}, peers: WeightedOffset{high, 2}},
		"enough samples together":     {own: WeightedOffset{high, 3}, peers: WeightedOffset{high, 2}, expected: high},
		"only samples of peers":       {peers: WeightedOffset{high, 50}, expected: high},
		"mean by weight":              {own: WeightedOffset{high, 10}, peers: WeightedOffset{low, 20}, expected: 80 * time.Millisecond},
		"invalid value of peers":      {own: WeightedOffset{high, 10}, peers: WeightedOffset{-high, 10}, expected: high},
		"invalid weight of peers":     {own: WeightedOffset{high, 10}, peers: WeightedOffset{low, math.NaN()}, expected: high},
		"infinite weight of peers":    {own: WeightedOffset{high, 10}, peers: WeightedOffset{low, math.Inf(1)}, expected: high},
		"value of peers out of range": {own: WeightedOffset{high, 10}, peers: WeightedOffset{time.Hour, 10}, expected: high},
	} {
		t.Run(name, func(t *testing.T) {
			o, now := NewOffsets(), time.Now()
			o.pools[testPool] = &offset{own: c.own, ownAt: now}
			o.SetPeers(map[directory.Pool]WeightedOffset{testPool: c.peers}, now)
			require.Equal(t, c.expected, o.InUse(testPool, now))
			require.Equal(t, c.own, o.Own(testPool, now))
		})
	}
}

// Guards against a new node that lowers the mean of all until it has converged, and against estimates
// of peers that stay in force after their reports have ended.
func TestOffsets_FollowsPeers(t *testing.T) {
	o, now := NewOffsets(), time.Now()
	peers := WeightedOffset{115 * time.Millisecond, 50}
	o.SetPeers(map[directory.Pool]WeightedOffset{testPool: peers}, now)
	o.Record(testPool, 115*time.Millisecond, now)
	require.Equal(t, WeightedOffset{peers.Value, 1}, o.Own(testPool, now))
	require.Zero(t, o.InUse(testPool, now.Add(3*offsetWindow)))
	o.SetPeers(nil, now)
	require.Zero(t, o.InUse(testPool, now))
}
