package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)

func results(served, failed int) Tally {
	var r Results
	for range served {
		r.Record(false, start)
	}
	for range failed {
		r.Record(true, start)
	}
	return r.Tally(start)
}

func TestRates(t *testing.T) {
	for _, c := range []struct {
		name           string
		served, failed int
		low, high      float64
	}{
		{"nothing is known", 0, 0, 0, 0},
		{"all is well", 20, 0, 0, 0},
		{"one failure alone", 0, 1, 0.4, 0.6},
		{"one of twenty", 19, 1, 0.03, 0.06},
		{"everything fails", 0, 9, 0.85, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			rate := results(c.served, c.failed).Rate()
			require.GreaterOrEqual(t, rate, c.low)
			require.LessOrEqual(t, rate, c.high)
		})
	}
}

func TestResultsAreForgotten(t *testing.T) {
	var r Results
	for range 10 {
		r.Record(true, start)
	}
	before := Weight(r.Tally(start).Rate())
	later := Weight(r.Tally(start.Add(3 * window)).Rate())
	require.Less(t, before, 0.001)
	require.Greater(t, later, 100*before, "it is tried again")
	require.Equal(t, Tally{}, r.Tally(start.Add(time.Minute)))
}

func TestResultsOfTheFutureCountAsNow(t *testing.T) {
	var r Results
	r.Record(true, start)
	require.Equal(t, Tally{Failed: 1}, r.Tally(start.Add(-time.Second)))
}

// All that fail alike are chosen alike: only a difference moves requests.
func TestWeightFallsWithTheRate(t *testing.T) {
	last := 1.1
	for _, rate := range []float64{0, 0.1, 0.3, 0.5, 0.9, 1} {
		require.Less(t, Weight(rate), last)
		last = Weight(rate)
	}
	require.Zero(t, Weight(1))
	require.Equal(t, 1.0, Weight(-1))
}

// A head with a slow member is known for it after one stream, and for a moment only.
func TestSlowEndpointsAreKnown(t *testing.T) {
	var slow, sound Paces
	now := start
	for range 20 {
		now = now.Add(200 * time.Millisecond)
		slow.Record(200*time.Millisecond, 20*time.Millisecond, now)
		sound.Record(22*time.Millisecond, 20*time.Millisecond, now)
	}
	require.Greater(t, slow.Pace(now).Factor(), 4.0)
	require.Less(t, sound.Pace(now).Factor(), 1.1)
	require.Less(t, slow.Pace(now.Add(4*window)).Factor(), 1.5)
	require.Equal(t, 1.0, Pace{Took: 0.1, Expected: 5}.Factor())
	require.Equal(t, float64(mostSlow), Pace{Took: 1000, Expected: 1}.Factor())
}

func TestSilence(t *testing.T) {
	ago := func(d time.Duration) time.Time { return start.Add(-d) }
	for _, c := range []struct {
		name string
		e    Evidence
		want time.Duration
	}{
		{"nobody else is heard of", Evidence{LocalEvent: ago(600 * time.Millisecond), Waiting: true}, 600 * time.Millisecond},
		{"it gives others their events", Evidence{LocalEvent: ago(600 * time.Millisecond), PeerEvent: ago(50 * time.Millisecond), Waiting: true}, 50 * time.Millisecond},
		{"a stream that had begun stops", Evidence{LocalEvent: ago(600 * time.Millisecond), PeerEvent: ago(50 * time.Millisecond)}, 600 * time.Millisecond},
		{"only this node gets nothing", Evidence{LocalEvent: ago(2 * time.Second), PeerEvent: ago(50 * time.Millisecond), Waiting: true}, 50 * time.Millisecond},
		{"this node heard it last", Evidence{LocalEvent: ago(20 * time.Millisecond), PeerEvent: ago(time.Second), Waiting: true}, 20 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, c.e.SilentFor(start)) })
	}
}

func TestPolicyNames(t *testing.T) {
	for _, name := range PolicyNames() {
		p, err := ParsePolicy(name)
		require.NoError(t, err)
		require.Equal(t, name, p.String())
	}
	_, err := ParsePolicy("never")
	require.ErrorContains(t, err, "want one of")
}

func ExampleWeight() {
	sound, failing := Tally{Served: 20}, Tally{Served: 10, Failed: 10}
	fmt.Printf("%.2f %.2f\n", Weight(sound.Rate()), Weight(failing.Rate()))
	// Output: 1.00 0.08
}
