package httpserver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// After a failed write the next response on the connection must not be read as the rest of the body.
func TestEnd_ClosesConnectionAfterFailedWrite(t *testing.T) {
	writeErr := make(chan error, 1)
	_, address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, cancel := context.WithCancelCause(r.Context())
		out := NewResponder(w, cancel)
		if r.URL.Path != "/fails" {
			out.Begin(http.StatusOK, http.Header{"Content-Length": {"4"}})
			_ = out.Write([]byte("next"))
			out.End()
			return
		}
		out.Begin(http.StatusOK, http.Header{"Content-Length": {"4"}})
		_ = out.Write([]byte("12"))
		writeErr <- out.Write([]byte("more than announced"))
		out.End()
	})
	c, reader := connect(t, address)
	_, err := fmt.Fprint(c, "GET /fails HTTP/1.1\r\nHost: h\r\n\r\nGET /next HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	require.Error(t, <-writeErr)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return
	}
	body, err := io.ReadAll(response.Body)
	require.Error(t, err, "the caller reads %q as a complete body", body)
}

// readHTTP10 sends a request of HTTP/1.0 and reads the response.
func readHTTP10(t *testing.T, method string, handle func(*Responder)) (response *http.Response, body string, err error) {
	t.Helper()
	tracker := NewTracker()
	t.Cleanup(tracker.Close)
	_, address := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		_, out, done := tracker.Begin(w)
		defer done()
		handle(out)
	})
	c, reader := connect(t, address)
	_, err = fmt.Fprintf(c, "%s / HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n", method)
	require.NoError(t, err)
	response, err = http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return nil, "", err
	}
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

// Guards against a stream that looks whole after its first event, or after it was aborted: HTTP/1.0 has no chunks, and
// nbhttp gives such a response the length of what is written first.
func TestBegin_HTTP10(t *testing.T) {
	plain := http.Header{"Content-Type": {"text/plain"}}
	sized := http.Header{"Content-Type": {"text/plain"}, "Content-Length": {"6"}}
	write := func(t *testing.T, out *Responder, parts ...string) {
		for _, part := range parts {
			require.NoError(t, out.Write([]byte(part)))
		}
	}
	for _, test := range []struct {
		name, method string
		handle       func(t *testing.T, out *Responder)
		length       int64
		want         string
		fails        bool
	}{
		{"stream", "GET", func(t *testing.T, out *Responder) {
			out.Begin(http.StatusOK, plain.Clone())
			write(t, out, "one", "two")
			out.End()
		}, -1, "onetwo", false},
		{"aborted stream", "GET", func(t *testing.T, out *Responder) {
			out.Begin(http.StatusOK, plain.Clone())
			write(t, out, "one", "two")
			out.Abort()
		}, -1, "", true},
		{"aborted after the head", "GET", func(_ *testing.T, out *Responder) {
			out.Begin(http.StatusOK, plain.Clone())
			out.Abort()
		}, -1, "", true},
		{"aborted before the head", "GET", func(_ *testing.T, out *Responder) { out.Abort() }, -1, "", true},
		{"with a length", "GET", func(t *testing.T, out *Responder) {
			out.Begin(http.StatusOK, sized.Clone())
			write(t, out, "one", "two")
			out.End()
		}, 6, "onetwo", false},
		{"with a length, aborted", "GET", func(t *testing.T, out *Responder) {
			out.Begin(http.StatusOK, sized.Clone())
			write(t, out, "one")
			out.Abort()
		}, 6, "", true},
		{"without a body", "GET", func(_ *testing.T, out *Responder) {
			out.Begin(http.StatusNoContent, http.Header{})
			out.End()
		}, 0, "", false},
		{"head", "HEAD", func(_ *testing.T, out *Responder) {
			out.Begin(http.StatusOK, plain.Clone())
			out.End()
		}, -1, "", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			response, body, err := readHTTP10(t, test.method, func(out *Responder) { test.handle(t, out) })
			if test.fails {
				require.Error(t, err, "the caller takes %q for whole", body)
				return
			}
			require.NoError(t, err)
			require.Equal(t, test.want, body)
			require.Equal(t, test.length, response.ContentLength)
		})
	}
}

// Guards against bytes on a connection that belong to no response after one to HEAD: nbhttp sends the body and the last
// chunk, and the caller takes them for the next response.
func TestResponses_ToHead(t *testing.T) {
	tracker := NewTracker()
	t.Cleanup(tracker.Close)
	begin := func(w http.ResponseWriter, header http.Header, body string) {
		_, out, done := tracker.Begin(w)
		defer done()
		out.Begin(http.StatusOK, header)
		if body != "" {
			_ = out.Write([]byte(body))
		}
		out.End()
	}
	plain := http.Header{"Content-Type": {"text/plain"}}
	for _, test := range []struct {
		name   string
		handle func(w http.ResponseWriter)
		length int64
	}{
		{"no length", func(w http.ResponseWriter) { begin(w, plain.Clone(), "") }, -1},
		{"length", func(w http.ResponseWriter) { begin(w, http.Header{"Content-Length": {"7"}}, "") }, 7},
		{"length and body", func(w http.ResponseWriter) { begin(w, http.Header{"Content-Length": {"7"}}, "HTTP/1.") }, 7},
		{"plain handler", func(w http.ResponseWriter) { http.Error(w, "gone", http.StatusOK) }, 5},
		{"plain handler, nothing", func(http.ResponseWriter) {}, 0},
		{"plain handler, large", func(w http.ResponseWriter) { _, _ = w.Write(make([]byte, 3*maxBuffered)) }, 3 * maxBuffered},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodHead {
					test.handle(w)
					return
				}
				_, _ = io.WriteString(w, "next")
			})
			c, reader := connect(t, address)
			_, err := fmt.Fprint(c, "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n")
			require.NoError(t, err)
			response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodHead})
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Equal(t, test.length, response.ContentLength)
			if response.Close {
				rest, err := io.ReadAll(reader)
				require.NoError(t, err)
				require.Empty(t, rest)
				return
			}
			require.Equal(t, "next", get(t, c, reader, "/"))
		})
	}
}

// Guards against a response that is spliced with the next one: nbio goes on with the next request after a handler has
// panicked.
func TestPanic_ClosesConnection(t *testing.T) {
	_, address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "part")
		w.(http.Flusher).Flush()
		if r.URL.Path == "/panics" {
			panic("test")
		}
	})
	c, reader := connect(t, address)
	_, err := fmt.Fprint(c, "GET /panics HTTP/1.1\r\nHost: h\r\n\r\nGET /next HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	text, err := io.ReadAll(reader)
	require.False(t, errors.Is(err, os.ErrDeadlineExceeded), "the connection is still open")
	require.LessOrEqual(t, strings.Count(string(text), "HTTP/1.1 200"), 1, "%q", text)
}
