package httpserver

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// nbio buffers without a wait what a caller does not read. Writes of responses therefore wait here
// until the caller has read enough, so that a response is read from its endpoint no faster than by
// its caller.

const (
	// maxPendingPerConn bounds the bytes that are buffered for one caller.
	maxPendingPerConn = 64 << 10
	// minPendingPerConn may be buffered for a caller without pending bytes even if the server's
	// total is used up, so that no response waits for those to other callers.
	minPendingPerConn = 4 << 10
	// writeStallTimeout is how long a caller may read nothing before its connection is closed.
	writeStallTimeout = 10 * time.Second
)

var errCallerStalled = errors.New("the caller has stopped reading its response")

// pacing has the bytes that are buffered for all callers of a server.
type pacing struct {
	max     int64
	pending atomic.Int64
}

// connPace has the bytes that are buffered for one caller.
type connPace struct {
	total *pacing
	mu    sync.Mutex
	// pending counts the bytes that were passed to nbio and not yet to the kernel.
	pending int
	closed  bool
	// progress has an entry once bytes were passed to the kernel or the connection was closed.
	progress chan struct{}
}

func (p *pacing) newConn() *connPace {
	return &connPace{total: p, progress: make(chan struct{}, 1)}
}

// reserve waits until some of the given bytes may be passed to nbio, and returns how many.
func (c *connPace) reserve(bytes int) (int, error) {
	for {
		n, err := c.tryReserve(bytes)
		if n > 0 || err != nil {
			return n, err
		}
		select {
		case <-c.progress:
		case <-time.After(writeStallTimeout):
			return 0, errCallerStalled
		}
	}
}

func (c *connPace) tryReserve(bytes int) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	room := maxPendingPerConn - c.pending
	if c.total.pending.Load() >= c.total.max {
		room = minPendingPerConn - c.pending
	}
	n := min(bytes, room)
	if n <= 0 {
		return 0, nil
	}
	c.pending += n
	c.total.pending.Add(int64(n))
	return n, nil
}

// written records that bytes were passed to the kernel.
func (c *connPace) written(bytes int) {
	c.mu.Lock()
	// Bytes of nbio's own or of this package's error responses were not reserved.
	bytes = min(bytes, c.pending)
	c.pending -= bytes
	c.total.pending.Add(-int64(bytes))
	c.mu.Unlock()
	c.signal()
}

// close drops what is pending, and ends the wait of a writer.
func (c *connPace) close() {
	c.mu.Lock()
	c.closed = true
	c.total.pending.Add(-int64(c.pending))
	c.pending = 0
	c.mu.Unlock()
	c.signal()
}

func (c *connPace) signal() {
	select {
	case c.progress <- struct{}{}:
	default:
	}
}

// awaitDrained waits until nothing is pending or the caller has stopped reading.
func (c *connPace) awaitDrained() {
	for c.hasPending() {
		select {
		case <-c.progress:
		case <-time.After(writeStallTimeout):
			return
		}
	}
}

func (c *connPace) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending > 0
}

// pacedConn is a caller's connection as nbhttp writes responses to it.
type pacedConn struct {
	net.Conn
	raw    *nbio.Conn
	server *Server
	state  *connState
}

// pace makes the responses on a connection go through a pacedConn.
func (s *Server) pace(response *nbhttp.Response, c *nbio.Conn, state *connState) {
	if _, paced := response.Parser.Conn.(*pacedConn); !paced {
		response.Parser.Conn = &pacedConn{Conn: response.Parser.Conn, raw: c, server: s, state: state}
	}
}

// Write implements net.Conn.
func (p *pacedConn) Write(b []byte) (int, error) {
	done := 0
	for done < len(b) {
		n, err := p.state.pace.reserve(len(b) - done)
		if err != nil {
			_ = p.raw.CloseWithError(err)
			return done, err
		}
		if _, err := p.Conn.Write(b[done : done+n]); err != nil {
			return done, err
		}
		done += n
	}
	return done, nil
}

// Close implements net.Conn. nbhttp calls it after the response to a request that asked for it; nbio
// would drop what the caller has not read yet.
func (p *pacedConn) Close() error {
	p.state.pace.awaitDrained()
	return p.Conn.Close()
}

// SetReadDeadline implements net.Conn. nbhttp calls it once it has written the end of a response,
// which is after the handler has returned.
func (p *pacedConn) SetReadDeadline(t time.Time) error {
	p.state.requests.Add(-1)
	return p.Conn.SetReadDeadline(t)
}
