package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/invariant"
	"github.com/ridgehinge/ridgehinge/internal/poison"
	"github.com/ridgehinge/ridgehinge/internal/upstream"
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
	invariant.Check(!t.Leaving, invariant.NoNewWork, "request %s at %s", c.attrs.ID, t.ID)
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
		Header: c.options.Wire.Outgoing(c.in.Header, Sending{
			Endpoint:  t.ID,
			Left:      c.left() - wayBack,
			Workspace: c.workspace,
			LastEvent: c.lastEvent,
			Urgent:    c.sends > 0,
		}),
		Body:  c.in.Body,
		Fresh: c.sends > 0 || !c.route.Repeatable() && c.options.Balancer.isFailing(t.Endpoint, now),
	}, func(h http.Header) bool { return c.options.Wire.Verdict(h).ID == c.attrs.ID })
	if errors.Is(err, upstream.ErrNotSent) {
		c.options.Balancer.Suspect(t.ID, time.Now())
		c.logAttempt(t, "not sent", err)
		return c.orEnded(ctx, resultNotRun)
	}
	c.sends++
	if err != nil {
		c.mayHaveRun = true
		c.blame(ctx, t, flight)
		c.logAttempt(t, "no answer", errors.Join(err, context.Cause(ctx)))
		return c.orEnded(ctx, resultBroken)
	}
	defer response.Close()
	return c.judge(ctx, t, flight, response)
}

// blame counts a try that broke off against its endpoint, unless it was ended from
// here: by the caller, by the deadline, or because the endpoint had fallen silent. Of one
// that broke off or fell silent it is found out whether the endpoint has ended, perhaps
// by this very request.
func (c *call) blame(ctx context.Context, t target, f *flight) {
	now := time.Now()
	cause := context.Cause(ctx)
	if cause == nil && now.Before(c.deadline) {
		f.note(true, now)
	}
	if cause == nil || errors.Is(cause, errStalled) {
		c.looked = c.crashes.Broken(c.content, poison.Incarnation{Endpoint: t.ID, StartedAt: t.StartedAt, Address: t.Address}, f.began, now)
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
		c.giveUp(refusal{cause: causeDeadline, after: noTargetReturn})
	default:
		c.ended(ctx)
	}
	return resultDone
}

// judge reads an answer's head and passes the answer on if it is one.
func (c *call) judge(ctx context.Context, t target, flight *flight, response *upstream.Response) result {
	verdict := c.options.Wire.Verdict(response.Header)
	c.noteLimit(t, verdict, flight, response.Status)
	if verdict.NotRun || response.Status == http.StatusMisdirectedRequest {
		return c.turnedAway(t, verdict, response)
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

// noteLimit takes what the endpoint itself says of how much it takes. A misdirected request
// may have met another endpoint, which says nothing of this one.
func (c *call) noteLimit(t target, v Verdict, f *flight, status int) {
	if !v.Signed && !v.NotRun || status == http.StatusMisdirectedRequest {
		return
	}
	now := time.Now()
	switch {
	case v.Limit.Unreadable != "":
		c.log.Warn("an endpoint names a limit that cannot be read; what is known stays in force", "request", c.attrs.ID,
			"endpoint", string(t.ID), "limit", fmt.Sprintf("%.100q", v.Limit.Unreadable), "in_force", c.options.Throttle.RateLimit(t.Incarnation()).PerSecond)
	case v.Limit.PerSecond > 0:
		c.options.Throttle.SetLimit(t.Incarnation(), v.Limit.PerSecond, now)
	default:
		c.options.Throttle.ClearLimit(t.Incarnation(), f.began, now)
	}
}

// turnedAway notes why an endpoint did not run the request.
func (c *call) turnedAway(t target, v Verdict, response *upstream.Response) result {
	c.turnedDown++
	at := time.Now()
	if id := c.endpointNamed(v.AtFault); id != "" {
		c.options.Balancer.Suspect(id, at)
	}
	if response.Status == http.StatusMisdirectedRequest {
		// The head leads no group any more, or another life has its address.
		c.options.Balancer.Suspect(t.ID, at)
	}
	drain(response)
	c.logAttempt(t, "turned away", fmt.Errorf("status %d, at fault %q", response.Status, v.AtFault))
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
	if c.route.Kind != serving.KindStream || !c.route.Repeatable() || c.sends+1-c.turnedDown >= c.route.MaxAttempts {
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
