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

// coolDown has an endpoint ask this node for a cooldown.
func (w *world) coolDown(id serving.EndpointID, span time.Duration) {
	w.observe(id, advisory.Statement{Cooldown: advisory.Advertised[time.Duration]{Value: span}})
}

func (w *world) observe(id serving.EndpointID, s advisory.Statement) {
	w.relay.options.Throttle.Observe(advisory.Observation{Endpoint: w.view.Endpoints[id].Incarnation(), Statement: s}, time.Now())
}

// draining is what an endpoint says that leaves.
var draining = advisory.Statement{Draining: advisory.Advertised[bool]{Value: true}}

func TestCooldown_RequestsGoToOtherEndpoints(t *testing.T) {
	for name, statement := range map[string]advisory.Statement{
		"cooldown": {Cooldown: advisory.Advertised[time.Duration]{Value: time.Minute}},
		"draining": draining,
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newEndpoint(t, events(1, 2, whole)), newEndpoint(t, events(1, 2, whole))
			w := newWorld(t, []*endpoint{a, b}, []*endpoint{a, b})
			w.useThrottle(throttle.NewTracker(throttle.Options{}))
			w.observe("h0", statement)
			w.observe("p0", statement)
			for range 5 {
				require.Equal(t, http.StatusOK, w.serve(request(hostStream)).status)
				require.Equal(t, http.StatusOK, w.serve(request(hostOnce)).status)
			}
			require.Empty(t, a.arrivals())
			require.Len(t, b.arrivals(), 10)
		})
	}
}

func TestCooldown_OfAllEndpointsRejectsAtOnce(t *testing.T) {
	for _, host := range []string{hostStream, hostOnce} {
		e := newEndpoint(t, events(1, 2, whole))
		w := newWorld(t, []*endpoint{e}, []*endpoint{e})
		w.useThrottle(throttle.NewTracker(throttle.Options{}))
		w.coolDown("h0", 2*time.Second)
		w.coolDown("p0", 2*time.Second)
		after := w.rejectedAtOnce(t, host)
		require.Positive(t, after)
		require.LessOrEqual(t, after, DefaultWeights.OverloadRetryAfter, "another node may serve")
		require.Empty(t, e.arrivals())
	}
}

// A permit takes a way to another node and back, in which the endpoint may ask for a cooldown
// or say that it leaves: the request does not go there any more, and is served elsewhere.
func TestGate_HoldsBackWhatWaitedForAPermit(t *testing.T) {
	for name, statement := range map[string]advisory.Statement{
		"cooldown": {Cooldown: advisory.Advertised[time.Duration]{Value: time.Minute}},
		"draining": draining,
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newEndpoint(t, events(1, 2, whole)), newEndpoint(t, events(1, 2, whole))
			w := newWorld(t, nil, []*endpoint{a, b})
			asked := 0
			w.useThrottle(throttle.NewTracker(throttle.Options{Ask: func(_ context.Context, e *serving.Endpoint, known advisory.RateLimit) (throttle.Permit, error) {
				if asked++; asked == 1 {
					w.observe(e.ID, statement)
				}
				return throttle.Permit{Granted: true, Limit: known}, nil
			}}))
			w.limited("h0")
			w.limited("h1")
			out := w.serve(request(hostStream))
			require.Equal(t, http.StatusOK, out.status)
			require.Equal(t, 2, asked)
			require.Len(t, append(a.arrivals(), b.arrivals()...), 1)
		})
	}
}

// A retry that is held back before its first byte is neither an arrival nor a failure of the
// endpoint: the budget gets its repeat back.
func TestGate_RefundsTheRetryBudget(t *testing.T) {
	a, b := newEndpoint(t, events(1, 3, broken)), newEndpoint(t, events(4, 5, whole))
	w := newWorld(t, nil, []*endpoint{a, b})
	w.useThrottle(throttle.NewTracker(throttle.Options{Ask: func(_ context.Context, e *serving.Endpoint, known advisory.RateLimit) (throttle.Permit, error) {
		w.coolDown(e.ID, time.Minute)
		return throttle.Permit{Granted: true, Limit: known}, nil
	}}))
	w.limited("h1")
	before := w.relay.options.Budget.State("llm", time.Now())
	out := w.serve(request(hostStream))
	require.True(t, out.cut)
	require.Len(t, a.arrivals(), 1)
	require.Empty(t, b.arrivals())
	after := w.relay.options.Budget.State("llm", time.Now())
	require.Equal(t, before.Retries, after.Retries)
	require.Empty(t, w.relay.options.Balancer.Suspects(time.Now()))
}

// No permit is asked for at an endpoint to which nothing may be sent.
func TestCooldown_TakesNoPermit(t *testing.T) {
	e := newEndpoint(t, events(1, 2, whole))
	w := newWorld(t, []*endpoint{e}, []*endpoint{e})
	w.useThrottle(throttle.NewTracker(throttle.Options{Ask: func(context.Context, *serving.Endpoint, advisory.RateLimit) (throttle.Permit, error) {
		t.Error("a permit was asked for")
		return throttle.Permit{Granted: true}, nil
	}}))
	for _, id := range []serving.EndpointID{"h0", "p0"} {
		w.limited(id)
		w.coolDown(id, time.Minute)
	}
	for _, host := range []string{hostStream, hostOnce} {
		require.Equal(t, http.StatusServiceUnavailable, w.serve(request(host)).status)
	}
}

// Whose answer it is decides whether its endpoint is left alone.
func TestObserve_IgnoresAnswersOfOthers(t *testing.T) {
	statement := advisory.Statement{Cooldown: advisory.Advertised[time.Duration]{Value: time.Minute}, Draining: advisory.Advertised[bool]{Value: true}}
	tests := map[string]struct {
		answer endpointAnswer
		want   throttle.Hold
	}{
		"signed":                 {endpointAnswer{signed: true, status: 200}, throttle.HoldDraining},
		"rejection":              {endpointAnswer{notRun: true, status: 503}, throttle.HoldDraining},
		"failure":                {endpointAnswer{signed: true, status: 500}, throttle.HoldDraining},
		"misdirected":            {endpointAnswer{notRun: true, status: 421}, throttle.HoldNone},
		"of nobody":              {endpointAnswer{status: 503}, throttle.HoldNone},
		"misdirected yet signed": {endpointAnswer{signed: true, status: 421}, throttle.HoldNone},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, nil, []*endpoint{newEndpoint(t, hangUp)})
			w.relay.options.Wire = stating{statement: statement}
			e := w.view.Endpoints["h0"]
			test.answer.observe(w, e)
			require.Equal(t, test.want, w.relay.options.Throttle.Hold(e, time.Now()))
		})
	}
}

// A request that shedding endpoints rejected until its attempts were used up may be served at
// once through another node.
func TestCooldown_RejectedRequestsComeBackSoon(t *testing.T) {
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
				all = append(all, newEndpoint(t, notRun))
			}
			w := newWorld(t, nil, all)
			w.useThrottle(throttle.NewTracker(throttle.Options{}))
			w.relay.options.Wire = stating{statement: advisory.Statement{Cooldown: advisory.Advertised[time.Duration]{Value: test.cooldown}}}
			out := w.serve(request(hostStream))
			require.Equal(t, http.StatusServiceUnavailable, out.status)
			require.Equal(t, test.want.String(), out.header.Get("After"))
		})
	}
}
