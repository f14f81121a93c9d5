package groupcontrol

import (
	"context"
	"errors"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// report asks an endpoint about itself.
func (c *Controller) report(ctx context.Context, e *serving.Endpoint) (serving.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	report, err := c.endpoints.Report(ctx, e.Address, e.ID)
	if err != nil {
		return report, err
	}
	c.observe(e, report)
	c.recordState(e.ID, knownState{report.StartedAt, report.Orders, report.Membership})
	if report.StartedAt != e.StartedAt {
		// It has begun anew under its id: it is in none of the groups that the incarnation
		// before was in.
		return report, ErrOtherIncarnation
	}
	return report, nil
}

// knownState is an endpoint's membership once one incarnation of it had taken a number of orders.
// An order that names the number reaches the endpoint in that very state, or
// is refused.
type knownState struct {
	startedAt  int64
	orders     uint64
	membership serving.Membership
}

func (c *Controller) recordState(id serving.EndpointID, state knownState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.knownStates[id] = state
}

// lastState returns the last known state of an endpoint's incarnation, if there is one.
func (c *Controller) lastState(e *serving.Endpoint) (knownState, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, ok := c.knownStates[e.ID]
	return state, ok && state.startedAt == e.StartedAt
}

func (c *Controller) forgetState(id serving.EndpointID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.knownStates, id)
}

// observe lets the directory know what an endpoint said, ahead of its row.
func (c *Controller) observe(e *serving.Endpoint, r serving.Report) {
	c.directory.Observe(directory.Observation{
		ID:         e.ID,
		StartedAt:  r.StartedAt,
		Model:      r.Model,
		Membership: r.Membership,
		Orders:     r.Orders,
	}, true, time.Now())
}

// order gives one order, if this node still holds the lease at this moment.
func (c *Controller) order(ctx context.Context, e *serving.Endpoint, o serving.Order) (done bool, err error) {
	epoch, held := c.lease.Held()
	if !held || epoch != o.Fence {
		return false, errLeaseLost
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	done, err = c.endpoints.Order(ctx, e.Address, e.ID, o)
	if errors.Is(err, ErrFenced) {
		c.lease.stepDown("an endpoint has seen a later epoch")
	}
	c.log.Info("gave an order", "order", o.Kind.String(), "endpoint", string(e.ID), "group", o.Group, "epoch", o.Epoch,
		"model", o.Model, "fence", o.Fence, "expected", o.Expected, "done", done, "error", err)
	return done, err
}

var errLeaseLost = errors.New("the lease is not held any more")
