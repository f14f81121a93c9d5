// Package bytecount counts the bytes of control connections, whose traffic is
// limited per node.
package bytecount

import (
	"context"
	"net"
	"sync/atomic"
)

// Counter counts the bytes of any number of connections.
type Counter struct {
	Read    atomic.Int64
	Written atomic.Int64
}

// Wrap returns a connection that counts its bytes.
func (c *Counter) Wrap(conn net.Conn) net.Conn { return counted{conn, c} }

// DialContext returns the dialer's DialContext with the bytes of its connections
// counted.
func (c *Counter) DialContext(d *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return c.Wrap(conn), nil
	}
}

type counted struct {
	net.Conn
	counter *Counter
}

func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.Read.Add(int64(n))
	return n, err
}

func (c counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.Written.Add(int64(n))
	return n, err
}
