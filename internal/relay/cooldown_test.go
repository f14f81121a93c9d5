package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/throttle"
	"github.com/ridgehinge/ridgehinge/pkg/advisory"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// coolDown makes an endpoint ask this node for a cooldown.
func (fx *fixture) coolDown(id serving.EndpointID, span time.Duration) {
	fx.observe(id, advisory.Statement{Cooldown: advisory.Advertised[time.Duration]{Value: span}})
}

func (fx *fixture) observe(id serving.EndpointID, s advisory.Statement) {
	fx.relay.options.Throttle.Observe(advisory.Observation{Endpoint: fx.view.Endpoints[id].Incarnation(), Statement: s}, time.Now())
}

// drainingStatement is the statement of a draining endpoint.
var drainingStatement = advisory.Statement{Draining: advisory.Advertised[bool]{Value: true}}

func TestCooldown_SendsRequestsElsewhere(t *testing.T) {
	for name, statement := range map[string]advisory.Statement{
		"cooldown": {Cooldown: advisory.Advertised[time.Duration]{Value: time.Minute}},
		"draining": drainingStatement,
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newEndpoint(t, events(1, 2, endStream)), newEndpoint(t, events(1, 2, endStream))
			fx := newFixture(t, []*endpoint{a, b}, []*endpoint{a, b})
			fx.useThrottle(throttle.NewTracker(throttle.Options{}))
			fx.observe("h0", statement)
			fx.observe("p0", statement)
			for range 5 {
				require.Equal(t, http.StatusOK, fx.serve(request(hostStream)).status)
				require.Equal(t, http.StatusOK, fx.serve(request(hostOnce)).status)
			}
			require.Empty(t, a.requests())
			require.Len(t, b.requests(), 10)
		})
	}
}

func TestCooldown_RejectsImmediately(t *testing.T) {
	for _, host := range []string{hostStream, hostOnce} {
		e := newEndpoint(t, events(1, 2, endStream))
		fx := newFixture(t, []*endpoint{e}, []*endpoint{e})
		fx.useThrottle(throttle.NewTracker(throttle.Options{}))
		fx.coolDown("h0", 2*time.Second)
		fx.coolDown("p0", 2*time.Second)
		after := fx.rejectedImmediately(t, host)
		require.Positive(t, after)
		require.LessOrEqual(t, after, DefaultWeights.OverloadRetryAfter, "another node may serve")
		require.Empty(t, e.requests())
	}
}

// An endpoint may ask for a cooldown or start draining while a request waits for a permit; the
// request must then be served elsewhere.
func TestBeforeSend_RechecksHoldAfterPermit(t *testing.T) {
	for name, statement := range map[string]advisory.Statement{
		"cooldown": {Cooldown: advisory.Advertised[time.Duration]{Value: time.Minute}},
		"draining": drainingStatement,
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newEndpoint(t, events(1, 2, endStream)), newEndpoint(t, events(1, 2, endStream))
			fx := newFixture(t, nil, []*endpoint{a, b})
			requested := 0
			fx.useThrottle(throttle.NewTracker(throttle.Options{RequestPermit: func(_ context.Context, e *serving.Endpoint, known advisory.RateLimit) (throttle.Permit, error) {
				if requested++; requested == 1 {
					fx.observe(e.ID, statement)
				}
				return throttle.Permit{Granted: true, Limit: known}, nil
			}}))
			fx.setLimit("h0")
			fx.setLimit("h1")
			out := fx.serve(request(hostStream))
			require.Equal(t, http.StatusOK, out.status)
			require.Equal(t, 2, requested)
			require.Len(t, append(a.requests(), b.requests()...), 1)
		})
	}
}

// Guards against sending a request to an endpoint whose row told that it leaves, or was removed, while
// the request waited for a permit or a connection.
func TestBeforeSend_RechecksRowAfterPermit(t *testing.T) {
	for name, leave := range map[string]func(view *directory.View, id serving.EndpointID){
		"draining": func(view *directory.View, id serving.EndpointID) {
			left := *view.Endpoints[id]
			left.Draining = true
			view.Endpoints[id] = &left
		},
		"removed": func(view *directory.View, id serving.EndpointID) { delete(view.Endpoints, id) },
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newEndpoint(t, events(1, 2, endStream)), newEndpoint(t, events(1, 2, endStream))
			fx := newFixture(t, nil, []*endpoint{a, b})
			var left *serving.Endpoint
			fx.useThrottle(throttle.NewTracker(throttle.Options{RequestPermit: func(_ context.Context, e *serving.Endpoint, known advisory.RateLimit) (throttle.Permit, error) {
				if left == nil {
					left = e
					leave(fx.view, e.ID)
				}
				return throttle.Permit{Granted: true, Limit: known}, nil
			}}))
			fx.setLimit("h0")
			fx.setLimit("h1")
			out := fx.serve(request(hostStream))
			require.Equal(t, http.StatusOK, out.status)
			require.Len(t, append(a.requests(), b.requests()...), 1)
			require.NotEqual(t, string(left.ID), append(a.requests(), b.requests()...)[0].Header.Get("To"))
		})
	}
}

// A retry that is held back before its first byte is no failure of the endpoint, and its charge is
// refunded.
func TestBeforeSend_RefundsTheRetryBudget(t *testing.T) {
	a, b := newEndpoint(t, events(1, 3, breakStream)), newEndpoint(t, events(4, 5, endStream))
	fx := newFixture(t, nil, []*endpoint{a, b})
	fx.useThrottle(throttle.NewTracker(throttle.Options{RequestPermit: func(_ context.Context, e *serving.Endpoint, known advisory.RateLimit) (throttle.Permit, error) {
		fx.coolDown(e.ID, time.Minute)
		return throttle.Permit{Granted: true, Limit: known}, nil
	}}))
	fx.setLimit("h1")
	before := fx.relay.options.Budget.State("llm", time.Now())
	out := fx.serve(request(hostStream))
	require.True(t, out.aborted)
	require.Len(t, a.requests(), 1)
	require.Empty(t, b.requests())
	after := fx.relay.options.Budget.State("llm", time.Now())
	require.Equal(t, before.Retries, after.Retries)
	require.Empty(t, fx.relay.options.Balancer.Suspects(time.Now()))
}

// No permit is requested from an endpoint to which nothing may be sent.
func TestCooldown_AcquiresNoPermit(t *testing.T) {
	e := newEndpoint(t, events(1, 2, endStream))
	fx := newFixture(t, []*endpoint{e}, []*endpoint{e})
	fx.useThrottle(throttle.NewTracker(throttle.Options{RequestPermit: func(context.Context, *serving.Endpoint, advisory.RateLimit) (throttle.Permit, error) {
		t.Error("a permit was requested")
		return throttle.Permit{Granted: true}, nil
	}}))
	for _, id := range []serving.EndpointID{"h0", "p0"} {
		fx.setLimit(id)
		fx.coolDown(id, time.Minute)
	}
	for _, host := range []string{hostStream, hostOnce} {
		require.Equal(t, http.StatusServiceUnavailable, fx.serve(request(host)).status)
	}
}

// Statements in responses that may come from another endpoint must not put this one on hold.
func TestObserve_IgnoresUnrelatedResponses(t *testing.T) {
	statement := advisory.Statement{Cooldown: advisory.Advertised[time.Duration]{Value: time.Minute}, Draining: advisory.Advertised[bool]{Value: true}}
	tests := map[string]struct {
		answer endpointResponse
		want   throttle.Hold
	}{
		"signed":                 {endpointResponse{signed: true, status: 200}, throttle.HoldDraining},
		"rejection":              {endpointResponse{notRun: true, status: 503}, throttle.HoldDraining},
		"failure":                {endpointResponse{signed: true, status: 500}, throttle.HoldDraining},
		"misdirected":            {endpointResponse{notRun: true, status: 421}, throttle.HoldNone},
		"unsigned":               {endpointResponse{status: 503}, throttle.HoldNone},
		"misdirected yet signed": {endpointResponse{signed: true, status: 421}, throttle.HoldNone},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t, nil, []*endpoint{newEndpoint(t, closeConn)})
			fx.relay.options.Wire = statementWire{statement: statement}
			e := fx.view.Endpoints["h0"]
			test.answer.observe(fx, e)
			require.Equal(t, test.want, fx.relay.options.Throttle.Hold(e, time.Now()))
		})
	}
}

// A request that endpoints shed until its attempts were used up gets a short Retry-After, since
// another node may serve it.
func TestCooldown_ShortRetryAfterForShedLoad(t *testing.T) {
	for name, test := range map[string]struct {
		cooldown time.Duration
		want     time.Duration
	}{
		"shed":     {time.Minute, DefaultWeights.OverloadRetryAfter},
		"rejected": {0, defaultRetryAfter},
	} {
		t.Run(name, func(t *testing.T) {
			var all []*endpoint
			for range 5 {
				all = append(all, newEndpoint(t, rejectNotRun))
			}
			fx := newFixture(t, nil, all)
			fx.useThrottle(throttle.NewTracker(throttle.Options{}))
			fx.relay.options.Wire = statementWire{statement: advisory.Statement{Cooldown: advisory.Advertised[time.Duration]{Value: test.cooldown}}}
			out := fx.serve(request(hostStream))
			require.Equal(t, http.StatusServiceUnavailable, out.status)
			require.Equal(t, test.want.String(), out.header.Get("After"))
		})
	}
}
