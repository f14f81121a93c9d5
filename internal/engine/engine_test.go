package engine

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fickle serves one request on each connection and closes the connection as
// soon as the next one has come, as a server does that stops or times out.
func fickle(t *testing.T) (address string, received *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	received = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveFickle(conn, received)
		}
	}()
	return listener.Addr().String(), received
}

func serveFickle(conn net.Conn, received *atomic.Int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = request.Body.Close()
		received.Add(1)
		if n > 0 {
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	}
}

// The transport repeats a request with an Idempotency-Key and no body when a
// reused connection breaks; a request that may run once only must not meet
// that. Without Once, the same calls show that the transport does it.
func TestOnceIsSentOnce(t *testing.T) {
	for _, once := range []bool{true, false} {
		address, received := fickle(t)
		client := New(nil)
		defer client.Close()
		call := Call{Method: http.MethodPost, Address: address, Path: "/pay", Attempt: "a-1", Once: once, Header: http.Header{"Idempotency-Key": {"k"}}}
		sent := int64(0)
		for range 4 {
			response, err := client.Do(context.Background(), call)
			sent++
			if err == nil {
				_ = response.Body.Close()
			}
		}
		if once {
			assert.Equal(t, sent, received.Load())
		} else {
			assert.Greater(t, received.Load(), sent, "the transport no longer repeats; Once may be dropped")
		}
	}
}

func TestNotRun(t *testing.T) {
	client := New(nil)
	defer client.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = client.Do(context.Background(), Call{Method: http.MethodPost, Address: address, Path: "/"})
	assert.ErrorIs(t, err, ErrNotRun, "nobody listens")
	_, _, _, err = client.Status(context.Background(), address, "")
	assert.ErrorIs(t, err, ErrRefused)
}

func TestStream(t *testing.T) {
	const good = `data: {"id":"a","ridgehinge_token":0,"choices":[{"delta":{"content":"x"}}]}` + "\n\n"
	for _, c := range []struct {
		name, text string
		want       error
	}{
		{"foreign", strings.Replace(good, `"a"`, `"b"`, 1), ErrForeign},
		{"out of order", strings.Replace(good, ":0", ":1", 1), ErrForeign},
		{"garbage", "data: {\n\n", nil},
		{"no choice", `data: {"id":"a","choices":[]}` + "\n\n", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := NewStream(strings.NewReader(c.text), "a", 0).Read()
			require.Error(t, err)
			if c.want != nil {
				assert.ErrorIs(t, err, c.want)
			}
		})
	}
	s := NewStream(strings.NewReader(": comment\n\n"+good+"data: [DONE]\n\n"), "a", 0)
	event, err := s.Read()
	require.NoError(t, err)
	assert.Equal(t, "x", event.Text())
	event, err = s.Read()
	require.NoError(t, err)
	assert.True(t, event.Done)
	_, err = s.Read()
	assert.True(t, errors.Is(err, io.ErrUnexpectedEOF))
}
