package forward

import (
	"context"
	"net/http"

	"github.com/ridgehinge/ridgehinge/internal/httpserver"
	"github.com/ridgehinge/ridgehinge/internal/peers/forwardpb"
)

// EventSender is the stream on which the receiver of a request responds.
type EventSender interface {
	Send(event *forwardpb.Event) error
}

// CallerContext returns the context of a request that was received on a stream with the given one. It is
// cancelled with the cause httpserver.ErrCallerGone when the sender closes the connection.
func CallerContext(stream context.Context) (ctx context.Context, cancel func()) {
	return httpserver.WithStop(context.Background(), stream, httpserver.ErrCallerGone)
}

// Responder sends a response to the entry instance that forwarded the request.
type Responder struct {
	// Attempts is told with the beginning of the response, and if it is aborted.
	Attempts int

	stream EventSender
	first  *forwardpb.Event
	err    error
}

// NewResponder returns a responder for one request.
func NewResponder(stream EventSender) *Responder { return &Responder{stream: stream} }

// Err returns the error that ended the response early, if any.
func (r *Responder) Err() error { return r.err }

// Decline tells the sender that its request is not run here and never will be. It is called instead
// of Begin.
func (r *Responder) Decline(reason string) {
	r.err = r.stream.Send(&forwardpb.Event{Declined: reason})
}

// Begin sets the status and the header. They are sent with the first part of the body.
func (r *Responder) Begin(status int, header http.Header) {
	r.first = &forwardpb.Event{Status: int32(status), Headers: HeaderToWire(header), Attempts: uint32(r.Attempts)}
}

// BeginUnmarked is called in place of Begin if the endpoint's response has neither a length nor chunks.
func (r *Responder) BeginUnmarked(status int, header http.Header) {
	r.Begin(status, header)
	r.first.Unmarked = true
}

func (r *Responder) send(event *forwardpb.Event) error {
	if r.first != nil {
		event.Status = r.first.Status
		event.Headers = r.first.Headers
		event.Attempts = r.first.Attempts
		event.Unmarked = event.Unmarked || r.first.Unmarked
		r.first = nil
	}
	if r.err == nil {
		r.err = r.stream.Send(event)
	}
	return r.err
}

// Write sends a part of the body.
func (r *Responder) Write(p []byte) error { return r.send(&forwardpb.Event{Body: p}) }

// End completes the response.
func (r *Responder) End() { _ = r.send(&forwardpb.Event{Done: true}) }

// EndUnmarked ends a response of which nothing shows that it is whole.
func (r *Responder) EndUnmarked() { _ = r.send(&forwardpb.Event{Done: true, Unmarked: true}) }

// Abort ends an incomplete response.
func (r *Responder) Abort() {
	if r.err == nil {
		_ = r.stream.Send(&forwardpb.Event{Aborted: true, Attempts: uint32(r.Attempts)}) // The connection may be lost.
	}
	r.err = httpserver.ErrCallerGone
}
