package relay

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/pkg/admission"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// overloadFixture has one head and one plain endpoint, and overload control.
func overloadFixture(t *testing.T) *fixture {
	fx := newFixture(t, []*endpoint{newEndpoint(t, respondWith(200, "good"))}, []*endpoint{newEndpoint(t, respondWith(200, "good"))})
	fx.relay.options.Overload = NewOverload(admission.DefaultPolicy(), NewArrivals(), fx.relay.options.Balancer, rand.NewPCG(1, 2))
	return fx
}

// Guards against a rejection without a Retry-After when the caller has no time left.
func TestOverloadRetryAfter_IsNeverZero(t *testing.T) {
	fx := overloadFixture(t)
	c := &call{Relay: fx.relay, view: fx.view, route: fx.view.Configuration.Match(hostStream, "/"), service: "llm", deadline: time.Now(), attrs: Attributes{Model: "m"}}
	require.Equal(t, DefaultWeights.OverloadRetryAfter, c.overloadRetryAfter(time.Now()))
	c.deadline = time.Now().Add(testTimeout)
	require.Greater(t, c.overloadRetryAfter(time.Now()), time.Second)
}

// Guards against a plan that takes served requests for excess: responses that are no streams did not
// count as starts, but their requests as arrivals.
func TestServe_CountsBufferedResponsesAsStarts(t *testing.T) {
	fx := overloadFixture(t)
	for i := range fx.view.Configuration.Routes {
		fx.view.Configuration.Routes[i].Kind = serving.KindRepeatable
	}
	require.Equal(t, 200, fx.serve(request(hostStream)).status)
	require.Equal(t, 200, fx.serve(request(hostPlain)).status)
	rates := fx.relay.options.Overload.OwnRates(time.Now())
	require.Len(t, rates, 1)
	require.InDelta(t, perSecond(1), rates[directory.Pool{Service: "llm", Model: "m"}].Starts, 0.4)
}
