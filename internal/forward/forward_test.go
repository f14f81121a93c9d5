package forward_test

import (
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/forward"
	"github.com/ridgehinge/ridgehinge/internal/peers/forwardpb"
)

// pipe keeps the events that a responder sends, for a reader that loses its connection after them.
type pipe struct{ events []*forwardpb.Event }

func (p *pipe) Send(e *forwardpb.Event) error {
	p.events = append(p.events, e)
	return nil
}

func (p *pipe) Read() (*forwardpb.Event, error) {
	if len(p.events) == 0 {
		return nil, errors.New("connection lost")
	}
	e := p.events[0]
	p.events = p.events[1:]
	return e, nil
}

func TestResponse_PassesWholeResponse(t *testing.T) {
	p := &pipe{}
	out := forward.NewResponder(p)
	out.Attempts = 2
	out.Begin(http.StatusOK, http.Header{"A": {"1", "2"}})
	require.NoError(t, out.Write([]byte("one ")))
	require.NoError(t, out.Write([]byte("two")))
	out.End()
	response, err := forward.ReadResponse(p)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.Status)
	require.Equal(t, http.Header{"A": {"1", "2"}}, response.Header)
	require.Equal(t, 2, response.Attempts)
	body, err := io.ReadAll(response)
	require.NoError(t, err)
	require.Equal(t, "one two", string(body))
}

// Guards against a cut-off response that looks complete, with or without a part of its body.
func TestResponse_CutOffIsBroken(t *testing.T) {
	for _, parts := range []int{0, 1} {
		p := &pipe{}
		out := forward.NewResponder(p)
		out.Begin(http.StatusOK, http.Header{})
		for range parts {
			require.NoError(t, out.Write([]byte("part")))
		}
		out.Abort()
		out.End()
		response, err := forward.ReadResponse(p)
		if parts > 0 {
			require.NoError(t, err)
			_, err = io.ReadAll(response)
		}
		require.ErrorIs(t, err, forward.ErrBroken)
	}
}

// Guards against a copy that ends early without an error, or blames the wrong side.
func TestResponse_CopyTo(t *testing.T) {
	errCaller := errors.New("caller gone")
	for _, test := range []struct {
		name     string
		buffered int64
		cut      bool
		writeErr error
		want     string
	}{
		{"whole", 0, false, nil, "one two"},
		{"partly buffered", 5, false, nil, "one two"},
		{"buffered", 100, false, nil, "one two"},
		{"cut off", 0, true, nil, "one two"},
		{"cut off after the buffered part", 5, true, nil, "one two"},
		{"caller gone", 0, false, errCaller, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := &pipe{}
			out := forward.NewResponder(p)
			out.Begin(http.StatusOK, http.Header{})
			require.NoError(t, out.Write([]byte("one ")))
			require.NoError(t, out.Write([]byte("two")))
			if !test.cut {
				out.End()
			}
			response, err := forward.ReadResponse(p)
			require.NoError(t, err)
			require.NoError(t, response.Buffer(test.buffered))
			var got []byte
			readErr, writeErr := response.CopyTo(func(part []byte) error {
				if test.writeErr == nil {
					got = append(got, part...)
				}
				return test.writeErr
			})
			require.Equal(t, test.cut, errors.Is(readErr, forward.ErrBroken))
			require.Equal(t, test.writeErr, writeErr)
			require.Equal(t, test.want, string(got))
		})
	}
}

// Guards against a response that is cut off while it is buffered and then looks complete.
func TestResponse_BufferCutOffIsBroken(t *testing.T) {
	p := &pipe{}
	out := forward.NewResponder(p)
	out.Begin(http.StatusOK, http.Header{})
	require.NoError(t, out.Write([]byte("one ")))
	response, err := forward.ReadResponse(p)
	require.NoError(t, err)
	require.ErrorIs(t, response.Buffer(5), forward.ErrBroken)
}

// A response that its node could not complete tells how often the request was sent, so that the attempts of
// all nodes count together.
func TestResponse_AbortTellsAttempts(t *testing.T) {
	p := &pipe{}
	out := forward.NewResponder(p)
	out.Attempts = 1
	out.Begin(http.StatusOK, http.Header{})
	require.NoError(t, out.Write([]byte("part")))
	out.Attempts = 2
	out.Abort()
	response, err := forward.ReadResponse(p)
	require.NoError(t, err)
	_, err = io.ReadAll(response)
	aborted := &forward.AbortedError{}
	require.ErrorAs(t, err, &aborted)
	require.Equal(t, 2, aborted.Attempts)
	require.ErrorIs(t, err, forward.ErrBroken)
}

// A declined request has not run, unlike one whose response is cut off.
func TestReadResponse_Declined(t *testing.T) {
	p := &pipe{}
	forward.NewResponder(p).Decline("stopping")
	_, err := forward.ReadResponse(p)
	declined := &forward.DeclinedError{}
	require.ErrorAs(t, err, &declined)
	require.Equal(t, "stopping", declined.Reason)
	require.NotErrorIs(t, err, forward.ErrBroken)
}
