package throttle

import (
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// An endpoint has the limit that it advertised and, while it is cold, that of its service. Permits
// are given by the lower one. Nodes take an endpoint for cold by its row, so the request for a
// permit names that limit too: the allocator may have read an older row.

// EffectiveLimit returns how many requests a second all nodes together may send to an endpoint, or
// zero if it has no limit.
func (t *Tracker) EffectiveLimit(e *serving.Endpoint, now time.Time) float64 {
	return lowerLimit(t.RateLimit(e.Incarnation()).PerSecond, e.ColdLimit(now))
}

// lowerLimit returns the lower of two limits; zero means none.
func lowerLimit(a, b float64) float64 {
	if a <= 0 || b > 0 && b < a {
		return max(0, b)
	}
	return a
}
