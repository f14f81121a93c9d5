package advisory

import (
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Statement is what one answer of an endpoint says of the endpoint itself, beside what it
// says of the request. The zero value says nothing.
type Statement struct {
	// RateLimit is how many requests a second the endpoint takes from all nodes together.
	RateLimit Advertised[float64]
	// Cooldown is for how long the endpoint, which has rejected a request, asks this node to
	// send it no other.
	Cooldown Advertised[time.Duration]
	// Draining is irreversible for an incarnation.
	Draining Advertised[bool]
}

// Advertised is one value of a Statement.
type Advertised[T any] struct {
	// Value is zero if the answer does not name one.
	Value T
	// Unreadable is what the answer names in its place, for the log. It neither sets the
	// value nor clears it.
	Unreadable string
}

// Observation is a statement with its origin.
type Observation struct {
	// Endpoint gave the answer. StartedAt is zero if the answer does not tell its
	// incarnation.
	Endpoint serving.Incarnation
	Statement
	// Sent is when the request left for the endpoint. It is zero for answers to control
	// calls, which need not advertise a limit that is in force.
	Sent time.Time
	// Request is the caller's request, for the log.
	Request string
}
