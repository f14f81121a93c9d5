// Package continuation checks whether the response to a later attempt goes on with the stream of which
// a caller has a part. Another response must not reach the caller as a part of that stream, nor end it.
package continuation

import (
	"errors"
	"fmt"
	"mime"
	"net/http"
	"strconv"
)

// Errors of a response that does not go on with the stream.
var (
	ErrStatus    = errors.New("the response to a resumption has another status")
	ErrMediaType = errors.New("the response to a resumption has another media type")
	ErrPosition  = errors.New("the response to a resumption does not go on after the last event")
)

// EventStream is the media type of streams of events.
const EventStream = "text/event-stream"

// Position is how far a caller has got in a stream.
type Position struct {
	// Begun is set if the caller has a part of the response.
	Begun bool
	// MediaType is that of the response that the caller has; empty if it is not known, or if none was named. Then the
	// rest may be an EventStream, or have none as well.
	MediaType string
	// LastID is the id of the last event that the caller has, also from earlier requests.
	LastID string
	// EndedUnmarked is set if another response has ended right after LastID and nothing marked its end.
	EndedUnmarked bool
}

// MediaType returns the media type of a response without its parameters.
func MediaType(h http.Header) string {
	value := h.Get("Content-Type")
	parsed, _, err := mime.ParseMediaType(value)
	if err != nil {
		return value
	}
	return parsed
}

// CheckHead checks the status and the header of a response before any of its body is read. Before a
// caller has a part of the stream, any response is valid. One that has asked for the rest itself may be told of any failure,
// but no success is its rest that is not a stream.
func (p Position) CheckHead(status int, h http.Header) error {
	isSuccess := status >= http.StatusOK && status < http.StatusMultipleChoices
	if !p.Begun && (p.LastID == "" || !isSuccess) {
		return nil
	}
	if status != http.StatusOK {
		return fmt.Errorf("%w: %d", ErrStatus, status)
	}
	got := MediaType(h)
	isUnnamed := p.MediaType == "" && got == EventStream
	if got != p.MediaType && !isUnnamed {
		return fmt.Errorf("%w: %q instead of %q", ErrMediaType, got, p.MediaType)
	}
	return nil
}

// CheckFirst checks the id of a response's first event. A stream whose events have no ids cannot be
// resumed: the response would begin anew.
func (p Position) CheckFirst(id string) error {
	if p.Begun && (id == "" || p.LastID == "") || !Follows(id, p.LastID) {
		return fmt.Errorf("%w: %q after %q", ErrPosition, id, p.LastID)
	}
	return nil
}

// End is what the end of a response tells of the stream.
type End uint8

const (
	// Incomplete means that the response is not the end of the stream.
	Incomplete End = iota
	// Unmarked means that the connection was closed between two events, as by an endpoint that has finished or by one
	// that has crashed.
	Unmarked
	// Complete means that the stream is whole.
	Complete
)

// EndAfter returns what the end of a response after so many events of its own tells. marked is set if a length or
// a last chunk shows that the response is whole. One without any event is the end only after the last event of a
// stream. Without a mark it takes two responses that end in the same place.
func (p Position) EndAfter(events int, marked bool) End {
	switch {
	case events == 0 && p.LastID == "":
		return Incomplete
	case marked, events == 0 && p.EndedUnmarked:
		return Complete
	}
	return Unmarked
}

// Follows reports whether an event's id may come after another: ids rise.
func Follows(id, last string) bool {
	if id == "" || last == "" {
		return true
	}
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(last, 10, 64)
	if errA != nil || errB != nil {
		return id != last
	}
	return a > b
}

// Skips reports whether ids are left out between an event and the one before it, or before the first one of a
// stream. Streams may be numbered in steps, so this alone is no error.
func Skips(id, last string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return false
	}
	if last == "" {
		return n > 1
	}
	before, err := strconv.ParseUint(last, 10, 64)
	return err == nil && n > before+1
}
