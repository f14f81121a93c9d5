// Package httpserver makes nbhttp engines with the project's bounds.
package httpserver

import (
	"net/http"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

const (
	// maxWriteBuffer bounds what waits for a slow reader, in bytes; beyond it
	// the connection is closed.
	maxWriteBuffer = 1 << 20
	keepAlive      = 2 * time.Minute
)

// Options of an engine.
type Options struct {
	Address string
	// MaxBody bounds a request's body, in bytes.
	MaxBody int
	// MaxRequests bounds the handlers that run at once.
	MaxRequests int
	Handler     http.Handler
}

// New returns an engine that has not started.
func New(o Options) *nbhttp.Engine {
	return nbhttp.NewEngine(nbhttp.Config{
		Network:                "tcp",
		Addrs:                  []string{o.Address},
		Handler:                o.Handler,
		MaxHTTPBodySize:        o.MaxBody + 1,
		MaxWriteBufferSize:     maxWriteBuffer,
		MessageHandlerPoolSize: o.MaxRequests,
		KeepaliveTime:          keepAlive,
	})
}
