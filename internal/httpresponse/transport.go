package httpresponse

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// maxInterimBytes bounds the heads of the interim responses to one request.
const maxInterimBytes = 64 << 10

// Transport is an http.Transport that returns only well-formed responses, and completes none whose request could not be
// sent.
type Transport struct{ *http.Transport }

// NewTransport takes over a transport that has a DialContext, for calls without TLS.
func NewTransport(t *http.Transport) Transport {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: raw}, nil
	}
	return Transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	e := &exchange{}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), e.trace()))
	response, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := Validate(response, e.closeConn); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// exchange is one request with its responses.
type exchange struct {
	// conn is the last connection that the request was sent on, and upload its upload there.
	conn         *conn
	upload       *Upload
	interimBytes int
}

func (e *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:        e.begin,
		WroteRequest:   func(i httptrace.WroteRequestInfo) { e.upload.End(i.Err) },
		Got1xxResponse: e.validateInterim,
	}
}

// begin is called before the request is sent on a connection, at the latest after it has failed on the one before.
func (e *exchange) begin(i httptrace.GotConnInfo) {
	e.conn = i.Conn.(*conn)
	e.upload = e.conn.begin()
}

// closeConn closes the connection. http.Transport may have it among its idle ones already.
func (e *exchange) closeConn() { _ = e.conn.Close() }

// validateInterim validates an interim response. http.Transport does not bound the heads of interim responses if it passes
// them on.
func (e *exchange) validateInterim(_ int, h textproto.MIMEHeader) error {
	if e.interimBytes += headSize(h); e.interimBytes > maxInterimBytes {
		return fmt.Errorf("%w: more than %d bytes of interim responses", ErrMalformed, maxInterimBytes)
	}
	return validateFields(http.Header(h))
}

// headSize returns the approximate size of a head in bytes.
func headSize(h textproto.MIMEHeader) int {
	const statusLine, separators = 32, 4
	size := statusLine
	for name, values := range h {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}
