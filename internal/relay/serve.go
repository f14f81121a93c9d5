package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/ridgehinge/ridgehinge/internal/continuation"
	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/httpserver"
	"github.com/ridgehinge/ridgehinge/internal/invariant"
	"github.com/ridgehinge/ridgehinge/internal/metrics"
	"github.com/ridgehinge/ridgehinge/pkg/admission"
	"github.com/ridgehinge/ridgehinge/pkg/quarantine"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// outcome is the result of a request, for logs and metrics.
type outcome string

const (
	outcomeServed     outcome = "served"
	outcomeFailed     outcome = "failed"
	outcomeRejected   outcome = "refused"
	outcomeIncomplete outcome = "broken"
	outcomeCallerGone outcome = "gone"
	outcomeInvalid    outcome = "invalid"
)

// call is one request being served.
type call struct {
	*Relay
	in        *Request
	out       Responder
	attrs     Attributes
	view      *directory.View
	route     *serving.Route
	service   string
	workspace string
	// level is the urgency of the request among those of its service.
	level admission.Level
	// subject is the same for all requests by which a caller retries the same work.
	subject quarantine.Subject
	class   *metrics.Class
	start   time.Time
	// suspended is how long the machine had been suspended in total at the start.
	suspended time.Duration
	// deadline is the earlier of the caller's deadline and the route's timeout.
	deadline time.Time
	// attempts counts the endpoints that the request was sent to, and rejections how many of
	// them reported that they did not run it.
	attempts   int
	rejections int
	// priorAttempts are those of the node that passed the request on.
	priorAttempts int
	// neighboursTried has the nodes that the request was passed to; noNeighbour is set once no other
	// one is left.
	neighboursTried []string
	noNeighbour     bool
	// searchedAgain is set once neighbours were searched for because none was left.
	searchedAgain bool
	// dialFailed is set once a connection to an endpoint could not be opened.
	dialFailed bool
	// wasShed is set once an endpoint has rejected the request and asked for a cooldown.
	wasShed bool
	// connectionBounds counts the endpoints that were not used because of the bound on connections.
	connectionBounds int
	// charge is what the current attempt consumed of the retry budget.
	charge     Charge
	mayHaveRun bool
	failed     []serving.EndpointID
	// crashProbe is closed when the reason for the interruption of the last attempt is known.
	crashProbe <-chan struct{}
	// responseStarted is set once a part of the response has been sent; mediaType is that of its head.
	responseStarted bool
	mediaType       string
	// unmarked is set if the response has neither a length nor chunks.
	unmarked bool
	// continues is set if the node that passed the request on has sent a part of the response.
	continues bool
	lastEvent string
	// endedUnmarked is set if an endpoint, endedBy, has closed its connection right after lastEvent, with nothing that marks
	// the end of the stream. endedBy has no endpoint if it is that of a neighbour.
	endedUnmarked bool
	endedBy       target
	// unconfirmed has the endpoints of which another one has to confirm what they sent or how they ended.
	unconfirmed []serving.EndpointID
	// sequence checks the events of a stream.
	sequence *continuation.Sequence
	events   int
	outcome  outcome
	// reserved is the part of Relay.buffered that this call holds.
	reserved int64
	// endpointFailure is an endpoint's own error response, relayed if no other endpoint succeeds.
	endpointFailure *bufferedResponse
}

// Serve runs one request and responds to it. The context is cancelled with
// httpserver.ErrCallerGone as its cause when the caller disconnects.
func (r *Relay) Serve(ctx context.Context, in *Request, out Responder) {
	r.hasRequests.Store(true)
	current := r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	c := &call{Relay: r, in: in, out: out, start: time.Now(), suspended: r.options.Clock.Suspended(), view: r.options.View()}
	defer func() { r.buffered.Add(-c.reserved) }()
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
	c.lastEvent = c.attrs.LastEvent
	if in.Forwarded != nil {
		// The node that received it has counted and admitted it.
		c.applyForwarded(in.Forwarded)
		c.run(ctx)
		return
	}
	c.recordDemand()
	if current > int64(r.options.MaxRequests) {
		c.reject(rejection{cause: causeBusy, retryAfter: r.options.Balancer.weights.OverloadRetryAfter})
		return
	}
	if r.draining.Load() {
		c.reject(rejection{cause: causeStopping, retryAfter: drainingRetryAfter})
		return
	}
	r.options.Budget.RecordRequest(c.service, c.start)
	if !c.shed(time.Now()) {
		c.run(ctx)
	}
	c.class.Total.RecordDuration(time.Since(c.start))
	c.class.Outcome(string(c.outcome))
}

// run attempts the request until its deadline, or until this node stops.
func (c *call) run(ctx context.Context) {
	ctx, cancel := withDeadline(ctx, c.deadline)
	defer cancel()
	ctx, release := httpserver.WithStop(ctx, c.stopped, errStopped)
	defer release()
	c.attemptAll(ctx)
}

// Values of Retry-After.
const (
	// unreadyRetryAfter is for a node without a configuration.
	unreadyRetryAfter = 500 * time.Millisecond
	// drainingRetryAfter is for a node that is draining: other nodes serve.
	drainingRetryAfter = 50 * time.Millisecond
	// quarantineRetryAfter is for a quarantined request: earlier retries would be rejected too.
	quarantineRetryAfter = quarantine.TrialDelay
	// defaultRetryAfter leaves time for the repair of a group.
	defaultRetryAfter = 300 * time.Millisecond
)

const (
	// viewWait is how long a request waits for a node that has just started to read the
	// configuration and the endpoints: a retry by the caller would miss its latency objective.
	// After startupPeriod, requests to a node without them are rejected at once.
	viewWait         = 200 * time.Millisecond
	startupPeriod    = time.Second
	viewPollInterval = 5 * time.Millisecond
)

// awaitView waits for the configuration and the endpoints if the node has just started.
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

// isViewReady reports whether a view has a configuration and endpoints.
func isViewReady(v *directory.View) bool { return v.Configuration != nil && len(v.Endpoints) > 0 }

// resolve finds the route and the workspace, and rejects the request if there is none.
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
	identified := serving.Workspace{}
	if configuration.Workspaces != nil && !c.route.Public {
		workspace, ok := configuration.Workspaces[c.attrs.Key]
		if !ok {
			c.rejectInvalid(http.StatusUnauthorized, "no workspace has this key")
			return false
		}
		c.workspace = workspace.Name
		identified = workspace
	} else if workspace, ok := configuration.Workspaces[c.attrs.Key]; ok {
		// A public route needs no key, but endpoints are told whose request it is.
		c.workspace = workspace.Name
	}
	c.service = c.route.Service(xxh3.HashString(c.attrs.ID))
	c.sequence = continuation.NewSequence(c.streams, c.service, c.canConfirm())
	c.level = c.urgencyLevel(identified)
	c.subject = c.computeSubject()
	timeout := c.route.Timeout
	if c.attrs.HasDeadline && c.attrs.Remaining < timeout || timeout <= 0 {
		timeout = c.attrs.Remaining
	}
	c.deadline = c.start.Add(timeout)
	return true
}

// computeSubject returns a subject whose content stays the same when the caller retries with another ID
// or at another node.
func (c *call) computeSubject() quarantine.Subject {
	caller := c.workspace
	if caller == "" {
		caller = c.attrs.Key
	}
	s := quarantine.Subject{Content: quarantine.FingerprintOf([]byte(caller), []byte(c.in.Host), []byte(c.in.Method), []byte(c.in.URI), c.in.Body)}
	for _, part := range c.attrs.SharedParts {
		s.Parts = append(s.Parts, quarantine.PartFingerprint(c.service, part))
	}
	return s
}

// recordDemand counts the estimated work of the request.
func (c *call) recordDemand() {
	engine := c.view.Configuration.Services[c.service].Engine
	if engine == nil {
		return
	}
	if model, ok := engine.Model(c.attrs.Model); ok {
		c.options.Demand.RecordRequest(directory.Pool{Service: c.service, Model: model.Name}, estimateWork(engine, model, c.size()), c.start)
	}
}

// recordInTime counts whether the first event of a request came in time.
func (c *call) recordInTime(inTime bool, now time.Time) {
	if c.view.Configuration.Services[c.service].Engine != nil {
		c.options.Demand.RecordOutcome(directory.Pool{Service: c.service, Model: c.attrs.Model}, inTime, now)
	}
}

// minRemaining is the least time before the deadline at which a request is sent: with less, its
// response could not arrive in time.
const minRemaining = 2 * responseMargin

// maxConnectionBounds is the number of endpoints without a connection left after which a request is
// rejected: the others are probably as busy, and each takes a choice and a log line.
const maxConnectionBounds = 4

// attemptAll tries endpoints until the request is finished.
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
		if c.connectionBounds >= maxConnectionBounds {
			c.finishUnserved(rejection{cause: causeFull, retryAfter: c.overloadRetryAfter(time.Now())})
			return
		}
		if !c.isAllowed(ctx) {
			c.finishUnserved(rejection{cause: causeQuarantine, retryAfter: quarantineRetryAfter})
			return
		}
		c.options.Links.Verify(ctx)
		if c.shouldForward() {
			switch c.forward(ctx) {
			case resultDone:
				return
			case resultIncomplete, resultFailed:
				continue
			}
		}
		t, reason := c.awaitTarget(ctx)
		if t.Endpoint == nil && ctx.Err() != nil {
			c.handleContextDone(ctx)
			return
		}
		if t.Endpoint == nil && (c.shouldForward() || c.findsLinksLost(ctx)) {
			continue
		}
		if t.Endpoint == nil {
			// A cooldown applies to this node only: the same groups may serve other nodes, so it is
			// no demand for more of them.
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
	}
}

// retryAfterAttempts returns when the caller may retry once all attempts are used up. Requests that
// endpoints shed may be served at once through another node, which has no cooldown; after other
// failures a group may need repair.
func (c *call) retryAfterAttempts() time.Duration {
	if c.wasShed {
		return c.options.Balancer.weights.OverloadRetryAfter
	}
	return defaultRetryAfter
}

// chargeRetry acquires a retry from the budget, and reports whether it was granted. A first attempt
// needs none.
func (c *call) chargeRetry() bool {
	if c.attempts == c.priorAttempts {
		return true
	}
	charge, granted := c.options.Budget.AcquireRetry(c.service, time.Now())
	c.charge = charge
	if !granted {
		c.logBudget()
	}
	return granted
}

// partOf returns the ID of the prompt's part with a fingerprint, or an empty string.
func (c *call) partOf(f quarantine.Fingerprint) string {
	if i := slices.Index(c.subject.Parts, f); i >= 0 {
		return c.attrs.SharedParts[i]
	}
	return ""
}

// isAllowed reports whether the request may be sent to an endpoint. It is checked before each
// attempt, since peers may have quarantined the request meanwhile.
func (c *call) isAllowed(ctx context.Context) bool {
	c.crashes.AwaitProbe(ctx, c.subject, c.crashProbe)
	known, isAllowed := c.options.Quarantine.Allowed(c.subject, time.Now())
	if !isAllowed {
		c.log.Info("quarantined request not sent", "request", c.attrs.ID, "content", c.subject.Content, "part", c.partOf(known.Fingerprint),
			"ends", len(known.Crashes), "last_age", time.Since(known.Crashes[len(known.Crashes)-1].At), "tried", known.TrialUsed)
	}
	return isAllowed
}

// remaining returns the time until the deadline. Time for which this machine was suspended counts
// too, and is refreshed before each retry.
func (c *call) remaining() time.Duration {
	suspended := c.options.Clock.Suspended()
	if c.attempts > 0 {
		suspended = c.options.Clock.Refresh()
	}
	return time.Until(c.deadline) - (suspended - c.suspended)
}

// maxRejections bounds the rejections by endpoints that don't count as attempts.
const maxRejections = 2

// attemptsUsed reports whether all attempts are used up. Up to maxRejections rejections by
// endpoints don't count.
func (c *call) attemptsUsed() bool { return c.countedAttempts() >= c.route.MaxAttempts }

// countedAttempts returns the attempts that count towards those that the route allows.
func (c *call) countedAttempts() int { return c.attempts - min(c.rejections, maxRejections) }

// handleContextDone finishes a request whose context is done.
func (c *call) handleContextDone(ctx context.Context) {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, httpserver.ErrCallerGone):
		c.outcome = outcomeCallerGone
		c.out.Abort()
	case errors.Is(cause, errStopped):
		c.finishUnserved(rejection{cause: causeStopping, retryAfter: drainingRetryAfter})
	default:
		c.finishUnserved(rejection{cause: causeDeadline, retryAfter: defaultRetryAfter})
	}
}

// finishUnserved sends the final response of a request that no endpoint has served.
func (c *call) finishUnserved(reason rejection) {
	if c.decline(reason) {
		return
	}
	switch {
	case c.mayEndUnconfirmed(reason):
		c.outcome = outcomeServed
		c.out.EndUnmarked()
		return
	case c.responseStarted:
		c.outcome = outcomeIncomplete
		c.out.Abort()
	case c.endpointFailure != nil:
		c.sendBuffered(c.endpointFailure)
		return
	case !c.mayHaveRun:
		c.reject(reason)
		return
	case c.in.Forwarded != nil && reason.cause == causeStopping:
		// The node that passed the request on may have another one run it.
		c.outcome = outcomeIncomplete
		c.out.Abort()
	case reason.cause == causeStopping:
		c.outcome = outcomeFailed
		c.respond(http.StatusBadGateway, "this node has stopped; the request may have run", 0)
	case reason.cause == causeDeadline:
		c.outcome = outcomeFailed
		c.respond(http.StatusGatewayTimeout, "the response did not arrive in time", 0)
	default:
		c.outcome = outcomeFailed
		c.respond(http.StatusBadGateway, "the endpoint's response was cut off; the request may have run", 0)
	}
	c.logUnserved(reason)
}

// mayEndUnconfirmed reports whether a stream ends as its endpoint ended it although no other one can be asked what
// follows: if such ends of its service have always been confirmed lately and the endpoint has not crashed. After all attempts
// are used up it does not: an earlier one has failed, or has gone on where the stream seemed to end.
func (c *call) mayEndUnconfirmed(reason rejection) bool {
	switch reason.cause {
	case causeAttempts, causeDeadline, causeQuarantine, causeOnce:
		return false
	}
	return c.endedUnmarked && c.unmarked && c.streams.TrustsEnds(c.service) && !c.refusesDial(c.endedBy)
}

// logBudget logs the state of the budget that denied a retry.
func (c *call) logBudget() {
	s := c.options.Budget.State(c.service, time.Now())
	c.log.Info("retry budget exhausted", "request", c.attrs.ID, "service", c.service, "repeats", s.Retries, "earned", s.Earned, "slack", s.Slack,
		"requests", s.Requests, "nodes", s.Nodes, "age", s.Age)
}

func (c *call) logUnserved(reason rejection) {
	route := ""
	if c.route != nil {
		route = c.route.Name
	}
	c.log.Info("a request was not served", "request", c.attrs.ID, "content", c.subject.Content, "parts", c.attrs.SharedParts, "route", route, "service", c.service, "model", c.attrs.Model, "workspace", c.workspace,
		"outcome", string(c.outcome), "cause", reason.cause, "level", c.level, "returning", c.route != nil && c.isReturning(), "retry_after", reason.retryAfter, "sends", c.attempts, "may_have_run", c.mayHaveRun, "events", c.events,
		"failed", c.failed, "took", time.Since(c.start), "configuration", c.configurationVersion(), "links_lost", c.linksLostFor(), "neighbours_tried", c.neighboursTried, "dial_failed", c.dialFailed,
		"groups", reason.choice.Groups, "full", reason.choice.Full, "late", reason.choice.Late, "suspected", reason.choice.Suspected, "incomplete", reason.choice.Incomplete, "limited", reason.choice.Limited, "evacuated", reason.evacuated, "regions", reason.regions, "cooling_down", reason.choice.CoolingDown, "draining", reason.choice.Draining,
		"full_own", reason.choice.LeastFull.Own, "full_peers", reason.choice.LeastFull.Peers, "full_slots", reason.choice.LeastFull.Slots, "peers_age", reason.choice.LeastFull.PeersAge)
}

// linksLostFor returns for how long the links have counted as lost, zero if they do not.
func (c *call) linksLostFor() time.Duration {
	if !c.options.Links.Lost() {
		return 0
	}
	return time.Since(c.options.Links.LostSince())
}

// reject responds to a request that has not run and never will.
func (c *call) reject(reason rejection) {
	invariant.Check(!c.mayHaveRun, invariant.NotRun, "request %s, %s", c.attrs.ID, reason.cause)
	c.outcome = outcomeRejected
	if c.route != nil {
		c.countReturn("rejected")
	}
	c.respond(http.StatusServiceUnavailable, reason.cause, reason.retryAfter)
	c.logUnserved(reason)
}

// rejectInvalid responds to a request that is malformed or not allowed by the configuration.
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

// respond sends a response of the relay's own.
func (c *call) respond(status int, text string, retryAfter time.Duration) {
	body := fmt.Appendf(nil, "{\"error\":%q}\n", text)
	header := c.options.Wire.LocalResponseHeader(c.attrs.ID, retryAfter)
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	c.beginResponse(status, header)
	c.sendBody(body)
}

func (c *call) beginResponse(status int, header http.Header) {
	if c.in.Forwarded == nil && c.closeConnections.Load() {
		header.Set("Connection", "close")
	}
	c.recordBegin(header)
	c.out.Begin(status, header)
}

// beginFramed is beginResponse for a response whose end has a mark only if its endpoint's has one.
func (c *call) beginFramed(status int, header http.Header, marked bool) {
	if marked {
		c.beginResponse(status, header)
		return
	}
	c.recordBegin(header)
	c.unmarked = true
	c.out.BeginUnmarked(status, header)
}

func (c *call) recordBegin(header http.Header) {
	c.responseStarted = true
	c.mediaType = continuation.MediaType(header)
}
