package httpserver

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/ridgehinge/ridgehinge/internal/logging"
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

// writeBudget has the bytes that are buffered for all callers of a server.
type writeBudget struct {
	max     int64
	pending atomic.Int64
}

// pendingWrites has the bytes that are buffered for one caller.
type pendingWrites struct {
	budget *writeBudget
	mu     sync.Mutex
	// pending counts the bytes that were passed to nbio and not yet to the kernel.
	pending int
	closed  bool
	// progress has an entry once bytes were passed to the kernel or the connection was closed.
	progress chan struct{}
}

func (b *writeBudget) newConn() *pendingWrites {
	return &pendingWrites{budget: b, progress: make(chan struct{}, 1)}
}

// reserve waits until some of the given bytes may be passed to nbio, and returns how many.
func (c *pendingWrites) reserve(bytes int) (int, error) {
	for {
		n, err := c.tryReserve(bytes)
		if n > 0 || err != nil {
			return n, err
		}
		if !c.awaitProgress() {
			return 0, errCallerStalled
		}
	}
}

// awaitProgress waits until the caller has read something or the connection was closed. It returns
// false if the caller has stopped reading.
func (c *pendingWrites) awaitProgress() bool {
	select {
	case <-c.progress:
		return true
	case <-time.After(writeStallTimeout):
		return false
	}
}

func (c *pendingWrites) tryReserve(bytes int) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	room := maxPendingPerConn - c.pending
	if c.budget.pending.Load() >= c.budget.max {
		room = minPendingPerConn - c.pending
	}
	n := min(bytes, room)
	if n <= 0 {
		return 0, nil
	}
	c.pending += n
	c.budget.pending.Add(int64(n))
	return n, nil
}

// written records that bytes were passed to the kernel.
func (c *pendingWrites) written(bytes int) {
	c.mu.Lock()
	// Bytes of nbio's own or of this package's error responses were not reserved.
	bytes = min(bytes, c.pending)
	c.pending -= bytes
	c.budget.pending.Add(-int64(bytes))
	c.mu.Unlock()
	c.signal()
}

// close drops what is pending, and ends the wait of a writer.
func (c *pendingWrites) close() {
	c.mu.Lock()
	c.closed = true
	c.budget.pending.Add(-int64(c.pending))
	c.pending = 0
	c.mu.Unlock()
	c.signal()
}

func (c *pendingWrites) signal() {
	select {
	case c.progress <- struct{}{}:
	default:
	}
}

// awaitDrained waits until nothing is pending, or returns false if the caller has stopped reading.
func (c *pendingWrites) awaitDrained() bool {
	for c.hasPending() {
		if !c.awaitProgress() {
			return false
		}
	}
	return true
}

func (c *pendingWrites) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending > 0
}

// limitedConn is a caller's connection as nbhttp writes responses to it.
type limitedConn struct {
	net.Conn
	raw   *nbio.Conn
	state *connState
}

// limitWrites makes the responses on a connection go through a limitedConn.
func limitWrites(response *nbhttp.Response, c *nbio.Conn, state *connState) {
	if _, limited := response.Parser.Conn.(*limitedConn); !limited {
		response.Parser.Conn = &limitedConn{Conn: response.Parser.Conn, raw: c, state: state}
	}
}

// Write implements net.Conn.
func (p *limitedConn) Write(b []byte) (int, error) {
	done := 0
	for done < len(b) {
		n, err := p.state.writes.reserve(len(b) - done)
		if errors.Is(err, errCallerStalled) {
			logging.For("callers").Info("closed the connection of a caller that reads nothing", "caller", p.raw.RemoteAddr(), "for", writeStallTimeout, "unsent", len(b)-done)
		}
		if err != nil {
			_ = p.raw.CloseWithError(err)
			return done, err
		}
		if _, err := p.Conn.Write(b[done : done+n]); err != nil {
			// The connection is closed, but its close handler runs after this one, which must not wait for it.
			p.state.writes.close()
			return done, err
		}
		done += n
	}
	return done, nil
}

// Close implements net.Conn. nbhttp calls it after the response to a request that asked for it; nbio
// would drop what the caller has not read yet.
func (p *limitedConn) Close() error {
	p.state.writes.awaitDrained()
	return p.Conn.Close()
}

// SetReadDeadline implements net.Conn. nbhttp calls it once it has written the end of a response,
// which is after the handler has returned.
func (p *limitedConn) SetReadDeadline(t time.Time) error {
	p.state.requests.Add(-1)
	return p.Conn.SetReadDeadline(t)
}
