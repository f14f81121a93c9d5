package upstream

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sendBounded sends a request with at most two connections to the address.
func sendBounded(t *testing.T, c *Client, address string, newConnection bool) (*Response, error) {
	q := Request{Address: address, Method: http.MethodGet, URI: "/x", Host: "h", NewConnection: newConnection, MaxConnections: 2}
	return c.Send(t.Context(), q, func(http.Header) bool { return true })
}

// Guards against more connections to an endpoint than the bound, and against a bound that closed
// connections still count towards.
func TestSend_KeepsConnectionBound(t *testing.T) {
	address := scriptedServer(t, func(c net.Conn, _ *http.Request, _ int) {
		_, _ = c.Write([]byte(responseText("1", "yes")))
	})
	c := testClient()
	first, err := sendBounded(t, c, address, false)
	require.NoError(t, err)
	second, err := sendBounded(t, c, address, false)
	require.NoError(t, err)
	_, err = sendBounded(t, c, address, false)
	require.ErrorIs(t, err, ErrNotSent)
	require.ErrorIs(t, err, ErrConnectionBound)
	require.EqualValues(t, 2, c.Opened())

	first.Close() // It was not read, so its connection is closed.
	require.Equal(t, 1, c.open.count(address))
	third, err := sendBounded(t, c, address, false)
	require.NoError(t, err)
	for _, r := range []*Response{second, third} {
		_, err = io.ReadAll(r)
		require.NoError(t, err)
		r.Close()
	}
	require.True(t, c.HasIdle(address, time.Now()))
	require.False(t, c.HasIdle(address, time.Now().Add(time.Hour)))
	require.False(t, c.HasIdle("other", time.Now()))

	// A request that needs a new connection takes the place of an idle one.
	fourth, err := sendBounded(t, c, address, true)
	require.NoError(t, err)
	fourth.Close()
	require.Equal(t, 1, c.open.count(address))
	c.Close()
	require.Zero(t, c.open.count(address))
}

// Guards against failed dials that count towards the bound forever.
func TestSend_FailedDialDoesNotCount(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	c := testClient()
	for range 3 {
		_, err = sendBounded(t, c, address, false)
		require.ErrorIs(t, err, ErrNotSent)
		require.NotErrorIs(t, err, ErrConnectionBound)
	}
	require.Zero(t, c.open.count(address))
}

// Guards against a preference for endpoints whose idle connections are already closed.
func TestPrune_DropsClosedConnections(t *testing.T) {
	hangUp := make(chan struct{})
	address := scriptedServer(t, func(c net.Conn, _ *http.Request, _ int) {
		_, _ = c.Write([]byte(responseText("1", "yes")))
		<-hangUp
		_ = c.Close()
	})
	c := testClient()
	response, err := sendBounded(t, c, address, false)
	require.NoError(t, err)
	_, err = io.ReadAll(response)
	require.NoError(t, err)
	response.Close()
	c.Prune(time.Now())
	require.True(t, c.HasIdle(address, time.Now()), "an open connection is kept")
	close(hangUp)
	require.Eventually(t, func() bool {
		c.Prune(time.Now())
		return !c.HasIdle(address, time.Now())
	}, 5*time.Second, 10*time.Millisecond)
	require.Zero(t, c.open.count(address))
}
