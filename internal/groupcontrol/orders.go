package groupcontrol

import (
	"context"
	"errors"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// report requests a report and records it.
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
		// It restarted under the same id, so it is in no earlier group.
		return report, ErrOtherIncarnation
	}
	return report, nil
}

// knownState is an endpoint's membership after one of its incarnations had accepted a number
// of orders. An order that carries the number finds the endpoint in exactly this state or is
// rejected.
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

// observe passes an endpoint's report to the directory before its row arrives.
func (c *Controller) observe(e *serving.Endpoint, r serving.Report) {
	c.directory.Observe(directory.Observation{
		ID:         e.ID,
		StartedAt:  r.StartedAt,
		Model:      r.Model,
		Membership: r.Membership,
		Orders:     r.Orders,
	}, true, time.Now())
}

// order sends one order, provided that this node still holds the lease.
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
	c.log.Info("sent an order", "order", o.Kind.String(), "endpoint", string(e.ID), "group", o.Group, "epoch", o.Epoch,
		"model", o.Model, "fence", o.Fence, "expected", o.Expected, "done", done, "error", err)
	return done, err
}

var errLeaseLost = errors.New("the lease is no longer held")
