// Package relay forwards callers' requests to endpoints.
//
// Serve checks a request against the current configuration, Balancer chooses an endpoint,
// internal/upstream sends the request, and the response is relayed as it arrives (stream.go) or
// once it is complete (buffered.go). Wire defines the headers.
package relay

import (
	"fmt"
	"net/http"
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/advisory"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Wire translates between headers and the relay's types.
type Wire interface {
	// Attributes parses a caller's header. An error is a *RequestError.
	Attributes(h http.Header) (Attributes, error)
	// Outgoing returns the header for an endpoint.
	Outgoing(h http.Header, s OutgoingAttempt) http.Header
	// Verdict parses what an endpoint's response states about the request.
	Verdict(h http.Header) Verdict
	// Statement parses what an endpoint's response states about the endpoint.
	Statement(status int, h http.Header) advisory.Statement
	// Answer returns the header for the caller of an endpoint's response.
	Answer(h http.Header) http.Header
	// OwnAnswer returns the header of a response of the relay's own, with a Retry-After unless
	// it is zero.
	OwnAnswer(id string, retryAfter time.Duration) http.Header
}

// Attributes are the properties of a request that its header states.
type Attributes struct {
	// ID identifies the request; responses repeat it.
	ID  string
	Key string
	// Remaining is the time until the caller's deadline, if HasDeadline is set.
	Remaining   time.Duration
	HasDeadline bool
	// Model and the sizes are empty for plain services.
	Model        string
	PromptTokens int
	MaxTokens    int
	// LengthHint is the caller's estimate of the output tokens, or zero.
	LengthHint int
	// LastEvent is the event after which a stream is resumed.
	LastEvent string
}

// OutputTokens returns the estimated number of output tokens.
func (a *Attributes) OutputTokens() int {
	if a.LengthHint > 0 && (a.MaxTokens == 0 || a.LengthHint < a.MaxTokens) {
		return a.LengthHint
	}
	return a.MaxTokens
}

// OutgoingAttempt is what is added to the caller's header for an endpoint.
type OutgoingAttempt struct {
	Endpoint  serving.EndpointID
	Remaining time.Duration
	Workspace string
	LastEvent string
	// Urgent is set for retries, which are admitted first.
	Urgent bool
}

// Verdict is what an endpoint's response states about the request.
type Verdict struct {
	ID string
	// Signed is set if the endpoint itself ran the request.
	Signed bool
	// NotRun is set if the request did not run there and never will.
	NotRun bool
	// FaultyEndpoint is the ID or address of the endpoint that caused a rejection; empty if the
	// response names none.
	FaultyEndpoint string
}

// RequestError is an error in a request, with its remedy.
type RequestError struct {
	Location string
	Remedy   string
}

// Error returns the location of the error and the remedy.
func (e *RequestError) Error() string { return fmt.Sprintf("%s: %s", e.Location, e.Remedy) }

// BadRequest returns a RequestError.
func BadRequest(location, remedy string) error { return &RequestError{location, remedy} }
