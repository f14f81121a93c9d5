package peers

import (
	"context"

	"github.com/samber/oops"
	"storj.io/drpc/drpcconn"

	"github.com/ridgehinge/ridgehinge/internal/peers/forwardpb"
	"github.com/ridgehinge/ridgehinge/internal/peers/peerpb"
	"github.com/ridgehinge/ridgehinge/internal/peers/sharepb"
)

// ForwardStream is the stream on which a handler responds to a forwarded request. Its context ends
// when the sender closes the connection.
type ForwardStream interface {
	Context() context.Context
	Send(event *forwardpb.Event) error
}

// forwardClient is the sender's side of a ForwardStream.
type forwardClient interface {
	Recv() (*forwardpb.Event, error)
}

// Forwarded is a response that is being streamed from a peer.
type Forwarded struct {
	stream forwardClient
	conn   *drpcconn.Conn
}

// Forward sends a request to the peer at an address. An error means that no part of the request
// was sent.
func (c *Client) Forward(ctx context.Context, address string, q *forwardpb.Request) (*Forwarded, error) {
	return c.forward(ctx, address, func(conn *drpcconn.Conn) (forwardClient, error) {
		return peerpb.NewDRPCPeersClient(conn).Forward(ctx, q)
	})
}

// ForwardShare is Forward for peers that serve Share calls.
func (c *Client) ForwardShare(ctx context.Context, address string, q *forwardpb.Request) (*Forwarded, error) {
	return c.forward(ctx, address, func(conn *drpcconn.Conn) (forwardClient, error) {
		return sharepb.NewDRPCSharingClient(conn).Forward(ctx, q)
	})
}

func (c *Client) forward(ctx context.Context, address string, open func(*drpcconn.Conn) (forwardClient, error)) (*Forwarded, error) {
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	stream, err := open(conn)
	if err != nil {
		// Part of the request may have been sent; Read fails.
		return &Forwarded{conn: conn}, nil
	}
	return &Forwarded{stream: stream, conn: conn}, nil
}

// Read returns the next event of the response.
func (f *Forwarded) Read() (*forwardpb.Event, error) {
	if f.stream == nil {
		return nil, oops.In("peers").Wrap(ErrUnreachable)
	}
	event, err := f.stream.Recv()
	if err != nil {
		return nil, wrapUnreachable(err)
	}
	return event, nil
}

// Close closes the connection, which cancels the request if it is in flight.
func (f *Forwarded) Close() { _ = f.conn.Close() }
