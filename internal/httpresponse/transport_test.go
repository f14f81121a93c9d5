package httpresponse

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/link"
)

// serveOnce starts a server that passes its first connection to a function once it has read a request. The transport takes
// what comes before its request for an unsolicited response.
func serveOnce(t *testing.T, respond func(conn net.Conn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if _, err = http.ReadRequest(bufio.NewReader(conn)); err == nil {
			respond(conn)
		}
	}()
	return listener.Addr().String()
}

// Guards against a connection that is used again after a malformed response: what follows on it may belong to no request. The
// transport keeps a connection once a response has ended, before its caller sees the response.
func TestTransport_ClosesConnectionOfMalformedResponse(t *testing.T) {
	for name, malformed := range map[string]string{
		"without a body":    "HTTP/1.1 200 OK\r\nX Odd: a\r\nContent-Length: 0\r\n\r\n",
		"status 000":        "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
		"no content":        "HTTP/1.1 204 X\r\nX Odd: a\r\n\r\n",
		"with a body":       "HTTP/1.1 200 OK\r\nX Odd: a\r\nContent-Length: 2\r\n\r\nno",
		"malformed trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\nX Odd: a\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				conn, err := listener.Accept()
				for reader := bufio.NewReader(conn); err == nil; {
					if _, err = http.ReadRequest(reader); err == nil {
						_, err = io.WriteString(conn, malformed)
					}
				}
			}()
			client := &http.Client{Transport: NewTransport(link.Transport(link.New(nil).DialFunc())), Timeout: 10 * time.Second}
			get := func() error {
				response, err := client.Get("http://" + listener.Addr().String())
				if err != nil {
					return err
				}
				defer response.Body.Close()
				_, err = io.Copy(io.Discard, response.Body)
				return err
			}
			require.ErrorIs(t, get(), ErrMalformed)
			select {
			case <-closed:
			case <-time.After(time.Second):
				require.Fail(t, "the connection is kept")
			}
		})
	}
}

// Guards against interim responses without end: net/http does not bound them for those who look at them.
func TestTransport_BoundsInterimResponses(t *testing.T) {
	const deadline = 10 * time.Second
	for name, part := range map[string]string{
		"without fields":    "HTTP/1.1 102 Processing\r\n\r\n",
		"with fields":       "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
		"with large fields": "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("x", 16<<10) + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			address := serveOnce(t, func(conn net.Conn) {
				defer close(closed)
				var err error
				for err == nil {
					_, err = io.WriteString(conn, part)
				}
			})
			client := &http.Client{Transport: NewTransport(link.Transport(link.New(nil).DialFunc())), Timeout: deadline}
			began := time.Now()
			_, err := client.Get("http://" + address)
			require.ErrorIs(t, err, ErrMalformed)
			require.Less(t, time.Since(began), deadline/2)
			<-closed
		})
	}
}

// Guards against failing a call whose endpoint reports progress with interim responses.
func TestTransport_AcceptsInterimResponses(t *testing.T) {
	address := serveOnce(t, func(conn net.Conn) {
		_, _ = io.WriteString(conn, strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 500)+"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	client := &http.Client{Transport: NewTransport(link.Transport(link.New(nil).DialFunc())), Timeout: 10 * time.Second}
	response, err := client.Get("http://" + address)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "ok", string(body))
}
