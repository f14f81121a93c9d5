package link

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
)

// failureConn is a connection whose reader learns of each failure. A socket reports a reset once; if a writer gets it,
// the reader sees an ordinary end, which completes a response without framing.
type failureConn struct {
	net.Conn
	// mu is held during a write.
	mu       sync.Mutex
	writeErr error
}

// reportFailures returns a dial function whose connections report each failure to their readers.
func reportFailures(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &failureConn{Conn: conn}, nil
	}
}

// Write implements io.Writer.
func (c *failureConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	// A close by this process is no failure.
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.writeErr = err
	}
	return n, err
}

// Read implements io.Reader. At the end it waits for a write in progress, which may be about to fail.
func (c *failureConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr != nil {
		return n, c.writeErr
	}
	return n, err
}
