package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/throttle"
	"github.com/ridgehinge/ridgehinge/pkg/advisory"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// denied has the places of all endpoints denied for a while.
func denied(wait time.Duration) throttle.Options {
	return throttle.Options{Ask: func(context.Context, *serving.Endpoint, advisory.RateLimit) (throttle.Permit, error) {
		return throttle.Permit{Wait: wait}, nil
	}}
}

// limited has an endpoint name a limit.
func (w *world) limited(id serving.EndpointID) {
	w.relay.options.Throttle.SetLimit(w.view.Endpoints[id].Incarnation(), 1, time.Now())
}

func TestRateLimit_OverflowGoesToOtherEndpoints(t *testing.T) {
	a, b := newEndpoint(t, events(1, 2, whole)), newEndpoint(t, events(1, 2, whole))
	w := newWorld(t, nil, []*endpoint{a, b})
	w.useThrottle(throttle.NewTracker(denied(time.Second)))
	w.limited("h0")
	for range 5 {
		require.Equal(t, http.StatusOK, w.serve(request(hostStream)).status)
	}
	require.Empty(t, a.arrivals())
	require.Len(t, b.arrivals(), 5)
}

func TestRateLimit_RejectsAtOnceWhatNoEndpointTakes(t *testing.T) {
	for _, host := range []string{hostStream, hostOnce} {
		e := newEndpoint(t, events(1, 2, whole))
		w := newWorld(t, []*endpoint{e}, []*endpoint{e})
		w.useThrottle(throttle.NewTracker(denied(time.Second)))
		w.limited("h0")
		w.limited("p0")
		after := w.rejectedAtOnce(t, host)
		require.InDelta(t, time.Second, after, float64(50*time.Millisecond), "the limit's next place")
		require.Empty(t, e.arrivals())
	}
}

// A stream that breaks asks the limit for its next endpoint before it asks the retry budget:
// what the limit keeps back is not counted as a repeat.
func TestRateLimit_DeniedRetriesAreNotCharged(t *testing.T) {
	a, b := newEndpoint(t, events(1, 3, broken)), newEndpoint(t, events(4, 5, whole))
	w := newWorld(t, nil, []*endpoint{a, b})
	w.useThrottle(throttle.NewTracker(denied(10 * time.Second)))
	w.limited("h1")
	before := w.relay.options.Budget.State("llm", time.Now())
	out := w.serve(request(hostStream))
	require.True(t, out.cut)
	require.Empty(t, b.arrivals())
	after := w.relay.options.Budget.State("llm", time.Now())
	require.Equal(t, before.Retries, after.Retries)
	require.InDelta(t, before.Slack, after.Slack, 0.01)
}

// endpointAnswer is what is known of the head of an answer.
type endpointAnswer struct {
	signed bool
	notRun bool
	status int
}

// observe has the relay look at such an answer of an endpoint.
func (a endpointAnswer) observe(w *world, e *serving.Endpoint) {
	c := &call{Relay: w.relay}
	v := Verdict{Signed: a.signed, NotRun: a.notRun}
	c.observe(target{Endpoint: e}, v, w.relay.options.Wire.Statement(a.status, nil), &activeRequest{sentAt: time.Now().Add(time.Millisecond)}, a.status)
}

// stating is a wire whose answers all say the same of their endpoints.
type stating struct {
	testWire
	statement advisory.Statement
}

func (w stating) Statement(int, http.Header) advisory.Statement { return w.statement }

// An answer tells of the limit also when it breaks off or says that the request did not run.
func TestObserve_RateLimits(t *testing.T) {
	tests := map[string]struct {
		answer advisory.Advertised[float64]
		before float64
		signed bool
		notRun bool
		status int
		want   float64
	}{
		"named":                           {answer: advisory.Advertised[float64]{Value: 2}, signed: true, status: 200, want: 2},
		"named by one that did not run":   {answer: advisory.Advertised[float64]{Value: 2}, notRun: true, status: 503, want: 2},
		"named by another endpoint":       {answer: advisory.Advertised[float64]{Value: 2}, notRun: true, status: 421},
		"named by nobody":                 {answer: advisory.Advertised[float64]{Value: 2}, status: 200},
		"changed":                         {answer: advisory.Advertised[float64]{Value: 2}, before: 5, signed: true, status: 200, want: 2},
		"not named any more":              {before: 5, signed: true, status: 200},
		"not named by another endpoint":   {before: 5, notRun: true, status: 421, want: 5},
		"unreadable says nothing":         {answer: advisory.Advertised[float64]{Unreadable: "few"}, before: 5, signed: true, status: 200, want: 5},
		"unreadable brings no limit":      {answer: advisory.Advertised[float64]{Unreadable: "few"}, signed: true, status: 200},
		"not named by one that failed":    {before: 5, signed: true, status: 500},
		"not named by one that is busy":   {before: 5, notRun: true, status: 503},
		"not named by one that is no one": {before: 5, status: 200, want: 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, nil, []*endpoint{newEndpoint(t, hangUp)})
			e := w.view.Endpoints["h0"]
			if test.before > 0 {
				w.relay.options.Throttle.SetLimit(e.Incarnation(), test.before, time.Now())
			}
			w.relay.options.Wire = stating{statement: advisory.Statement{RateLimit: test.answer}}
			endpointAnswer{test.signed, test.notRun, test.status}.observe(w, e)
			require.InDelta(t, test.want, w.relay.options.Throttle.RateLimit(e.Incarnation()).PerSecond, 0)
		})
	}
}

// rejectedAtOnce sends a request, which must be rejected at once as not run, and returns its
// Retry-After.
func (w *world) rejectedAtOnce(t *testing.T, host string) time.Duration {
	t.Helper()
	began := time.Now()
	out := w.serve(request(host))
	require.Less(t, time.Since(began), 500*time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, out.status)
	after, err := time.ParseDuration(out.header.Get("After"))
	require.NoError(t, err)
	return after
}

func (w *world) useThrottle(tracker *throttle.Tracker) {
	w.relay.options.Throttle = tracker
	w.relay.options.Balancer.SetHold(tracker.Hold)
}
