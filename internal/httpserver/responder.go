package httpserver

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// ErrCallerGone means that the caller disconnected.
var ErrCallerGone = errors.New("caller disconnected")

// sweepInterval is how often open requests are checked for disconnected callers:
// nbhttp does not report a disconnect while a handler runs.
const sweepInterval = 100 * time.Millisecond

// closeChecker is implemented by nbio's connections.
type closeChecker interface{ IsClosed() (bool, error) }

// Responder writes a response over nbhttp.
type Responder struct {
	w http.ResponseWriter
	// unmarked writes a response without a length or chunks; nil for others.
	unmarked *unmarkedWriter
	cancel   context.CancelCauseFunc
	conn     io.Closer
	checker  closeChecker
	begun    bool
	sized    bool
	// failed is set once a part of the body could not be written.
	failed bool
}

// NewResponder returns a responder for one request. A Tracker calls cancel when
// the caller disconnects.
func NewResponder(w http.ResponseWriter, cancel context.CancelCauseFunc) *Responder {
	out := &Responder{w: w, cancel: cancel}
	response := responseOf(w)
	if response == nil || response.Parser == nil || response.Parser.Conn == nil {
		return out
	}
	conn := unwrap(response.Parser.Conn)
	out.conn = conn
	out.checker, _ = conn.(closeChecker)
	return out
}

// Closed reports whether the caller's connection is closed.
func (r *Responder) Closed() bool {
	if r.checker == nil {
		return false
	}
	closed, _ := r.checker.IsClosed()
	return closed
}

// IsKnownStatus reports whether the server can respond with a status.
func IsKnownStatus(status int) bool { return http.StatusText(status) != "" }

// Begin writes the status and the header. A status that is not known becomes 502: nbhttp would make it 200.
func (r *Responder) Begin(status int, header http.Header) {
	if !IsKnownStatus(status) {
		status = http.StatusBadGateway
	}
	r.sized = header.Get("Content-Length") != ""
	if !r.sized && bodyAllowed(status) && lacksChunks(r.w) && r.beginUnmarked(status, header) {
		return
	}
	r.begun = true
	for name, values := range header {
		r.w.Header()[name] = values
	}
	r.w.WriteHeader(status)
}

// bodyAllowed reports whether a response with a status may have a body.
func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// BeginUnmarked is Begin for a response with neither a length nor chunks. Nothing but the close of the connection marks
// its end.
func (r *Responder) BeginUnmarked(status int, header http.Header) {
	if !r.beginUnmarked(status, header) {
		r.Begin(status, header)
	}
}

// beginUnmarked returns false if the connection cannot be taken over from nbhttp.
func (r *Responder) beginUnmarked(status int, header http.Header) bool {
	if r.unmarked = newUnmarkedWriter(r.w); r.unmarked == nil {
		return false
	}
	r.failed = r.unmarked.writeHead(status, header) != nil
	return true
}

// Write writes a part of the body, and flushes it if the response has no
// Content-Length.
func (r *Responder) Write(p []byte) error {
	if r.Closed() {
		r.failed = true
		return ErrCallerGone
	}
	if r.unmarked != nil {
		err := r.unmarked.write(p)
		r.failed = r.failed || err != nil
		return err
	}
	if _, err := r.w.Write(p); err != nil {
		r.failed = true
		return err
	}
	if flusher, ok := r.w.(http.Flusher); ok && !r.sized {
		flusher.Flush()
	}
	return nil
}

// End completes the response; nbhttp does so when the handler returns. After a failed write it
// aborts: the next response on the connection would be read as the rest of this one.
func (r *Responder) End() {
	switch {
	case r.failed:
		r.Abort()
	case r.unmarked != nil:
		r.unmarked.end()
	}
}

// EndUnmarked ends a response that was begun with BeginUnmarked. Its caller sees the same as after End.
func (r *Responder) EndUnmarked() { r.End() }

// Abort closes the connection, so that the caller sees that the response is incomplete.
func (r *Responder) Abort() {
	if r.unmarked != nil {
		r.unmarked.abort()
		return
	}
	if flusher, ok := r.w.(http.Flusher); ok && r.begun && !r.Closed() {
		// Send a status that is still buffered, so that the caller receives it. Before Begin, nbhttp would make up one.
		flusher.Flush()
	}
	if r.conn != nil {
		_ = r.conn.Close()
	}
}

// Tracker cancels the requests of disconnected callers.
type Tracker struct {
	mu   sync.Mutex
	open map[*Responder]struct{}
	stop chan struct{}
	done chan struct{}
}

// NewTracker starts a tracker; Close stops it.
func NewTracker() *Tracker {
	t := &Tracker{open: map[*Responder]struct{}{}, stop: make(chan struct{}), done: make(chan struct{})}
	go t.sweep()
	return t
}

// Begin starts to track a request. The context is cancelled with the cause
// ErrCallerGone when the caller disconnects. Call done when the
// request is finished.
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

// Close stops the tracker.
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
				r.cancel(ErrCallerGone)
			}
		}
		t.mu.Unlock()
	}
}
