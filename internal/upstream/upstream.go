// Package upstream sends requests to endpoints over kept HTTP/1.1 connections.
//
// It exists beside net/http's Transport, whose parsers it uses, because three
// things must be known exactly and the Transport hides them: whether any byte
// of a request left this process, whether an answer belongs to the request,
// and whether it came whole. The Transport also repeats some requests by
// itself, which a request that may run once does not survive.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/samber/oops"

	"github.com/ridgehinge/ridgehinge/internal/link"
)

// Errors of this layer.
var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errors.New("the request was not sent")
	// ErrUnknown means that the request may have run.
	ErrUnknown = errors.New("the request may have run")
	// ErrBroken means that an answer ended before it was whole.
	ErrBroken = errors.New("the answer broke off")
)

const (
	readBuffer = 4 << 10
	// maxForeignAnswers is how many answers to earlier requests are skipped
	// before a connection is given up.
	maxForeignAnswers = 2
	// maxForeignBody bounds the body of a skipped answer, in bytes.
	maxForeignBody = 256 << 10
	// largeBody is the size from which a body is written beside the reading
	// of its answer, in bytes: an endpoint may answer before it has read all.
	largeBody = 32 << 10
	// maxIdlePerEndpoint bounds the kept connections of one endpoint.
	maxIdlePerEndpoint = 64
)

// Options of a Client.
type Options struct {
	// Link bounds the connections.
	Link link.Bounds
	// IdleTimeout is how long an unused connection is kept when the endpoint
	// does not say.
	IdleTimeout time.Duration
}

// Client sends requests to any number of endpoints. It is safe for
// concurrent use.
type Client struct {
	options Options
	mu      sync.Mutex
	idle    map[string][]*conn
	opened  uint64
}

// New returns a client; it opens no connection yet.
func New(o Options) *Client {
	return &Client{options: o, idle: map[string][]*conn{}}
}

// Request is one request to an endpoint.
type Request struct {
	Address string
	Method  string
	// URI is the path with the query, sent as it is.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Fresh asks for a new connection: a kept one may have fallen silent, and breaks
	// where a new one is refused for certain.
	Fresh bool
	// Gate is asked when a connection is at hand, before the first byte is written: a dial
	// takes time, in which the endpoint may have come to be off limits. Its error is that of
	// Send, as ErrNotSent. nil lets all pass.
	Gate func() error
}

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// until is when the endpoint may close it by itself.
	until time.Time
}

// Opened returns the number of connections opened so far.
func (c *Client) Opened() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conns := range c.idle {
		for _, kept := range conns {
			_ = kept.Close()
		}
		delete(c.idle, address)
	}
}

// Prune closes the idle connections whose time is over.
func (c *Client) Prune(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conns := range c.idle {
		kept := conns[:0]
		for _, candidate := range conns {
			if now.After(candidate.until) {
				_ = candidate.Close()
				continue
			}
			kept = append(kept, candidate)
		}
		if len(kept) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = kept
	}
}

// take returns a kept connection that still looks alive.
func (c *Client) take(address string) *conn {
	for {
		c.mu.Lock()
		conns := c.idle[address]
		if len(conns) == 0 {
			c.mu.Unlock()
			return nil
		}
		kept := conns[len(conns)-1]
		c.idle[address] = conns[:len(conns)-1]
		c.mu.Unlock()
		if time.Now().Before(kept.until) && kept.quiet() {
			return kept
		}
		_ = kept.Close()
	}
}

// quiet reports whether nothing has come on an idle connection: neither its
// end nor bytes that belong to no request.
func (k *conn) quiet() bool {
	if k.reader.Buffered() > 0 {
		return false
	}
	raw, err := k.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, readErr := syscall.Read(int(fd), one[:])
		quiet = readErr == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

func (c *Client) put(address string, k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[address]) >= maxIdlePerEndpoint {
		_ = k.Close()
		return
	}
	c.idle[address] = append(c.idle[address], k)
}

// putBack keeps a connection that was not used after all.
func (c *Client) putBack(address string, k *conn, kept bool) {
	if !kept {
		k.until = time.Now().Add(c.options.IdleTimeout)
	}
	c.put(address, k)
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	raw, err := c.options.Link.Dialer().DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.opened++
	c.mu.Unlock()
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// Reach opens a connection to an address and closes it: an error tells that nothing
// listens there, or that it cannot be reached.
func (c *Client) Reach(ctx context.Context, address string) error {
	k, err := c.dial(ctx, address)
	if err != nil {
		return err
	}
	return k.Close()
}

// Send sends a request and returns once the head of its answer is there.
// own tells whether an answer's header belongs to this request; others are
// skipped. An error is ErrNotSent or ErrUnknown. The caller closes the
// answer.
func (c *Client) Send(ctx context.Context, q Request, own func(http.Header) bool) (*Response, error) {
	k := (*conn)(nil)
	if !q.Fresh {
		k = c.take(q.Address)
	}
	kept := k != nil
	if k == nil {
		var err error
		if k, err = c.dial(ctx, q.Address); err != nil {
			return nil, fail(ErrNotSent, err)
		}
	}
	if q.Gate != nil {
		if err := q.Gate(); err != nil {
			c.putBack(q.Address, k, kept)
			return nil, fail(ErrNotSent, err)
		}
	}
	deadline, _ := ctx.Deadline()
	_ = k.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { _ = k.SetDeadline(time.Unix(1, 0)) })
	wrote, err := k.write(q)
	if err != nil {
		stop()
		c.broken(q.Address, k, kept)
		return nil, err
	}
	answer, err := k.readHead(q.Method, own)
	if err != nil {
		stop()
		c.broken(q.Address, k, kept)
		return nil, fail(ErrUnknown, err)
	}
	return &Response{
		Status: answer.StatusCode,
		Header: answer.Header,
		Length: answer.ContentLength,
		Marked: answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0,
		body:   answer.Body,
		close:  answer.Close,
		client: c,
		conn:   k,
		addr:   q.Address,
		stop:   stop,
		wrote:  wrote,
	}, nil
}

// broken closes a connection that gave no answer. If it was a kept one, the others that
// are kept to the endpoint go with it: whatever has become of it, a restart or a silence
// without a reset, has most likely become of them.
func (c *Client) broken(address string, k *conn, kept bool) {
	_ = k.Close()
	if !kept {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, other := range c.idle[address] {
		_ = other.Close()
	}
	delete(c.idle, address)
}

func fail(kind, cause error) error {
	return oops.In("upstream").Wrap(fmt.Errorf("%w: %w", kind, cause))
}

// write sends the request. The channel is closed once all of it is written;
// a large body may still be under way on return.
func (k *conn) write(q Request) (<-chan struct{}, error) {
	head := q.head()
	done := make(chan struct{})
	if len(q.Body) < largeBody {
		defer close(done)
		n, err := k.Write(append(head, q.Body...))
		if err != nil && n == 0 {
			return done, fail(ErrNotSent, err)
		}
		if err != nil {
			return done, fail(ErrUnknown, err)
		}
		return done, nil
	}
	if n, err := k.Write(head); err != nil {
		if n == 0 {
			return done, fail(ErrNotSent, err)
		}
		return done, fail(ErrUnknown, err)
	}
	go func() {
		if _, err := k.Write(q.Body); err == nil {
			close(done)
		}
	}()
	return done, nil
}

// head returns the request line and the header.
func (q Request) head() []byte {
	b := make([]byte, 0, 512+len(q.Body))
	b = fmt.Appendf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", q.Method, q.URI, q.Host)
	for name, values := range q.Header {
		for _, value := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, value...)
			b = append(b, "\r\n"...)
		}
	}
	if len(q.Body) > 0 || q.Method != http.MethodGet && q.Method != http.MethodHead {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", len(q.Body))
	}
	return append(b, "\r\n"...)
}

// readHead reads answers until one belongs to the request.
func (k *conn) readHead(method string, own func(http.Header) bool) (*http.Response, error) {
	for foreign := 0; ; {
		answer, err := http.ReadResponse(k.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if answer.StatusCode < http.StatusOK {
			continue
		}
		if own(answer.Header) {
			return answer, nil
		}
		if foreign++; foreign > maxForeignAnswers || answer.Close || answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 {
			return nil, errors.New("an answer to another request came")
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxForeignBody)); err != nil {
			return nil, err
		}
	}
}

// Response is an answer whose body is still to be read.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length, or -1 if it is not told ahead.
	Length int64
	// Marked is set if the answer tells where it ends, by a length or a last chunk. One
	// that ends with its connection may also have been cut short.
	Marked bool
	body   io.ReadCloser
	close  bool
	client *Client
	conn   *conn
	addr   string
	stop   func() bool
	wrote  <-chan struct{}
	whole  bool
	closed bool
}

// Read reads the body. io.EOF says that it came whole; any other error is
// ErrBroken.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		r.whole = true
		return n, io.EOF
	}
	return n, fail(ErrBroken, err)
}

// Close ends the answer. The connection is kept only if nothing on it is in
// doubt; an answer that was not read whole ends the endpoint's run.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	cancelled := !r.stop()
	if cancelled || !r.reusable() {
		_ = r.conn.Close()
		return
	}
	if r.conn.SetDeadline(time.Time{}) != nil {
		_ = r.conn.Close()
		return
	}
	r.conn.until = time.Now().Add(keepFor(r.Header, r.client.options.IdleTimeout))
	r.client.put(r.addr, r.conn)
}

func (r *Response) reusable() bool {
	if !r.whole || r.close || r.conn.reader.Buffered() > 0 {
		return false
	}
	select {
	case <-r.wrote:
		return true
	default:
		return false
	}
}

// TimedOut reports whether an error of this package came from a deadline.
func TimedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
