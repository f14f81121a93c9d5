package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/upstream"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

func TestConnectionBound(t *testing.T) {
	for _, test := range []struct {
		maxConnections, nodes int
		part                  float64
		want                  int
	}{
		{0, 10, 1, 0}, {474, 0, 0, 426}, {474, 9, 0, 47}, {474, 85, 0, 5}, {474, 300, 0, 4}, {3, 1, 0, 4},
		{474, 85, 1.0 / 85, 5}, {474, 85, 0.5, 118}, {474, 300, 1, 237},
	} {
		require.Equal(t, test.want, connectionBound(test.maxConnections, test.nodes, test.part), "%+v", test)
	}
}

// Guards against a node that is handed most new connections of the callers and may not use the endpoints'
// free slots, since its part of their connections is that of an idle node.
func TestConnectionBound_FollowsDemand(t *testing.T) {
	const nodes, slots, maxConnections = 60, 26, 474
	now := time.Now()
	b := NewBalancer("north", rand.NewPCG(1, 1), Weights{ConnectionBound: true})
	b.SetNodes(nodes)
	require.Less(t, b.connectionBound(maxConnections), slots)
	e := &serving.Endpoint{ID: "e"}
	var running []*activeRequest
	for range 20 {
		running = append(running, b.begin(e, RequestSize{}, now))
	}
	b.SetPeerLoads(map[serving.EndpointID]PeerLoad{"e": {Running: 3}, "f": {Running: 7}})
	require.GreaterOrEqual(t, b.connectionBound(maxConnections), slots)
	for _, a := range running {
		a.end()
	}
	require.Less(t, b.connectionBound(maxConnections), slots)
}

// occupy opens connections to an endpoint and keeps them in use until the end of the test.
func (fx *fixture) occupy(t *testing.T, address string, connections int) {
	t.Helper()
	for range connections {
		response, err := fx.relay.options.Upstream.Send(context.Background(), upstream.Request{Address: address, Method: http.MethodGet, URI: "/", Host: hostPlain, NewConnection: true},
			func(http.Header) bool { return true })
		require.NoError(t, err)
		t.Cleanup(response.Close)
	}
}

// boundedFixture has two endpoints of a service whose bound is minConnections per node.
func boundedFixture(t *testing.T) (*fixture, [2]*endpoint) {
	endpoints := [2]*endpoint{newEndpoint(t, respondWith(200, "good")), newEndpoint(t, respondWith(200, "good"))}
	fx := newFixture(t, endpoints[:], nil)
	fx.relay.options.Balancer.weights.ConnectionBound = true
	shop := fx.view.Configuration.Services["shop"]
	shop.MaxConnections = minConnections
	fx.view.Configuration.Services["shop"] = shop
	return fx, endpoints
}

// Guards against an endpoint that becomes suspect because this node refuses to open a connection,
// and against requests that are lost although another endpoint has room.
func TestServe_GoesElsewhereAtConnectionBound(t *testing.T) {
	fx, endpoints := boundedFixture(t)
	fx.occupy(t, endpoints[0].address, minConnections)
	for range 4 {
		require.Equal(t, 200, fx.serve(request(hostPlain)).status)
	}
	require.Empty(t, fx.relay.options.Balancer.Suspects(time.Now()))
}

// Guards against a rejection that reports a failure when all endpoints are at the bound.
func TestServe_RejectsAsFullAtConnectionBound(t *testing.T) {
	fx, endpoints := boundedFixture(t)
	fx.occupy(t, endpoints[0].address, minConnections)
	fx.occupy(t, endpoints[1].address, minConnections)
	out := fx.serve(request(hostPlain))
	require.Equal(t, 503, out.status)
	require.Contains(t, out.body.String(), causeFull)
	require.Empty(t, fx.relay.options.Balancer.Suspects(time.Now()))
	fx.relay.options.Balancer.weights.ConnectionBound = false
	require.Equal(t, 200, fx.serve(request(hostPlain)).status)
}
