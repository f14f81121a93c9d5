package groupcontrol

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// condition is what a report must show.
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

// left reports that an endpoint is not in a group any more.
func left(name string, epoch uint64) condition {
	return func(r serving.Report) bool { return !inGroup(name, epoch)(r) }
}

// ensure gives an order until it was taken or its condition holds. An order
// names the number of orders that the endpoint has taken, so that one without
// an answer is settled before the next, and is refused if it comes late.
//
// A join is given only to an endpoint that was in no other group at that very
// number of orders. What rows and peers say of it may be old: a controller that
// took over joined an endpoint whose row did not yet show its open group.
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

// refreshReports asks endpoints that were thought free, one of which is not: what is
// believed of only a part of a group would look like a group that lost members.
func (o *operation) refreshReports(ctx context.Context, members []*serving.Endpoint) {
	var wg sync.WaitGroup
	for _, e := range members {
		wg.Go(func() { _, _ = o.report(ctx, e) })
	}
	wg.Wait()
}

// markInOtherGroup leaves an endpoint alone for a while that is in a group
// although its row says otherwise.
func (o *operation) markInOtherGroup(e *serving.Endpoint, state knownState) {
	o.log.Info("an endpoint is not free", "endpoint", string(e.ID), "group", state.membership.Group, "epoch", state.membership.Epoch, "orders", state.orders)
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.knownStates, e.ID)
	o.inOtherGroup[e.ID] = time.Now()
}

// recordAccepted notes what an endpoint is after it took an order. A leave takes
// effect at once, so endpoints answer that it is done: were that not noted, the
// endpoint would count as a member until its row says otherwise, and its next
// join would name the wrong number of orders. If it had left before, its number
// is one too high here, and the next order is refused and settled by asking.
//
// A leave of a group that it is not in is done as well, and changes nothing: an
// endpoint that was in another group was taken for free, and joined and left in
// vain once a second. One that is believed in no group takes no order by it: its number is
// asked for before the next one.
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

// reportWithRetry has an endpoint report, and gives it up if it does not twice.
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
	o.markDead(e, "it did not answer")
	return report, errMemberLost
}

// Times between two questions to an endpoint that is on its way. Questions
// are priced; the endpoint's row is read all the time and tells it as well,
// a little later.
const (
	fastPollInterval = 250 * time.Millisecond
	slowPollInterval = 2 * time.Second
	// fastPollPeriod is how long after the expected time an endpoint is asked
	// often.
	fastPollPeriod = 1500 * time.Millisecond
)

// await waits until an endpoint's row or report meets a condition. It asks
// first when the endpoint is expected to be there.
func (o *operation) await(ctx context.Context, e *serving.Endpoint, expected, limit time.Duration, met condition) error {
	start := time.Now()
	next := start.Add(expected)
	for time.Since(start) < limit {
		row := o.directory.View().Endpoints[e.ID]
		if row == nil {
			o.markDead(e, "it is not listed any more")
			return errMemberLost
		}
		if row.StartedAt != e.StartedAt {
			o.markDead(e, "it has begun anew")
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

// pause waits, unless the context ends first.
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
