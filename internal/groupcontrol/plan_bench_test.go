package groupcontrol

import (
	"testing"
)

// BenchmarkPlan plans for a data centre of 219 endpoints in domains of 73.
func BenchmarkPlan(b *testing.B) {
	for _, bench := range []struct {
		name         string
		after        rack
		callerWeight float64
		pack         bool
	}{
		{"at rest", rack{large: 2, small: 9, free: 5}, 0, false},
		{"after losing a group", rack{large: 1, small: 9, free: 17}, 0, false},
		{"at rest, packed", rack{large: 2, small: 9, free: 5}, 0, true},
		{"at rest, by callers", rack{large: 2, small: 9, free: 5}, 0.9, false},
		{"after losing a group, by callers and packed", rack{large: 1, small: 9, free: 17}, 0.9, true},
	} {
		b.Run(bench.name, func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				full := rack{large: 2, small: 9, free: 5}
				s := newSituation(full, full, bench.after)
				s.weights.CallerWeight, s.weights.PackDomains = bench.callerWeight, bench.pack
				s.requests = map[string]float64{large.Name: 56, small.Name: 570}
				b.StartTimer()
				plan(s)
			}
		})
	}
}
