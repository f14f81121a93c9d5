package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/control"
	"github.com/ridgehinge/ridgehinge/internal/forward"
	"github.com/ridgehinge/ridgehinge/internal/peers"
	"github.com/ridgehinge/ridgehinge/internal/peers/forwardpb"
)

// minForwardBudget is the minimum time to the deadline for a request to be
// forwarded to another data centre.
const minForwardBudget = 100 * time.Millisecond

// forward sends a request that this data centre cannot serve to an entry
// instance of another, which runs its own admission. It returns false if the
// request was not forwarded.
func (c *call) forward(ctx context.Context) bool {
	if c.in.Forwarded || c.headerSent || time.Until(c.parsed.deadline) < minForwardBudget {
		return false
	}
	remote, ok := pickRemote(c.g.snapshot.Load().Remotes, c.parsed.pool)
	if !ok {
		return false
	}
	return c.forwardTo(ctx, remote.Node.Address)
}

// forwardWithoutLinks passes the request to another entry instance while this one has lost its links to
// all endpoints. It returns false if none runs it.
func (c *call) forwardWithoutLinks(ctx context.Context) bool {
	if c.in.Forwarded || !c.g.links.Lost() {
		return false
	}
	var tried []string
	localDeclined := false
	for time.Until(c.parsed.deadline) >= minForwardBudget {
		n, ok := c.g.chooser.Choose(c.g.neighbours(!localDeclined), tried, time.Now())
		if !ok {
			return false
		}
		tried = append(tried, n.Address)
		done := c.g.chooser.Begin(n.Address)
		taken := c.forwardTo(ctx, n.Address)
		done()
		if taken {
			return true
		}
		localDeclined = localDeclined || n.Local
		c.g.chooser.Avoid(n.Address, time.Now())
	}
	return false
}

// neighbours returns the entry instances that may run requests of this one. Those of one side are preferred: all
// nodes of a data centre may have lost their links together.
func (g *Gateway) neighbours(preferLocal bool) []forward.Neighbour {
	s := g.snapshot.Load()
	var out []forward.Neighbour
	for _, node := range s.Neighbours {
		out = append(out, forward.Neighbour{Address: node.Address, Local: true, Preferred: preferLocal})
	}
	for _, r := range s.Remotes {
		out = append(out, forward.Neighbour{Address: r.Node.Address, Preferred: !preferLocal})
	}
	return out
}

// forwardTo passes the request to the entry instance at an address and relays its response. It returns
// false if the request was not sent, or was declined.
func (c *call) forwardTo(ctx context.Context, address string) bool {
	answer, err := c.g.options.Peers.Forward(ctx, address, c.forwardRequest())
	if err != nil {
		return false
	}
	defer answer.Close()
	stop := context.AfterFunc(ctx, answer.Close)
	defer stop()
	response, err := forward.ReadResponse(answer)
	declined := &forward.DeclinedError{}
	if errors.As(err, &declined) {
		c.log.Info("another entry instance declined a request", "address", address, "reason", declined.Reason)
		return false
	}
	// The peer may have run it.
	c.mayHaveRun = true
	if err != nil {
		c.handleRelayError(ctx)
		return true
	}
	c.relayResponse(ctx, response)
	return true
}

// pickRemote picks a random remote with free slots, so that the overflow of
// many nodes is spread.
func pickRemote(remotes []control.Remote, pool string) (control.Remote, bool) {
	var open []control.Remote
	for _, r := range remotes {
		load := r.Pools[pool]
		if load.InFlight+load.Queued < load.Slots {
			open = append(open, r)
		}
	}
	if len(open) == 0 {
		return control.Remote{}, false
	}
	return open[rand.IntN(len(open))], true
}

func (c *call) forwardRequest() *forwardpb.Request {
	return &forwardpb.Request{
		Method:               c.in.Method,
		Path:                 c.in.Path,
		Headers:              forward.HeaderToWire(c.in.Header),
		Body:                 c.in.Body,
		DeadlineMilliseconds: time.Until(c.parsed.deadline).Milliseconds(),
		RequestId:            c.id,
	}
}

// relayResponse passes the other entry instance's response on to the caller.
func (c *call) relayResponse(ctx context.Context, response *forward.Response) {
	c.headerSent = true
	c.outcome = OutcomeServed
	if outcome := response.Header.Get(HeaderOutcome); outcome != "" && response.Status >= http.StatusBadRequest {
		c.outcome = Outcome(outcome)
	}
	c.out.Begin(response.Status, response.Header)
	readErr, writeErr := response.CopyTo(c.out.Write)
	switch {
	case writeErr != nil:
		c.outcome = OutcomeCallerGone
		c.out.Abort()
	case readErr != nil:
		c.handleRelayError(ctx)
	default:
		c.out.End()
	}
}

func (c *call) handleRelayError(ctx context.Context) {
	callerGone := errors.Is(context.Cause(ctx), ErrCallerGone)
	if c.headerSent && !c.parsed.stream && !callerGone {
		// An error event would be a part of the body.
		c.outcome = OutcomeUnknown
		c.out.Abort()
		return
	}
	if ctx.Err() != nil {
		c.failContextDone(ctx)
		return
	}
	c.fail(errorResponse{http.StatusBadGateway, "broken", "the response from the other data centre was cut off", OutcomeUnknown, time.Second})
}

// ServeForwarded serves a request forwarded by another entry instance, or declines it.
func (g *Gateway) ServeForwarded(q *forwardpb.Request, stream peers.ForwardStream) error {
	if g.stopping.Load() || g.links.Lost() {
		out := forward.NewResponder(stream)
		out.Decline("stopping or without links to endpoints")
		return out.Err()
	}
	in := &Request{
		Method:    q.GetMethod(),
		Path:      q.GetPath(),
		Header:    forward.HeaderFromWire(q.GetHeaders()),
		Body:      q.GetBody(),
		Forwarded: true,
		ID:        q.GetRequestId(),
		Remaining: time.Duration(q.GetDeadlineMilliseconds()) * time.Millisecond,
	}
	ctx, cancel := forward.CallerContext(stream.Context())
	defer cancel()
	out := forward.NewResponder(stream)
	g.Serve(ctx, in, out)
	return out.Err()
}
