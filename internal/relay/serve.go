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
	"github.com/ridgehinge/ridgehinge/pkg/quarantine"
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
	// content is the same for all tries of a caller with one request.
	content quarantine.Fingerprint
	class   *metrics.Class
	start   time.Time
	// suspended is for how long the machine had been suspended in all at the start.
	suspended time.Duration
	// deadline is when the caller, or the route's bound, gives up.
	deadline time.Time
	// sends counts the endpoints that the request was sent to, and rejections those of them
	// that said that they did not run it.
	sends      int
	rejections int
	// shed is set once an endpoint has rejected the request and asked for a cooldown.
	shed bool
	// charge is what the attempt under way took of the retry budget.
	charge     Charge
	mayHaveRun bool
	failed     []serving.EndpointID
	// crashProbe is closed when it is known why the last attempt broke off.
	crashProbe <-chan struct{}
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
// httpserver.ErrClientGone as its cause, when nobody waits any more.
func (r *Relay) Serve(ctx context.Context, in *Request, out Responder) {
	r.seen.Store(true)
	progress := r.inProgress.Add(1)
	defer r.inProgress.Add(-1)
	c := &call{Relay: r, in: in, out: out, start: time.Now(), suspended: r.options.Clock.Suspended(), view: r.options.View()}
	var err error
	if c.attrs, err = r.options.Wire.Attributes(in.Header); err != nil {
		c.invalid(http.StatusBadRequest, err.Error())
		return
	}
	c.awaitView(ctx)
	if !c.check() {
		return
	}
	c.class = r.class(c.workspace, c.service)
	c.noteDemand()
	if progress > int64(r.options.MaxRequests) {
		c.refuse(refusal{cause: "this node has too many requests in progress", after: r.options.Balancer.weights.OverloadRetryAfter})
		return
	}
	if r.draining.Load() {
		c.refuse(refusal{cause: "this node is stopping", after: stoppingRetryAfter})
		return
	}
	ctx, cancel := withLimit(ctx, c.deadline)
	defer cancel()
	c.lastEvent = c.attrs.LastEvent
	r.options.Budget.RecordRequest(c.service, c.start)
	c.attemptAll(ctx)
	c.class.Total.RecordDuration(time.Since(c.start))
	c.class.Outcome(string(c.outcome))
}

// Times after which callers may come back.
const (
	// unreadyRetryAfter is for a node that knows no configuration yet.
	unreadyRetryAfter = 500 * time.Millisecond
	// stoppingRetryAfter is for a node that stops: others serve.
	stoppingRetryAfter = 50 * time.Millisecond
	// quarantineRetryAfter is when a request that ends endpoints may be tried again: its
	// caller's next tries would be refused as well.
	quarantineRetryAfter = quarantine.TrialDelay
	// defaultRetryAfter leaves time for a group to be repaired.
	defaultRetryAfter = 300 * time.Millisecond
)

const (
	// startWait is how long a request waits for what a node that has just started
	// does not know yet: it reads the configuration and the endpoints in 0.1 s, and a
	// caller that is told to come back is late for objectives of 250 ms. A node that
	// has not read them within startSpan refuses at once.
	startWait = 200 * time.Millisecond
	startSpan = time.Second
	startPoll = 5 * time.Millisecond
)

// awaitView waits a little for what a node that has just started does not know yet.
func (c *call) awaitView(ctx context.Context) {
	if c.start.Sub(c.began) > startSpan {
		return
	}
	ticker := time.NewTicker(startPoll)
	defer ticker.Stop()
	for !isKnown(c.view) && ctx.Err() == nil && time.Since(c.start) < startWait {
		<-ticker.C
		c.view = c.options.View()
	}
}

// isKnown reports whether a view has what requests are sent by.
func isKnown(v *directory.View) bool { return v.Configuration != nil && len(v.Endpoints) > 0 }

// check finds the route and the workspace, and says no where it must.
func (c *call) check() bool {
	configuration := c.view.Configuration
	if configuration == nil {
		c.refuse(refusal{cause: "no configuration is known yet", after: unreadyRetryAfter})
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
	c.content = c.fingerprint()
	left := c.route.Timeout
	if c.attrs.HasDeadline && c.attrs.Remaining < left || left <= 0 {
		left = c.attrs.Remaining
	}
	c.deadline = c.start.Add(left)
	return true
}

// fingerprint returns what the request is known by when its caller sends it again, with
// another id and at another node.
func (c *call) fingerprint() quarantine.Fingerprint {
	caller := c.workspace
	if caller == "" {
		caller = c.attrs.Key
	}
	return quarantine.FingerprintOf([]byte(caller), []byte(c.in.Host), []byte(c.in.Method), []byte(c.in.URI), c.in.Body)
}

// noteDemand counts the work that the request asks for.
func (c *call) noteDemand() {
	engine := c.view.Configuration.Services[c.service].Engine
	if engine == nil {
		return
	}
	if model, ok := engine.Model(c.attrs.Model); ok {
		c.options.Demand.RecordRequest(directory.Pool{Service: c.service, Model: model.Name}, work(engine, model, c.size()), c.start)
	}
}

// noteInTime counts whether a request got its first event in time.
func (c *call) noteInTime(inTime bool, now time.Time) {
	if c.view.Configuration.Services[c.service].Engine != nil {
		c.options.Demand.RecordOutcome(directory.Pool{Service: c.service, Model: c.attrs.Model}, inTime, now)
	}
}

// leastTime is what must be left for a request to be sent: less than the way
// there and back only makes work whose answer nobody waits for.
const leastTime = 2 * wayBack

// attemptAll tries endpoints until the request is answered or given up.
func (c *call) attemptAll(ctx context.Context) {
	for {
		if ctx.Err() != nil {
			c.ended(ctx)
			return
		}
		if c.attemptsUsed() {
			c.giveUp(refusal{cause: causeAttempts, after: c.retryAfterAttempts()})
			return
		}
		if c.left() < leastTime {
			c.giveUp(refusal{cause: causeDeadline, after: defaultRetryAfter})
			return
		}
		if !c.admitted(ctx) {
			c.giveUp(refusal{cause: causeQuarantine, after: quarantineRetryAfter})
			return
		}
		t, no := c.await(ctx)
		if t.Endpoint == nil && ctx.Err() != nil {
			c.ended(ctx)
			return
		}
		if t.Endpoint == nil {
			// A cooldown is this node's own: others may be served by the same groups, so it
			// is no demand for more of them.
			if no.cause == causeFull || no.cause == causeLimited {
				c.noteInTime(false, time.Now())
			}
			c.giveUp(no)
			return
		}
		if !c.chargeRetry() {
			c.giveUp(refusal{cause: causeBudget, after: c.retryAfterAttempts()})
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

// retryAfterAttempts is when a caller may come back whose request is sent no more. What
// endpoints rejected to shed load may be served at once through another node, to which they
// have not said so; after other failures a group may have to be repaired.
func (c *call) retryAfterAttempts() time.Duration {
	if c.shed {
		return c.options.Balancer.weights.OverloadRetryAfter
	}
	return defaultRetryAfter
}

// chargeRetry takes a retry out of the budget, and reports whether there was one. A first
// attempt needs none.
func (c *call) chargeRetry() bool {
	if c.sends == 0 {
		return true
	}
	charge, granted := c.options.Budget.AcquireRetry(c.service, time.Now())
	c.charge = charge
	if !granted {
		c.logBudget()
	}
	return granted
}

// admitted reports whether the request may be sent to an endpoint. It is asked before each
// attempt: others may have found meanwhile that the request ends those that run it.
func (c *call) admitted(ctx context.Context) bool {
	c.crashes.AwaitProbe(ctx, c.content, c.crashProbe)
	known, admitted := c.options.Quarantine.Allowed(c.content, time.Now())
	if !admitted {
		c.log.Info("a request is not sent, being in quarantine", "request", c.attrs.ID, "content", c.content,
			"ends", len(known.Crashes), "last_age", time.Since(known.Crashes[len(known.Crashes)-1].At), "tried", known.TrialUsed)
	}
	return admitted
}

// left is how much time the request has. Its caller has waited also while this machine was
// suspended; that is looked at before anything is sent once more.
func (c *call) left() time.Duration {
	suspended := c.options.Clock.Suspended()
	if c.sends > 0 {
		suspended = c.options.Clock.Refresh()
	}
	return time.Until(c.deadline) - (suspended - c.suspended)
}

// maxRejections bounds the endpoints that may reject a request beside its route's attempts.
const maxRejections = 2

// attemptsUsed reports whether the request may be sent no more. An endpoint
// that did not run it does not count as an attempt, within a bound.
func (c *call) attemptsUsed() bool {
	return c.sends-min(c.rejections, maxRejections) >= c.route.MaxAttempts
}

// ended answers a request whose context has ended.
func (c *call) ended(ctx context.Context) {
	if errors.Is(context.Cause(ctx), httpserver.ErrClientGone) {
		c.outcome = outcomeGone
		c.out.Abort()
		return
	}
	c.giveUp(refusal{cause: causeDeadline, after: defaultRetryAfter})
}

// giveUp gives the final answer of a request that no endpoint answered.
func (c *call) giveUp(no refusal) {
	switch {
	case c.begun:
		c.outcome = outcomeBroken
		c.out.Abort()
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

// logBudget logs by what a repeat was refused.
func (c *call) logBudget() {
	s := c.options.Budget.State(c.service, time.Now())
	c.log.Info("the retry budget is used up", "request", c.attrs.ID, "service", c.service, "repeats", s.Retries, "earned", s.Earned, "slack", s.Slack,
		"requests", s.Requests, "nodes", s.Nodes, "age", s.Age)
}

func (c *call) logEnd(no refusal) {
	route := ""
	if c.route != nil {
		route = c.route.Name
	}
	c.log.Info("a request was not served", "request", c.attrs.ID, "content", c.content, "route", route, "model", c.attrs.Model, "workspace", c.workspace,
		"outcome", string(c.outcome), "cause", no.cause, "retry_after", no.after, "sends", c.sends, "may_have_run", c.mayHaveRun, "events", c.events,
		"failed", c.failed, "took", time.Since(c.start), "configuration", c.configurationVersion(),
		"groups", no.choice.Groups, "full", no.choice.Full, "late", no.choice.Late, "suspected", no.choice.Suspected, "incomplete", no.choice.Incomplete, "limited", no.choice.Limited, "cooling_down", no.choice.CoolingDown, "draining", no.choice.Draining)
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
	c.log.Info("request rejected as invalid", "request", c.attrs.ID, "status", status, "cause", cause,
		"host", c.in.Host, "path", c.in.Path, "configuration", c.configurationVersion())
}

func (c *call) configurationVersion() uint64 {
	if c.view.Configuration == nil {
		return 0
	}
	return c.view.Configuration.Version
}

// answer sends an answer that no endpoint gave.
func (c *call) answer(status int, text string, retryAfter time.Duration) {
	body := fmt.Appendf(nil, "{\"error\":%q}\n", text)
	header := c.options.Wire.OwnAnswer(c.attrs.ID, retryAfter)
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
