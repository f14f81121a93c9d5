package relay

import (
	"context"
	"net/url"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/forward"
	"github.com/ridgehinge/ridgehinge/internal/peers/forwardpb"
)

// Forwarded describes a request that another node has accepted from its caller and passed on.
type Forwarded struct {
	// Remaining is what is left of the caller's deadline.
	Remaining time.Duration
	// Attempts is the number of endpoints that it was sent to, MayHaveRun whether any of them may have
	// run it.
	Attempts   int
	MayHaveRun bool
	// LastEvent is the event after which a stream is resumed.
	LastEvent string

	out *forward.Responder
}

// ownShare is the divisor of Options.MaxRequests for the requests that a node keeps room for when it runs those of
// others: it must not be overrun by its neighbours' callers.
const ownShare = 4

// RunsForwarded reports whether this node runs requests of others now.
func (r *Relay) RunsForwarded() bool {
	return !r.closeConnections.Load() && !r.draining.Load() && !r.options.Links.Lost() && isViewReady(r.options.View())
}

// ServeForwarded runs a request that another node passed on, or declines it. The context ends when
// that node closes the connection.
func (r *Relay) ServeForwarded(ctx context.Context, q *forwardpb.Request, stream forward.EventSender) error {
	out := forward.NewResponder(stream)
	if reason := r.declineReason(q); reason != "" {
		r.options.Metrics.Inc("requests_declined", map[string]string{"reason": reason})
		out.Decline(reason)
		return out.Err()
	}
	r.options.Metrics.Inc("requests_run_for_others", nil)
	serveCtx, cancel := forward.CallerContext(ctx)
	defer cancel()
	r.Serve(serveCtx, &Request{
		Method: q.GetMethod(),
		URI:    q.GetPath(),
		Path:   escapedPath(q.GetPath()),
		Host:   q.GetHost(),
		Header: forward.HeaderFromWire(q.GetHeaders()),
		Body:   q.GetBody(),
		Forwarded: &Forwarded{
			Remaining:  time.Duration(q.GetDeadlineMilliseconds()) * time.Millisecond,
			Attempts:   int(q.GetAttempts()),
			MayHaveRun: q.GetMayHaveRun(),
			LastEvent:  q.GetLastEvent(),
			out:        out,
		},
	}, out)
	return out.Err()
}

// escapedPath returns the path of a request's URI without its query.
func escapedPath(uri string) string {
	parsed, err := url.ParseRequestURI(uri)
	if err != nil {
		// No route matches it, as at the node that received it.
		return uri
	}
	return parsed.EscapedPath()
}

// declineReason returns why a request of another node is not run here, or an empty string.
func (r *Relay) declineReason(q *forwardpb.Request) string {
	view := r.options.View()
	switch {
	case r.closeConnections.Load(), r.draining.Load():
		return "stopping"
	case r.options.Links.Lost():
		return "no links"
	case !isViewReady(view):
		return "not ready"
	case view.Configuration.Version < q.GetConfigurationVersion():
		// The caller may already have seen the effect of the newer one.
		return "older configuration"
	case r.inFlight.Load() >= int64(max(1, r.options.MaxRequests-r.options.MaxRequests/ownShare)):
		return forward.ReasonBusy
	}
	return ""
}

// applyForwarded sets what the node that passed the request on knows of it.
func (c *call) applyForwarded(f *Forwarded) {
	c.attempts, c.priorAttempts = f.Attempts, f.Attempts
	c.mayHaveRun = f.MayHaveRun
	if f.LastEvent != "" {
		// A later event than that of the caller's header has been relayed already.
		c.continues = f.LastEvent != c.attrs.LastEvent
		c.lastEvent = f.LastEvent
	}
	if deadline := c.start.Add(f.Remaining); deadline.Before(c.deadline) {
		c.deadline = deadline
	}
}

// countAttempt counts an endpoint that the request was sent to, and tells the node that passed it on.
func (c *call) countAttempt() {
	c.attempts++
	if f := c.in.Forwarded; f != nil {
		f.out.Attempts = c.attempts
	}
}

// decline declines a request of another node that this one has not sent to any endpoint, if the reason
// need not hold at other nodes. It reports whether it did.
func (c *call) decline(reason rejection) bool {
	f := c.in.Forwarded
	if f == nil || c.responseStarted || c.attempts > c.priorAttempts || !reason.isLocal() && c.connectionBounds == 0 {
		return false
	}
	c.outcome = outcomeRejected
	f.out.Decline(reason.cause)
	c.logUnserved(reason)
	return true
}

// isLocal reports whether the reason concerns this node alone.
func (r rejection) isLocal() bool {
	switch r.cause {
	case causeSuspected, causeNoEndpoint, causeLinks, causeBusy, causeStopping, causeCooldown:
		return true
	}
	return false
}
