package httpserver

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

// ErrClientGone means that the client disconnected.
var ErrClientGone = errors.New("the caller has gone")

// sweepInterval is how often open requests are looked at for callers that
// have gone: nbhttp does not tell while a handler runs.
const sweepInterval = 100 * time.Millisecond

// closer is what nbio's connection offers beside net.Conn.
type closer interface{ IsClosed() (bool, error) }

// Responder answers a caller over nbhttp.
type Responder struct {
	w      http.ResponseWriter
	cancel context.CancelCauseFunc
	conn   io.Closer
	state  closer
	sized  bool
}

// NewResponder returns a responder for one request. The cancel function is
// called, by a Tracker, when the caller has gone.
func NewResponder(w http.ResponseWriter, cancel context.CancelCauseFunc) *Responder {
	out := &Responder{w: w, cancel: cancel}
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

// Closed reports whether the caller's connection has closed.
func (r *Responder) Closed() bool {
	if r.state == nil {
		return false
	}
	closed, _ := r.state.IsClosed()
	return closed
}

// Begin gives the status and the header.
func (r *Responder) Begin(status int, header http.Header) {
	for name, values := range header {
		r.w.Header()[name] = values
	}
	r.sized = header.Get("Content-Length") != ""
	r.w.WriteHeader(status)
}

// Write sends a part of the body; parts without a known length leave at once.
func (r *Responder) Write(p []byte) error {
	if r.Closed() {
		return ErrClientGone
	}
	if _, err := r.w.Write(p); err != nil {
		return err
	}
	if flusher, ok := r.w.(http.Flusher); ok && !r.sized {
		flusher.Flush()
	}
	return nil
}

// End says that the answer is whole.
func (r *Responder) End() {}

// Abort closes the connection, so that the client sees that the response is incomplete.
func (r *Responder) Abort() {
	if flusher, ok := r.w.(http.Flusher); ok && !r.Closed() {
		// What there is goes out first: a caller that has a status knows more
		// than one whose connection just ends.
		flusher.Flush()
	}
	if r.conn != nil {
		_ = r.conn.Close()
	}
}

// Tracker cancels the requests whose callers have gone.
type Tracker struct {
	mu   sync.Mutex
	open map[*Responder]struct{}
	stop chan struct{}
	done chan struct{}
}

// NewTracker starts a tracker; Close ends it.
func NewTracker() *Tracker {
	t := &Tracker{open: map[*Responder]struct{}{}, stop: make(chan struct{}), done: make(chan struct{})}
	go t.sweep()
	return t
}

// Begin begins to watch a request. The context ends, with ErrClientGone as its
// cause, when the caller has gone; done is called when the request is answered.
func (t *Tracker) Begin(w http.ResponseWriter) (ctx context.Context, r *Responder, done func()) {
	ctx, cancel := context.WithCancelCause(context.Background())
	r = NewResponder(w, cancel)
	t.mu.Lock()
	t.open[r] = struct{}{}
	t.mu.Unlock()
	return ctx, r, func() {
		t.mu.Lock()
		delete(t.open, r)
		t.mu.Unlock()
		cancel(nil)
	}
}

// Close ends the tracker.
func (t *Tracker) Close() {
	close(t.stop)
	<-t.done
}

func (t *Tracker) sweep() {
	defer close(t.done)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.stop:
			return
		case <-ticker.C:
		}
		t.mu.Lock()
		for r := range t.open {
			if r.Closed() {
				r.cancel(ErrClientGone)
			}
		}
		t.mu.Unlock()
	}
}
