package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/samber/oops"

	"github.com/ridgehinge/ridgehinge/internal/httpserver"
)

// ServerOptions of a Server.
type ServerOptions struct {
	Address string
	// MaxBody bounds a request's body, in bytes.
	MaxBody int
	// MaxRequests bounds the requests in flight.
	MaxRequests int
	// Handler is called for paths that the gateway does not serve itself.
	Handler http.Handler
	Gateway *Gateway
}

// Server is the HTTP server for callers.
type Server struct {
	server  *httpserver.Server
	gateway *Gateway
	tracker *httpserver.Tracker
}

// Serve starts listening.
func Serve(o ServerOptions) (*Server, error) {
	s := &Server{
		gateway: o.Gateway,
		tracker: httpserver.NewTracker(),
	}
	var err error
	s.server, err = httpserver.Serve(httpserver.Options{
		Address:     o.Address,
		MaxBody:     o.MaxBody,
		MaxRequests: o.MaxRequests,
		Handler:     s.route(o.Handler),
	})
	if err != nil {
		s.tracker.Close()
		return nil, oops.In("gateway").Wrapf(err, "listen on %s", o.Address)
	}
	return s, nil
}

// Drain rejects new requests and waits until those in flight have finished or the context is done; it ends those that are
// left with a response. It returns how many it has ended, once the responses are written.
func (s *Server) Drain(ctx context.Context) (ended int64) {
	ended = s.gateway.Stop(ctx)
	s.server.AwaitIdle(time.Now().Add(httpserver.AnswerTime), s.gateway.inFlight.Load)
	return ended
}

// Close stops the server and closes its connections.
func (s *Server) Close() {
	s.tracker.Close()
	s.server.Stop()
}

// route handles callers' paths and passes all others to other.
func (s *Server) route(other http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !isCallerPath(r.URL.Path) {
			other.ServeHTTP(w, r)
			return
		}
		s.handle(w, r)
	})
}

func isCallerPath(path string) bool {
	return len(path) >= 4 && path[:4] == "/v1/" || len(path) >= len(servicesPrefix) && path[:len(servicesPrefix)] == servicesPrefix
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "the body cannot be read", http.StatusBadRequest)
		return
	}
	ctx, out, done := s.tracker.Begin(w)
	defer done()
	s.gateway.Serve(ctx, &Request{
		Method: r.Method,
		Path:   r.URL.RequestURI(),
		Header: r.Header,
		Body:   body,
	}, out)
}
