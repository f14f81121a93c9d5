// Package limit keeps what endpoints that are in need say of how many requests they take,
// and paces what is sent to them by it.
//
// Inputs are what endpoints said, with the time of it, and the time now; outputs are whether
// a request may be sent, or how long until the next. Nothing here returns errors, and there
// is no clock, lock or socket: internal/limits adds these.
package limit

import "time"

// Limit is what one incarnation of an endpoint last said of how much it takes.
type Limit struct {
	// PerSecond is the number of requests a second from all nodes together; zero is
	// without a limit.
	PerSecond float64
	// At is when it said so.
	At time.Time
}

// InForce reports whether there is a limit.
func (l Limit) InForce() bool { return l.PerSecond > 0 }
