package peers

import (
	"context"

	"storj.io/drpc/drpcconn"

	"github.com/ridgehinge/ridgehinge/internal/peers/sharepb"
)

// NoticeStream is one side of a stream of notices. One goroutine may send while another receives.
type NoticeStream interface {
	Context() context.Context
	Send(m *sharepb.Notices) error
	Recv() (*sharepb.Notices, error)
}

// Followed is a stream of notices that this node has opened. It has a connection of its own, so that it
// waits for no other message.
type Followed struct {
	NoticeStream
	conn *drpcconn.Conn
}

// Follow opens a stream of notices to the peer at an address.
func (c *Client) Follow(ctx context.Context, address string) (*Followed, error) {
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	stream, err := sharepb.NewDRPCSharingClient(conn).Follow(ctx)
	if err != nil {
		_ = conn.Close()
		return nil, wrapUnreachable(err)
	}
	return &Followed{NoticeStream: stream, conn: conn}, nil
}

// Close closes the connection.
func (f *Followed) Close() { _ = f.conn.Close() }
