// Package relay takes callers' requests and has endpoints run them.
//
// The way of a request: Serve checks it against the configuration in force,
// Balancer chooses an endpoint, internal/upstream sends it, and the answer is
// passed on as it comes (stream.go) or once it is whole (plain.go). What the
// headers are called is the Wire's concern.
package relay

import (
	"fmt"
	"net/http"
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/advisory"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Wire translates between headers and the relay's own terms.
type Wire interface {
	// Attributes reads a caller's header. An error is a *RequestError.
	Attributes(h http.Header) (Attributes, error)
	// Outgoing returns the header for an endpoint.
	Outgoing(h http.Header, s OutgoingAttempt) http.Header
	// Verdict reads what an endpoint's answer says of the request.
	Verdict(h http.Header) Verdict
	// Statement reads what an endpoint's answer says of the endpoint.
	Statement(status int, h http.Header) advisory.Statement
	// Answer returns the header of an endpoint's answer for the caller.
	Answer(h http.Header) http.Header
	// OwnAnswer returns the header of an answer that no endpoint gave, with
	// the time after which to come back if that is not zero.
	OwnAnswer(id string, retryAfter time.Duration) http.Header
}

// Attributes is what a caller says about a request.
type Attributes struct {
	// ID names the request; answers carry it back.
	ID  string
	Key string
	// Remaining is the time until the caller's deadline, if HasDeadline is set.
	Remaining   time.Duration
	HasDeadline bool
	// Model and the sizes are empty for plain services.
	Model        string
	PromptTokens int
	MaxTokens    int
	// LengthHint is the caller's estimate of the tokens out, or zero.
	LengthHint int
	// LastEvent is the event after which a stream goes on.
	LastEvent string
}

// AnswerTokens returns how many tokens the answer may have, by the best
// estimate there is.
func (a *Attributes) AnswerTokens() int {
	if a.LengthHint > 0 && (a.MaxTokens == 0 || a.LengthHint < a.MaxTokens) {
		return a.LengthHint
	}
	return a.MaxTokens
}

// OutgoingAttempt is what an endpoint is sent in addition to the caller's header.
type OutgoingAttempt struct {
	Endpoint  serving.EndpointID
	Remaining time.Duration
	Workspace string
	LastEvent string
	// Urgent requests were under way elsewhere, and are let in first.
	Urgent bool
}

// Verdict is what an endpoint's answer says of the request.
type Verdict struct {
	ID string
	// Signed answers come from the endpoint's own run.
	Signed bool
	// NotRun says that the request did not run there and never will.
	NotRun bool
	// FaultyEndpoint names the endpoint that a rejection is about by its ID or address;
	// empty if the response names none.
	FaultyEndpoint string
}

// RequestError is a mistake in a request, with its remedy.
type RequestError struct {
	Place  string
	Remedy string
}

// Error returns place and remedy.
func (e *RequestError) Error() string { return fmt.Sprintf("%s: %s", e.Place, e.Remedy) }

// BadRequest returns a mistake in a request.
func BadRequest(place, remedy string) error { return &RequestError{place, remedy} }
