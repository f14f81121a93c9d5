package relay

import (
	"context"
	"slices"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// target is where a request goes.
type target struct {
	*serving.Endpoint
	predicted Prediction
	// head is the group's, nil for a plain endpoint.
	head *directory.Head
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
	causeQuarantine = "requests like this one have ended the endpoints that ran them"
	causeLimited    = "the endpoints left have no permit of their rate limits"
	causeCooldown   = "the endpoints left have asked for a cooldown"
)

// maxPermitAsks bounds the endpoints at which a request asks for a permit, each of which takes
// a way to another node and back.
const maxPermitAsks = 8

// choose picks an endpoint and takes a permit of it if it limits how much it takes, or tells
// why there is none.
func (c *call) choose(ctx context.Context, now time.Time) (target, refusal) {
	for range maxPermitAsks {
		t, no := c.pick(now)
		if t.Endpoint == nil || c.options.Throttle.Acquire(ctx, t.Endpoint) {
			return t, no
		}
		now = time.Now()
	}
	return target{}, refusal{cause: causeLimited, after: defaultRetryAfter}
}

// pick picks an endpoint that may be sent a request, or tells why there is none.
func (c *call) pick(now time.Time) (target, refusal) {
	view := c.options.View()
	service := view.Configuration.Services[c.service]
	if service.Engine == nil {
		e, ok := c.options.Balancer.ChoosePlain(view.Plain[c.service], c.failed, now)
		if !ok {
			return target{}, c.noPlain(view.Plain[c.service], now)
		}
		return target{Endpoint: e}, refusal{}
	}
	heads := view.Heads[directory.Pool{Service: c.service, Model: c.attrs.Model}]
	choice := c.options.Balancer.ChooseHead(heads, c.size(), c.failed, c.sends > 0, now)
	if choice.Head != nil {
		return target{choice.Head.Endpoint, choice.Predicted, choice.Head}, refusal{}
	}
	no := refusal{cause: causeSuspected, after: defaultRetryAfter, choice: choice}
	switch {
	case choice.Groups == 0:
		no.cause = causeNoGroup
	case choice.Full+choice.Late > 0:
		no.cause = causeFull
		no.after = c.options.Balancer.weights.OverloadRetryAfter
	case choice.CoolingDown+choice.Limited > 0:
		no = c.held(endpointsOf(heads), now)
		no.choice = choice
	}
	return target{}, no
}

// noPlain is why a request to a plain service has no target.
func (c *call) noPlain(endpoints []*serving.Endpoint, now time.Time) refusal {
	isHeld := func(e *serving.Endpoint) bool { return c.options.Throttle.Hold(e, now).Temporary() }
	if !slices.ContainsFunc(endpoints, isHeld) {
		return refusal{cause: causeNoEndpoint, after: defaultRetryAfter}
	}
	return c.held(endpoints, now)
}

// held is why a request has no target where all endpoints that are left are held. Cooldowns
// are this node's own: its caller may come back soon, on a new connection, which may reach
// another node.
func (c *call) held(endpoints []*serving.Endpoint, now time.Time) refusal {
	cooldown := c.options.Throttle.CooldownRetryAfter(endpoints, now)
	limit := c.options.Throttle.LimitRetryAfter(endpoints, now)
	if cooldown > 0 && (limit == 0 || cooldown < limit) {
		return refusal{cause: causeCooldown, after: min(cooldown, c.options.Balancer.weights.OverloadRetryAfter)}
	}
	return refusal{cause: causeLimited, after: limit}
}

func endpointsOf(heads []*directory.Head) []*serving.Endpoint {
	out := make([]*serving.Endpoint, 0, len(heads))
	for _, h := range heads {
		out = append(out, h.Endpoint)
	}
	return out
}

const (
	// resumeWait is how long a stream that broke waits for another endpoint:
	// a repair by a warm spare takes about as long, and its caller waits for
	// two seconds between events at least.
	resumeWait = 1500 * time.Millisecond
	resumePoll = 50 * time.Millisecond
)

// await picks an endpoint. A stream that was under way at another endpoint waits a little for
// one. One that no endpoint has begun does not wait for a cooldown: its end is known, and the
// caller may reach another node.
func (c *call) await(ctx context.Context) (target, refusal) {
	t, no := c.choose(ctx, time.Now())
	if t.Endpoint != nil || c.sends == 0 || c.route.Kind != serving.KindStream {
		return t, no
	}
	if no.cause == causeCooldown && !c.begun {
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
			if t, no = c.choose(ctx, now); t.Endpoint != nil {
				return t, no
			}
		}
	}
}

func (c *call) size() RequestSize {
	return RequestSize{Prompt: c.attrs.PromptTokens, Answer: c.attrs.AnswerTokens(), Objective: c.route.Objective}
}
