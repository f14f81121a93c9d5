package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/link"
)

// scriptedServer starts a server that passes each request to a script, which writes
// raw bytes to the connection. number counts the requests of all connections.
func scriptedServer(t *testing.T, script func(c net.Conn, request *http.Request, number int)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	numbers := make(chan int, 100)
	for i := range 100 {
		numbers <- i
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					script(c, request, <-numbers)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func testClient() *Client {
	return New(Options{Link: link.New(nil), IdleTimeout: time.Minute})
}

func get(c *Client, address, id string) (*Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	_ = cancel // The response's body is read under this context.
	return c.Send(ctx, Request{
		Address: address,
		Method:  http.MethodGet,
		URI:     "/x",
		Host:    "h",
		Header:  http.Header{"Id": {id}},
	}, func(h http.Header) bool { return h.Get("Id") == id })
}

func responseText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func TestSend_ReusesOnlyCleanConnections(t *testing.T) {
	for _, test := range []struct {
		name   string
		text   func(id string) string
		reused bool
	}{
		{"complete", func(id string) string { return responseText(id, "yes") }, true},
		{"connection: close", func(id string) string {
			return "HTTP/1.1 200 OK\r\nConnection: close\r\nId: " + id + "\r\nContent-Length: 3\r\n\r\nyes"
		}, false},
		{"bytes after the response", func(id string) string { return responseText(id, "yes") + "HTTP/1.1 200 OK\r\n" }, false},
		{"zero idle timeout", func(id string) string {
			return "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nId: " + id + "\r\nContent-Length: 3\r\n\r\nyes"
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			address := scriptedServer(t, func(c net.Conn, r *http.Request, _ int) { _, _ = io.WriteString(c, test.text(r.Header.Get("Id"))) })
			client := testClient()
			for _, id := range []string{"a", "b"} {
				response, err := get(client, address, id)
				require.NoError(t, err)
				body, err := io.ReadAll(response)
				require.NoError(t, err)
				require.Equal(t, "yes", string(body))
				response.Close()
			}
			want := uint64(2)
			if test.reused {
				want = 1
			}
			require.Equal(t, want, client.Opened())
		})
	}
}

func TestSend_SkipsUnrelatedResponses(t *testing.T) {
	address := scriptedServer(t, func(c net.Conn, r *http.Request, _ int) {
		_, _ = io.WriteString(c, responseText("earlier", "not yours")+responseText(r.Header.Get("Id"), "yours"))
	})
	response, err := get(testClient(), address, "a")
	require.NoError(t, err)
	body, err := io.ReadAll(response)
	require.NoError(t, err)
	require.Equal(t, "yours", string(body))
}

func TestRead_TruncatedBodyIsIncomplete(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nyes",
		"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n",
	} {
		address := scriptedServer(t, func(c net.Conn, _ *http.Request, _ int) {
			_, _ = io.WriteString(c, text)
			_ = c.Close()
		})
		response, err := get(testClient(), address, "a")
		require.NoError(t, err)
		_, err = io.ReadAll(response)
		require.ErrorIs(t, err, ErrIncomplete)
	}
}

// A body without a length ends with the connection's close, but not with a reset.
func TestRead_ResetIsIncompleteWithoutLength(t *testing.T) {
	address := scriptedServer(t, func(c net.Conn, _ *http.Request, _ int) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nyes")
		time.Sleep(50 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	response, err := get(testClient(), address, "a")
	require.NoError(t, err)
	_, err = io.ReadAll(response)
	require.ErrorIs(t, err, ErrIncomplete)
}

func TestSend_ErrorDependsOnBytesSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = get(testClient(), address, "a")
	require.ErrorIs(t, err, ErrNotSent)

	address = scriptedServer(t, func(c net.Conn, _ *http.Request, _ int) { _ = c.Close() })
	_, err = get(testClient(), address, "a")
	require.ErrorIs(t, err, ErrUnknown)
}

// net/http's Transport retries a GET when a reused connection breaks; an endpoint
// must receive each request once.
func TestSend_NoRetryOnBrokenReusedConnection(t *testing.T) {
	arrived := make(chan struct{}, 10)
	address := scriptedServer(t, func(c net.Conn, r *http.Request, number int) {
		arrived <- struct{}{}
		if number == 0 {
			_, _ = io.WriteString(c, responseText("a", "yes"))
			return
		}
		_ = c.Close()
	})
	client := testClient()
	response, err := get(client, address, "a")
	require.NoError(t, err)
	_, _ = io.ReadAll(response)
	response.Close()
	_, err = get(client, address, "b")
	require.ErrorIs(t, err, ErrUnknown)
	require.Len(t, arrived, 2)
}

func TestSend_CancelClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	address := scriptedServer(t, func(c net.Conn, _ *http.Request, _ int) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nyes")
		_, err := c.Read(make([]byte, 1))
		if errors.Is(err, io.EOF) {
			close(closed)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	response, err := testClient().Send(ctx, Request{Address: address, Method: http.MethodGet, URI: "/", Host: "h"},
		func(http.Header) bool { return true })
	require.NoError(t, err)
	cancel()
	_, err = io.ReadAll(response)
	require.ErrorIs(t, err, ErrIncomplete)
	response.Close()
	<-closed
}

func TestKeepAliveTimeout(t *testing.T) {
	for _, test := range []struct {
		header string
		want   time.Duration
	}{
		{"", time.Minute},
		{"timeout=5", 5*time.Second - idleMargin},
		{"max=3, timeout=5", 5*time.Second - idleMargin},
		{"timeout=0", 0},
		{"timeout=x", time.Minute},
	} {
		require.Equal(t, test.want, keepAliveTimeout(http.Header{"Keep-Alive": {test.header}}, time.Minute), test.header)
	}
}

// A request rejected by BeforeSend must send no byte and leave its connection reusable.
func TestBeforeSend_RejectedRequestsSendNothing(t *testing.T) {
	arrived := make(chan string, 10)
	address := scriptedServer(t, func(c net.Conn, r *http.Request, _ int) {
		arrived <- r.Header.Get("Id")
		_, _ = io.WriteString(c, responseText(r.Header.Get("Id"), "yes"))
	})
	client := testClient()
	errRejected := errors.New("rejected")
	for _, id := range []string{"new connection", "reused connection"} {
		_, err := client.Send(t.Context(), Request{Address: address, Method: http.MethodGet, URI: "/x", Host: "h",
			Header: http.Header{"Id": {id}}, BeforeSend: func() error { return errRejected }}, func(http.Header) bool { return true })
		require.ErrorIs(t, err, ErrNotSent)
		require.ErrorIs(t, err, errRejected)
	}
	response, err := get(client, address, "sent")
	require.NoError(t, err)
	body, err := io.ReadAll(response)
	require.NoError(t, err)
	require.Equal(t, "yes", string(body))
	response.Close()
	require.Equal(t, "sent", <-arrived)
	require.Empty(t, arrived)
	require.EqualValues(t, 1, client.Opened())
}

// Guards against taking an address for reachable that accepts connections and is silent.
func TestExchange_NeedsAResponse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	client := New(Options{Link: link.New(nil)})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	require.NoError(t, client.Probe(ctx, listener.Addr().String()))
	require.ErrorIs(t, client.Exchange(ctx, listener.Addr().String(), "/"), context.DeadlineExceeded)

	garbled := scriptedServer(t, func(c net.Conn, _ *http.Request, _ int) { _, _ = io.WriteString(c, "\x00 no response") })
	require.NoError(t, client.Exchange(context.Background(), garbled, "/"), "any byte shows that the link works")

	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	require.NoError(t, client.Exchange(context.Background(), server.Listener.Addr().String(), "/"))
}
