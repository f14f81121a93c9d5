// Package httpserver runs nbhttp servers with limits, detection of disconnected
// callers and graceful close of idle connections.
package httpserver

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/ridgehinge/ridgehinge/internal/link"
)

const (
	// maxWriteBuffer is the write buffer beyond which nbio closes a connection; it is not
	// reached, since writes wait for slow callers.
	maxWriteBuffer = 1 << 20
	// defaultMaxPending is the default of Options.MaxPending.
	defaultMaxPending = 32 << 20
	idleTimeout       = 2 * time.Minute
	// maxHeaderBytes is the room for a header beside the largest body: the parser has one limit for what it holds of
	// an incomplete request. It is larger than one read of a connection, which may include part of the body.
	maxHeaderBytes = 256 << 10
)

// Options of an engine.
type Options struct {
	Address string
	// MaxBody bounds a request's body, in bytes.
	MaxBody int
	// MaxRequests bounds the handlers that run concurrently.
	MaxRequests int
	// MaxPending bounds the bytes that are buffered for callers that read slowly, in all; zero
	// means defaultMaxPending. Each such caller may have a few kilobytes more.
	MaxPending int
	Handler    http.Handler
	Link       link.Bounds
}

func (o Options) maxPending() int {
	if o.MaxPending > 0 {
		return o.MaxPending
	}
	return defaultMaxPending
}

// newEngine returns an engine that is not started.
func newEngine(o Options, s *Server) *nbhttp.Engine {
	engine := nbhttp.NewEngine(nbhttp.Config{
		Network:                "tcp",
		Addrs:                  []string{o.Address},
		Handler:                writeInPieces(o.Handler),
		MaxHTTPBodySize:        o.MaxBody + 1,
		ReadLimit:              maxHeaderBytes + o.MaxBody,
		MaxWriteBufferSize:     maxWriteBuffer,
		MessageHandlerPoolSize: o.MaxRequests,
		KeepaliveTime:          idleTimeout,
		Listen:                 o.Link.Listen,
	})
	installHandlers(engine, s)
	return engine
}

// tooLargeResponse is the body of the response to a request that exceeds a limit. No
// handler was called for it.
const tooLargeResponse = `{"error":{"message":"the request is larger than this entry instance takes","type":"too_large","outcome":"not-run"}}` + "\n"

// discardTime is how long the rest of such a request is read and discarded: closing
// at once would reset the connection before the caller reads the response.
const discardTime = 2 * time.Second

// installHandlers replaces nbhttp's data handler, which closes the connection of
// a request that is too large without a response.
//
// nbio creates a connection on its accepting goroutine and reads it on a poller's,
// synchronised only by the kernel's epoll, which Go's memory model does not cover.
// The atomic counter orders the two: without it the race detector reports the
// fields that nbhttp sets while it accepts.
func installHandlers(e *nbhttp.Engine, s *Server) {
	var opened atomic.Int64
	e.OnOpen(func(c net.Conn) {
		if raw, ok := c.(*nbio.Conn); ok {
			s.addConn(raw)
		}
		opened.Add(1)
	})
	e.OnClose(func(c net.Conn, _ error) {
		if raw, ok := c.(*nbio.Conn); ok {
			s.removeConn(raw)
		}
	})
	e.OnData(func(c *nbio.Conn, data []byte) {
		opened.Load()
		parser, ok := c.Session().(nbhttp.ParserCloser)
		if !ok {
			return
		}
		err := s.parse(c, data, parser)
		switch {
		case err == nil:
		case errors.Is(err, nbhttp.ErrTooLong):
			c.SetSession(discarder{parser})
			_, _ = fmt.Fprintf(c, "HTTP/1.1 413 Request Entity Too Large\r\nContent-Type: application/json\r\n"+
				"Content-Length: %d\r\nConnection: close\r\nRidgehinge-Outcome: not-run\r\n\r\n%s", len(tooLargeResponse), tooLargeResponse)
			time.AfterFunc(discardTime, func() { _ = c.CloseWithError(err) })
		default:
			_ = c.CloseWithError(err)
		}
	})
}

// discarder discards the rest of a request that was responded to.
type discarder struct{ nbhttp.ParserCloser }

// Parse discards the data.
func (discarder) Parse([]byte) error { return nil }
