package relay

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// silent responds nothing until the connection is closed.
func silent(c net.Conn, _ *http.Request) { stall(c) }

// serveAndEnd serves a request and ends it once its endpoint has received it.
func serveAndEnd(t *testing.T, fx *fixture, e *endpoint, ending *Relay, host string) *recorder {
	t.Helper()
	served := make(chan *recorder, 1)
	go func() { served <- fx.serve(request(host)) }()
	require.Eventually(t, func() bool { return len(e.requests()) > 0 }, 5*time.Second, time.Millisecond)
	// What the endpoint has sent is relayed before.
	time.Sleep(50 * time.Millisecond)
	ending.EndRequests()
	select {
	case out := <-served:
		return out
	case <-time.After(5 * time.Second):
		require.Fail(t, "the request goes on")
		return nil
	}
}

// Guards against requests whose connections are closed without a response when the node stops.
func TestEndRequests_AnswersRequestsInFlight(t *testing.T) {
	for _, test := range []struct {
		name, host string
		run        script
		status     int
		body       string
		complete   bool
	}{
		{"silent", hostPlain, silent, 502, "", true},
		{"silent, once", hostOnce, silent, 502, "", true},
		{"silent stream", hostStream, silent, 502, "", true},
		{"silent stream, single", hostSingle, silent, 502, "", true},
		{"stream without an event", hostStream, events(1, 0, stall), 502, "", true},
		{"stream begun", hostStream, events(1, 3, stall), 200, eventsText(1, 3), false},
		{"stream begun, single", hostSingle, events(1, 3, stall), 200, eventsText(1, 3), false},
		{"part of a response", hostOnce, respondPart, 502, "", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			e := newEndpoint(t, test.run)
			fx := newFixture(t, []*endpoint{e}, []*endpoint{e})
			out := serveAndEnd(t, fx, e, fx.relay, test.host)
			require.Equal(t, test.status, out.status)
			require.Equal(t, test.complete, out.ended)
			require.Equal(t, !test.complete, out.aborted)
			require.Empty(t, out.header.Get("After"), "the request may have run")
			if !test.complete {
				require.Equal(t, test.body, out.body.String())
			}
			require.Zero(t, fx.relay.InFlight())

			out = fx.serve(request(test.host))
			require.Equal(t, 503, out.status, "a request that was read but not begun")
			require.NotEmpty(t, out.header.Get("After"))
			require.Len(t, e.requests(), 1)
		})
	}
}

// respondPart sends a part of a response.
func respondPart(c net.Conn, r *http.Request) {
	_, _ = c.Write([]byte(responseHead(r, 200) + "Content-Length: 9\r\n\r\npart"))
	stall(c)
}

// Guards against a request that ends with the node which runs it for another one: that one has it run elsewhere, or answers
// that it may have run.
func TestEndRequests_OfANeighbour(t *testing.T) {
	for _, test := range []struct {
		name, host  string
		first       script
		second      script
		status      int
		body        string
		secondCalls int
	}{
		{"silent", hostPlain, silent, respondWith(200, "good"), 200, "good", 1},
		{"silent, once", hostOnce, silent, respondWith(200, "good"), 502, "", 0},
		{"stream begun", hostStream, events(1, 3, stall), events(4, 5, endStream), 200, eventsText(1, 5), 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			first, firstEndpoint := newNeighbour(t, test.first)
			second, secondEndpoint := newNeighbour(t, test.second)
			fx := newFixture(t, nil, nil)
			fx.loseLinks(first, second)
			out := serveAndEnd(t, fx, firstEndpoint, first.fx.relay, test.host)
			require.Equal(t, test.status, out.status)
			require.True(t, out.ended)
			if test.body != "" {
				require.Equal(t, test.body, out.body.String())
			}
			require.Len(t, secondEndpoint.requests(), test.secondCalls)
		})
	}
}

// Guards against a caller without an answer because its request runs at a neighbour when the node stops.
func TestEndRequests_ForwardedToANeighbour(t *testing.T) {
	for _, host := range []string{hostPlain, hostOnce, hostStream} {
		t.Run(host, func(t *testing.T) {
			t.Parallel()
			n, e := newNeighbour(t, silent)
			fx := newFixture(t, nil, nil)
			fx.loseLinks(n)
			out := serveAndEnd(t, fx, e, fx.relay, host)
			require.Equal(t, 502, out.status)
			require.True(t, out.ended)
		})
	}
}
