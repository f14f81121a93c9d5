package advisory

import (
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Statement has the advisories in one response of an endpoint. The zero value has none.
type Statement struct {
	// RateLimit is the number of requests a second that the endpoint accepts from all nodes
	// together.
	RateLimit Advertised[float64]
	// Cooldown is how long this node is to send no requests, after a rejection.
	Cooldown Advertised[time.Duration]
	// Draining is irreversible for an incarnation.
	Draining Advertised[bool]
}

// Advertised is one value of a Statement.
type Advertised[T any] struct {
	// Value is zero if the response has none.
	Value T
	// InvalidValue is an invalid value in the response, for the log. It neither sets nor clears
	// the value.
	InvalidValue string
}

// Observation is a Statement with its origin.
type Observation struct {
	// Endpoint sent the response. StartedAt is zero if the response does not have it.
	Endpoint serving.Incarnation
	Statement
	// Sent is when the request was sent. It is zero for control calls, whose responses may
	// omit a limit that is in force.
	Sent time.Time
	// Request is the id of the caller's request, for the log.
	Request string
}
