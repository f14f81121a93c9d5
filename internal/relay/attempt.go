package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/invariant"
	"github.com/ridgehinge/ridgehinge/internal/quarantine"
	"github.com/ridgehinge/ridgehinge/internal/throttle"
	"github.com/ridgehinge/ridgehinge/internal/upstream"
	"github.com/ridgehinge/ridgehinge/pkg/advisory"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// result is how one try ended.
type result uint8

const (
	// resultDone: the caller has its final answer, or has gone.
	resultDone result = iota
	// resultNotRun: the endpoint certainly did not run it.
	resultNotRun
	// resultBroken: it may have run, and the answer is not whole.
	resultBroken
	// resultFailed: it ran, and the endpoint says that it failed.
	resultFailed
)

// attempt runs the request once on an endpoint.
func (c *call) attempt(ctx context.Context, t target) result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	now := time.Now()
	invariant.Check(c.route.Repeatable() || !c.mayHaveRun, invariant.AtMostOnce, "request %s at %s", c.attrs.ID, t.ID)
	invariant.Check(!t.Draining, invariant.NoNewWork, "request %s at %s", c.attrs.ID, t.ID)
	flight := c.options.Balancer.begin(t.Endpoint, c.size(), now)
	flight.head = t.head
	defer flight.end()
	stop := c.watch(cancel, flight, t.predicted)
	defer stop()
	response, err := c.options.Upstream.Send(ctx, upstream.Request{
		Address: t.Address,
		Method:  c.in.Method,
		URI:     c.in.URI,
		Host:    c.in.Host,
		Header: c.options.Wire.Outgoing(c.in.Header, OutgoingAttempt{
			Endpoint:  t.ID,
			Remaining: c.left() - wayBack,
			Workspace: c.workspace,
			LastEvent: c.lastEvent,
			Urgent:    c.sends > 0,
		}),
		Body:  c.in.Body,
		Fresh: c.sends > 0 || !c.route.Repeatable() && c.options.Balancer.isFailing(t.Endpoint, now),
		Gate:  func() error { return c.gate(t) },
	}, func(h http.Header) bool { return c.options.Wire.Verdict(h).ID == c.attrs.ID })
	if errors.Is(err, upstream.ErrNotSent) {
		return c.notSent(ctx, t, err)
	}
	c.sends++
	if err != nil {
		c.mayHaveRun = true
		c.recordFailure(ctx, t, flight)
		c.logAttempt(t, "no answer", errors.Join(err, context.Cause(ctx)))
		return c.orEnded(ctx, resultBroken)
	}
	defer response.Close()
	return c.judge(ctx, t, flight, response)
}

// heldError is why a request that had an endpoint was not sent to it.
type heldError string

func (e heldError) Error() string { return string(e) }

const errQuarantined heldError = "the request is in quarantine"

// gate is the last check before a request's first byte. The endpoint may have asked for a
// cooldown, or said that it leaves, while the request waited for a permit or a connection.
func (c *call) gate(t target) error {
	now := time.Now()
	hold := c.options.Throttle.Hold(t.Endpoint, now)
	if hold == throttle.HoldDraining || hold == throttle.HoldCooldown {
		c.options.Metrics.Inc("requests_held_back", map[string]string{"by": hold.String()})
		return heldError("the endpoint is held: " + hold.String())
	}
	if !c.options.Quarantine.BeginAttempt(c.content, now) {
		return errQuarantined
	}
	return nil
}

// notSent handles an attempt of which no byte left: it is not charged to the retry budget, and
// not to the endpoint if the attempt was held back here.
func (c *call) notSent(ctx context.Context, t target, err error) result {
	c.options.Budget.Refund(c.service, c.charge, time.Now())
	c.charge = Charge{}
	if held := heldError(""); !errors.As(err, &held) {
		c.options.Balancer.Suspect(t.ID, time.Now())
	}
	c.logAttempt(t, "not sent", err)
	return c.orEnded(ctx, resultNotRun)
}

// recordFailure charges a broken attempt to its endpoint, unless the caller, the deadline or
// the stall detector cancelled it. It also starts a crash probe, since the request itself may
// have crashed the endpoint.
func (c *call) recordFailure(ctx context.Context, t target, f *flight) {
	now := time.Now()
	cause := context.Cause(ctx)
	if cause == nil && now.Before(c.deadline) {
		f.note(true, now)
	}
	if cause == nil || errors.Is(cause, errStalled) {
		c.crashProbe = c.crashes.ReportBroken(c.content, quarantine.Incarnation{Endpoint: t.ID, StartedAt: t.StartedAt, Address: t.Address}, f.began, now)
	}
}

// wayBack is taken off the time that an endpoint is given, for the answer's
// way back.
const wayBack = 10 * time.Millisecond

// orEnded answers the request if its own time is over. A connection's deadline
// is that of the request, and may be noticed before the context's.
func (c *call) orEnded(ctx context.Context, r result) result {
	cause := context.Cause(ctx)
	switch {
	case cause == nil && time.Now().Before(c.deadline), errors.Is(cause, errStalled):
		return r
	case cause == nil:
		c.giveUp(refusal{cause: causeDeadline, after: defaultRetryAfter})
	default:
		c.ended(ctx)
	}
	return resultDone
}

// judge reads an answer's head and passes the answer on if it is one.
func (c *call) judge(ctx context.Context, t target, flight *flight, response *upstream.Response) result {
	verdict := c.options.Wire.Verdict(response.Header)
	statement := c.options.Wire.Statement(response.Status, response.Header)
	c.observe(t, verdict, statement, flight, response.Status)
	if verdict.NotRun || response.Status == http.StatusMisdirectedRequest {
		return c.handleRejection(t, verdict, statement, response)
	}
	c.mayHaveRun = true
	if !verdict.Signed || response.Header.Get("Content-Encoding") != "" {
		flight.note(true, time.Now())
		c.logAttempt(t, "an answer that is not the endpoint's", fmt.Errorf("status %d", response.Status))
		return resultBroken
	}
	if response.Status == http.StatusOK && c.route.Kind == serving.KindStream {
		return c.passStream(ctx, t, flight, response)
	}
	return c.passWhole(ctx, t, flight, response)
}

// observe applies what an answer says of its endpoint. An answer that is neither signed nor
// says that the request did not run may be anybody's, and a misdirected request may have met
// another endpoint.
func (c *call) observe(t target, v Verdict, s advisory.Statement, f *flight, status int) {
	if !v.Signed && !v.NotRun || status == http.StatusMisdirectedRequest {
		return
	}
	c.shed = c.shed || s.Cooldown.Value > 0
	c.options.Throttle.Observe(advisory.Observation{
		Endpoint:  t.Incarnation(),
		Statement: s,
		Sent:      f.began,
		Request:   c.attrs.ID,
	}, time.Now())
}

// handleRejection notes why an endpoint did not run the request.
func (c *call) handleRejection(t target, v Verdict, s advisory.Statement, response *upstream.Response) result {
	c.rejections++
	at := time.Now()
	if id := c.endpointNamed(v.FaultyEndpoint); id != "" {
		c.options.Balancer.Suspect(id, at)
	}
	if response.Status == http.StatusMisdirectedRequest {
		// The head leads no group any more, or another endpoint has its address.
		c.options.Balancer.Suspect(t.ID, at)
	}
	drain(response)
	c.logAttempt(t, "rejected", fmt.Errorf("status %d, at fault %q, retry after %s", response.Status, v.FaultyEndpoint, s.Cooldown.Value))
	return resultNotRun
}

// endpointNamed returns the endpoint with an id or an address.
func (c *call) endpointNamed(name string) serving.EndpointID {
	if name == "" {
		return ""
	}
	endpoints := c.options.View().Endpoints
	if endpoints[serving.EndpointID(name)] != nil {
		return serving.EndpointID(name)
	}
	for id, e := range endpoints {
		if e.Address == name {
			return id
		}
	}
	return ""
}

func (c *call) logAttempt(t target, what string, err error) {
	c.log.Info("an attempt failed", "request", c.attrs.ID, "content", c.content, "endpoint", string(t.ID), "address", t.Address, "group", t.Membership.Group,
		"epoch", t.Membership.Epoch, "what", what, "error", err, "events", c.events, "after", time.Since(c.start))
}

const (
	// stallCheck is how often an endpoint's silence is looked at.
	stallCheck = 100 * time.Millisecond
	// stallSlack is how many times the predicted time an endpoint may take
	// before its silence says anything: a full one is not a dead one.
	stallSlack = 3
)

// quietPatience is how long a stream may get nothing from an endpoint that gives others
// their events, before it goes on elsewhere: its own connection may have fallen silent for
// good without a reset. Callers give a stream up after two seconds and more.
const quietPatience = 1500 * time.Millisecond

// stallAfter is how long an endpoint may be silent on all requests.
func (c *call) stallAfter(predicted Prediction) time.Duration {
	return max(c.options.StallAfter, stallSlack*max(predicted.First, predicted.Gap))
}

// watch ends a try at an endpoint that has fallen silent on all of its
// requests, if the request may go on elsewhere. Silence alone is no ground to
// end an answer for good.
func (c *call) watch(cancel context.CancelCauseFunc, f *flight, predicted Prediction) (stop func()) {
	if c.route.Kind != serving.KindStream || !c.route.Repeatable() || c.sends+1-c.rejections >= c.route.MaxAttempts {
		return func() {}
	}
	limit := c.stallAfter(predicted)
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(stallCheck)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case now := <-ticker.C:
				if f.silence(now) > limit {
					c.options.Balancer.Suspect(f.endpoint, now)
					cancel(errStalled)
					return
				}
				if f.quiet(now) > max(limit, quietPatience) {
					cancel(errStalled)
					return
				}
			}
		}
	}()
	return func() { close(done) }
}
