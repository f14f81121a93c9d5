package groupcontrol

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// condition is a requirement on an endpoint's report.
type condition func(serving.Report) bool

func inGroup(name string, epoch uint64) condition {
	return func(r serving.Report) bool { return r.Membership.Group == name && r.Membership.Epoch == epoch }
}

func ready(name string, epoch uint64) condition {
	return func(r serving.Report) bool {
		return inGroup(name, epoch)(r) && (r.Membership.State == serving.MemberReady || r.Membership.State == serving.MemberOpen)
	}
}

func opened(name string, epoch uint64) condition {
	return func(r serving.Report) bool {
		return inGroup(name, epoch)(r) && r.Membership.State == serving.MemberOpen
	}
}

// left is met when the endpoint is no longer in the group.
func left(name string, epoch uint64) condition {
	return func(r serving.Report) bool { return !inGroup(name, epoch)(r) }
}

// ensure sends an order until the endpoint accepts it or the condition is met. Each order
// carries the number of orders that the endpoint is expected to have accepted, so an order
// without a response is resolved before the next one, and a delayed one is rejected.
//
// A join is sent only to an endpoint that was in no other group at exactly that number of
// orders. Its row may be stale: a new controller could otherwise take a member out of an open
// group.
func (o *operation) ensure(ctx context.Context, e *serving.Endpoint, order serving.Order, met condition) error {
	for range maxOrderAttempts {
		state, known := o.lastState(e)
		if !known {
			report, err := o.reportWithRetry(ctx, e)
			if err != nil {
				return err
			}
			if met(report) {
				return nil
			}
			state = knownState{report.StartedAt, report.Orders, report.Membership}
		}
		if order.Kind == serving.OrderJoin && state.membership.Group != "" && state.membership.Group != order.Group {
			o.markInOtherGroup(e, state)
			return errInGroup
		}
		order.Expected = state.orders
		done, err := o.order(ctx, e, order)
		switch {
		case err == nil:
			if !done || order.Kind == serving.OrderLeave {
				o.recordAccepted(e, order, state)
			}
			return nil
		case errors.Is(err, errLeaseLost), errors.Is(err, ErrFenced):
			return err
		case errors.Is(err, ErrOtherIncarnation):
			o.markDead(e, "another incarnation has its address")
			return errMemberLost
		}
		o.forgetState(e.ID)
		if err := pause(ctx, checkInterval); err != nil {
			return err
		}
	}
	return errTimeout
}

// refreshReports gets reports from all members after one of them turned out to be in another
// group. Knowing only some members of that group would make it look incomplete.
func (o *operation) refreshReports(ctx context.Context, members []*serving.Endpoint) {
	var wg sync.WaitGroup
	for _, e := range members {
		wg.Go(func() { _, _ = o.report(ctx, e) })
	}
	wg.Wait()
}

// markInOtherGroup excludes an endpoint for a while that is in a group although its row shows
// none.
func (o *operation) markInOtherGroup(e *serving.Endpoint, state knownState) {
	o.log.Info("endpoint is already in another group", "endpoint", string(e.ID), "group", state.membership.Group, "epoch", state.membership.Epoch, "orders", state.orders)
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.knownStates, e.ID)
	o.inOtherGroup[e.ID] = time.Now()
}

// recordAccepted records the state of an endpoint after it accepted an order. A leave takes
// effect at once; without the record the endpoint would count as a member until its row
// changes, and its next join would carry the wrong number of orders. If the endpoint had left
// before, the recorded number is one too high, and the next order is rejected and resolved by
// a report.
//
// A leave for a group that the endpoint is not in succeeds without effect, so the endpoint
// must not be recorded as free: it would join a new group and leave it in vain about once a
// second. If it was believed to be in no group, its number of orders is unknown and is read
// again before the next order.
func (o *operation) recordAccepted(e *serving.Endpoint, order serving.Order, state knownState) {
	if order.Kind == serving.OrderLeave && state.membership.Group != "" && state.membership.Group != order.Group {
		o.recordState(e.ID, state)
		o.observe(e, serving.Report{StartedAt: e.StartedAt, Membership: state.membership, Model: e.Model, Orders: state.orders})
		return
	}
	if order.Kind == serving.OrderLeave && state.membership.Group == "" {
		o.forgetState(e.ID)
		return
	}
	state.orders++
	switch order.Kind {
	case serving.OrderJoin:
		state.membership = serving.Membership{
			Group: order.Group,
			Epoch: order.Epoch,
			Rank:  slices.Index(order.Members, e.ID),
			State: serving.MemberJoining,
		}
	case serving.OrderLeave:
		state.membership = serving.Membership{}
	}
	model := e.Model
	if order.Kind == serving.OrderJoin {
		model = order.Model
	}
	o.recordState(e.ID, state)
	if order.Kind == serving.OrderJoin || order.Kind == serving.OrderLeave {
		o.observe(e, serving.Report{StartedAt: e.StartedAt, Membership: state.membership, Model: model, Orders: state.orders})
	}
}

// reportWithRetry gets a report in at most two attempts and marks the endpoint dead if both
// fail.
func (o *operation) reportWithRetry(ctx context.Context, e *serving.Endpoint) (serving.Report, error) {
	var report serving.Report
	var err error
	for range 2 {
		report, err = o.report(ctx, e)
		switch {
		case err == nil:
			return report, nil
		case ctx.Err() != nil:
			return report, context.Cause(ctx)
		case errors.Is(err, ErrOtherIncarnation):
			o.markDead(e, "another incarnation has its address")
			return report, errMemberLost
		}
	}
	o.markSilent(ctx, e, "no response to two report requests")
	return report, errMemberLost
}

// Intervals between reports from an endpoint that is expected to change its state. A report
// costs a call; the endpoint's row, which is watched anyway, shows the change a little later.
const (
	fastPollInterval = 250 * time.Millisecond
	slowPollInterval = 2 * time.Second
	// fastPollPeriod is how long after the expected time the short interval applies.
	fastPollPeriod = 1500 * time.Millisecond
)

// await waits until an endpoint's row or report meets a condition. The first report is
// requested at the expected time.
func (o *operation) await(ctx context.Context, e *serving.Endpoint, expected, limit time.Duration, met condition) error {
	start := time.Now()
	next := start.Add(expected)
	for time.Since(start) < limit {
		row := o.directory.Endpoint(e.ID)
		if row == nil {
			o.markDead(e, "it is no longer listed")
			return errMemberLost
		}
		if row.StartedAt != e.StartedAt {
			o.markDead(e, "it restarted")
			return errMemberLost
		}
		if met(serving.Report{Membership: row.Membership, Model: row.Model}) {
			return nil
		}
		if now := time.Now(); !now.Before(next) {
			report, err := o.reportWithRetry(ctx, e)
			if err != nil {
				return err
			}
			if met(report) {
				return nil
			}
			next = now.Add(slowPollInterval)
			if now.Sub(start.Add(expected)) < fastPollPeriod {
				next = now.Add(fastPollInterval)
			}
		}
		if err := pause(ctx, checkInterval/2); err != nil {
			return err
		}
	}
	return errTimeout
}

// pause sleeps, or returns early when the context is cancelled.
func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
