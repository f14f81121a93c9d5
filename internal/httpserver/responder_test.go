package httpserver

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"

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
