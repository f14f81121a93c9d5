package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/samber/oops"

	"github.com/ridgehinge/ridgehinge/internal/httpserver"
)

// sweepInterval is how often open requests are looked at for callers that
// have gone: nbhttp does not tell while a handler runs.
const sweepInterval = 100 * time.Millisecond

// ServerOptions of a Server.
type ServerOptions struct {
	Address string
	// MaxBody bounds a request's body, in bytes.
	MaxBody int
	// MaxRequests bounds the requests in progress.
	MaxRequests int
	// Handler is called for paths that the gateway does not serve itself.
	Handler http.Handler
	Gateway *Gateway
}

// Server is the HTTP side towards callers.
type Server struct {
	engine  *nbhttp.Engine
	gateway *Gateway
	mu      sync.Mutex
	open    map[*httpResponder]struct{}
	stop    chan struct{}
	done    chan struct{}
}

// closer is what nbio's connection offers beside net.Conn.
type closer interface{ IsClosed() (bool, error) }

// Serve starts listening.
func Serve(o ServerOptions) (*Server, error) {
	s := &Server{
		gateway: o.Gateway,
		open:    map[*httpResponder]struct{}{},
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
	}
	s.engine = httpserver.New(httpserver.Options{
		Address:     o.Address,
		MaxBody:     o.MaxBody,
		MaxRequests: o.MaxRequests,
		Handler:     s.route(o.Handler),
	})
	if err := s.engine.Start(); err != nil {
		return nil, oops.In("gateway").Wrapf(err, "listen on %s", o.Address)
	}
	go s.sweep()
	return s, nil
}

// Close ends the server and its connections.
func (s *Server) Close() {
	close(s.stop)
	<-s.done
	s.engine.Stop()
}

// route serves callers' paths here and leaves the others to the handler.
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
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	out := newHTTPResponder(w, cancel)
	s.track(out, true)
	defer s.track(out, false)
	s.gateway.Serve(ctx, &Request{
		Method: r.Method,
		Path:   r.URL.RequestURI(),
		Header: r.Header,
		Body:   body,
	}, out)
}

func (s *Server) track(out *httpResponder, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open {
		s.open[out] = struct{}{}
		return
	}
	delete(s.open, out)
}

// sweep ends the requests whose connection has closed.
func (s *Server) sweep() {
	defer close(s.done)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		for out := range s.open {
			if out.closed() {
				out.cancel(ErrGone)
			}
		}
		s.mu.Unlock()
	}
}

// httpResponder answers a caller over nbhttp.
type httpResponder struct {
	w      http.ResponseWriter
	cancel context.CancelCauseFunc
	conn   io.Closer
	state  closer
	sized  bool
}

func newHTTPResponder(w http.ResponseWriter, cancel context.CancelCauseFunc) *httpResponder {
	out := &httpResponder{w: w, cancel: cancel}
	response, ok := w.(*nbhttp.Response)
	if !ok || response.Parser == nil || response.Parser.Conn == nil {
		return out
	}
	out.conn = response.Parser.Conn
	conn := response.Parser.Conn
	if wrapped, ok := conn.(*nbhttp.Conn); ok {
		conn = wrapped.Conn
	}
	out.state, _ = conn.(closer)
	return out
}

func (r *httpResponder) closed() bool {
	if r.state == nil {
		return false
	}
	closed, _ := r.state.IsClosed()
	return closed
}

func (r *httpResponder) Begin(status int, header http.Header) {
	for name, values := range header {
		r.w.Header()[name] = values
	}
	r.sized = header.Get("Content-Length") != ""
	r.w.WriteHeader(status)
}

func (r *httpResponder) Write(p []byte) error {
	if r.closed() {
		return ErrGone
	}
	if _, err := r.w.Write(p); err != nil {
		return err
	}
	if flusher, ok := r.w.(http.Flusher); ok && !r.sized {
		flusher.Flush()
	}
	return nil
}

func (r *httpResponder) End() {}

func (r *httpResponder) Cut() {
	if flusher, ok := r.w.(http.Flusher); ok && !r.closed() {
		// What there is goes out first: a caller that has a status knows more
		// than one whose connection just ends.
		flusher.Flush()
	}
	if r.conn != nil {
		_ = r.conn.Close()
	}
}
