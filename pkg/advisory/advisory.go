// Package advisory keeps the rate limits and draining notices that endpoints advertise in their
// responses, and computes the changes that a peer lacks.
//
// The package has no clock, locks or I/O: internal/throttle adds these.
package advisory

import "time"

// RateLimit is the limit that an incarnation of an endpoint last advertised.
type RateLimit struct {
	// PerSecond is the number of requests a second from all nodes together; zero means no
	// limit.
	PerSecond float64
	// At is when the limit was advertised.
	At time.Time
}

// InForce reports whether the limit is set.
func (l RateLimit) InForce() bool { return l.PerSecond > 0 }
