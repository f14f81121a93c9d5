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

// denyPermits denies every request for a permit.
func denyPermits(wait time.Duration) throttle.Options {
	return throttle.Options{RequestPermit: func(context.Context, *serving.Endpoint, advisory.RateLimit) (throttle.Permit, error) {
		return throttle.Permit{Wait: wait}, nil
	}}
}

// setLimit sets the rate limit of an endpoint.
func (fx *fixture) setLimit(id serving.EndpointID) {
	fx.relay.options.Throttle.SetLimit(fx.view.Endpoints[id].Incarnation(), 1, time.Now())
}

func TestRateLimit_SendsOverflowElsewhere(t *testing.T) {
	a, b := newEndpoint(t, events(1, 2, endStream)), newEndpoint(t, events(1, 2, endStream))
	fx := newFixture(t, nil, []*endpoint{a, b})
	fx.useThrottle(throttle.NewTracker(denyPermits(time.Second)))
	fx.setLimit("h0")
	for range 5 {
		require.Equal(t, http.StatusOK, fx.serve(request(hostStream)).status)
	}
	require.Empty(t, a.requests())
	require.Len(t, b.requests(), 5)
}

func TestRateLimit_RejectsImmediately(t *testing.T) {
	for _, host := range []string{hostStream, hostOnce} {
		e := newEndpoint(t, events(1, 2, endStream))
		fx := newFixture(t, []*endpoint{e}, []*endpoint{e})
		fx.useThrottle(throttle.NewTracker(denyPermits(time.Second)))
		fx.setLimit("h0")
		fx.setLimit("p0")
		after := fx.rejectedImmediately(t, host)
		require.InDelta(t, time.Second, after, float64(50*time.Millisecond), "the time of the next permit")
		require.Empty(t, e.requests())
	}
}

// A retry that the rate limit denies must not be charged to the retry budget.
func TestRateLimit_DoesNotChargeDeniedRetries(t *testing.T) {
	a, b := newEndpoint(t, events(1, 3, breakStream)), newEndpoint(t, events(4, 5, endStream))
	fx := newFixture(t, nil, []*endpoint{a, b})
	fx.useThrottle(throttle.NewTracker(denyPermits(10 * time.Second)))
	fx.setLimit("h1")
	before := fx.relay.options.Budget.State("llm", time.Now())
	out := fx.serve(request(hostStream))
	require.True(t, out.aborted)
	require.Empty(t, b.requests())
	after := fx.relay.options.Budget.State("llm", time.Now())
	require.Equal(t, before.Retries, after.Retries)
	require.InDelta(t, before.Slack, after.Slack, 0.01)
}

// endpointResponse is what the header of a response states.
type endpointResponse struct {
	signed bool
	notRun bool
	status int
}

// observe passes such a response to the relay.
func (a endpointResponse) observe(fx *fixture, e *serving.Endpoint) {
	c := &call{Relay: fx.relay}
	v := Verdict{Signed: a.signed, NotRun: a.notRun}
	c.observe(target{Endpoint: e}, v, fx.relay.options.Wire.Statement(a.status, nil), &activeRequest{sentAt: time.Now().Add(time.Millisecond)}, a.status)
}

// statementWire is a wire whose responses all contain the same statement.
type statementWire struct {
	testWire
	statement advisory.Statement
}

func (w statementWire) Statement(int, http.Header) advisory.Statement { return w.statement }

// Rate limits are also taken from rejections, but not from responses of other endpoints.
func TestObserve_AppliesRateLimits(t *testing.T) {
	tests := map[string]struct {
		answer advisory.Advertised[float64]
		before float64
		signed bool
		notRun bool
		status int
		want   float64
	}{
		"advertised":                             {answer: advisory.Advertised[float64]{Value: 2}, signed: true, status: 200, want: 2},
		"advertised by a rejection":              {answer: advisory.Advertised[float64]{Value: 2}, notRun: true, status: 503, want: 2},
		"advertised by another endpoint":         {answer: advisory.Advertised[float64]{Value: 2}, notRun: true, status: 421},
		"advertised by an unsigned response":     {answer: advisory.Advertised[float64]{Value: 2}, status: 200},
		"changed":                                {answer: advisory.Advertised[float64]{Value: 2}, before: 5, signed: true, status: 200, want: 2},
		"withdrawn":                              {before: 5, signed: true, status: 200},
		"not advertised by another endpoint":     {before: 5, notRun: true, status: 421, want: 5},
		"unreadable keeps the limit":             {answer: advisory.Advertised[float64]{InvalidValue: "few"}, before: 5, signed: true, status: 200, want: 5},
		"unreadable sets no limit":               {answer: advisory.Advertised[float64]{InvalidValue: "few"}, signed: true, status: 200},
		"not advertised by a failure":            {before: 5, signed: true, status: 500},
		"not advertised by a rejection":          {before: 5, notRun: true, status: 503},
		"not advertised by an unsigned response": {before: 5, status: 200, want: 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t, nil, []*endpoint{newEndpoint(t, closeConn)})
			e := fx.view.Endpoints["h0"]
			if test.before > 0 {
				fx.relay.options.Throttle.SetLimit(e.Incarnation(), test.before, time.Now())
			}
			fx.relay.options.Wire = statementWire{statement: advisory.Statement{RateLimit: test.answer}}
			endpointResponse{test.signed, test.notRun, test.status}.observe(fx, e)
			require.InDelta(t, test.want, fx.relay.options.Throttle.RateLimit(e.Incarnation()).PerSecond, 0)
		})
	}
}

// rejectedImmediately sends a request that must be rejected immediately as not run, and returns its
// Retry-After.
func (fx *fixture) rejectedImmediately(t *testing.T, host string) time.Duration {
	t.Helper()
	began := time.Now()
	out := fx.serve(request(host))
	require.Less(t, time.Since(began), 500*time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, out.status)
	after, err := time.ParseDuration(out.header.Get("After"))
	require.NoError(t, err)
	return after
}

func (fx *fixture) useThrottle(tracker *throttle.Tracker) {
	fx.relay.options.Throttle = tracker
	fx.relay.options.Balancer.SetHold(tracker.Hold)
}
