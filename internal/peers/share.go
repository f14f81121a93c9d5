package peers

import (
	"context"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/ridgehinge/ridgehinge/internal/link"
	"github.com/ridgehinge/ridgehinge/internal/peers/forwardpb"
	"github.com/ridgehinge/ridgehinge/internal/peers/sharepb"
)

// ShareMessage is one side of a Share call.
type ShareMessage = sharepb.ShareMessage

// ShareHandler serves peers' Share calls.
type ShareHandler interface {
	// Share receives a peer's message and returns this node's.
	Share(ctx context.Context, m *ShareMessage) (*ShareMessage, error)
	// AcquirePermit allocates a permit for a rate-limited endpoint, or forwards the request
	// towards the allocator.
	AcquirePermit(ctx context.Context, q *sharepb.PermitRequest) (*sharepb.PermitAnswer, error)
	// Follow exchanges notices on a stream that a peer has opened, until it ends.
	Follow(stream NoticeStream) error
	// FindNeighbours returns which nodes run requests of others now.
	FindNeighbours(ctx context.Context, q *sharepb.NeighboursRequest) (*sharepb.NeighboursAnswer, error)
	// Forward runs a request of a node that cannot reach the endpoints, and streams the response.
	Forward(q *forwardpb.Request, out ForwardStream) error
}

// shareAdapter has the type of the stream that the generated code expects.
type shareAdapter struct{ ShareHandler }

func (a shareAdapter) Forward(q *forwardpb.Request, out sharepb.DRPCSharing_ForwardStream) error {
	return a.ShareHandler.Forward(q, out)
}

func (a shareAdapter) Follow(stream sharepb.DRPCSharing_FollowStream) error {
	return a.ShareHandler.Follow(stream)
}

// ListenShare starts a server for Share calls on an IP address and port.
func ListenShare(address string, key []byte, bounds link.Bounds, h ShareHandler) (*Server, error) {
	return start(address, key, bounds, func(mux drpc.Mux) error { return sharepb.DRPCRegisterSharing(mux, shareAdapter{h}) })
}

// Share exchanges messages with the peer at an address. The caller runs at most one such call
// with a peer at a time.
func (c *Client) Share(ctx context.Context, address string, m *ShareMessage) (*ShareMessage, error) {
	return exchange(ctx, c, address, m, func(conn *drpcconn.Conn) (*ShareMessage, error) {
		return sharepb.NewDRPCSharingClient(conn).Share(ctx, m)
	})
}

// AcquirePermit requests a permit from the peer at an address. Calls may run concurrently.
func (c *Client) AcquirePermit(ctx context.Context, address string, q *sharepb.PermitRequest) (*sharepb.PermitAnswer, error) {
	return exchange(ctx, c, address, q, func(conn *drpcconn.Conn) (*sharepb.PermitAnswer, error) {
		return sharepb.NewDRPCSharingClient(conn).AcquirePermit(ctx, q)
	})
}

// FindNeighbours asks the peer at an address which nodes run requests of others. Calls may run concurrently.
func (c *Client) FindNeighbours(ctx context.Context, address string, q *sharepb.NeighboursRequest) (*sharepb.NeighboursAnswer, error) {
	return exchange(ctx, c, address, q, func(conn *drpcconn.Conn) (*sharepb.NeighboursAnswer, error) {
		return sharepb.NewDRPCSharingClient(conn).FindNeighbours(ctx, q)
	})
}
