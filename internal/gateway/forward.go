package gateway

import (
	"context"
	"errors"
	"io"
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
	answer, err := c.g.options.Peers.Forward(ctx, remote.Node.Address, c.forwardRequest())
	if err != nil {
		return false
	}
	defer answer.Close()
	// From here on the peer may run it.
	c.mayHaveRun = true
	stop := context.AfterFunc(ctx, answer.Close)
	defer stop()
	c.relayResponse(ctx, answer)
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

// relayBuffer is the size of the buffer for forwarded responses, in bytes.
const relayBuffer = 16 << 10

// relayResponse passes the other entry instance's response on to the caller.
func (c *call) relayResponse(ctx context.Context, events forward.Events) {
	response, err := forward.ReadResponse(events)
	if err != nil {
		c.handleRelayError(ctx)
		return
	}
	c.headerSent = true
	c.outcome = OutcomeServed
	if outcome := response.Header.Get(HeaderOutcome); outcome != "" && response.Status >= http.StatusBadRequest {
		c.outcome = Outcome(outcome)
	}
	c.out.Begin(response.Status, response.Header)
	buffer := make([]byte, relayBuffer)
	for {
		n, err := response.Read(buffer)
		if n > 0 && c.out.Write(buffer[:n]) != nil {
			c.outcome = OutcomeCallerGone
			c.out.Abort()
			return
		}
		switch {
		case errors.Is(err, io.EOF):
			c.out.End()
			return
		case err != nil:
			c.handleRelayError(ctx)
			return
		}
	}
}

func (c *call) handleRelayError(ctx context.Context) {
	if ctx.Err() != nil {
		c.failContextDone(ctx)
		return
	}
	if c.headerSent && !c.parsed.stream {
		c.outcome = OutcomeUnknown
		c.out.Abort()
		return
	}
	c.fail(errorResponse{http.StatusBadGateway, "broken", "the response from the other data centre was cut off", OutcomeUnknown, time.Second})
}

// ServeForwarded serves a request forwarded by another entry instance.
func (g *Gateway) ServeForwarded(q *forwardpb.Request, stream peers.ForwardStream) error {
	in := &Request{
		Method:    q.GetMethod(),
		Path:      q.GetPath(),
		Header:    forward.HeaderFromWire(q.GetHeaders()),
		Body:      q.GetBody(),
		Forwarded: true,
		ID:        q.GetRequestId(),
		Remaining: time.Duration(q.GetDeadlineMilliseconds()) * time.Millisecond,
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	stop := context.AfterFunc(stream.Context(), func() { cancel(ErrCallerGone) })
	defer stop()
	out := forward.NewResponder(stream)
	g.Serve(ctx, in, out)
	return out.Err()
}
