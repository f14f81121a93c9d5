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
	outcomeServed     outcome = "served"
	outcomeFailed     outcome = "failed"
	outcomeRejected   outcome = "refused"
	outcomeIncomplete outcome = "broken"
	outcomeClientGone outcome = "gone"
	outcomeInvalid    outcome = "invalid"
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
	fingerprint quarantine.Fingerprint
	class       *metrics.Class
	start       time.Time
	// suspended is for how long the machine had been suspended in all at the start.
	suspended time.Duration
	// deadline is when the caller, or the route's bound, gives up.
	deadline time.Time
	// sends counts the endpoints that the request was sent to, and rejections those of them
	// that said that they did not run it.
	attempts   int
	rejections int
	// shed is set once an endpoint has rejected the request and asked for a cooldown.
	wasShed bool
	// charge is what the attempt under way took of the retry budget.
	charge     Charge
	mayHaveRun bool
	failed     []serving.EndpointID
	// crashProbe is closed when it is known why the last attempt broke off.
	crashProbe <-chan struct{}
	// begun is set once a part of the answer has left.
	responseStarted bool
	lastEvent       string
	events          int
	outcome         outcome
	// failure is an endpoint's own failure, to be passed on if no other
	// endpoint does better.
	endpointFailure *bufferedResponse
}

// Serve runs one request and answers it. The context ends, with
// httpserver.ErrGone as its cause, when nobody waits any more.
func (r *Relay) Serve(ctx context.Context, in *Request, out Responder) {
	r.hasRequests.Store(true)
	current := r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	c := &call{Relay: r, in: in, out: out, start: time.Now(), suspended: r.options.Clock.Suspended(), view: r.options.View()}
	var err error
	if c.attrs, err = r.options.Wire.Attributes(in.Header); err != nil {
		c.rejectInvalid(http.StatusBadRequest, err.Error())
		return
	}
	c.awaitView(ctx)
	if !c.resolve() {
		return
	}
	c.class = r.class(c.workspace, c.service)
	c.recordDemand()
	if current > int64(r.options.MaxRequests) {
		c.reject(rejection{cause: "this node has too many requests in progress", retryAfter: r.options.Balancer.weights.OverloadRetryAfter})
		return
	}
	if r.draining.Load() {
		c.reject(rejection{cause: "this node is stopping", retryAfter: drainingRetryAfter})
		return
	}
	ctx, cancel := withDeadline(ctx, c.deadline)
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
	// drainingRetryAfter is for a node that stops: others serve.
	drainingRetryAfter = 50 * time.Millisecond
	// quarantineRetryAfter is when a request that ends endpoints may be tried again: its
	// caller's next tries would be refused as well.
	quarantineRetryAfter = quarantine.TrialDelay
	// defaultRetryAfter leaves time for a group to be repaired.
	defaultRetryAfter = 300 * time.Millisecond
)

const (
	// viewWait is how long a request waits for what a node that has just started
	// does not know yet: it reads the configuration and the endpoints in 0.1 s, and a
	// caller that is told to come back is late for objectives of 250 ms. A node that
	// has not read them within startSpan refuses at once.
	viewWait         = 200 * time.Millisecond
	startupPeriod    = time.Second
	viewPollInterval = 5 * time.Millisecond
)

// awaitView waits a little for what a node that has just started does not know yet.
func (c *call) awaitView(ctx context.Context) {
	if c.start.Sub(c.startedAt) > startupPeriod {
		return
	}
	ticker := time.NewTicker(viewPollInterval)
	defer ticker.Stop()
	for !isViewReady(c.view) && ctx.Err() == nil && time.Since(c.start) < viewWait {
		<-ticker.C
		c.view = c.options.View()
	}
}

// isViewReady reports whether a view has what requests are sent by.
func isViewReady(v *directory.View) bool { return v.Configuration != nil && len(v.Endpoints) > 0 }

// resolve finds the route and the workspace, and says no where it must.
func (c *call) resolve() bool {
	configuration := c.view.Configuration
	if configuration == nil {
		c.reject(rejection{cause: "no configuration is known yet", retryAfter: unreadyRetryAfter})
		return false
	}
	c.route = configuration.Match(c.in.Host, c.in.Path)
	if c.route == nil {
		c.rejectInvalid(http.StatusNotFound, "no route has this host and path")
		return false
	}
	if configuration.Workspaces != nil && !c.route.Public {
		workspace, ok := configuration.Workspaces[c.attrs.Key]
		if !ok {
			c.rejectInvalid(http.StatusUnauthorized, "no workspace has this key")
			return false
		}
		c.workspace = workspace.Name
	}
	c.service = c.route.Service(xxh3.HashString(c.attrs.ID))
	c.fingerprint = c.computeFingerprint()
	timeout := c.route.Timeout
	if c.attrs.HasDeadline && c.attrs.Remaining < timeout || timeout <= 0 {
		timeout = c.attrs.Remaining
	}
	c.deadline = c.start.Add(timeout)
	return true
}

// computeFingerprint returns what the request is known by when its caller sends it again, with
// another id and at another node.
func (c *call) computeFingerprint() quarantine.Fingerprint {
	caller := c.workspace
	if caller == "" {
		caller = c.attrs.Key
	}
	return quarantine.FingerprintOf([]byte(caller), []byte(c.in.Host), []byte(c.in.Method), []byte(c.in.URI), c.in.Body)
}

// recordDemand counts the work that the request asks for.
func (c *call) recordDemand() {
	engine := c.view.Configuration.Services[c.service].Engine
	if engine == nil {
		return
	}
	if model, ok := engine.Model(c.attrs.Model); ok {
		c.options.Demand.RecordRequest(directory.Pool{Service: c.service, Model: model.Name}, estimateWork(engine, model, c.size()), c.start)
	}
}

// recordInTime counts whether a request got its first event in time.
func (c *call) recordInTime(inTime bool, now time.Time) {
	if c.view.Configuration.Services[c.service].Engine != nil {
		c.options.Demand.RecordOutcome(directory.Pool{Service: c.service, Model: c.attrs.Model}, inTime, now)
	}
}

// minRemaining is what must be left for a request to be sent: less than the way
// there and back only makes work whose answer nobody waits for.
const minRemaining = 2 * responseMargin

// attemptAll tries endpoints until the request is answered or given up.
func (c *call) attemptAll(ctx context.Context) {
	for {
		if ctx.Err() != nil {
			c.handleContextDone(ctx)
			return
		}
		if c.attemptsUsed() {
			c.finishUnserved(rejection{cause: causeAttempts, retryAfter: c.retryAfterAttempts()})
			return
		}
		if c.remaining() < minRemaining {
			c.finishUnserved(rejection{cause: causeDeadline, retryAfter: defaultRetryAfter})
			return
		}
		if !c.isAllowed(ctx) {
			c.finishUnserved(rejection{cause: causeQuarantine, retryAfter: quarantineRetryAfter})
			return
		}
		t, reason := c.awaitTarget(ctx)
		if t.Endpoint == nil && ctx.Err() != nil {
			c.handleContextDone(ctx)
			return
		}
		if t.Endpoint == nil {
			// A cooldown is this node's own: others may be served by the same groups, so it
			// is no demand for more of them.
			if reason.cause == causeFull || reason.cause == causeLimited {
				c.recordInTime(false, time.Now())
			}
			c.finishUnserved(reason)
			return
		}
		if !c.chargeRetry() {
			c.finishUnserved(rejection{cause: causeBudget, retryAfter: c.retryAfterAttempts()})
			return
		}
		switch c.attempt(ctx, t) {
		case resultDone:
			return
		case resultIncomplete, resultFailed:
			if !c.route.Repeatable() {
				c.finishUnserved(rejection{cause: causeOnce})
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
	if c.wasShed {
		return c.options.Balancer.weights.OverloadRetryAfter
	}
	return defaultRetryAfter
}

// chargeRetry takes a retry out of the budget, and reports whether there was one. A first
// attempt needs none.
func (c *call) chargeRetry() bool {
	if c.attempts == 0 {
		return true
	}
	charge, granted := c.options.Budget.AcquireRetry(c.service, time.Now())
	c.charge = charge
	if !granted {
		c.logBudget()
	}
	return granted
}

// isAllowed reports whether the request may be sent to an endpoint. It is asked before each
// attempt: others may have found meanwhile that the request ends those that run it.
func (c *call) isAllowed(ctx context.Context) bool {
	c.crashes.AwaitProbe(ctx, c.fingerprint, c.crashProbe)
	known, isAllowed := c.options.Quarantine.Allowed(c.fingerprint, time.Now())
	if !isAllowed {
		c.log.Info("a request is not sent, being in quarantine", "request", c.attrs.ID, "content", c.fingerprint,
			"ends", len(known.Crashes), "last_age", time.Since(known.Crashes[len(known.Crashes)-1].At), "tried", known.TrialUsed)
	}
	return isAllowed
}

// remaining is how much time the request has. Its caller has waited also while this machine was
// suspended; that is looked at before anything is sent once more.
func (c *call) remaining() time.Duration {
	suspended := c.options.Clock.Suspended()
	if c.attempts > 0 {
		suspended = c.options.Clock.Refresh()
	}
	return time.Until(c.deadline) - (suspended - c.suspended)
}

// maxRejections bounds the endpoints that may reject a request beside its route's attempts.
const maxRejections = 2

// attemptsUsed reports whether the request may be sent no more. An endpoint
// that did not run it does not count as an attempt, within a bound.
func (c *call) attemptsUsed() bool {
	return c.attempts-min(c.rejections, maxRejections) >= c.route.MaxAttempts
}

// handleContextDone answers a request whose context has handleContextDone.
func (c *call) handleContextDone(ctx context.Context) {
	if errors.Is(context.Cause(ctx), httpserver.ErrClientGone) {
		c.outcome = outcomeClientGone
		c.out.Abort()
		return
	}
	c.finishUnserved(rejection{cause: causeDeadline, retryAfter: defaultRetryAfter})
}

// finishUnserved gives the final answer of a request that no endpoint answered.
func (c *call) finishUnserved(reason rejection) {
	switch {
	case c.responseStarted:
		c.outcome = outcomeIncomplete
		c.out.Abort()
	case c.endpointFailure != nil:
		c.sendBuffered(c.endpointFailure)
		return
	case !c.mayHaveRun:
		c.reject(reason)
		return
	case reason.cause == causeDeadline:
		c.respond(http.StatusGatewayTimeout, "the answer did not come in time", 0)
		c.outcome = outcomeFailed
	default:
		c.respond(http.StatusBadGateway, "the endpoint's answer broke off; the request may have run", 0)
		c.outcome = outcomeFailed
	}
	c.logUnserved(reason)
}

// logBudget logs by what a repeat was refused.
func (c *call) logBudget() {
	s := c.options.Budget.State(c.service, time.Now())
	c.log.Info("the retry budget is used up", "request", c.attrs.ID, "service", c.service, "repeats", s.Retries, "earned", s.Earned, "slack", s.Slack,
		"requests", s.Requests, "nodes", s.Nodes, "age", s.Age)
}

func (c *call) logUnserved(reason rejection) {
	route := ""
	if c.route != nil {
		route = c.route.Name
	}
	c.log.Info("a request was not served", "request", c.attrs.ID, "content", c.fingerprint, "route", route, "model", c.attrs.Model, "workspace", c.workspace,
		"outcome", string(c.outcome), "cause", reason.cause, "retry_after", reason.retryAfter, "sends", c.attempts, "may_have_run", c.mayHaveRun, "events", c.events,
		"failed", c.failed, "took", time.Since(c.start), "configuration", c.configurationVersion(),
		"groups", reason.choice.Groups, "full", reason.choice.Full, "late", reason.choice.Late, "suspected", reason.choice.Suspected, "incomplete", reason.choice.Incomplete, "limited", reason.choice.Limited, "cooling_down", reason.choice.CoolingDown, "draining", reason.choice.Draining)
}

// reject answers a request that has not run and never will.
func (c *call) reject(reason rejection) {
	invariant.Check(!c.mayHaveRun, invariant.NotRun, "request %s, %s", c.attrs.ID, reason.cause)
	c.outcome = outcomeRejected
	c.respond(http.StatusServiceUnavailable, reason.cause, reason.retryAfter)
	c.logUnserved(reason)
}

// rejectInvalid answers a request that the configuration does not allow.
func (c *call) rejectInvalid(status int, cause string) {
	c.outcome = outcomeInvalid
	c.respond(status, cause, 0)
	c.log.Info("request rejected as invalid", "request", c.attrs.ID, "status", status, "cause", cause,
		"host", c.in.Host, "path", c.in.Path, "configuration", c.configurationVersion())
}

func (c *call) configurationVersion() uint64 {
	if c.view.Configuration == nil {
		return 0
	}
	return c.view.Configuration.Version
}

// respond sends an respond that no endpoint gave.
func (c *call) respond(status int, text string, retryAfter time.Duration) {
	body := fmt.Appendf(nil, "{\"error\":%q}\n", text)
	header := c.options.Wire.OwnAnswer(c.attrs.ID, retryAfter)
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	c.beginResponse(status, header)
	_ = c.out.Write(body)
	c.out.End()
}

func (c *call) beginResponse(status int, header http.Header) {
	if c.closeConnections.Load() {
		header.Set("Connection", "close")
	}
	c.responseStarted = true
	c.out.Begin(status, header)
}
