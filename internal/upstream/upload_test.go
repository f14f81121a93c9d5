package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// uploadSize is more than the kernel's buffers take of a request whose endpoint does not read it.
const uploadSize = 16 << 20

const (
	unframedHead = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"
	partialBody  = "part of the body"
)

// uploadServer starts a server that reads the head of each request and passes the connection to a script.
func uploadServer(t *testing.T, script func(c *net.TCPConn, upload io.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				// A larger buffer might take what the endpoint leaves unread.
				_ = c.(*net.TCPConn).SetReadBuffer(64 << 10)
				request, err := http.ReadRequest(bufio.NewReader(c))
				if err == nil {
					script(c.(*net.TCPConn), request.Body)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// sendUpload sends a request with a large body.
func sendUpload(t *testing.T, address string, size int) (*Response, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	return testClient().Send(ctx, Request{
		Address: address,
		Method:  http.MethodPost,
		URI:     "/x",
		Host:    "h",
		Body:    []byte(strings.Repeat("u", size)),
	}, func(h http.Header) bool { return h.Get("Id") == "1" })
}

// Guards against a cut response that counts as complete: a socket reports a reset once, to the writer of the request's
// body or to the reader of the response, and the other one sees an ordinary end.
func TestRead_UnframedBodyCutDuringUploadIsIncomplete(t *testing.T) {
	const repetitions = 10
	for _, test := range []struct {
		name string
		cut  func(c *net.TCPConn, upload io.Reader)
	}{
		{"reset", func(c *net.TCPConn, _ io.Reader) { _ = c.SetLinger(0) }},
		{"closed with the upload unread", func(*net.TCPConn, io.Reader) {}},
		{"reset after a part of the upload", func(c *net.TCPConn, upload io.Reader) {
			_, _ = io.CopyN(io.Discard, upload, 1<<20)
			_ = c.SetLinger(0)
		}},
		{"write direction closed, then reset", func(c *net.TCPConn, upload io.Reader) {
			_ = c.CloseWrite()
			_, _ = io.CopyN(io.Discard, upload, 1<<20)
			_ = c.SetLinger(0)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			address := uploadServer(t, func(c *net.TCPConn, upload io.Reader) {
				_, _ = io.WriteString(c, unframedHead+partialBody)
				// The response arrives before the reset, which would discard it.
				time.Sleep(20 * time.Millisecond)
				test.cut(c, upload)
			})
			for range repetitions {
				response, err := sendUpload(t, address, uploadSize)
				if err != nil {
					require.ErrorIs(t, err, ErrUnknown)
					continue
				}
				body, err := io.ReadAll(response)
				response.Close()
				require.ErrorIs(t, err, ErrIncomplete)
				require.True(t, strings.HasPrefix(partialBody, string(body)))
			}
		})
	}
}

// Guards against failing the response of an endpoint that responds first, ends its own direction and reads the upload
// afterwards.
func TestRead_UnframedBodyBeforeUploadEndsIsComplete(t *testing.T) {
	for _, size := range []int{largeBody - 1, largeBody, uploadSize} {
		received := make(chan int64, 1)
		address := uploadServer(t, func(c *net.TCPConn, upload io.Reader) {
			_, _ = io.WriteString(c, unframedHead+partialBody)
			_ = c.CloseWrite()
			time.Sleep(50 * time.Millisecond)
			n, _ := io.Copy(io.Discard, upload)
			received <- n
		})
		response, err := sendUpload(t, address, size)
		require.NoError(t, err)
		body, err := io.ReadAll(response)
		require.NoError(t, err)
		require.Equal(t, partialBody, string(body))
		response.Close()
		require.EqualValues(t, size, <-received)
	}
}

// Guards against waiting for the upload beyond the deadline of the request.
func TestRead_UnframedBodyOfUnreadUploadEndsAtDeadline(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	address := uploadServer(t, func(c *net.TCPConn, _ io.Reader) {
		_, _ = io.WriteString(c, unframedHead+partialBody)
		_ = c.CloseWrite()
		<-release
	})
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	response, err := testClient().Send(ctx, Request{Address: address, Method: http.MethodPost, URI: "/x", Host: "h", Body: make([]byte, uploadSize)},
		func(http.Header) bool { return true })
	require.NoError(t, err)
	defer response.Close()
	_, err = io.ReadAll(response)
	require.ErrorIs(t, err, ErrIncomplete)
	require.True(t, TimedOut(err))
}
