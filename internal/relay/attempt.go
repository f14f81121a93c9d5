package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/httpserver"
	"github.com/ridgehinge/ridgehinge/internal/invariant"
	"github.com/ridgehinge/ridgehinge/internal/quarantine"
	"github.com/ridgehinge/ridgehinge/internal/throttle"
	"github.com/ridgehinge/ridgehinge/internal/upstream"
	"github.com/ridgehinge/ridgehinge/pkg/advisory"
	qlist "github.com/ridgehinge/ridgehinge/pkg/quarantine"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// result is the outcome of one attempt.
type result uint8

const (
	// resultDone: the caller has its final response, or has disconnected.
	resultDone result = iota
	// resultNotRun: the endpoint certainly did not run the request.
	resultNotRun
	// resultIncomplete: the request may have run, and its response is incomplete.
	resultIncomplete
	// resultFailed: the request ran, and the endpoint reported a failure.
	resultFailed
)

// attempt sends the request to one endpoint, a stream also to others while that one is silent.
func (c *call) attempt(ctx context.Context, t target) result {
	invariant.Check(c.route.Repeatable() || !c.mayHaveRun, invariant.AtMostOnce, "request %s at %s", c.attrs.ID, t.ID)
	invariant.Check(!t.Draining, invariant.NoNewWork, "request %s at %s", c.attrs.ID, t.ID)
	charge := c.charge
	c.charge = Charge{}
	if c.isStream() {
		return c.relayFrom(ctx, c.newEndpointSource(t, c.attempts > 0), charge)
	}
	c.failed = append(c.failed, t.ID)
	active := c.beginActive(t)
	defer active.end()
	q := c.outgoing(t, c.attempts > 0)
	q.BeforeSend = func() error { return c.checkBeforeSend(t) }
	response, err := c.options.Upstream.Send(ctx, q, c.isOwnResponse)
	if errors.Is(err, upstream.ErrNotSent) {
		c.handleNotSent(t, charge, err)
		return c.finishIfDone(ctx, resultNotRun)
	}
	c.countAttempt()
	if err != nil {
		c.handleNoAnswer(ctx, t, active, err)
		return c.finishIfDone(ctx, resultIncomplete)
	}
	defer response.Close()
	if ok, failure := c.checkResponse(t, active, response); !ok {
		return failure
	}
	return c.relayBuffered(ctx, t, active, response)
}

// isStream reports whether the request is for a stream of events.
func (c *call) isStream() bool { return c.route.Kind == serving.KindStream }

// beginActive counts the request as one in progress at an endpoint.
func (c *call) beginActive(t target) *activeRequest {
	active := c.options.Balancer.begin(t.Endpoint, c.size(), time.Now())
	active.head = t.head
	return active
}

// outgoing returns the request for an endpoint.
func (c *call) outgoing(t target, isRetry bool) upstream.Request {
	return upstream.Request{
		Address: t.Address,
		Method:  c.in.Method,
		URI:     c.in.URI,
		Host:    c.in.Host,
		Header: c.options.Wire.Outgoing(c.in.Header, OutgoingAttempt{
			Endpoint:  t.ID,
			Remaining: c.remaining() - responseMargin,
			Workspace: c.workspace,
			LastEvent: c.lastEvent,
			Urgent:    isRetry,
			Priority:  c.priority(),
		}),
		Body:           c.in.Body,
		NewConnection:  isRetry || !c.route.Repeatable() && c.options.Balancer.isFailing(t.Endpoint, time.Now()),
		MaxConnections: c.options.Balancer.connectionBound(c.view.Configuration.Services[c.service].MaxConnections),
	}
}

// isOwnResponse reports whether a response with the given header belongs to this request.
func (c *call) isOwnResponse(h http.Header) bool { return c.options.Wire.Verdict(h).ID == c.attrs.ID }

// handleNoAnswer handles a request that may have run and got no response.
func (c *call) handleNoAnswer(ctx context.Context, t target, active *activeRequest, err error) {
	c.mayHaveRun = true
	c.recordSilence(t, active)
	c.recordFailure(ctx, t, active)
	c.logAttempt(t, "no answer", errors.Join(err, context.Cause(ctx)))
}

// holdError explains why a request was not sent to the endpoint chosen for it.
type holdError string

func (e holdError) Error() string { return string(e) }

const (
	errQuarantined holdError = "request is quarantined"
	errNoPermit    holdError = "no permit of the endpoint's rate limit"
)

// checkBeforeSend is the last check before the first byte of a request is sent. The endpoint may
// have asked for a cooldown, started draining or been evacuated, or the allowed regions may have
// changed, while the request waited for a permit or a connection.
func (c *call) checkBeforeSend(t target) error {
	now := time.Now()
	hold := c.options.Throttle.Hold(t.Endpoint, now)
	if hold == throttle.HoldDraining || hold == throttle.HoldCooldown {
		return c.holdBack(hold.String())
	}
	view := c.options.View()
	if listed := view.Endpoints[t.ID]; listed == nil || listed.Draining {
		return c.holdBack(throttle.HoldDraining.String())
	}
	if view.Evacuated[t.DataCentre] {
		return c.holdBack("evacuation")
	}
	if !c.regionLimit(view.Configuration).allows(t.DataCentre) {
		return c.holdBack("region")
	}
	if !c.options.Quarantine.BeginAttempt(c.subject, now) {
		return errQuarantined
	}
	return nil
}

// holdBack counts a request that is not sent to the endpoint chosen for it.
func (c *call) holdBack(reason string) error {
	c.options.Metrics.Inc("requests_held_back", map[string]string{"by": reason})
	return holdError("endpoint is on hold: " + reason)
}

// handleNotSent handles an attempt of which no byte was sent. Its charge is refunded, and
// the endpoint becomes suspect unless this node held the attempt back or has too many connections to it.
func (c *call) handleNotSent(t target, charge Charge, err error) {
	c.options.Budget.Refund(c.service, charge, time.Now())
	held := holdError("")
	switch {
	case errors.Is(err, upstream.ErrConnectionBound):
		c.connectionBounds++
		c.options.Metrics.Inc("requests_held_back", map[string]string{"by": "connection bound"})
	case !errors.As(err, &held):
		c.dialFailed = true
		c.options.Balancer.Suspect(t.ID, time.Now())
	}
	c.logAttempt(t, "not sent", err)
}

// recordFailure counts an incomplete attempt as a failure of its endpoint, unless the caller or the
// deadline cancelled it.
func (c *call) recordFailure(ctx context.Context, t target, active *activeRequest) {
	now := time.Now()
	cause := context.Cause(ctx)
	if cause == nil && now.Before(c.deadline) {
		active.recordOutcome(true, now)
	}
	if cause == nil {
		c.recordTrouble(t, active, now)
	}
}

// recordTrouble reports that an attempt was cut off or is silent. It starts a crash probe, since the request
// itself may have crashed the endpoint.
func (c *call) recordTrouble(t target, active *activeRequest, now time.Time) {
	c.options.Links.RecordTrouble(t.Address)
	incarnation := quarantine.Incarnation{Endpoint: t.ID, StartedAt: t.StartedAt, Address: t.Address}
	c.crashProbe = c.crashes.ReportBroken(c.subject.InterruptedAfter(active.progress(now)), incarnation, active.sentAt, now)
}

// isLeaving reports whether an endpoint may have stopped listening while it finishes its requests.
func (c *call) isLeaving(t target) bool {
	listed := c.options.View().Endpoints[t.ID]
	return listed == nil || listed.Draining || c.options.Throttle.Hold(t.Endpoint, time.Now()) == throttle.HoldDraining
}

// refusesDial reports whether nothing listens at an endpoint's address, as after a crash. A node whose links are lost is
// refused by all endpoints. That of a neighbour is not known.
func (c *call) refusesDial(t target) bool {
	if t.Endpoint == nil || c.isLeaving(t) {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	refused := errors.Is(c.options.Upstream.Probe(ctx, t.Address), syscall.ECONNREFUSED)
	return refused && c.options.Links.Confirm(ctx, t.Address)
}

// recordProgress clears the parts of the prompt once the endpoint has survived the beginning of its
// response.
func (c *call) recordProgress(active *activeRequest, now time.Time) {
	if len(c.subject.Parts) > 0 && !active.cleared && active.progress(now) >= qlist.PartProgressTime {
		active.cleared = true
		c.options.Quarantine.RecordPartSuccess(c.subject.Parts, now)
	}
}

// recordSilence records that an endpoint did not respond at all for some time, whoever then gave up.
func (c *call) recordSilence(t target, active *activeRequest) {
	if time.Since(active.sentAt) >= c.options.StallAfter {
		c.options.Links.RecordTrouble(t.Address)
	}
}

// responseMargin is subtracted from the deadline passed to an endpoint, so that its response
// still arrives in time.
const responseMargin = 10 * time.Millisecond

// finishIfDone finishes the request if it is over, and returns r otherwise.
func (c *call) finishIfDone(ctx context.Context, r result) result {
	if !c.isOver(ctx) {
		return r
	}
	c.finishOver(ctx)
	return resultDone
}

// isOver reports whether the request was cancelled or its deadline has passed. The connection has the same deadline
// and may notice it before the context does.
func (c *call) isOver(ctx context.Context) bool {
	return context.Cause(ctx) != nil || !time.Now().Before(c.deadline)
}

// finishOver finishes a request that is over.
func (c *call) finishOver(ctx context.Context) {
	if context.Cause(ctx) != nil {
		c.handleContextDone(ctx)
		return
	}
	c.finishUnserved(rejection{cause: causeDeadline, retryAfter: defaultRetryAfter})
}

// checkResponse reads the header of a response. If the response must not be relayed, it returns false and the
// result of the attempt.
func (c *call) checkResponse(t target, active *activeRequest, response *upstream.Response) (bool, result) {
	verdict := c.options.Wire.Verdict(response.Header)
	statement := c.options.Wire.Statement(response.Status, response.Header)
	c.observe(t, verdict, statement, active, response.Status)
	if verdict.NotRun || response.Status == http.StatusMisdirectedRequest {
		return false, c.handleRejection(t, verdict, statement, response)
	}
	c.mayHaveRun = true
	if !verdict.Signed || response.Header.Get("Content-Encoding") != "" {
		active.recordOutcome(true, time.Now())
		c.logAttempt(t, "an answer that is not the endpoint's", fmt.Errorf("status %d", response.Status))
		return false, resultIncomplete
	}
	if !httpserver.IsKnownStatus(response.Status) {
		active.recordOutcome(response.Status >= http.StatusInternalServerError, time.Now())
		c.logAttempt(t, "a status that cannot be passed on", fmt.Errorf("status %d", response.Status))
		return false, resultFailed
	}
	if err := c.position().CheckHead(response.Status, response.Header); err != nil {
		active.recordOutcome(true, time.Now())
		c.logAttempt(t, "no continuation", err)
		return false, resultFailed
	}
	return true, resultIncomplete
}

// observe applies what a response advertises about its endpoint. A response that is neither signed
// nor marked as not run may come from anyone, and a misdirected request may have reached another
// endpoint.
func (c *call) observe(t target, v Verdict, s advisory.Statement, active *activeRequest, status int) {
	if !v.Signed && !v.NotRun || status == http.StatusMisdirectedRequest {
		return
	}
	c.wasShed = c.wasShed || s.Cooldown.Value > 0
	c.options.Throttle.Observe(advisory.Observation{
		Endpoint:  t.Incarnation(),
		Statement: s,
		Sent:      active.sentAt,
		Request:   c.attrs.ID,
	}, time.Now())
}

// handleRejection records why an endpoint did not run the request.
func (c *call) handleRejection(t target, v Verdict, s advisory.Statement, response *upstream.Response) result {
	c.rejections++
	at := time.Now()
	if id := c.endpointNamed(v.FaultyEndpoint); id != "" {
		c.options.Balancer.Suspect(id, at)
	}
	if response.Status == http.StatusMisdirectedRequest {
		// The head no longer leads a group, or another endpoint has its address.
		c.options.Balancer.Suspect(t.ID, at)
	}
	drain(response)
	c.logAttempt(t, "rejected", fmt.Errorf("status %d, at fault %q, retry after %s", response.Status, v.FaultyEndpoint, s.Cooldown.Value))
	return resultNotRun
}

// endpointNamed returns the ID of the endpoint with the given ID or address.
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
	c.log.Info("an attempt failed", "request", c.attrs.ID, "content", c.subject.Content, "parts", c.attrs.SharedParts, "endpoint", string(t.ID), "address", t.Address, "group", t.Membership.Group,
		"epoch", t.Membership.Epoch, "what", what, "error", err, "events", c.events, "after", time.Since(c.start))
}

const (
	// silenceCheckInterval is how often a stream checks whether its endpoint is silent.
	silenceCheckInterval = 100 * time.Millisecond
	// stallFactor times the predicted time is how long an endpoint may be silent: a busy
	// endpoint must not be mistaken for a crashed one.
	stallFactor = 3
)

// requestStallAfter is how long a stream may receive nothing from an endpoint that sends events to
// other requests before another one gets it too: its connection may be dead without a reset. It is
// below the two seconds after which callers give up.
const requestStallAfter = 1500 * time.Millisecond

// stallAfter returns how long an endpoint may be silent on all requests.
func (c *call) stallAfter(predicted Prediction) time.Duration {
	return max(c.options.StallAfter, stallFactor*max(predicted.First, predicted.Gap))
}

// reserveInterval is the time between two tries to acquire a retry: each may consume a fraction of one.
const reserveInterval = 500 * time.Millisecond

// canConfirm reports whether another attempt can be asked how a stream goes on.
func (c *call) canConfirm() bool { return c.canResume() && c.route.MaxAttempts > 1 }

// canResume reports whether the request is for a stream that another endpoint can go on with.
func (c *call) canResume() bool { return c.isStream() && c.route.Repeatable() }
