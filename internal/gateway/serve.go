package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/xid"

	"github.com/ridgehinge/ridgehinge/internal/claims"
	"github.com/ridgehinge/ridgehinge/internal/httpserver"
	"github.com/ridgehinge/ridgehinge/internal/logging"
	"github.com/ridgehinge/ridgehinge/internal/metrics"
	"github.com/ridgehinge/ridgehinge/pkg/admission"
	"github.com/ridgehinge/ridgehinge/pkg/claim"
	"github.com/ridgehinge/ridgehinge/pkg/quarantine"
	"github.com/ridgehinge/ridgehinge/pkg/routing"
)

// Causes of a request context's cancellation.
var (
	// ErrCallerGone means that the caller disconnected.
	ErrCallerGone = httpserver.ErrCallerGone
	errDeadline   = errors.New("the deadline has passed")
	errStalled    = errors.New("the group became incomplete or stalled during the response")
	errStopped    = errors.New("this entry instance has stopped")
)

// isOver reports whether the cause of a context's cancellation ends its request, and not only one attempt.
func isOver(cause error) bool {
	return errors.Is(cause, ErrCallerGone) || errors.Is(cause, errDeadline) || errors.Is(cause, errStopped)
}

// call is one request in the gateway.
type call struct {
	g      *Gateway
	log    logging.Logger
	id     string
	in     *Request
	out    Responder
	parsed parsedRequest
	// subject is the same for all retries of a request by its caller.
	subject    quarantine.Subject
	class      *metrics.Class
	start      time.Time
	headerSent bool
	outcome    Outcome
	// attempts counts the requests sent to endpoints.
	attempts int
	// attemptStarted is when the last attempt started.
	attemptStarted time.Time
	// firstTokenAt is when the endpoint sent the first token of the last attempt, or zero.
	firstTokenAt time.Time
	mayHaveRun   bool
	// probeDone is closed when the probe of the last broken attempt's endpoint
	// has finished.
	probeDone <-chan struct{}
	grant     *claims.Grant
	failed    []routing.Failure
	// next is the place that is reserved for the next attempt, with its retry.
	next atomic.Pointer[routing.Target]
	// tokens are the JSON-encoded tokens of the response so far.
	tokens    []json.RawMessage
	lastToken time.Time
}

// Serve runs one request and responds to it. The context is cancelled with the
// cause ErrCallerGone when the caller disconnects.
func (g *Gateway) Serve(ctx context.Context, in *Request, out Responder) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	c := &call{g: g, id: in.ID, in: in, out: out, start: time.Now()}
	if c.id == "" {
		c.id = xid.New().String()
	}
	c.log = g.log.With("request", c.id)
	if g.stopping.Load() {
		c.failStopping()
		return
	}
	p, f := parseRequest(in, g.snapshot.Load(), c.start, g.options.MaxBody)
	if f != nil {
		c.fail(*f)
		return
	}
	c.parsed = p
	c.subject = c.computeSubject()
	c.class = g.class(p.workspace.Name, className(p.priority))
	ctx, cancel := context.WithDeadlineCause(ctx, p.deadline, errDeadline)
	defer cancel()
	ctx, release := httpserver.WithStop(ctx, g.stopped, errStopped)
	defer release()
	c.run(ctx)
	c.class.Total.RecordDuration(time.Since(c.start))
	c.class.Outcome(string(c.outcome))
	c.log.Debug("finished", "workspace", p.workspace.Name, "outcome", string(c.outcome),
		"attempts", c.attempts, "took", time.Since(c.start))
}

func className(p admission.Priority) string {
	switch p {
	case admission.PriorityHigh:
		return "high"
	case admission.PriorityLow:
		return "low"
	default:
		return "normal"
	}
}

func (c *call) run(ctx context.Context) {
	c.g.links.Verify(ctx)
	if !c.checkQuarantine(ctx) || c.forwardWithoutLinks(ctx) {
		return
	}
	d, decided := c.g.admit(ctx, admission.Request{
		Pool:        c.parsed.pool,
		Workspace:   c.parsed.workspace.Name,
		Share:       c.parsed.workspace.Share,
		MaxInFlight: c.parsed.workspace.MaxInFlight,
		Priority:    c.parsed.priority,
		Deadline:    c.parsed.deadline,
		IsRetry:     c.parsed.isRetry,
	})
	c.class.Wait.RecordDuration(time.Since(c.start))
	if !decided {
		c.failContextDone(ctx)
		return
	}
	if d.Outcome == admission.OutcomeRejected {
		c.reject(ctx, d)
		return
	}
	defer func() { c.g.finishAdmission(d.ID, c.outcome == OutcomeServed) }()
	if !c.claim(ctx) {
		return
	}
	c.attemptAll(ctx)
	if unused, ok := c.takeReserved(); ok {
		c.g.recordUnused(unused.Group)
	}
	c.settleClaim()
}

// reject forwards a request that admission rejected to another data centre, or
// else responds with an error.
func (c *call) reject(ctx context.Context, d admission.Decision) {
	if d.Reason != admission.ReasonLimit && c.forward(ctx) {
		return
	}
	status := http.StatusServiceUnavailable
	if d.Reason == admission.ReasonLimit {
		status = http.StatusTooManyRequests
	}
	c.fail(errorResponse{status, "overloaded", d.Reason.String(), c.notRunOutcome(), d.RetryAfter})
}

// notRunOutcome returns the outcome of a request that fails without a response.
func (c *call) notRunOutcome() Outcome {
	if c.mayHaveRun {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// failContextDone responds to a request whose context is done.
func (c *call) failContextDone(ctx context.Context) {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, ErrCallerGone):
		c.outcome = OutcomeCallerGone
		c.out.Abort()
	case errors.Is(cause, errStopped) && c.mayHaveRun:
		c.fail(errorResponse{http.StatusBadGateway, "stopping", "this entry instance has stopped; the request may have run", OutcomeUnknown, 0})
	case errors.Is(cause, errStopped):
		c.failStopping()
	default:
		c.fail(errorResponse{http.StatusGatewayTimeout, "deadline_passed", "the deadline passed before the response was complete", c.notRunOutcome(), time.Second})
	}
}

// failStopping rejects a request that has not run because this node is stopping.
func (c *call) failStopping() {
	c.fail(errorResponse{http.StatusServiceUnavailable, "stopping", "this entry instance is stopping; retry at another one", OutcomeNotRun, time.Second})
}

const claimRetryAfter = 5 * time.Second

// claim ensures that a non-repeatable request with an idempotency key has not
// run before and will not run elsewhere.
func (c *call) claim(ctx context.Context) bool {
	if c.parsed.repeatable || c.parsed.key == "" {
		return true
	}
	grant, earlier, result := c.g.options.Claims.Claim(ctx, c.parsed.workspace.Name, c.parsed.key)
	switch result {
	case claim.ResultGranted:
		c.grant = &grant
		return true
	case claim.ResultTaken:
		outcome := OutcomeUnknown
		if earlier.State == claim.StateRan {
			outcome = OutcomeRan
		}
		c.fail(errorResponse{http.StatusConflict, "already_claimed", "a request with this key was accepted before and may have run; it is not run again", outcome, 0})
	default:
		c.fail(errorResponse{http.StatusServiceUnavailable, "claim_unavailable", "the platform's table does not respond, so the request cannot be guaranteed to run only once", OutcomeNotRun, claimRetryAfter})
	}
	return false
}

// settleClaim releases the claim or records in it that the request ran.
func (c *call) settleClaim() {
	switch {
	case c.grant == nil:
	case c.outcome == OutcomeNotRun || c.outcome == OutcomeCallerGone && !c.mayHaveRun:
		c.g.options.Claims.Release(*c.grant)
	case c.outcome == OutcomeServed || c.outcome == OutcomeRan:
		c.g.options.Claims.MarkRan(*c.grant)
	}
}

// attemptResult is the result of one attempt.
type attemptResult uint8

const (
	// attemptResponded: the caller has its final response or has disconnected.
	attemptResponded attemptResult = iota
	// attemptNotRun: the endpoint did not run the request.
	attemptNotRun
	// attemptBroken: the endpoint may have run it, and the response is
	// incomplete.
	attemptBroken
)

// attemptAll tries groups until the response is final.
func (c *call) attemptAll(ctx context.Context) {
	for attempts := 0; ; attempts++ {
		if ctx.Err() != nil {
			c.failContextDone(ctx)
			return
		}
		if attempts > 0 && (attempts >= c.g.options.MaxAttempts || c.next.Load() == nil && !c.g.acquireRetry()) {
			c.forwardOrFail(ctx)
			return
		}
		if attempts > 0 && !c.checkQuarantine(ctx) {
			return
		}
		target, ok := c.takeReserved()
		if !ok {
			target, ok = c.chooseTarget(ctx, attempts > 0)
		}
		if !ok {
			c.forwardOrFail(ctx)
			return
		}
		if !c.beginAttempt() {
			return
		}
		result := c.attempt(ctx, target)
		if result == attemptResponded {
			return
		}
		c.failed = append(c.failed, failureOf(target))
		if result == attemptBroken && !c.parsed.repeatable {
			c.fail(errorResponse{http.StatusBadGateway, "broken", "the endpoint's response was cut off; the request may have run and is not retried", OutcomeUnknown, 0})
			return
		}
	}
}

const (
	// targetWait is the maximum wait for another group after a failed attempt;
	// a repair with a warm spare takes less.
	targetWait = 5 * time.Second
	targetPoll = 50 * time.Millisecond
)

// takeReserved returns the place that was reserved for the next attempt, if any.
func (c *call) takeReserved() (routing.Target, bool) {
	if reserved := c.next.Swap(nil); reserved != nil {
		return *reserved, true
	}
	return routing.Target{}, false
}

// chooseTarget picks a group. After a failed attempt it waits for a group to
// become available.
func (c *call) chooseTarget(ctx context.Context, wait bool) (routing.Target, bool) {
	target, ok := c.g.choose(c.parsed.pool, c.parsed.prefix, c.failed)
	if ok || !wait {
		return target, ok
	}
	until := time.NewTimer(targetWait)
	defer until.Stop()
	poll := time.NewTicker(targetPoll)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return target, false
		case <-until.C:
			return target, false
		case <-poll.C:
		}
		if target, ok = c.g.choose(c.parsed.pool, c.parsed.prefix, c.failed); ok {
			return target, true
		}
	}
}

const noGroupRetryAfter = 2 * time.Second

// forwardOrFail ends a request that has no further attempt here.
func (c *call) forwardOrFail(ctx context.Context) {
	if ctx.Err() != nil {
		c.failContextDone(ctx)
		return
	}
	// The other data centre would reject a claimed request because of its own
	// claim. Failed as not run, its key is released.
	if !c.mayHaveRun && c.grant == nil && c.forward(ctx) {
		return
	}
	c.fail(errorResponse{http.StatusServiceUnavailable, "no_group", "no replica group could serve the request", c.notRunOutcome(), noGroupRetryAfter})
}

// attempt runs the request once on a target.
func (c *call) attempt(ctx context.Context, target routing.Target) attemptResult {
	c.attemptStarted, c.firstTokenAt = time.Now(), time.Time{}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	attempt := fmt.Sprintf("%s-%d", c.id, c.attempts+1)
	var result attemptResult
	if c.parsed.chat {
		result = c.attemptChat(ctx, cancel, target, attempt)
	} else {
		result = c.attemptPlain(ctx, target, attempt)
	}
	c.g.recordFinished(target.Group, time.Since(c.attemptStarted), result == attemptResponded || isOver(context.Cause(ctx)))
	return result
}
