package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)

func tallyOf(served, failed int) Tally {
	var r Results
	for range served {
		r.Record(false, start)
	}
	for range failed {
		r.Record(true, start)
	}
	return r.Tally(start)
}

func TestTally_Rate(t *testing.T) {
	for _, c := range []struct {
		name           string
		served, failed int
		low, high      float64
	}{
		{"no requests", 0, 0, 0, 0},
		{"no failures", 20, 0, 0, 0},
		{"single failure", 0, 1, 0.4, 0.6},
		{"one of twenty", 19, 1, 0.03, 0.06},
		{"all fail", 0, 9, 0.85, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			rate := tallyOf(c.served, c.failed).Rate()
			require.GreaterOrEqual(t, rate, c.low)
			require.LessOrEqual(t, rate, c.high)
		})
	}
}

func TestResults_Decay(t *testing.T) {
	var r Results
	for range 10 {
		r.Record(true, start)
	}
	before := Weight(r.Tally(start).Rate())
	later := Weight(r.Tally(start.Add(3 * decayTime)).Rate())
	require.Less(t, before, 0.001)
	require.Greater(t, later, 100*before, "failures decay")
	require.Equal(t, Tally{}, r.Tally(start.Add(time.Minute)))
}

func TestResults_FutureTimesCountAsNow(t *testing.T) {
	var r Results
	r.Record(true, start)
	require.Equal(t, Tally{Failed: 1}, r.Tally(start.Add(-time.Second)))
}

// Only differences between failure rates may move requests.
func TestWeight_FallsWithRate(t *testing.T) {
	last := 1.1
	for _, rate := range []float64{0, 0.1, 0.3, 0.5, 0.9, 1} {
		require.Less(t, Weight(rate), last)
		last = Weight(rate)
	}
	require.Zero(t, Weight(1))
	require.Equal(t, 1.0, Weight(-1))
}

// A slow endpoint is detected after one stream, and recovers once the observations have decayed.
func TestPaces_DetectSlowEndpoints(t *testing.T) {
	var slow, healthy Paces
	now := start
	for range 20 {
		now = now.Add(200 * time.Millisecond)
		slow.Record(200*time.Millisecond, 20*time.Millisecond, now)
		healthy.Record(22*time.Millisecond, 20*time.Millisecond, now)
	}
	require.Greater(t, slow.Pace(now).Factor(), 4.0)
	require.Less(t, healthy.Pace(now).Factor(), 1.1)
	require.Less(t, slow.Pace(now.Add(4*decayTime)).Factor(), 1.5)
	require.Equal(t, 1.0, Pace{Took: 0.1, Expected: 5}.Factor())
	require.Equal(t, float64(maxSlowdown), Pace{Took: 1000, Expected: 1}.Factor())
}

func TestEvidence_SilentFor(t *testing.T) {
	ago := func(d time.Duration) time.Time { return start.Add(-d) }
	for _, c := range []struct {
		name string
		e    Evidence
		want time.Duration
	}{
		{"no reports by peers", Evidence{LocalEvent: ago(600 * time.Millisecond), Waiting: true}, 600 * time.Millisecond},
		{"events sent to peers", Evidence{LocalEvent: ago(600 * time.Millisecond), PeerEvent: ago(50 * time.Millisecond), Waiting: true}, 50 * time.Millisecond},
		{"started stream ignores peers", Evidence{LocalEvent: ago(600 * time.Millisecond), PeerEvent: ago(50 * time.Millisecond)}, 600 * time.Millisecond},
		{"silent to this node only", Evidence{LocalEvent: ago(2 * time.Second), PeerEvent: ago(50 * time.Millisecond), Waiting: true}, 50 * time.Millisecond},
		{"local event is newest", Evidence{LocalEvent: ago(20 * time.Millisecond), PeerEvent: ago(time.Second), Waiting: true}, 20 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, c.e.SilentFor(start)) })
	}
}

func TestParsePolicy_RoundTripsNames(t *testing.T) {
	for _, name := range PolicyNames() {
		p, err := ParsePolicy(name)
		require.NoError(t, err)
		require.Equal(t, name, p.String())
	}
	_, err := ParsePolicy("never")
	require.ErrorContains(t, err, "want one of")
}

func ExampleWeight() {
	healthy, failing := Tally{Served: 20}, Tally{Served: 10, Failed: 10}
	fmt.Printf("%.2f %.2f\n", Weight(healthy.Rate()), Weight(failing.Rate()))
	// Output: 1.00 0.08
}
