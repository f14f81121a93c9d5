package relay

import (
	"context"
	"slices"
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
	causeCooldown   = "the endpoints left have asked for a cooldown"
)

// maxPermitRequests bounds the endpoints for which one request asks for a permit: each takes a
// round trip to another node.
const maxPermitRequests = 8

// choose picks an endpoint and acquires a permit if the endpoint has a rate limit; otherwise it
// returns why there is none.
func (c *call) choose(ctx context.Context, now time.Time) (target, rejection) {
	for range maxPermitRequests {
		t, reason := c.pick(now)
		if t.Endpoint == nil || c.options.Throttle.Acquire(ctx, t.Endpoint) {
			return t, reason
		}
		now = time.Now()
	}
	return target{}, rejection{cause: causeLimited, retryAfter: defaultRetryAfter}
}

// pick picks an endpoint that may be sent a request, or returns why there is none.
func (c *call) pick(now time.Time) (target, rejection) {
	view := c.options.View()
	service := view.Configuration.Services[c.service]
	if service.Engine == nil {
		e, ok := c.options.Balancer.ChoosePlain(view.Plain[c.service], c.failed, now)
		if !ok {
			return target{}, c.plainRejection(view.Plain[c.service], now)
		}
		return target{Endpoint: e}, rejection{}
	}
	heads := view.Heads[directory.Pool{Service: c.service, Model: c.attrs.Model}]
	choice := c.options.Balancer.ChooseHead(heads, c.size(), c.failed, c.attempts > 0, now)
	if choice.Head != nil {
		return target{choice.Head.Endpoint, choice.Predicted, choice.Head}, rejection{}
	}
	reason := rejection{cause: causeSuspected, retryAfter: defaultRetryAfter, choice: choice}
	switch {
	case choice.Groups == 0:
		reason.cause = causeNoGroup
	case choice.Full+choice.Late > 0:
		reason.cause = causeFull
		reason.retryAfter = c.options.Balancer.weights.OverloadRetryAfter
	case choice.CoolingDown+choice.Limited > 0:
		reason = c.holdRejection(endpointsOf(heads), now)
		reason.choice = choice
	}
	return target{}, reason
}

// plainRejection returns why a request to a plain service has no target.
func (c *call) plainRejection(endpoints []*serving.Endpoint, now time.Time) rejection {
	isHeld := func(e *serving.Endpoint) bool { return c.options.Throttle.Hold(e, now).Temporary() }
	if !slices.ContainsFunc(endpoints, isHeld) {
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

// awaitTarget picks an endpoint, waiting a little if a stream was interrupted at another one. It
// does not wait for a cooldown before the response has started: the end of the cooldown is known,
// and the caller may reach another node.
func (c *call) awaitTarget(ctx context.Context) (target, rejection) {
	t, reason := c.choose(ctx, time.Now())
	if t.Endpoint != nil || c.attempts == 0 || c.route.Kind != serving.KindStream {
		return t, reason
	}
	if reason.cause == causeCooldown && !c.responseStarted {
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
			if t, reason = c.choose(ctx, now); t.Endpoint != nil {
				return t, reason
			}
		}
	}
}

func (c *call) size() RequestSize {
	return RequestSize{Prompt: c.attrs.PromptTokens, Output: c.attrs.OutputTokens(), Objective: c.route.Objective}
}
