package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/control"
	"github.com/ridgehinge/ridgehinge/internal/peers"
	"github.com/ridgehinge/ridgehinge/internal/peers/peerpb"
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

func (c *call) forwardRequest() *peerpb.ForwardRequest {
	return &peerpb.ForwardRequest{
		Method:               c.in.Method,
		Path:                 c.in.Path,
		Headers:              headersToWire(c.in.Header),
		Body:                 c.in.Body,
		DeadlineMilliseconds: time.Until(c.parsed.deadline).Milliseconds(),
		RequestId:            c.id,
	}
}

func headersToWire(h http.Header) []*peerpb.Header {
	var out []*peerpb.Header
	for name, values := range h {
		for _, value := range values {
			out = append(out, &peerpb.Header{Name: name, Value: value})
		}
	}
	return out
}

func headersFromWire(list []*peerpb.Header) http.Header {
	h := http.Header{}
	for _, pair := range list {
		h.Add(pair.GetName(), pair.GetValue())
	}
	return h
}

// relayResponse passes the other data centre's response on to the caller.
func (c *call) relayResponse(ctx context.Context, answer *peers.Forwarded) {
	first := true
	for {
		event, err := answer.Read()
		if err != nil {
			c.handleRelayError(ctx)
			return
		}
		if first {
			first = false
			c.headerSent = true
			header := headersFromWire(event.GetHeaders())
			c.outcome = OutcomeServed
			if outcome := header.Get(HeaderOutcome); outcome != "" && event.GetStatus() >= http.StatusBadRequest {
				c.outcome = Outcome(outcome)
			}
			c.out.Begin(int(event.GetStatus()), header)
		}
		if len(event.GetBody()) > 0 && c.out.Write(event.GetBody()) != nil {
			c.outcome = OutcomeCallerGone
			c.out.Abort()
			return
		}
		if event.GetDone() {
			c.out.End()
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

// peerResponder sends a response to the peer that forwarded the request.
type peerResponder struct {
	stream peerpb.DRPCPeers_ForwardStream
	first  *peerpb.ForwardEvent
	err    error
}

func (r *peerResponder) Begin(status int, header http.Header) {
	r.first = &peerpb.ForwardEvent{Status: int32(status), Headers: headersToWire(header)}
}

func (r *peerResponder) send(event *peerpb.ForwardEvent) error {
	if r.first != nil {
		event.Status = r.first.Status
		event.Headers = r.first.Headers
		r.first = nil
	}
	if r.err == nil {
		r.err = r.stream.Send(event)
	}
	return r.err
}

func (r *peerResponder) Write(p []byte) error { return r.send(&peerpb.ForwardEvent{Body: p}) }

func (r *peerResponder) End() { _ = r.send(&peerpb.ForwardEvent{Done: true}) }

func (r *peerResponder) Abort() { r.err = ErrCallerGone }

// ServeForwarded serves a request forwarded by an entry instance of another
// data centre.
func (g *Gateway) ServeForwarded(q *peerpb.ForwardRequest, stream peerpb.DRPCPeers_ForwardStream) error {
	in := &Request{
		Method:    q.GetMethod(),
		Path:      q.GetPath(),
		Header:    headersFromWire(q.GetHeaders()),
		Body:      q.GetBody(),
		Forwarded: true,
		ID:        q.GetRequestId(),
		Remaining: time.Duration(q.GetDeadlineMilliseconds()) * time.Millisecond,
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	stop := context.AfterFunc(stream.Context(), func() { cancel(ErrCallerGone) })
	defer stop()
	out := &peerResponder{stream: stream}
	g.Serve(ctx, in, out)
	return out.err
}
