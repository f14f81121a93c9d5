package relay

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	qlist "github.com/ridgehinge/ridgehinge/pkg/quarantine"
)

// cutOffAt announces a body and closes the connection before all of it is sent.
func cutOffAt(status, announced, sent int) script {
	return func(c net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", responseHead(r, status), announced, strings.Repeat("x", sent))
		_ = c.Close()
	}
}

// responseSizes are bodies that are buffered, that exceed maxBuffered, and that exceed minBuffered
// while the total for all responses is used up.
var responseSizes = []struct {
	name        string
	size        int
	maxBuffered int64
}{
	{"small", 1 << 10, 64 << 20},
	{"large", maxBuffered + 44<<10, 64 << 20},
	{"very large", 600 << 10, 64 << 20},
	{"small, without buffers", 20 << 10, 1},
}

// The size of an endpoint's failure must decide neither whether the request is retried nor whether
// a status that implies "not run" reaches the caller of a request that has run.
func TestRelayBuffered_FailureOfAnySize(t *testing.T) {
	for _, size := range responseSizes {
		body := strings.Repeat("x", size.size)
		for _, test := range []struct {
			host      string
			status    int
			want      int
			endpoints int
			attempts  int
		}{
			{hostOnce, 503, 502, 1, 1},
			{hostOnce, 429, 502, 1, 1},
			{hostOnce, 500, 500, 1, 1},
			{hostPlain, 503, 200, 2, 2},
			{hostPlain, 500, 200, 2, 2},
			{hostPlain, 404, 404, 2, 1},
		} {
			t.Run(fmt.Sprintf("%s/%s/%d", size.name, test.host, test.status), func(t *testing.T) {
				failing := newEndpoint(t, respondWith(test.status, body))
				good := newEndpoint(t, respondWith(200, "good"))
				endpoints := []*endpoint{failing, good}[:test.endpoints]
				fx := newFixture(t, endpoints, nil)
				fx.relay.options.MaxBuffered = size.maxBuffered
				if test.endpoints > 1 {
					fx.relay.options.Balancer.Suspect("p1", time.Now())
				}
				out := fx.serve(request(test.host))
				require.Equal(t, test.want, out.status)
				require.True(t, out.ended)
				require.Len(t, append(failing.requests(), good.requests()...), test.attempts)
				if test.want == test.status {
					require.Equal(t, body, out.body.String())
					require.NotEmpty(t, out.header.Get("Signed"))
				}
				tally, _ := fx.relay.options.Balancer.load("p0").observed(0, time.Now())
				require.Equal(t, test.status >= 500, tally.Failed > 0, "the endpoint's failure is counted")
			})
		}
	}
}

// With no attempt left, a failure that is too large to keep must still reach the caller.
func TestRelayBuffered_RelaysLargeFailureOfLastAttempt(t *testing.T) {
	body := strings.Repeat("x", maxBuffered+1)
	fx := newFixture(t, []*endpoint{newEndpoint(t, respondWith(500, body)), newEndpoint(t, respondWith(500, body))}, nil)
	out := fx.serve(request(hostPlain))
	require.Equal(t, 500, out.status)
	require.True(t, out.ended)
	require.Equal(t, body, out.body.String())
}

// Successes and failures of large responses count towards the health of their endpoint.
func TestRelayUnbuffered_RecordsOutcome(t *testing.T) {
	const announced = 600 << 10
	for _, size := range responseSizes {
		t.Run(size.name, func(t *testing.T) {
			good := newEndpoint(t, respondWith(200, strings.Repeat("x", size.size)))
			fx := newFixture(t, []*endpoint{good}, nil)
			fx.relay.options.MaxBuffered = size.maxBuffered
			require.True(t, fx.serve(request(hostPlain)).ended)
			tally, _ := fx.relay.options.Balancer.load("p0").observed(0, time.Now())
			require.Positive(t, tally.Served)
			require.Zero(t, tally.Failed)

			broken := newEndpoint(t, cutOffAt(200, announced, size.size-1))
			fx = newFixture(t, []*endpoint{broken}, nil)
			fx.relay.options.MaxBuffered = size.maxBuffered
			fx.serve(request(hostOnce))
			tally, _ = fx.relay.options.Balancer.load("p0").observed(0, time.Now())
			require.Positive(t, tally.Failed)
		})
	}
}

// A request that crashes its endpoints in the middle of large responses must be quarantined like
// any other.
func TestQuarantine_CountsCrashesDuringLargeResponses(t *testing.T) {
	for _, status := range []int{200, 500, 503} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			var endpoints []*endpoint
			for range qlist.MaxCrashes {
				endpoints = append(endpoints, newCrashingEndpoint(t, cutOffAt(status, 600<<10, 300<<10)))
			}
			fx := newFixture(t, endpoints, nil)
			all := fx.view.Plain["shop"]
			crasher := request(hostOnce)
			f := qlist.FingerprintOf([]byte("bakery"), []byte(crasher.Host), []byte(crasher.Method), []byte(crasher.URI), crasher.Body)
			for i := range qlist.MaxCrashes {
				fx.view.Plain["shop"] = all[i : i+1]
				fx.serve(crasher)
				require.Eventually(t, func() bool { return crashCount(fx.relay.options.Quarantine, f) == i+1 }, 5*time.Second, time.Millisecond)
			}
			_, allowed := fx.relay.options.Quarantine.Allowed(qlist.Subject{Content: f}, time.Now())
			require.False(t, allowed)
		})
	}
}

// An endpoint that gives up a large response because the caller does not read it has not failed.
func TestRelayUnbuffered_SlowCallerIsNoEndpointFailure(t *testing.T) {
	e := newEndpoint(t, cutOffAt(200, 600<<10, 300<<10))
	fx := newFixture(t, []*endpoint{e}, nil)
	out := &slowRecorder{pause: callerHeldUp + 100*time.Millisecond}
	fx.relay.Serve(t.Context(), request(hostOnce), out)
	require.True(t, out.aborted)
	tally, _ := fx.relay.options.Balancer.load("p0").observed(0, time.Now())
	require.Zero(t, tally.Failed)
}

// failingRecorder is a caller whose connection fails during the body.
type failingRecorder struct{ recorder }

func (r *failingRecorder) Write([]byte) error { return errors.New("connection reset by peer") }

// A response that could not be written must not be ended like a complete one.
func TestServe_AbortsAfterFailedWrite(t *testing.T) {
	for _, test := range []struct {
		name   string
		host   string
		script script
	}{
		{"small", hostPlain, respondWith(200, "good")},
		{"large", hostPlain, respondWith(200, strings.Repeat("x", maxBuffered+1))},
		{"failure of the endpoint", hostOnce, respondWith(500, "oh")},
		{"response of the relay", hostOnce, closeConn},
	} {
		t.Run(test.name, func(t *testing.T) {
			fx := newFixture(t, []*endpoint{newEndpoint(t, test.script)}, nil)
			out := &failingRecorder{}
			fx.relay.Serve(t.Context(), request(test.host), out)
			require.True(t, out.aborted)
			require.False(t, out.ended)
		})
	}
}
