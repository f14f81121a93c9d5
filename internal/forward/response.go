package forward

import (
	"errors"
	"io"
	"net/http"

	"github.com/ridgehinge/ridgehinge/internal/httpresponse"
	"github.com/ridgehinge/ridgehinge/internal/peers/forwardpb"
)

// Events is the receiver's side of a call, as the sender of the request reads it.
type Events interface {
	// Read returns the next event.
	Read() (*forwardpb.Event, error)
}

// Response is the response to a forwarded request.
type Response struct {
	Status int
	Header http.Header
	// Attempts is the number of endpoints that the request had been sent to when the response began.
	Attempts int
	// Unmarked is set if the endpoint's response has neither a length nor chunks, EndedUnmarked at the end of one of which
	// nothing shows that it is whole.
	Unmarked, EndedUnmarked bool

	events Events
	// rest is what is left of the body's last part.
	rest []byte
	done bool
}

// readEvent returns the next event. The error is an *AbortedError or wraps ErrBroken.
func readEvent(events Events) (*forwardpb.Event, error) {
	event, err := events.Read()
	if err != nil {
		return nil, errors.Join(ErrBroken, err)
	}
	if event.GetAborted() {
		return nil, &AbortedError{int(event.GetAttempts())}
	}
	return event, nil
}

// ReadResponse reads the beginning of a response. The error is a *DeclinedError or wraps ErrBroken.
func ReadResponse(events Events) (*Response, error) {
	first, err := readEvent(events)
	if err != nil {
		return nil, err
	}
	if reason := first.GetDeclined(); reason != "" {
		return nil, &DeclinedError{reason}
	}
	status, header := int(first.GetStatus()), HeaderFromWire(first.GetHeaders())
	if err := httpresponse.ValidateFinal(status, header); err != nil {
		return nil, errors.Join(ErrBroken, err)
	}
	return &Response{
		Status:   status,
		Header:   header,
		Attempts: int(first.GetAttempts()),
		Unmarked: first.GetUnmarked(),
		// An only event that is unmarked is both.
		EndedUnmarked: first.GetDone() && first.GetUnmarked(),
		events:        events,
		rest:          first.GetBody(),
		done:          first.GetDone(),
	}, nil
}

// readPart reads the next part of the body.
func (r *Response) readPart() ([]byte, error) {
	event, err := readEvent(r.events)
	if err != nil {
		return nil, err
	}
	r.done = event.GetDone()
	r.EndedUnmarked = r.done && event.GetUnmarked()
	return event.GetBody(), nil
}

// Buffer reads until so many bytes of the body are kept, or to its end. The error wraps ErrBroken.
func (r *Response) Buffer(size int64) error {
	for int64(len(r.rest)) < size && !r.done {
		part, err := r.readPart()
		if err != nil {
			return err
		}
		r.rest = append(r.rest, part...)
	}
	return nil
}

// CopyTo writes what is left of the body as it arrives. Both errors are nil after a complete response;
// readErr wraps ErrBroken.
func (r *Response) CopyTo(write func([]byte) error) (readErr, writeErr error) {
	for {
		if len(r.rest) > 0 {
			writeErr = write(r.rest)
		}
		if writeErr != nil || r.done {
			return nil, writeErr
		}
		if r.rest, readErr = r.readPart(); readErr != nil {
			return readErr, nil
		}
	}
}

// Read reads the body as it arrives. It returns io.EOF at the end of a complete response, and an error
// that wraps ErrBroken otherwise.
func (r *Response) Read(p []byte) (int, error) {
	for len(r.rest) == 0 {
		if r.done {
			return 0, io.EOF
		}
		var err error
		if r.rest, err = r.readPart(); err != nil {
			return 0, err
		}
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}
