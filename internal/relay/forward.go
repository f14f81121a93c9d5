package relay

import (
	"context"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/forward"
	"github.com/ridgehinge/ridgehinge/internal/peers/forwardpb"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// A node that has lost its links to all endpoints passes its callers' requests on to neighbours, which
// run them like their own.

// Forwarding is how requests reach other nodes.
type Forwarding struct {
	// Search finds the nodes that run forwarded requests unless that was done within maxAge.
	Search func(ctx context.Context, maxAge time.Duration)
	// Neighbours returns those of the allowed data centres.
	Neighbours func(allowed func(serving.DataCentre) bool) []forward.Neighbour
	// Send sends a request to the node at an address. An error means that no part of it was sent.
	Send func(ctx context.Context, address string, q *forwardpb.Request) (ForwardedCall, error)
}

// ForwardedCall is a request that another node runs.
type ForwardedCall interface {
	forward.Events
	// Close cancels the request unless its response is complete.
	Close()
}

// mayForward reports whether other nodes are left that the request may be passed to. One that another node
// passed on is not passed on again.
func (c *call) mayForward() bool { return c.in.Forwarded == nil && !c.noNeighbour }

// shouldForward reports whether the next attempt is made by another node.
func (c *call) shouldForward() bool { return c.mayForward() && c.options.Links.Lost() }

// findsLinksLost reports whether the links turn out to be lost as the request, whose dials have failed, is
// about to be rejected.
func (c *call) findsLinksLost(ctx context.Context) bool {
	return c.dialFailed && c.mayForward() && c.options.Links.Check(ctx)
}

// neighboursMaxAge is how old a search for neighbours may be.
const neighboursMaxAge = time.Second

// maxForwardTime is how long a request is offered to one neighbour after another. Then it is rejected: its caller may
// reach a node with links.
const maxForwardTime = time.Second

// forward passes the request to a neighbour. The result is resultNotRun if none runs it.
func (c *call) forward(ctx context.Context) result {
	began := time.Now()
	c.options.Forwarding.Search(ctx, neighboursMaxAge)
	for c.remaining() >= minRemaining && (c.responseStarted || time.Since(began) < maxForwardTime) {
		n, ok := c.chooseNeighbour(ctx)
		if !ok {
			break
		}
		if !c.chargeRetry() {
			c.finishUnserved(rejection{cause: causeBudget, retryAfter: c.retryAfterAttempts()})
			return resultDone
		}
		charge := c.charge
		c.charge = Charge{}
		r := c.relayFrom(ctx, c.newNeighbourSource(n, 0), charge)
		if r == resultIncomplete && !c.route.Repeatable() {
			c.finishUnserved(rejection{cause: causeOnce})
			return resultDone
		}
		if r != resultNotRun {
			return r
		}
	}
	c.noNeighbour = true
	return resultNotRun
}

// chooseNeighbour chooses a neighbour that was not tried. If there is none, it has others searched for, once.
func (c *call) chooseNeighbour(ctx context.Context) (forward.Neighbour, bool) {
	n, ok := c.knownNeighbour(time.Now())
	if ok || c.searchedAgain {
		return n, ok
	}
	c.searchedAgain = true
	c.options.Forwarding.Search(ctx, 0)
	return c.knownNeighbour(time.Now())
}

// knownNeighbour chooses a neighbour that was not tried.
func (c *call) knownNeighbour(now time.Time) (forward.Neighbour, bool) {
	allowed := c.regionLimit(c.options.View().Configuration).allows
	return c.chooser.Choose(c.options.Forwarding.Neighbours(allowed), c.neighboursTried, now)
}

// forwardRequest encodes the request for another node. pending attempts are in progress and not counted yet.
func (c *call) forwardRequest(pending int) *forwardpb.Request {
	return &forwardpb.Request{
		Method:               c.in.Method,
		Path:                 c.in.URI,
		Host:                 c.in.Host,
		Headers:              forward.HeaderToWire(c.in.Header),
		Body:                 c.in.Body,
		DeadlineMilliseconds: (c.remaining() - responseMargin).Milliseconds(),
		RequestId:            c.attrs.ID,
		Attempts:             uint32(c.attempts + pending),
		MayHaveRun:           c.mayHaveRun || pending > 0,
		LastEvent:            c.lastEvent,
		ConfigurationVersion: c.configurationVersion(),
	}
}

func (c *call) logForwarding(n forward.Neighbour, what string, err error) {
	c.options.Metrics.Inc("forwardings_failed", map[string]string{"what": what})
	c.log.Info("a neighbour did not run a request to its end", "request", c.attrs.ID, "content", c.subject.Content, "neighbour", n.Address, "local", n.Local,
		"what", what, "error", err, "events", c.events, "after", time.Since(c.start))
}
