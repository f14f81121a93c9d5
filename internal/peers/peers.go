// Package peers carries the messages between entry instances, over drpc.
//
// Each connection starts with a proof of the shared key by both sides. A
// drpc connection runs one call at a time, so a peer has one connection for
// exchanges, and each forwarded request has one of its own.
package peers

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/ridgehinge/ridgehinge/internal/bytecount"
	"github.com/ridgehinge/ridgehinge/internal/link"
	"github.com/ridgehinge/ridgehinge/internal/peers/peerpb"
)

// ErrUnreachable means that a peer gave no answer.
var ErrUnreachable = errors.New("peer unreachable")

// MaxMessage bounds one message; a forwarded body must fit.
const MaxMessage = 16 << 20

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessage}}
}

// Message is one side of an exchange.
type Message = peerpb.ExchangeMessage

// Handler answers peers' calls.
type Handler interface {
	// Exchange takes a peer's message and returns this node's.
	Exchange(ctx context.Context, m *Message) (*Message, error)
	// Forward runs a request and sends its answer in events.
	Forward(q *peerpb.ForwardRequest, out peerpb.DRPCPeers_ForwardStream) error
}

// Server listens for peers.
type Server struct {
	key      []byte
	listener net.Listener
	rpc      *drpcserver.Server
	counts   *bytecount.Counter
	cancel   context.CancelFunc
	running  sync.WaitGroup
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
}

// Listen starts a server on an IP address and port.
func Listen(address string, key []byte, bounds link.Bounds, h Handler) (*Server, error) {
	return start(address, key, bounds, func(mux drpc.Mux) error { return peerpb.DRPCRegisterPeers(mux, h) })
}

// start starts a server for the services that are registered.
func start(address string, key []byte, bounds link.Bounds, register func(drpc.Mux) error) (*Server, error) {
	listener, err := bounds.Listen("tcp", address)
	if err != nil {
		return nil, oops.In("peers").Wrap(err)
	}
	mux := drpcmux.New()
	if err := register(mux); err != nil {
		_ = listener.Close()
		return nil, oops.In("peers").Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		key:      key,
		listener: listener,
		rpc:      drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()}),
		counts:   &bytecount.Counter{},
		cancel:   cancel,
		conns:    map[net.Conn]struct{}{},
	}
	s.running.Add(1)
	go s.accept(ctx)
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Bytes returns the counter of the accepted connections.
func (s *Server) Bytes() *bytecount.Counter { return s.counts }

// Close ends the server and all its connections.
func (s *Server) Close() {
	s.cancel()
	_ = s.listener.Close()
	s.mu.Lock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
}

func (s *Server) accept(ctx context.Context) {
	defer s.running.Done()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.running.Add(1)
		go s.serve(ctx, conn)
	}
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	defer s.running.Done()
	s.track(conn, true)
	defer s.track(conn, false)
	defer conn.Close()
	if ctx.Err() != nil {
		return
	}
	if handshakeServer(conn, s.key) != nil {
		return
	}
	_ = s.rpc.ServeOne(ctx, s.counts.Conn(conn))
}

func (s *Server) track(conn net.Conn, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open {
		s.conns[conn] = struct{}{}
		return
	}
	delete(s.conns, conn)
}

// Client calls peers.
type Client struct {
	key    []byte
	link   link.Bounds
	counts *bytecount.Counter
	mu     sync.Mutex
	// idle has the connections to each address that no call runs on.
	idle map[string][]*drpcconn.Conn
}

// mostIdle is how many connections to one peer are kept that no call runs on.
const mostIdle = 2

// NewClient returns a client; it opens no connection yet.
func NewClient(key []byte, bounds link.Bounds) *Client {
	return &Client{key: key, link: bounds, counts: &bytecount.Counter{}, idle: map[string][]*drpcconn.Conn{}}
}

// Bytes returns the counter of the opened connections.
func (c *Client) Bytes() *bytecount.Counter { return c.counts }

// Close ends the connections that exchanges use.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conns := range c.idle {
		for _, conn := range conns {
			_ = conn.Close()
		}
		delete(c.idle, address)
	}
}

func (c *Client) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	raw, err := c.link.Dialer().DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, turn(err)
	}
	if err := handshakeClient(raw, c.key); err != nil {
		_ = raw.Close()
		return nil, turn(err)
	}
	return drpcconn.NewWithOptions(c.counts.Conn(raw), drpcconn.Options{Manager: managerOptions()}), nil
}

func turn(err error) error {
	return oops.In("peers").Wrap(errors.Join(ErrUnreachable, err))
}

func (c *Client) take(address string) *drpcconn.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[address]
	if len(conns) == 0 {
		return nil
	}
	last := len(conns) - 1
	c.idle[address] = conns[:last]
	return conns[last]
}

func (c *Client) put(address string, conn *drpcconn.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[address]) >= mostIdle {
		_ = conn.Close()
		return
	}
	c.idle[address] = append(c.idle[address], conn)
}

// largeExchange is the size of an exchange, in bytes, after which its
// connection is not used again.
const largeExchange = 8 << 10

// Exchange swaps messages with the peer at an address. The caller runs at
// most one exchange with a peer at a time.
func (c *Client) Exchange(ctx context.Context, address string, m *Message) (*Message, error) {
	return swap(ctx, c, address, m, func(conn *drpcconn.Conn) (*Message, error) {
		return peerpb.NewDRPCPeersClient(conn).Exchange(ctx, m)
	})
}

// swap runs one exchange on a kept connection.
func swap[M, A proto.Message](ctx context.Context, c *Client, address string, m M, call func(*drpcconn.Conn) (A, error)) (A, error) {
	var none A
	conn := c.take(address)
	if conn == nil || isClosed(conn) {
		var err error
		if conn, err = c.dial(ctx, address); err != nil {
			return none, err
		}
	}
	answer, err := call(conn)
	if err != nil {
		_ = conn.Close()
		return none, turn(err)
	}
	if proto.Size(m)+proto.Size(answer) > largeExchange {
		// Both ends keep buffers of the largest message on a connection. The
		// first exchanges of a peer are a thousand times larger than the rest.
		_ = conn.Close()
		return answer, nil
	}
	c.put(address, conn)
	return answer, nil
}

func isClosed(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}

// Forwarded is an answer that is being received from a peer.
type Forwarded struct {
	stream peerpb.DRPCPeers_ForwardClient
	conn   *drpcconn.Conn
}

// Forward sends a request to the peer at an address. An error says that the
// request did not leave this node.
func (c *Client) Forward(ctx context.Context, address string, q *peerpb.ForwardRequest) (*Forwarded, error) {
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	stream, err := peerpb.NewDRPCPeersClient(conn).Forward(ctx, q)
	if err != nil {
		// Bytes of the request may have left with this connection.
		return &Forwarded{conn: conn}, nil
	}
	return &Forwarded{stream: stream, conn: conn}, nil
}

// Read returns the next event of the answer.
func (f *Forwarded) Read() (*peerpb.ForwardEvent, error) {
	if f.stream == nil {
		return nil, oops.In("peers").Wrap(ErrUnreachable)
	}
	event, err := f.stream.Recv()
	if err != nil {
		return nil, turn(err)
	}
	return event, nil
}

// Close ends the request if it still runs.
func (f *Forwarded) Close() { _ = f.conn.Close() }
