package gateway

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync/atomic"
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
