// Package forward passes callers' requests from one entry instance to another, which runs them, and
// the responses back. Both interfaces use it.
//
// The receiver either declines a request, which it then does not run and never will, or sends its
// response event by event. A response without its last event is incomplete, and its request may have
// run. A forwarded request is never forwarded again.
package forward

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/ridgehinge/ridgehinge/internal/peers/forwardpb"
)

// ErrBroken means that a response ended before its last event. The request may have run.
var ErrBroken = errors.New("the response of the other entry instance was cut off")

// AbortedError means that the receiver could not complete its response, and what it tried. The request
// may have run.
type AbortedError struct{ Attempts int }

// Error states the number of attempts.
func (e *AbortedError) Error() string {
	return fmt.Sprintf("%v after %d attempts", ErrBroken, e.Attempts)
}

// Is reports whether the target is ErrBroken.
func (e *AbortedError) Is(target error) bool { return target == ErrBroken }

// ReasonBusy is why a node declines that has too many requests in flight.
const ReasonBusy = "too many requests in flight"

// DeclinedError means that the receiver does not run a request and never will.
type DeclinedError struct{ Reason string }

// Error returns the receiver's reason.
func (e *DeclinedError) Error() string { return "the other entry instance declined: " + e.Reason }

// HeaderToWire encodes a header.
func HeaderToWire(h http.Header) []*forwardpb.Header {
	var out []*forwardpb.Header
	for name, values := range h {
		for _, value := range values {
			out = append(out, &forwardpb.Header{Name: name, Value: value})
		}
	}
	return out
}

// HeaderFromWire is the reverse of HeaderToWire.
func HeaderFromWire(list []*forwardpb.Header) http.Header {
	h := http.Header{}
	for _, pair := range list {
		h.Add(pair.GetName(), pair.GetValue())
	}
	return h
}
