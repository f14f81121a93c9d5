// Package httpserver makes nbhttp engines with the project's bounds.
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
	// maxWriteBuffer bounds what waits for a slow reader, in bytes; beyond it
	// the connection is closed.
	maxWriteBuffer = 1 << 20
	keepAlive      = 2 * time.Minute
	// maxHeader bounds a header that is still incomplete, in bytes. It is
	// larger than one read of a connection, which may bring a body as well.
	maxHeader = 256 << 10
)

// Options of an engine.
type Options struct {
	Address string
	// MaxBody bounds a request's body, in bytes.
	MaxBody int
	// MaxRequests bounds the handlers that run at once.
	MaxRequests int
	Handler     http.Handler
	// Link bounds the connections.
	Link link.Bounds
}

// newEngine returns an engine that has not started.
func newEngine(o Options, s *Server) *nbhttp.Engine {
	engine := nbhttp.NewEngine(nbhttp.Config{
		Network:                "tcp",
		Addrs:                  []string{o.Address},
		Handler:                o.Handler,
		MaxHTTPBodySize:        o.MaxBody + 1,
		ReadLimit:              maxHeader,
		MaxWriteBufferSize:     maxWriteBuffer,
		MessageHandlerPoolSize: o.MaxRequests,
		KeepaliveTime:          keepAlive,
		Listen:                 o.Link.Listen,
	})
	answerTooLarge(engine, s)
	return engine
}

// tooLargeBody is the answer to a request that passes a bound before a handler
// sees it. Nothing of it has run.
const tooLargeBody = `{"error":{"message":"the request is larger than this entry instance takes","type":"too_large","outcome":"not-run"}}` + "\n"

// lingerTime is how long the rest of such a request is read and dropped, so
// that the answer is not lost to a reset of the connection.
const lingerTime = 2 * time.Second

// answerTooLarge takes the place of nbhttp's own data handler, which closes
// the connection of a request that is too large without an answer.
//
// nbio makes a connection on its accepting goroutine and reads it on a
// poller's, with nothing but the kernel's epoll between them, which Go's
// memory model does not know. The counter orders the two: without it the race
// detector reports the fields that nbhttp sets while it accepts.
func answerTooLarge(e *nbhttp.Engine, s *Server) {
	var opened atomic.Int64
	e.OnOpen(func(c net.Conn) {
		if raw, ok := c.(*nbio.Conn); ok {
			s.opened(raw)
		}
		opened.Add(1)
	})
	e.OnClose(func(c net.Conn, _ error) {
		if raw, ok := c.(*nbio.Conn); ok {
			s.closed(raw)
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
				"Content-Length: %d\r\nConnection: close\r\nRidgehinge-Outcome: not-run\r\n\r\n%s", len(tooLargeBody), tooLargeBody)
			time.AfterFunc(lingerTime, func() { _ = c.CloseWithError(err) })
		default:
			_ = c.CloseWithError(err)
		}
	})
}

// discarder drops what still comes of a request that was answered.
type discarder struct{ nbhttp.ParserCloser }

// Parse drops the data.
func (discarder) Parse([]byte) error { return nil }
