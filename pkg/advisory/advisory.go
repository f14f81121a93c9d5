// Package advisory keeps what endpoints say of themselves in their answers.
//
// Inputs are what endpoints said, with the time of it; outputs are what holds now, and the
// changes that a peer lacks. Nothing here returns errors, and there is no clock, lock or
// socket: internal/throttle adds these.
package advisory

import "time"

// RateLimit is what one incarnation of an endpoint last said of how much it takes.
type RateLimit struct {
	// PerSecond is the number of requests a second from all nodes together; zero is
	// without a limit.
	PerSecond float64
	// At is when it said so.
	At time.Time
}

// InForce reports whether there is a limit.
func (l RateLimit) InForce() bool { return l.PerSecond > 0 }
