package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/httpserver"
	"github.com/ridgehinge/ridgehinge/internal/invariant"
	"github.com/ridgehinge/ridgehinge/internal/metrics"
	"github.com/ridgehinge/ridgehinge/internal/upstream"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// outcome is how a request ended, for logs and metrics.
type outcome string

const (
	outcomeServed  outcome = "served"
	outcomeFailed  outcome = "failed"
	outcomeRefused outcome = "refused"
	outcomeBroken  outcome = "broken"
	outcomeGone    outcome = "gone"
	outcomeInvalid outcome = "invalid"
)

// call is one request on its way.
type call struct {
	*Relay
	in        *Request
	out       Responder
	attrs     Attributes
	view      *directory.View
	route     *serving.Route
	service   string
	workspace string
	class     *metrics.Class
	start     time.Time
	// deadline is when the caller, or the route's bound, gives up.
	deadline time.Time
	// sends counts the endpoints that the request was sent to, and turnedDown
	// those of them that said that they did not run it.
	sends      int
	turnedDown int
	mayHaveRun bool
	failed     []serving.EndpointID
	// begun is set once a part of the answer has left.
	begun     bool
	lastEvent string
	events    int
	outcome   outcome
	// failure is an endpoint's own failure, to be passed on if no other
	// endpoint does better.
	failure *wholeAnswer
}

// Serve runs one request and answers it. The context ends, with
// httpserver.ErrGone as its cause, when nobody waits any more.
func (r *Relay) Serve(ctx context.Context, in *Request, out Responder) {
	r.seen.Store(true)
	progress := r.inProgress.Add(1)
	defer r.inProgress.Add(-1)
	c := &call{Relay: r, in: in, out: out, start: time.Now(), view: r.options.View()}
	var err error
	if c.attrs, err = r.options.Wire.Attributes(in.Header); err != nil {
		c.invalid(http.StatusBadRequest, err.Error())
		return
	}
	if !c.check() {
		return
	}
	c.class = r.class(c.workspace, c.service)
	if progress > int64(r.options.MaxRequests) {
		c.refuse(refusal{cause: "this node has too many requests in progress", after: overloadReturn})
		return
	}
	if r.draining.Load() {
		c.refuse(refusal{cause: "this node is stopping", after: stoppingReturn})
		return
	}
	ctx, cancel := withLimit(ctx, c.deadline)
	defer cancel()
	c.lastEvent = c.attrs.LastEvent
	r.options.Budget.Request(c.service, c.start)
	c.attemptAll(ctx)
	c.class.Total.RecordDuration(time.Since(c.start))
	c.class.Outcome(string(c.outcome))
}

// Times after which callers may come back.
const (
	// unreadyReturn is for a node that knows no configuration yet.
	unreadyReturn = 500 * time.Millisecond
	// stoppingReturn is for a node that stops: others serve.
	stoppingReturn = 50 * time.Millisecond
	// overloadReturn and noTargetReturn leave time for others to finish, or
	// for a group to be repaired.
	overloadReturn = 300 * time.Millisecond
	noTargetReturn = 300 * time.Millisecond
)

// check finds the route and the workspace, and says no where it must.
func (c *call) check() bool {
	configuration := c.view.Configuration
	if configuration == nil {
		c.refuse(refusal{cause: "no configuration is known yet", after: unreadyReturn})
		return false
	}
	c.route = configuration.Match(c.in.Host, c.in.Path)
	if c.route == nil {
		c.invalid(http.StatusNotFound, "no route has this host and path")
		return false
	}
	if configuration.Workspaces != nil && !c.route.Public {
		workspace, ok := configuration.Workspaces[c.attrs.Key]
		if !ok {
			c.invalid(http.StatusUnauthorized, "no workspace has this key")
			return false
		}
		c.workspace = workspace.Name
	}
	c.service = c.route.Service(xxh3.HashString(c.attrs.ID))
	left := c.route.Timeout
	if c.attrs.HasDeadline && c.attrs.Left < left || left <= 0 {
		left = c.attrs.Left
	}
	c.deadline = c.start.Add(left)
	return true
}

// target is where a request goes.
type target struct {
	*serving.Endpoint
	predicted Prediction
}

// refusal is why a request has no target, and when its caller may come back.
type refusal struct {
	cause string
	after time.Duration
	// choice is what was known of the groups.
	choice Choice
}

// Causes of requests that are given up.
const (
	causeNoEndpoint = "no endpoint"
	causeNoGroup    = "no group is open"
	causeFull       = "all groups are full"
	causeSuspected  = "the groups left are silent or incomplete"
	causeAttempts   = "attempts used up"
	causeBudget     = "retry budget used up"
	causeOnce       = "it may not run twice"
	causeDeadline   = "deadline"
)

// choose picks an endpoint, or tells why there is none.
func (c *call) choose(now time.Time) (target, refusal) {
	view := c.options.View()
	service := view.Configuration.Services[c.service]
	if service.Engine == nil {
		e, ok := c.options.Balancer.ChoosePlain(view.Plain[c.service], c.failed, now)
		if !ok {
			return target{}, refusal{cause: causeNoEndpoint, after: noTargetReturn}
		}
		return target{Endpoint: e}, refusal{}
	}
	heads := view.Heads[directory.Pool{Service: c.service, Model: c.attrs.Model}]
	choice := c.options.Balancer.ChooseHead(heads, c.size(), c.failed, c.sends > 0, now)
	if choice.Head != nil {
		return target{choice.Head.Endpoint, choice.Predicted}, refusal{}
	}
	no := refusal{cause: causeSuspected, after: noTargetReturn, choice: choice}
	switch {
	case choice.Groups == 0:
		no.cause = causeNoGroup
	case choice.Full > 0:
		no.cause = causeFull
		no.after = overloadReturn
	}
	return target{}, no
}

const (
	// resumeWait is how long a stream that broke waits for another endpoint:
	// a repair by a warm spare takes about as long, and its caller waits for
	// two seconds between events at least.
	resumeWait = 1500 * time.Millisecond
	resumePoll = 50 * time.Millisecond
)

// await picks an endpoint. A stream that was under way at another endpoint
// waits a little for one.
func (c *call) await(ctx context.Context) (target, refusal) {
	t, no := c.choose(time.Now())
	if t.Endpoint != nil || c.sends == 0 || c.route.Kind != serving.KindStream {
		return t, no
	}
	limit := time.NewTimer(resumeWait)
	defer limit.Stop()
	ticker := time.NewTicker(resumePoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return target{}, no
		case <-limit.C:
			return target{}, no
		case now := <-ticker.C:
			if t, no = c.choose(now); t.Endpoint != nil {
				return t, no
			}
		}
	}
}

func (c *call) size() Size {
	return Size{Prompt: c.attrs.PromptTokens, Answer: c.attrs.AnswerTokens()}
}

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

// attemptAll tries endpoints until the request is answered or given up.
func (c *call) attemptAll(ctx context.Context) {
	for {
		if ctx.Err() != nil {
			c.ended(ctx)
			return
		}
		if c.attemptsUsed() {
			c.giveUp(refusal{cause: causeAttempts, after: noTargetReturn})
			return
		}
		t, no := c.await(ctx)
		if t.Endpoint == nil && ctx.Err() != nil {
			c.ended(ctx)
			return
		}
		if t.Endpoint == nil {
			c.giveUp(no)
			return
		}
		if c.sends > 0 && !c.options.Budget.Repeat(c.service, time.Now()) {
			c.giveUp(refusal{cause: causeBudget, after: noTargetReturn})
			return
		}
		switch c.attempt(ctx, t) {
		case resultDone:
			return
		case resultBroken, resultFailed:
			if !c.route.Repeatable() {
				c.giveUp(refusal{cause: causeOnce})
				return
			}
		}
		c.failed = append(c.failed, t.ID)
	}
}

// maxTurnedDown bounds the endpoints that may turn a request down beside its
// route's attempts.
const maxTurnedDown = 2

// attemptsUsed reports whether the request may be sent no more. An endpoint
// that did not run it does not count as an attempt, within a bound.
func (c *call) attemptsUsed() bool {
	return c.sends-min(c.turnedDown, maxTurnedDown) >= c.route.MaxAttempts
}

// ended answers a request whose context has ended.
func (c *call) ended(ctx context.Context) {
	if errors.Is(context.Cause(ctx), httpserver.ErrGone) {
		c.outcome = outcomeGone
		c.out.Cut()
		return
	}
	c.giveUp(refusal{cause: causeDeadline, after: noTargetReturn})
}

// giveUp gives the final answer of a request that no endpoint answered.
func (c *call) giveUp(no refusal) {
	switch {
	case c.begun:
		c.outcome = outcomeBroken
		c.out.Cut()
	case c.failure != nil:
		c.pass(c.failure)
		return
	case !c.mayHaveRun:
		c.refuse(no)
		return
	case no.cause == causeDeadline:
		c.answer(http.StatusGatewayTimeout, "the answer did not come in time", 0)
		c.outcome = outcomeFailed
	default:
		c.answer(http.StatusBadGateway, "the endpoint's answer broke off; the request may have run", 0)
		c.outcome = outcomeFailed
	}
	c.logEnd(no)
}

func (c *call) logEnd(no refusal) {
	route := ""
	if c.route != nil {
		route = c.route.Name
	}
	c.log.Info("a request was not served", "request", c.attrs.ID, "route", route, "model", c.attrs.Model, "workspace", c.workspace,
		"outcome", string(c.outcome), "cause", no.cause, "return_after", no.after, "sends", c.sends, "may_have_run", c.mayHaveRun, "events", c.events,
		"failed", c.failed, "took", time.Since(c.start), "configuration", c.configurationVersion(),
		"groups", no.choice.Groups, "full", no.choice.Full, "suspected", no.choice.Suspected, "incomplete", no.choice.Incomplete)
}

// refuse answers a request that has not run and never will.
func (c *call) refuse(no refusal) {
	invariant.Check(!c.mayHaveRun, invariant.NotRun, "request %s, %s", c.attrs.ID, no.cause)
	c.outcome = outcomeRefused
	c.answer(http.StatusServiceUnavailable, no.cause, no.after)
	c.logEnd(no)
}

// invalid answers a request that the configuration does not allow.
func (c *call) invalid(status int, cause string) {
	c.outcome = outcomeInvalid
	c.answer(status, cause, 0)
	c.log.Info("a request was turned away", "request", c.attrs.ID, "status", status, "cause", cause,
		"host", c.in.Host, "path", c.in.Path, "configuration", c.configurationVersion())
}

func (c *call) configurationVersion() uint64 {
	if c.view.Configuration == nil {
		return 0
	}
	return c.view.Configuration.Version
}

// answer sends an answer that no endpoint gave.
func (c *call) answer(status int, text string, returnAfter time.Duration) {
	body := fmt.Appendf(nil, "{\"error\":%q}\n", text)
	header := c.options.Wire.OwnAnswer(c.attrs.ID, returnAfter)
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	c.begin(status, header)
	_ = c.out.Write(body)
	c.out.End()
}

func (c *call) begin(status int, header http.Header) {
	if c.stopping.Load() {
		header.Set("Connection", "close")
	}
	c.begun = true
	c.out.Begin(status, header)
}

// attempt runs the request once on an endpoint.
func (c *call) attempt(ctx context.Context, t target) result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	now := time.Now()
	invariant.Check(c.route.Repeatable() || !c.mayHaveRun, invariant.AtMostOnce, "request %s at %s", c.attrs.ID, t.ID)
	invariant.Check(!t.Leaving, invariant.NoNewWork, "request %s at %s", c.attrs.ID, t.ID)
	flight := c.options.Balancer.begin(t.ID, c.size(), now)
	defer flight.end()
	stop := c.watch(cancel, flight)
	defer stop()
	response, err := c.options.Upstream.Send(ctx, upstream.Request{
		Address: t.Address,
		Method:  c.in.Method,
		URI:     c.in.URI,
		Host:    c.in.Host,
		Header: c.options.Wire.Outgoing(c.in.Header, Sending{
			Endpoint:  t.ID,
			Left:      c.deadline.Sub(now) - wayBack,
			Workspace: c.workspace,
			LastEvent: c.lastEvent,
			Urgent:    c.sends > 0,
		}),
		Body: c.in.Body,
	}, func(h http.Header) bool { return c.options.Wire.Verdict(h).ID == c.attrs.ID })
	if errors.Is(err, upstream.ErrNotSent) {
		c.options.Balancer.Suspect(t.ID, time.Now())
		c.logAttempt(t, "not sent", err)
		return c.orEnded(ctx, resultNotRun)
	}
	c.sends++
	if err != nil {
		c.mayHaveRun = true
		c.logAttempt(t, "no answer", errors.Join(err, context.Cause(ctx)))
		return c.orEnded(ctx, resultBroken)
	}
	defer response.Close()
	return c.judge(ctx, t, flight, response)
}

// wayBack is taken off the time that an endpoint is given, for the answer's
// way back.
const wayBack = 10 * time.Millisecond

// orEnded answers the request if its own time is over.
func (c *call) orEnded(ctx context.Context, r result) result {
	cause := context.Cause(ctx)
	if cause == nil || errors.Is(cause, errStalled) {
		return r
	}
	c.ended(ctx)
	return resultDone
}

// judge reads an answer's head and passes the answer on if it is one.
func (c *call) judge(ctx context.Context, t target, flight *flight, response *upstream.Response) result {
	verdict := c.options.Wire.Verdict(response.Header)
	if verdict.NotRun || response.Status == http.StatusMisdirectedRequest {
		return c.turnedAway(t, verdict, response)
	}
	c.mayHaveRun = true
	if !verdict.Signed || response.Header.Get("Content-Encoding") != "" {
		c.logAttempt(t, "an answer that is not the endpoint's", fmt.Errorf("status %d", response.Status))
		return resultBroken
	}
	if response.Status == http.StatusOK && c.route.Kind == serving.KindStream {
		return c.passStream(ctx, t, flight, response)
	}
	return c.passWhole(ctx, t, flight, response)
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
	c.log.Info("an attempt failed", "request", c.attrs.ID, "endpoint", string(t.ID), "address", t.Address, "group", t.Membership.Group,
		"epoch", t.Membership.Epoch, "what", what, "error", err, "events", c.events, "after", time.Since(c.start))
}

// stallCheck is how often an endpoint's silence is looked at.
const stallCheck = 200 * time.Millisecond

// watch ends a try at an endpoint that has fallen silent on all of its
// requests, if the request may go on elsewhere. Silence alone is no ground to
// end an answer for good.
func (c *call) watch(cancel context.CancelCauseFunc, f *flight) (stop func()) {
	if c.route.Kind != serving.KindStream || !c.route.Repeatable() || c.sends+1-c.turnedDown >= c.route.MaxAttempts {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(stallCheck)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case now := <-ticker.C:
				if f.silence(now) > c.options.StallAfter {
					c.options.Balancer.Suspect(f.endpoint, now)
					cancel(errStalled)
					return
				}
			}
		}
	}()
	return func() { close(done) }
}
