package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/claims"
	"github.com/ridgehinge/ridgehinge/internal/control"
	"github.com/ridgehinge/ridgehinge/internal/link"
	"github.com/ridgehinge/ridgehinge/internal/peers"
	"github.com/ridgehinge/ridgehinge/internal/peers/forwardpb"
	"github.com/ridgehinge/ridgehinge/internal/platform"
	"github.com/ridgehinge/ridgehinge/internal/reachability"
	"github.com/ridgehinge/ridgehinge/internal/standin/platformstandin"
	"github.com/ridgehinge/ridgehinge/pkg/membership"
)

// remotePeer responds to forwarded requests like an entry instance of another data
// centre that finds the key claimed.
type remotePeer struct{ forwarded atomic.Int64 }

func (o *remotePeer) Exchange(_ context.Context, m *peers.Message) (*peers.Message, error) {
	return m, nil
}

func (o *remotePeer) Forward(_ *forwardpb.Request, out peers.ForwardStream) error {
	o.forwarded.Add(1)
	_ = out.Send(&forwardpb.Event{Status: 409, Headers: []*forwardpb.Header{{Name: HeaderOutcome, Value: "unknown"}}})
	return out.Send(&forwardpb.Event{Done: true})
}

// A claimed request without an endpoint is rejected as not run and its key is
// released. If it were forwarded, its own claim would reject it there.
func TestServe_DoesNotForwardClaimedRequests(t *testing.T) {
	other := &remotePeer{}
	key := []byte("0123456789abcdef")
	server, err := peers.Listen("127.0.0.1:0", key, link.New(nil), other)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	table := platformstandin.New()
	tableServer := httptest.NewServer(table.Handler())
	t.Cleanup(tableServer.Close)
	store := claims.New(claims.Options{
		Node: "test", MaxBatch: 8, Timeout: 5 * time.Second,
		Table: platform.New(platform.Options{Address: strings.TrimPrefix(tableServer.URL, "http://"), Timeout: 5 * time.Second}),
	})
	t.Cleanup(store.Close)
	b := newTestGateway(t, newEngineStandIn().Handler())
	b.gateway.options.Peers = peers.NewClient(key, link.New(nil))
	b.gateway.options.Claims = store
	s := *b.gateway.snapshot.Load()
	s.Targets = nil
	s.Remotes = []control.Remote{{
		Node:  membership.Node{ID: "far", Address: server.Address()},
		Pools: map[string]control.PoolLoad{control.ServicePool("s"): {Slots: 8}},
	}}
	b.gateway.Publish(&s)
	response, text := b.send("POST", "/services/s/pay", "{}", map[string]string{HeaderKey: "k-1"})
	assert.Equal(t, 503, response.StatusCode, text)
	assert.Equal(t, "not-run", response.Header.Get(HeaderOutcome))
	assert.Zero(t, other.forwarded.Load())
	require.Eventually(t, func() bool { return len(table.Rows("claim/")) == 0 }, 10*time.Second, time.Millisecond)
}

// scriptedPeer sends the same events for each forwarded request.
type scriptedPeer struct {
	remotePeer
	events []*forwardpb.Event
}

func (o *scriptedPeer) Forward(_ *forwardpb.Request, out peers.ForwardStream) error {
	o.forwarded.Add(1)
	for _, e := range o.events {
		_ = out.Send(e)
	}
	return nil
}

// Guards against rejecting callers while other entry instances reach the endpoints. A request that one
// declines goes to the next, and none is forwarded twice.
func TestServe_ForwardsWithoutLinks(t *testing.T) {
	key := []byte("0123456789abcdef")
	served := []*forwardpb.Event{{Status: 200, Body: []byte("by a neighbour")}, {Done: true}}
	declined := []*forwardpb.Event{{Declined: "stopping"}}
	start := func(events []*forwardpb.Event) (*scriptedPeer, membership.Node) {
		peer := &scriptedPeer{events: events}
		server, err := peers.Listen("127.0.0.1:0", key, link.New(nil), peer)
		require.NoError(t, err)
		t.Cleanup(server.Close)
		return peer, membership.Node{ID: membership.NodeID(server.Address()), Address: server.Address()}
	}
	for _, test := range []struct {
		name   string
		events [2][]*forwardpb.Event
		status int
		sends  int64
	}{
		{"the first serves", [2][]*forwardpb.Event{served, served}, 200, 1},
		{"the first declines", [2][]*forwardpb.Event{declined, served}, 200, 2},
		{"the first breaks off", [2][]*forwardpb.Event{nil, served}, 502, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			near, nearNode := start(test.events[0])
			far, farNode := start(test.events[1])
			b := newTestGateway(t, newEngineStandIn().Handler())
			b.gateway.options.Peers = peers.NewClient(key, link.New(nil))
			s := *b.gateway.snapshot.Load()
			s.Neighbours = []membership.Node{nearNode}
			s.Remotes = []control.Remote{{Node: farNode}}
			b.gateway.Publish(&s)
			loseLinks(b.gateway)
			response, text := b.send("POST", "/services/s/pay", "{}", nil)
			require.Equal(t, test.status, response.StatusCode, text)
			require.Equal(t, test.sends, near.forwarded.Load()+far.forwarded.Load())
			if test.status == 200 {
				require.Equal(t, "by a neighbour", text)
			}
		})
	}
}

// Guards against a forwarded response that looks whole to the caller although the node that ran it aborted it or is
// gone.
func TestServe_ForwardedResponseCutOff(t *testing.T) {
	first := &forwardpb.Event{Status: 200, Body: []byte("data: one\n\n")}
	second := &forwardpb.Event{Body: []byte("data: two\n\n")}
	aborted := &forwardpb.Event{Aborted: true}
	done := &forwardpb.Event{Done: true}
	for _, test := range []struct {
		name     string
		events   []*forwardpb.Event
		complete bool
	}{
		{"whole", []*forwardpb.Event{first, second, done}, true},
		{"aborted", []*forwardpb.Event{first, second, aborted}, false},
		{"aborted after the first part", []*forwardpb.Event{first, aborted}, false},
		{"aborted before the first part", []*forwardpb.Event{aborted}, false},
		{"node gone", []*forwardpb.Event{first, second}, false},
		{"node gone at once", nil, false},
	} {
		for _, path := range []string{"/services/s/pay", "/v1/chat/completions"} {
			t.Run(test.name+" "+path, func(t *testing.T) {
				key := []byte("0123456789abcdef")
				server, err := peers.Listen("127.0.0.1:0", key, link.New(nil), &scriptedPeer{events: test.events})
				require.NoError(t, err)
				t.Cleanup(server.Close)
				b := newTestGateway(t, newEngineStandIn().Handler())
				b.gateway.options.Peers = peers.NewClient(key, link.New(nil))
				s := *b.gateway.snapshot.Load()
				s.Neighbours = []membership.Node{{ID: "near", Address: server.Address()}}
				b.gateway.Publish(&s)
				loseLinks(b.gateway)
				request, err := http.NewRequest("POST", "http://"+b.address+path, strings.NewReader(`{"model":"m","messages":[],"stream":true}`))
				require.NoError(t, err)
				request.Header.Set("Authorization", "Bearer "+testKey)
				response, err := http.DefaultClient.Do(request)
				require.NoError(t, err)
				defer response.Body.Close()
				text, err := io.ReadAll(response.Body)
				if test.complete {
					require.NoError(t, err)
					require.Equal(t, "data: one\n\ndata: two\n\n", string(text))
					return
				}
				if err == nil && response.StatusCode == 200 {
					require.Contains(t, string(text), "event: error\n", "an incomplete response appears complete")
				}
			})
		}
	}
}

// silentPeer sends a part of a response and then nothing.
type silentPeer struct{ remotePeer }

func (o *silentPeer) Forward(_ *forwardpb.Request, out peers.ForwardStream) error {
	_ = out.Send(&forwardpb.Event{Status: 200, Body: []byte("part")})
	<-out.Context().Done()
	return nil
}

// Guards against an error event that becomes a part of a response which is no stream: the response then looks complete.
func TestServe_ForwardedResponseAtDeadline(t *testing.T) {
	key := []byte("0123456789abcdef")
	server, err := peers.Listen("127.0.0.1:0", key, link.New(nil), &silentPeer{})
	require.NoError(t, err)
	t.Cleanup(server.Close)
	b := newTestGateway(t, newEngineStandIn().Handler())
	b.gateway.options.Peers = peers.NewClient(key, link.New(nil))
	s := *b.gateway.snapshot.Load()
	s.Neighbours = []membership.Node{{ID: "near", Address: server.Address()}}
	b.gateway.Publish(&s)
	loseLinks(b.gateway)
	request, err := http.NewRequest("POST", "http://"+b.address+"/services/s/pay", strings.NewReader("{}"))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set(HeaderTimeout, "300")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.Error(t, err)
	require.Equal(t, "part", string(text))
}

// loseLinks makes a gateway believe that its links to all endpoints are lost.
func loseLinks(g *Gateway) {
	addresses := []string{"a", "b", "c", "d"}
	g.links = reachability.New(reachability.Options{Addresses: func() (local, remote []string) { return addresses, nil }, Probe: g.probe})
	for _, address := range addresses {
		g.links.RecordDial(address, 0, syscall.ECONNREFUSED)
	}
}

// A pool that is no longer in the snapshot has no slots, even if no request
// has used it yet.
func TestPublish_RemovesSlotsOfAbsentPools(t *testing.T) {
	b := newTestGateway(t, newEngineStandIn().Handler())
	s := *b.gateway.snapshot.Load()
	s.Targets, s.Slots = nil, nil
	b.gateway.Publish(&s)
	_, text := b.send("POST", "/services/s/pay", "{}", nil)
	assert.Contains(t, text, "no replica group serves this workspace now")
}
