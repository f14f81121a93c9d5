package relay

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// target is the endpoint chosen for a request.
type target struct {
	*serving.Endpoint
	predicted Prediction
	// head is nil for plain endpoints.
	head *directory.Head
}

// rejection is why a request has no target, and when the caller may retry.
type rejection struct {
	cause      string
	retryAfter time.Duration
	// choice counts the groups by why they were not chosen.
	choice Choice
	// evacuated has the names of the evacuated data centres, for the log.
	evacuated string
	// regions describes the regions that the request is limited to, for the log.
	regions string
}

// Causes of rejected and failed requests.
const (
	causeNoEndpoint = "no endpoint"
	causeNoGroup    = "no group is open"
	causeFull       = "all groups are full"
	causeSuspected  = "the groups left are silent or incomplete"
	causeAttempts   = "attempts used up"
	causeBudget     = "retry budget used up"
	causeOnce       = "it may not run twice"
	causeDeadline   = "deadline"
	causeQuarantine = "requests like this one have ended the endpoints that ran them"
	causeLimited    = "the endpoints left have no permit of their rate limits"
	causeEvacuated  = "the data centres that could serve it are evacuated"
	causeOverload   = "the pool has more demand than it can serve"
	causeCooldown   = "the endpoints left have asked for a cooldown"
	causeRegion     = "no endpoint is left in the allowed regions"
	causeLinks      = "the links to all endpoints are lost, and no other node runs the request"
	causeBusy       = "this node has too many requests in progress"
	causeStopping   = "this node is stopping"
)

// maxPermitRequests bounds the endpoints for which one request asks for a permit: each takes a
// round trip to another node.
const maxPermitRequests = 8

// choose picks an endpoint and acquires a permit if the endpoint has a rate limit; otherwise it
// returns why there is none.
func (c *call) choose(ctx context.Context, now time.Time) (target, rejection) {
	for range maxPermitRequests {
		t, reason := c.pickForAttempt(now)
		if t.Endpoint == nil || c.options.Throttle.Acquire(ctx, t.Endpoint) {
			return t, reason
		}
		now = time.Now()
	}
	return target{}, rejection{cause: causeLimited, retryAfter: defaultRetryAfter}
}

// pickForAttempt picks an endpoint that has not failed, one of those that another has to confirm only if there is no other.
func (c *call) pickForAttempt(now time.Time) (target, rejection) {
	isRetry := c.attempts > 0
	if len(c.unconfirmed) > 0 {
		if t, _ := c.pick(now, slices.Concat(c.failed, c.unconfirmed), isRetry); t.Endpoint != nil {
			return t, rejection{}
		}
	}
	return c.pick(now, c.failed, isRetry)
}

// pick picks an endpoint that may be sent a request and is not excluded, or returns why there is none.
func (c *call) pick(now time.Time, exclude []serving.EndpointID, isRetry bool) (target, rejection) {
	view := c.options.View()
	service := view.Configuration.Services[c.service]
	limit := c.regionLimit(view.Configuration)
	if c.options.Links.Lost() && !c.hasLiveConnections(now) {
		return target{}, rejection{cause: causeLinks, retryAfter: defaultRetryAfter, evacuated: evacuatedNames(view), regions: limit.String()}
	}
	if service.Engine == nil {
		endpoints := limit.endpoints(view.Plain[c.service])
		e, ok := c.options.Balancer.ChoosePlain(endpoints, exclude, now)
		if !ok {
			reason := c.plainRejection(view, endpoints, now)
			if limit.leavesNone(view.Plain[c.service], exclude) {
				reason = rejection{cause: causeRegion, retryAfter: defaultRetryAfter}
			}
			reason.evacuated = evacuatedNames(view)
			reason.regions = limit.String()
			return target{}, reason
		}
		return target{Endpoint: e}, rejection{}
	}
	pool := directory.Pool{Service: c.service, Model: c.attrs.Model}
	heads := limit.heads(view.Heads[pool])
	choice := c.options.Balancer.ChooseHead(heads, c.sizeFor(pool, now), exclude, isRetry, now)
	if choice.Head != nil {
		return target{choice.Head.Endpoint, choice.Predicted, choice.Head}, rejection{}
	}
	reason := rejection{cause: causeSuspected, retryAfter: defaultRetryAfter, choice: choice}
	switch {
	case limit.isSet() && limit.leavesNone(endpointsOf(view.Heads[pool]), exclude):
		reason.cause = causeRegion
	case choice.Groups == 0 && view.Withheld[pool] > 0:
		reason.cause = causeEvacuated
	case choice.Groups == 0:
		reason.cause = causeNoGroup
	case choice.Full+choice.Late > 0, c.connectionBounds > 0:
		reason.cause = causeFull
		reason.retryAfter = c.overloadRetryAfter(now)
	case choice.CoolingDown+choice.Limited > 0:
		reason = c.holdRejection(endpointsOf(heads), now)
		reason.choice = choice
	}
	reason.evacuated = evacuatedNames(view)
	reason.regions = limit.String()
	return target{}, reason
}

// liveLinkTTL is how long after an endpoint last sent something, with the links lost for new
// connections, the open ones are taken for alive.
const liveLinkTTL = 500 * time.Millisecond

// hasLiveConnections reports whether open connections live on although new ones fail, which is then a reason
// to try: requests may use those that are idle.
func (c *call) hasLiveConnections(now time.Time) bool {
	lastEvent := c.options.Balancer.LastEventOfAny()
	return lastEvent.After(c.options.Links.LostSince()) && now.Sub(lastEvent) <= liveLinkTTL
}

// plainRejection returns why a request to a plain service has no target.
func (c *call) plainRejection(view *directory.View, endpoints []*serving.Endpoint, now time.Time) rejection {
	isHeld := func(e *serving.Endpoint) bool { return c.options.Throttle.Hold(e, now).Temporary() }
	switch {
	case len(endpoints) == 0 && view.Withheld[directory.Pool{Service: c.service}] > 0:
		return rejection{cause: causeEvacuated, retryAfter: defaultRetryAfter}
	case c.connectionBounds > 0:
		return rejection{cause: causeFull, retryAfter: c.options.Balancer.weights.OverloadRetryAfter}
	case !slices.ContainsFunc(endpoints, isHeld):
		return rejection{cause: causeNoEndpoint, retryAfter: defaultRetryAfter}
	}
	return c.holdRejection(endpoints, now)
}

// holdRejection returns why a request has no target when all remaining endpoints are on hold.
// Cooldowns apply to this node only, so the caller may retry soon on a new connection, which may
// reach another node.
func (c *call) holdRejection(endpoints []*serving.Endpoint, now time.Time) rejection {
	cooldown := c.options.Throttle.CooldownRetryAfter(endpoints, now)
	limit := c.options.Throttle.LimitRetryAfter(endpoints, now)
	if cooldown > 0 && (limit == 0 || cooldown < limit) {
		return rejection{cause: causeCooldown, retryAfter: min(cooldown, c.options.Balancer.weights.OverloadRetryAfter)}
	}
	return rejection{cause: causeLimited, retryAfter: limit}
}

// evacuatedNames returns the evacuated data centres for the log.
func evacuatedNames(view *directory.View) string {
	names := make([]string, 0, len(view.Evacuated))
	for dc := range view.Evacuated {
		names = append(names, string(dc))
	}
	slices.Sort(names)
	return strings.Join(names, ",")
}

func endpointsOf(heads []*directory.Head) []*serving.Endpoint {
	out := make([]*serving.Endpoint, 0, len(heads))
	for _, h := range heads {
		out = append(out, h.Endpoint)
	}
	return out
}

const (
	// resumeWait is how long an interrupted stream waits for another endpoint. A takeover by a
	// warm spare takes about as long, and callers wait at least two seconds between events.
	resumeWait         = 1500 * time.Millisecond
	resumePollInterval = 50 * time.Millisecond
)

// awaitTarget picks an endpoint, waiting a little if a stream was interrupted at another one. A stream
// that no endpoint has run is rejected at once: its caller may reach another node. So is one that waits for
// a cooldown, whose end is known, or for an endpoint in the allowed regions, until its response has started.
func (c *call) awaitTarget(ctx context.Context) (target, rejection) {
	t, reason := c.choose(ctx, time.Now())
	if t.Endpoint != nil || !c.mayHaveRun || c.route.Kind != serving.KindStream || reason.cause == causeLinks {
		return t, reason
	}
	if (reason.cause == causeCooldown || reason.cause == causeRegion) && !c.responseStarted {
		return t, reason
	}
	limit := time.NewTimer(resumeWait)
	defer limit.Stop()
	ticker := time.NewTicker(resumePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return target{}, reason
		case <-limit.C:
			return target{}, reason
		case now := <-ticker.C:
			if t, reason = c.choose(ctx, now); t.Endpoint != nil || c.shouldForward() {
				return t, reason
			}
		}
	}
}

func (c *call) size() RequestSize {
	return RequestSize{Prompt: c.attrs.PromptTokens, Output: c.attrs.OutputTokens(), Objective: c.route.Objective}
}
