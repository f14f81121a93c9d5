// Package upstream sends requests to endpoints over persistent HTTP/1.1
// connections.
//
// It uses net/http's parsers but not its Transport, which does not report
// whether any byte of a request was sent, whether a response belongs to the
// request, and whether a response is complete. The Transport also retries some
// requests by itself, which is wrong for requests that may run only once.
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
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/samber/oops"

	"github.com/ridgehinge/ridgehinge/internal/httpresponse"
	"github.com/ridgehinge/ridgehinge/internal/link"
)

// Errors of this layer.
var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errors.New("the request was not sent")
	// ErrConnectionBound means that no more connections to the endpoint may be opened. Errors that
	// wrap it wrap ErrNotSent too.
	ErrConnectionBound = errors.New("the bound of open connections is reached")
	// ErrUnknown means that the request may have run.
	ErrUnknown = errors.New("the request may have run")
	// ErrIncomplete means that a response ended before it was complete.
	ErrIncomplete = errors.New("the response ended early")
	// ErrTooLarge means that more was received than is read of a head or of a discarded body.
	ErrTooLarge = errors.New("the response is too large")
)

const (
	readBuffer = 4 << 10
	// maxUnrelatedResponses is how many responses to earlier requests are
	// skipped before the connection is closed.
	maxUnrelatedResponses = 2
	// maxHeadBytes bounds what is read of a connection until the head of a response is complete, with
	// interim responses and the heads of skipped responses.
	maxHeadBytes = 64 << 10
	// maxUnrelatedBody bounds the body of a skipped response, in bytes on the connection.
	maxUnrelatedBody = 256 << 10
	// largeBody is the size in bytes from which a body is written while the
	// response is read: an endpoint may respond before it has read the body.
	largeBody = 32 << 10
	// maxIdlePerEndpoint bounds the idle connections to one endpoint.
	maxIdlePerEndpoint = 64
)

// Options of a Client.
type Options struct {
	Link link.Bounds
	// IdleTimeout is how long an idle connection is kept if the endpoint
	// sends no Keep-Alive timeout.
	IdleTimeout time.Duration
	// OnDial, if set, is called with the result of each dial and how long it took.
	OnDial func(address string, took time.Duration, err error)
	// OnResponse, if set, is called when an endpoint has responded on a new connection.
	OnResponse func()
}

// Client sends requests to any number of endpoints. It is safe for
// concurrent use.
type Client struct {
	options Options
	connect func(ctx context.Context, network, address string) (net.Conn, error)
	mu      sync.Mutex
	idle    map[string][]*conn
	opened  uint64
	reused  uint64
	// open has a lock of its own, since connections are closed with and without mu held.
	open openCounter
}

// New returns a client without open connections.
func New(o Options) *Client {
	return &Client{options: o, connect: o.Link.DialFunc(), idle: map[string][]*conn{}, open: openCounter{byAddress: map[string]int{}}}
}

// Request is one request to an endpoint.
type Request struct {
	Address string
	Method  string
	// URI is the path with the query, sent unchanged.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// NewConnection requires a new connection. A failure on a dead reused connection
	// leaves open whether the request ran; a failed dial does not.
	NewConnection bool
	// MaxConnections bounds the open connections to the address, idle ones included; 0 means no
	// bound. If it is reached, Send returns an error that wraps ErrNotSent and ErrConnectionBound.
	MaxConnections int
	// BeforeSend, if set, is called once a connection is open, before the first byte is
	// written, since the endpoint may have become ineligible during the dial. Send
	// returns its error wrapped in ErrNotSent.
	BeforeSend func() error
}

type conn struct {
	net.Conn
	reader *bufio.Reader
	limit  *limitedReader
	// expiresAt is when the endpoint may close the idle connection.
	expiresAt time.Time
	// release is called once, when the connection is first closed.
	release func()
}

// Close closes the connection, which then no longer counts as open.
func (k *conn) Close() error {
	k.release()
	return k.Conn.Close()
}

// Opened returns the number of connections opened so far.
func (c *Client) Opened() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// Reused returns the number of requests sent on an idle connection so far.
func (c *Client) Reused() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reused
}

// HasIdle reports whether an idle connection to an address exists that has not expired.
func (c *Client) HasIdle(address string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, kept := range c.idle[address] {
		if now.Before(kept.expiresAt) {
			return true
		}
	}
	return false
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

// Prune closes the idle connections that have expired, and those that the endpoint has closed: an
// endpoint may close them earlier than it advertises, and HasIdle would report them until they expire.
func (c *Client) Prune(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conns := range c.idle {
		kept := conns[:0]
		for _, candidate := range conns {
			if now.After(candidate.expiresAt) || !candidate.alive() {
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

// takeIdle removes and returns an idle connection that is still usable, or nil.
func (c *Client) takeIdle(address string) *conn {
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
		if time.Now().Before(kept.expiresAt) && kept.alive() {
			c.mu.Lock()
			c.reused++
			c.mu.Unlock()
			return kept
		}
		_ = kept.Close()
	}
}

// alive reports whether an idle connection is still open and has received no
// unsolicited bytes.
func (k *conn) alive() bool {
	if k.reader.Buffered() > 0 {
		return false
	}
	raw, err := k.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, readErr := syscall.Read(int(fd), one[:])
		alive = readErr == syscall.EAGAIN
		return true
	})
	return err == nil && alive
}

func (c *Client) putIdle(address string, k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[address]) >= maxIdlePerEndpoint {
		_ = k.Close()
		return
	}
	c.idle[address] = append(c.idle[address], k)
}

// returnUnused puts back a connection on which nothing was sent.
func (c *Client) returnUnused(address string, k *conn, reused bool) {
	if !reused {
		k.expiresAt = time.Now().Add(c.options.IdleTimeout)
	}
	c.putIdle(address, k)
}

// dial opens a connection, unless limit connections to the address are open; 0 means no limit.
func (c *Client) dial(ctx context.Context, address string, limit int) (*conn, error) {
	start := time.Now()
	k, err := c.connectBounded(ctx, address, limit)
	if c.options.OnDial != nil && !errors.Is(err, ErrConnectionBound) {
		c.options.OnDial(address, time.Since(start), err)
	}
	return k, err
}

// connectBounded is dial without a report to OnDial.
func (c *Client) connectBounded(ctx context.Context, address string, limit int) (*conn, error) {
	if !c.acquire(address, limit) {
		return nil, ErrConnectionBound
	}
	raw, err := c.connect(ctx, "tcp", address)
	if err != nil {
		c.open.release(address)
		return nil, err
	}
	c.mu.Lock()
	c.opened++
	c.mu.Unlock()
	release := sync.OnceFunc(func() { c.open.release(address) })
	bounded := &limitedReader{source: raw, left: unlimited}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(bounded, readBuffer), limit: bounded, release: release}, nil
}

// acquire counts a connection that is about to be opened. If the limit is reached, it closes an idle
// connection instead: a request that needs a new connection does not use the idle ones.
func (c *Client) acquire(address string, limit int) bool {
	if c.open.acquire(address, limit) {
		return true
	}
	return c.closeOldestIdle(address) && c.open.acquire(address, limit)
}

// closeOldestIdle closes the connection to an address that has been idle the longest, if any.
func (c *Client) closeOldestIdle(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[address]
	if len(conns) == 0 {
		return false
	}
	_ = conns[0].Close()
	c.idle[address] = slices.Delete(conns, 0, 1)
	return true
}

// Probe opens a connection to an address and closes it. It fails if nothing
// listens there or the address is unreachable.
func (c *Client) Probe(ctx context.Context, address string) error {
	k, err := c.dial(ctx, address, 0)
	if err != nil {
		return err
	}
	return k.Close()
}

// Exchange opens a connection to an address, requests a path that needs no more than an address, and waits for the
// first byte of any response: a proxy may accept connections to an endpoint that it does not reach. The result is the
// caller's alone, OnDial and OnResponse are not called.
func (c *Client) Exchange(ctx context.Context, address, path string) error {
	k, err := c.connectBounded(ctx, address, 0)
	if err != nil {
		return err
	}
	defer k.Close()
	stop := context.AfterFunc(ctx, func() { _ = k.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := fmt.Fprintf(k, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, address); err != nil {
		return wrapError(ErrUnknown, err)
	}
	if _, err := k.reader.ReadByte(); err != nil {
		return wrapError(ErrUnknown, errors.Join(err, ctx.Err()))
	}
	return nil
}

// Send sends a request and returns once the response's header was read.
// matches reports whether a response with that header belongs to this request;
// other responses are skipped. Errors wrap ErrNotSent or ErrUnknown. The caller
// closes the response.
func (c *Client) Send(ctx context.Context, q Request, matches func(http.Header) bool) (*Response, error) {
	k := (*conn)(nil)
	if !q.NewConnection {
		k = c.takeIdle(q.Address)
	}
	reused := k != nil
	if k == nil {
		var err error
		if k, err = c.dial(ctx, q.Address, q.MaxConnections); err != nil {
			return nil, wrapError(ErrNotSent, err)
		}
	}
	if q.BeforeSend != nil {
		if err := q.BeforeSend(); err != nil {
			c.returnUnused(q.Address, k, reused)
			return nil, wrapError(ErrNotSent, err)
		}
	}
	deadline, _ := ctx.Deadline()
	_ = k.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { _ = k.SetDeadline(time.Unix(1, 0)) })
	upload, err := k.write(q)
	if err != nil {
		stop()
		c.discard(q.Address, k, reused)
		return nil, err
	}
	response, err := k.readResponse(q.Method, matches)
	if err != nil {
		stop()
		c.discard(q.Address, k, reused)
		return nil, wrapError(ErrUnknown, err)
	}
	if !reused && c.options.OnResponse != nil {
		c.options.OnResponse()
	}
	return &Response{
		Status:    response.StatusCode,
		Header:    response.Header,
		Length:    response.ContentLength,
		Delimited: response.ContentLength >= 0 || len(response.TransferEncoding) > 0,
		ctx:       ctx,
		body:      response.Body,
		close:     response.Close,
		client:    c,
		conn:      k,
		addr:      q.Address,
		stop:      stop,
		upload:    upload,
	}, nil
}

// discard closes a connection that failed before a response. If it was a reused one,
// it also closes the endpoint's idle connections: a restart of the endpoint or a
// silent network failure most likely broke them too.
func (c *Client) discard(address string, k *conn, reused bool) {
	_ = k.Close()
	if !reused {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, other := range c.idle[address] {
		_ = other.Close()
	}
	delete(c.idle, address)
}

func wrapError(kind, cause error) error {
	return oops.In("upstream").Wrap(fmt.Errorf("%w: %w", kind, cause))
}

// write sends the request. A large body is still being written after the return.
func (k *conn) write(q Request) (*httpresponse.Upload, error) {
	first, rest := q.head(), q.Body
	if len(rest) < largeBody {
		first, rest = append(first, rest...), nil
	}
	if n, err := k.Write(first); err != nil {
		if n == 0 {
			return nil, wrapError(ErrNotSent, err)
		}
		return nil, wrapError(ErrUnknown, err)
	}
	upload := httpresponse.NewUpload()
	if len(rest) == 0 {
		upload.End(nil)
		return upload, nil
	}
	go func() {
		_, err := k.Write(rest)
		upload.End(err)
	}()
	return upload, nil
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

// readResponse reads responses until one belongs to the request.
func (k *conn) readResponse(method string, matches func(http.Header) bool) (*http.Response, error) {
	k.limit.swap(maxHeadBytes)
	defer k.limit.swap(unlimited)
	for unrelated := 0; ; {
		response, err := http.ReadResponse(k.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if err := httpresponse.Validate(response, func() { _ = k.Close() }); err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if matches(response.Header) {
			return response, nil
		}
		if unrelated++; unrelated > maxUnrelatedResponses || response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return nil, errors.New("received a response to another request")
		}
		if err := k.skip(response); err != nil {
			return nil, err
		}
	}
}

// skip reads the body of a response to another request.
func (k *conn) skip(response *http.Response) error {
	left := k.limit.swap(maxUnrelatedBody)
	defer k.limit.swap(left)
	_, err := io.Copy(io.Discard, response.Body)
	return err
}

// Response is a response whose body has not been read yet.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length, or -1 if unknown.
	Length int64
	// Delimited is set if the body is delimited by a length or chunked encoding. A body
	// that is delimited by the connection's close may be truncated unnoticed.
	Delimited bool
	ctx       context.Context
	body      io.ReadCloser
	close     bool
	client    *Client
	conn      *conn
	addr      string
	stop      func() bool
	upload    *httpresponse.Upload
	complete  bool
	closed    bool
}

// Read reads the body. It returns io.EOF at the end of a complete body and an
// error that wraps ErrIncomplete otherwise.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case !errors.Is(err, io.EOF):
		return n, wrapError(ErrIncomplete, err)
	}
	if err := r.confirmEnd(); err != nil {
		return n, wrapError(ErrIncomplete, err)
	}
	r.complete = true
	return n, io.EOF
}

// confirmEnd returns an error if only the end of the connection delimits the body, and the request could not be sent.
func (r *Response) confirmEnd() error {
	if r.Delimited || r.body == http.NoBody {
		return nil
	}
	return r.upload.Wait()
}

// LimitTime bounds the time in which the rest of the response is read, and the rest of the request written. Reading fails
// after it, see TimedOut.
func (r *Response) LimitTime(d time.Duration) {
	at := time.Now().Add(d)
	if deadline, ok := r.ctx.Deadline(); ok && deadline.Before(at) {
		return
	}
	_ = r.conn.SetDeadline(at)
	if r.ctx.Err() != nil {
		// The deadline that cancels the request may have been overwritten.
		_ = r.conn.SetDeadline(time.Unix(1, 0))
	}
}

// Discard reads the rest of the response, up to a limit in bytes on the connection. The error wraps ErrTooLarge
// beyond it.
func (r *Response) Discard(limit int) error {
	left := r.conn.limit.swap(limit)
	defer r.conn.limit.swap(left)
	_, err := io.Copy(io.Discard, r)
	return err
}

// Close finishes the response. The connection is reused only if the request was
// sent and the response was read completely; otherwise it is closed, which cancels
// the request at the endpoint.
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
	r.conn.expiresAt = time.Now().Add(keepAliveTimeout(r.Header, r.client.options.IdleTimeout))
	r.client.putIdle(r.addr, r.conn)
}

func (r *Response) reusable() bool {
	return r.complete && !r.close && r.conn.reader.Buffered() == 0 && r.upload.Succeeded()
}

// TimedOut reports whether an error of this package came from a deadline.
func TimedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
