package httpserver

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// Server is a running engine that can close its idle connections without
// interrupting a request.
type Server struct {
	engine  *nbhttp.Engine
	started time.Time
	writes  writeBudget
	mu      sync.Mutex
	conns   map[*nbio.Conn]*connState
}

// connState tracks whether a connection has a request in flight.
type connState struct {
	// requests counts those that were read and whose responses are not completely written.
	requests atomic.Int64
	writes   *pendingWrites
	// mu is held while data is parsed.
	mu sync.Mutex
	// partial is set while a request is incompletely read.
	partial bool
	closing bool
}

// Serve starts a server.
func Serve(o Options) (*Server, error) {
	s := &Server{conns: map[*nbio.Conn]*connState{}, writes: writeBudget{max: int64(o.maxPending())}}
	s.engine = newEngine(o, s)
	s.engine.OnRequest = func(w http.ResponseWriter, _ *http.Request) { s.requestRead(w) }
	s.engine.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) {
		if state := s.state(c); state != nil {
			state.writes.written(n)
		}
	})
	if err := s.engine.Start(); err != nil {
		return nil, err
	}
	s.started = time.Now()
	return s, nil
}

// loopStartDelay is the minimum time between the start and the stop of an engine. An nbio
// event loop that is stopped before it first runs clears its stop flag when it does, and
// never ends; nbio does not report when a loop runs.
const loopStartDelay = 100 * time.Millisecond

// Stop closes the listener and all connections.
func (s *Server) Stop() {
	time.Sleep(time.Until(s.started.Add(loopStartDelay)))
	s.engine.Stop()
}

// connOf returns the connection of a request.
func connOf(w http.ResponseWriter) *nbio.Conn {
	response, ok := w.(*nbhttp.Response)
	if !ok || response.Parser == nil {
		return nil
	}
	c, _ := unwrap(response.Parser.Conn).(*nbio.Conn)
	return c
}

// unwrap returns nbio's connection of one that nbhttp uses.
func unwrap(conn net.Conn) net.Conn {
	if limited, ok := conn.(*limitedConn); ok {
		return limited.raw
	}
	if wrapped, ok := conn.(*nbhttp.Conn); ok {
		return wrapped.Conn
	}
	return conn
}

func (s *Server) state(c *nbio.Conn) *connState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns[c]
}

func (s *Server) addConn(c *nbio.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = &connState{writes: s.writes.newConn()}
}

func (s *Server) removeConn(c *nbio.Conn) {
	s.mu.Lock()
	state := s.conns[c]
	delete(s.conns, c)
	s.mu.Unlock()
	if state != nil {
		state.writes.close()
	}
}

// parse passes data to a connection's parser, unless the connection is closing.
func (s *Server) parse(c *nbio.Conn, data []byte, parser nbhttp.ParserCloser) error {
	state := s.state(c)
	if state == nil {
		return parser.Parse(data)
	}
	state.mu.Lock()
	defer state.mu.Unlock()
	if state.closing {
		return nil
	}
	state.partial = true
	return parser.Parse(data)
}

// requestRead counts a request that was read completely. It is called while data is
// parsed, with the state's lock held.
func (s *Server) requestRead(w http.ResponseWriter) {
	c := connOf(w)
	state := s.state(c)
	if state == nil {
		return
	}
	state.requests.Add(1)
	state.partial = false
	if response, ok := w.(*nbhttp.Response); ok {
		limitWrites(response, c, state)
	}
}

// CloseIdle closes the connections without a request in flight, and returns the
// number of those with one. A response is in flight until its last byte was passed to
// the kernel. No byte of a request that arrives during the close is parsed.
func (s *Server) CloseIdle() int {
	s.mu.Lock()
	conns := make(map[*nbio.Conn]*connState, len(s.conns))
	for c, state := range s.conns {
		conns[c] = state
	}
	s.mu.Unlock()
	busy := 0
	for c, state := range conns {
		state.mu.Lock()
		idle := state.requests.Load() == 0 && !state.partial && !state.writes.hasPending()
		state.closing = state.closing || idle
		state.mu.Unlock()
		if idle {
			_ = c.Close()
			continue
		}
		busy++
	}
	return busy
}
