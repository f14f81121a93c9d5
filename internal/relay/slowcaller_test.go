package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// slowRecorder is a caller that holds up each write.
type slowRecorder struct {
	recorder
	pause time.Duration
}

func (r *slowRecorder) Write(p []byte) error {
	time.Sleep(r.pause)
	return r.recorder.Write(p)
}

// largeEvents streams events that are larger than what a reader buffers ahead.
func largeEvents(from, to int) script {
	return func(c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, responseHead(r, 200)+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		for id := from; id <= to; id++ {
			text := fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", 32<<10))
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
		}
		endStream(c)
	}
}

// While a caller does not read, nothing is read from its endpoint, which must not be taken for
// silent.
func TestServe_SlowCallerIsNoEndpointFailure(t *testing.T) {
	for name, test := range map[string]struct {
		script script
		status int
		ended  bool
	}{
		"complete": {largeEvents(1, 3), http.StatusOK, true},
		// The endpoint gives the stream up after the caller has held it up.
		"cut off": {events(1, 2, breakStream), http.StatusOK, false},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, test.script)
			fx := newFixture(t, nil, []*endpoint{e})
			in := request(hostStream)
			if !test.ended {
				in = request(hostSingle)
			}
			out := &slowRecorder{pause: 700 * time.Millisecond}
			fx.relay.Serve(t.Context(), in, out)
			require.Equal(t, test.status, out.status)
			require.Equal(t, test.ended, out.ended)
			require.Equal(t, !test.ended, out.aborted, "an incomplete stream must not look complete")
			require.Empty(t, fx.relay.options.Balancer.Suspects(time.Now()))
			require.Len(t, e.requests(), 1)
			tally, _ := fx.relay.options.Balancer.load("h0").observed(0, time.Now())
			require.Zero(t, tally.Failed)
		})
	}
}

// Responses that wait for slow callers must not be buffered without bound.
func TestReserveBuffer_BoundsAllResponses(t *testing.T) {
	const size = 100 << 10
	e := newEndpoint(t, respondWith(http.StatusOK, strings.Repeat("x", size)))
	fx := newFixture(t, []*endpoint{e}, nil)
	fx.relay.options.MaxBuffered = size + size/2
	held := &call{Relay: fx.relay}
	require.EqualValues(t, size, held.reserveBuffer(size))
	require.EqualValues(t, minBuffered, (&call{Relay: fx.relay}).reserveBuffer(-1))
	out := fx.serve(request(hostPlain))
	require.Equal(t, http.StatusOK, out.status)
	require.Equal(t, size, out.body.Len(), "it is relayed as it arrives")
	require.EqualValues(t, size, fx.relay.buffered.Load(), "only what is held stays reserved")
}
