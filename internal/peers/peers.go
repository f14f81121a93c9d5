// Package peers carries the messages between entry instances over drpc.
//
// Each connection starts with mutual authentication by a shared key. A drpc connection runs one
// call at a time: exchanges reuse idle connections, and each forwarded request has its own.
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
	"github.com/ridgehinge/ridgehinge/internal/peers/forwardpb"
	"github.com/ridgehinge/ridgehinge/internal/peers/peerpb"
)

// ErrUnreachable means that a call to a peer failed.
var ErrUnreachable = errors.New("peer unreachable")

// MaxMessage bounds a message in bytes, including the body of a forwarded request.
const MaxMessage = 16 << 20

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessage}}
}

// Message is one side of an exchange.
type Message = peerpb.ExchangeMessage

// Handler serves peers' calls.
type Handler interface {
	// Exchange receives a peer's message and returns this node's.
	Exchange(ctx context.Context, m *Message) (*Message, error)
	// Forward runs a request and streams the response as events.
	Forward(q *forwardpb.Request, out ForwardStream) error
}

// handlerAdapter has the type of the stream that the generated code expects.
type handlerAdapter struct{ Handler }

func (a handlerAdapter) Forward(q *forwardpb.Request, out peerpb.DRPCPeers_ForwardStream) error {
	return a.Handler.Forward(q, out)
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
	return start(address, key, bounds, func(mux drpc.Mux) error { return peerpb.DRPCRegisterPeers(mux, handlerAdapter{h}) })
}

// start starts a server for the registered services.
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

// Bytes returns the byte counter of the accepted connections.
func (s *Server) Bytes() *bytecount.Counter { return s.counts }

// Close stops the server and closes all its connections.
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
	_ = s.rpc.ServeOne(ctx, s.counts.Wrap(conn))
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
	// idle has the unused connections to each address.
	idle map[string][]*drpcconn.Conn
}

// maxIdleConns bounds the idle connections to one peer.
const maxIdleConns = 2

// NewClient returns a client without connections.
func NewClient(key []byte, bounds link.Bounds) *Client {
	return &Client{key: key, link: bounds, counts: &bytecount.Counter{}, idle: map[string][]*drpcconn.Conn{}}
}

// Bytes returns the byte counter of the dialed connections.
func (c *Client) Bytes() *bytecount.Counter { return c.counts }

// Close closes the idle connections.
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
		return nil, wrapUnreachable(err)
	}
	// A frozen peer accepts connections and says nothing.
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	err = handshakeClient(raw, c.key)
	if !stop() {
		err = errors.Join(err, ctx.Err())
	}
	if err != nil {
		_ = raw.Close()
		return nil, wrapUnreachable(err)
	}
	return drpcconn.NewWithOptions(c.counts.Wrap(raw), drpcconn.Options{Manager: managerOptions()}), nil
}

func wrapUnreachable(err error) error {
	return oops.In("peers").Wrap(errors.Join(ErrUnreachable, err))
}

func (c *Client) takeIdle(address string) *drpcconn.Conn {
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

func (c *Client) putIdle(address string, conn *drpcconn.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[address]) >= maxIdleConns {
		_ = conn.Close()
		return
	}
	c.idle[address] = append(c.idle[address], conn)
}

// maxReusedExchangeBytes is the size of an exchange above which its connection is not reused.
const maxReusedExchangeBytes = 8 << 10

// Exchange exchanges messages with the peer at an address. The caller runs at most one exchange
// with a peer at a time.
func (c *Client) Exchange(ctx context.Context, address string, m *Message) (*Message, error) {
	return exchange(ctx, c, address, m, func(conn *drpcconn.Conn) (*Message, error) {
		return peerpb.NewDRPCPeersClient(conn).Exchange(ctx, m)
	})
}

// exchange runs a call on an idle connection, or on a new one if there is none.
func exchange[M, A proto.Message](ctx context.Context, c *Client, address string, m M, call func(*drpcconn.Conn) (A, error)) (A, error) {
	var zero A
	conn := c.takeIdle(address)
	if conn == nil || isClosed(conn) {
		var err error
		if conn, err = c.dial(ctx, address); err != nil {
			return zero, err
		}
	}
	answer, err := call(conn)
	if err != nil {
		_ = conn.Close()
		return zero, wrapUnreachable(err)
	}
	if proto.Size(m)+proto.Size(answer) > maxReusedExchangeBytes {
		// Both ends keep buffers of the size of a connection's largest message, and the first
		// exchanges with a peer are far larger than the rest.
		_ = conn.Close()
		return answer, nil
	}
	c.putIdle(address, conn)
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
