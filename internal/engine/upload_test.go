package engine

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// uploadSize is more than the kernel's buffers take of a request whose endpoint does not read it.
const uploadSize = 16 << 20

// respondBeforeUpload starts an endpoint that responds to the head of a request without framing its body, and passes
// the connection on before it closes it.
func respondBeforeUpload(t *testing.T, body string, then func(c *net.TCPConn, upload io.Reader)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(c *net.TCPConn) {
		defer c.Close()
		// A larger buffer might take what the endpoint leaves unread.
		_ = c.SetReadBuffer(64 << 10)
		request, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+body)
		// The response arrives before a reset, which would discard it.
		time.Sleep(20 * time.Millisecond)
		then(c, request.Body)
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

// Guards against a cut response that counts as complete: a socket reports a reset once, and the transport reports it to
// nobody if the writer of the request's body gets it.
func TestDo_UnframedBodyCutDuringUploadIsIncomplete(t *testing.T) {
	const body = "part of the body"
	for _, test := range []struct {
		name     string
		complete bool
		then     func(c *net.TCPConn, upload io.Reader)
	}{
		{"reset", false, func(c *net.TCPConn, _ io.Reader) { _ = c.SetLinger(0) }},
		{"closed with the upload unread", false, func(*net.TCPConn, io.Reader) {}},
		{"own direction closed, then reset", false, func(c *net.TCPConn, upload io.Reader) {
			_ = c.CloseWrite()
			_, _ = io.CopyN(io.Discard, upload, 1<<20)
			_ = c.SetLinger(0)
		}},
		{"own direction closed, the upload read", true, func(c *net.TCPConn, upload io.Reader) {
			_ = c.CloseWrite()
			if n, err := io.Copy(io.Discard, upload); n != uploadSize {
				t.Errorf("%d bytes of the upload have arrived: %v", n, err)
			}
		}},
	} {
		for _, noRetry := range []bool{true, false} {
			t.Run(test.name, func(t *testing.T) {
				address := respondBeforeUpload(t, body, test.then)
				client := New(nil)
				defer client.Close()
				for range 10 {
					ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
					response, err := client.Do(ctx, Call{Method: http.MethodPost, Address: address, Path: "/", Body: make([]byte, uploadSize), NoRetry: noRetry})
					if err == nil {
						var received []byte
						received, err = io.ReadAll(response.Body)
						_ = response.Body.Close()
						require.Equal(t, body, string(received))
					}
					cancel()
					if test.complete {
						require.NoError(t, err)
						continue
					}
					require.Error(t, err)
				}
			})
		}
	}
}
