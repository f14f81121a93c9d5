package httpserver

import (
	"context"
	"time"
)

// AnswerTime is reserved for the responses to requests that are ended because a node stops.
const AnswerTime = 250 * time.Millisecond

// pollInterval is the time between two checks of a stopping server's connections.
const pollInterval = 20 * time.Millisecond

// WithStop returns a context that is also cancelled, with a cause, when stopped is.
func WithStop(ctx, stopped context.Context, cause error) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	unregister := context.AfterFunc(stopped, func() { cancel(cause) })
	return ctx, func() {
		unregister()
		cancel(nil)
	}
}

// AwaitIdle closes the connections as they become idle. It reports whether no connection and no handler had a request in
// flight any more before the given time; inFlight counts the latter.
func (s *Server) AwaitIdle(until time.Time, inFlight func() int64) bool {
	for s.CloseIdle() > 0 || inFlight() > 0 {
		if !time.Now().Before(until) {
			return false
		}
		time.Sleep(pollInterval)
	}
	return true
}
