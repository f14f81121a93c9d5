package groupcontrol

import (
	"testing"
)

// BenchmarkPlan plans for a data centre of 219 endpoints in domains of 73.
func BenchmarkPlan(b *testing.B) {
	for _, bench := range []struct {
		name  string
		after rack
	}{
		{"at rest", rack{large: 2, small: 9, free: 5}},
		{"after losing a group", rack{large: 1, small: 9, free: 17}},
	} {
		b.Run(bench.name, func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				full := rack{large: 2, small: 9, free: 5}
				s := newSituation(full, full, bench.after)
				b.StartTimer()
				plan(s)
			}
		})
	}
}
