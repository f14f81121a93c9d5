package httpserver

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// readUnmarked requests a response that a handler begins without a mark, and reads it.
func readUnmarked(t *testing.T, handle func(*Responder)) (response *http.Response, body string, err error) {
	t.Helper()
	tracker := NewTracker()
	t.Cleanup(tracker.Close)
	_, address := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		_, out, done := tracker.Begin(w)
		defer done()
		out.BeginUnmarked(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}, "Content-Length": {"3"}})
		handle(out)
	})
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	response, err = http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

// Guards against a response that shows its caller that it is whole although its endpoint's did not.
func TestBeginUnmarked_EndsWithConnection(t *testing.T) {
	large := strings.Repeat("0123456789abcdef", 64<<10)
	for name, body := range map[string]string{"small": "one two", "large": large, "empty": ""} {
		t.Run(name, func(t *testing.T) {
			response, got, err := readUnmarked(t, func(out *Responder) {
				for part := body; part != ""; part = part[min(len(part), 5000):] {
					require.NoError(t, out.Write([]byte(part[:min(len(part), 5000)])))
				}
				out.End()
			})
			require.NoError(t, err)
			require.Equal(t, body, got)
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.EqualValues(t, -1, response.ContentLength)
			require.Empty(t, response.TransferEncoding)
			require.True(t, response.Close)
		})
	}
}

// Guards against an incomplete response without a mark that looks whole, since its connection was closed.
func TestBeginUnmarked_AbortResets(t *testing.T) {
	_, _, err := readUnmarked(t, func(out *Responder) {
		require.NoError(t, out.Write([]byte("part")))
		out.Abort()
	})
	require.True(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}

// requireReset requires that a caller which reads only once a handler has returned sees that its response was cut off.
func requireReset(t *testing.T, handle func(context.Context, *Responder), whileOpen func(stop func())) {
	t.Helper()
	tracker := NewTracker()
	t.Cleanup(tracker.Close)
	ended := make(chan struct{})
	address := freeAddress(t)
	s, err := Serve(Options{Address: address, MaxBody: 1 << 20, MaxRequests: 64, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		ctx, out, done := tracker.Begin(w)
		defer done()
		defer close(ended)
		out.BeginUnmarked(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}})
		handle(ctx, out)
	})})
	require.NoError(t, err)
	stop := sync.OnceFunc(s.Stop)
	t.Cleanup(stop)
	conn, reader := connect(t, address)
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	_, err = reader.Peek(1)
	require.NoError(t, err)
	whileOpen(stop)
	<-ended
	_, err = io.ReadAll(reader)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// Guards against a response without a mark that is cut off by this node, as it stops or since its caller reads nothing, and
// looks whole.
func TestBeginUnmarked_AnyOtherCloseResets(t *testing.T) {
	for name, stops := range map[string]bool{"server stops": true, "caller stalls": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			requireReset(t, func(ctx context.Context, out *Responder) {
				for out.Write(make([]byte, 16<<10)) == nil {
					if stops {
						<-ctx.Done()
					}
				}
				out.Abort()
			}, func(stop func()) {
				if stops {
					stop()
				}
			})
		})
	}
}

// Guards against the same if only the end of a response is pending.
func TestBeginUnmarked_EndThatIsNotReadResets(t *testing.T) {
	t.Parallel()
	requireReset(t, func(_ context.Context, out *Responder) {
		limited, ok := out.unmarked.conn.(*limitedConn)
		for ok && !limited.state.writes.hasPending() && out.Write(make([]byte, 16<<10)) == nil {
		}
		out.End()
	}, func(func()) {})
}

// Guards against an aborted response that resets the connection of another caller, which got the descriptor of the one
// that had left.
func TestBeginUnmarked_AbortAfterCallerLeft(t *testing.T) {
	tracker := NewTracker()
	t.Cleanup(tracker.Close)
	left, aborted := make(chan struct{}), make(chan struct{})
	next := make(chan struct{})
	_, address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, out, done := tracker.Begin(w)
		defer done()
		out.BeginUnmarked(http.StatusOK, http.Header{})
		if r.URL.Path == "/next" {
			close(next)
			<-aborted
			_ = out.Write([]byte("whole"))
			out.End()
			return
		}
		for out.Write([]byte("part")) == nil {
			time.Sleep(time.Millisecond)
		}
		close(left)
		<-next
		out.Abort()
		close(aborted)
	})
	first, _ := connect(t, address)
	_, err := io.WriteString(first, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	require.NoError(t, first.Close())
	<-left
	// A descriptor that is free is used again at once; the callers' ends of connections take some too.
	second, reader := connect(t, address)
	_, err = io.WriteString(second, "GET /next HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "whole", string(text))
}
