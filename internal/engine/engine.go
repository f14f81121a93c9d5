// Package engine is the HTTP client for endpoints: model engines and plain
// services.
//
// It uses net/http's Transport because nbhttp's client does not deliver a
// streamed response while it arrives.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/samber/oops"

	"github.com/ridgehinge/ridgehinge/internal/bytecount"
	"github.com/ridgehinge/ridgehinge/internal/httpresponse"
	"github.com/ridgehinge/ridgehinge/internal/link"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

// Errors of this layer.
var (
	// ErrNotRun means that the endpoint did not start the request: no byte of it
	// was sent, or the response has HeaderNotStarted.
	ErrNotRun = errors.New("the request did not run")
	// ErrUnknown means that the request may have run.
	ErrUnknown = errors.New("the request may have run")
	// ErrRefused means that nothing listens at the endpoint's address.
	ErrRefused = errors.New("the endpoint refused the connection")
	// ErrStale means that the endpoint has seen a higher fencing token, or that
	// another incarnation responded at its address.
	ErrStale = errors.New("the order is out of date")
)

const (
	maxStatusBody  = 16 << 10
	maxIdlePerHost = 256
	idleTimeout    = 90 * time.Second
)

// Client calls any number of endpoints. It is safe for concurrent use.
type Client struct {
	http *http.Client
	// singleUse opens a connection for each request that may run only once. The
	// transport retries a request with an Idempotency-Key if a reused connection
	// turns out to be closed, but never on a new connection.
	singleUse *http.Client
	// control is separate from request traffic, so that status polls do not wait
	// for requests and control bytes can be counted.
	control *http.Client
	bytes   *bytecount.Counter
	dialer  *net.Dialer
}

// New returns a client whose connections are bound to the source address,
// unless that is nil.
func New(source net.Addr) *Client {
	dialer := link.New(source).Dialer()
	counts := &bytecount.Counter{}
	traffic := link.Transport(dialer.DialContext)
	traffic.MaxIdleConnsPerHost = maxIdlePerHost
	traffic.IdleConnTimeout = idleTimeout
	control := link.Transport(counts.DialContext(dialer))
	control.MaxIdleConnsPerHost = 2
	control.IdleConnTimeout = idleTimeout
	singleUse := link.Transport(dialer.DialContext)
	singleUse.DisableKeepAlives = true
	return &Client{
		http:      &http.Client{Transport: httpresponse.NewTransport(traffic), CheckRedirect: noRedirect},
		singleUse: &http.Client{Transport: httpresponse.NewTransport(singleUse), CheckRedirect: noRedirect},
		control:   &http.Client{Transport: httpresponse.NewTransport(control)},
		bytes:     counts,
		dialer:    dialer,
	}
}

// noRedirect returns redirects to the caller: following one would run the
// request twice.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Probe opens a connection to an address and closes it. It fails if nothing listens
// there or the address is unreachable.
func (c *Client) Probe(ctx context.Context, address string) error {
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return oops.In("engine").Wrap(err)
	}
	return oops.In("engine").Wrap(conn.Close())
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// ControlBytes returns the byte counter of the control connections.
func (c *Client) ControlBytes() *bytecount.Counter { return c.bytes }

// Status requests an endpoint's status. tag is the ETag of the last response;
// if the status is unchanged, changed is false and the report is empty.
func (c *Client) Status(ctx context.Context, address, tag string) (r fleet.Report, newTag string, changed bool, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathStatus, nil)
	if err != nil {
		return r, "", false, oops.In("engine").Wrap(err)
	}
	// An empty value omits the header, which saves bytes on each poll.
	request.Header.Set("User-Agent", "")
	if tag != "" {
		request.Header.Set("If-None-Match", tag)
	}
	response, err := c.control.Do(request)
	if err != nil {
		return r, "", false, wrapDialError(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxStatusBody))
	if err != nil {
		return r, "", false, oops.In("engine").Wrap(err)
	}
	switch response.StatusCode {
	case http.StatusNotModified:
		return r, tag, false, nil
	case http.StatusOK:
	default:
		return r, "", false, oops.In("engine").Errorf("status request returned %d", response.StatusCode)
	}
	if err := json.Unmarshal(body, &r); err != nil {
		return r, "", false, oops.In("engine").Wrap(err)
	}
	return r, response.Header.Get("ETag"), true, nil
}

func wrapDialError(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return oops.In("engine").Wrap(fmt.Errorf("%w: %v", ErrRefused, err))
	}
	return oops.In("engine").Wrap(err)
}

// Order sends a fenced command.
func (c *Client) Order(ctx context.Context, address string, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return oops.In("engine").Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+PathOrders, bytes.NewReader(body))
	if err != nil {
		return oops.In("engine").Wrap(err)
	}
	response, err := c.control.Do(request)
	if err != nil {
		return wrapDialError(err)
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxStatusBody))
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return oops.In("engine").Wrap(ErrStale)
	}
	return oops.In("engine").Errorf("order request returned %d", response.StatusCode)
}

// Call is one attempt to run a request on an endpoint.
type Call struct {
	Method  string
	Address string
	// Path includes the query.
	Path    string
	Header  http.Header
	Body    []byte
	Attempt string
	// Group and Fence are empty for plain services.
	Group      fleet.GroupID
	Fence      fleet.Fence
	ResumeFrom int
	Priority   int
	// NoRetry marks a request that must not be retried.
	NoRetry bool
}

// Do sends the request and returns once the response's header was read. The
// caller closes the body. Errors wrap ErrNotRun or ErrUnknown.
func (c *Client) Do(ctx context.Context, call Call) (*http.Response, error) {
	var maybeSent atomic.Bool
	trace := &httptrace.ClientTrace{
		// Once the transport has a connection, it may already have sent bytes.
		GotConn: func(httptrace.GotConnInfo) { maybeSent.Store(true) },
	}
	ctx = httptrace.WithClientTrace(ctx, trace)
	url := "http://" + call.Address + call.Path
	request, err := http.NewRequestWithContext(ctx, call.Method, url, bytes.NewReader(call.Body))
	if err != nil {
		return nil, wrapNotRun(err)
	}
	for name, values := range call.Header {
		request.Header[name] = values
	}
	call.setHeaders(request.Header)
	client := c.http
	if call.NoRetry {
		client = c.singleUse
	}
	response, err := client.Do(request)
	if err != nil {
		if !maybeSent.Load() {
			return nil, wrapNotRun(err)
		}
		return nil, oops.In("engine").Wrap(fmt.Errorf("%w: %v", ErrUnknown, err))
	}
	if response.Header.Get(HeaderNotStarted) != "" {
		response.Body.Close()
		return nil, wrapNotRun(fmt.Errorf("the endpoint responded with %d", response.StatusCode))
	}
	return response, nil
}

func wrapNotRun(err error) error {
	return oops.In("engine").Wrap(fmt.Errorf("%w: %v", ErrNotRun, err))
}

func (call Call) setHeaders(h http.Header) {
	h.Set(HeaderAttempt, call.Attempt)
	h.Set(HeaderPriority, strconv.Itoa(call.Priority))
	if call.Group != "" {
		h.Set(HeaderGroup, string(call.Group))
		h.Set(HeaderEpoch, strconv.FormatUint(call.Fence.Epoch, 10))
		h.Set(HeaderGeneration, strconv.FormatUint(call.Fence.Generation, 10))
	}
	if call.ResumeFrom > 0 {
		h.Set(HeaderResumeFrom, strconv.Itoa(call.ResumeFrom))
	}
}

// Cancel cancels an attempt at an endpoint.
func (c *Client) Cancel(ctx context.Context, address, attempt string) error {
	url := "http://" + address + PathCancel + "?attempt=" + attempt
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return oops.In("engine").Wrap(err)
	}
	response, err := c.control.Do(request)
	if err != nil {
		return wrapDialError(err)
	}
	return response.Body.Close()
}
