package control

import (
	"context"
	"errors"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/engine"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
	"github.com/ridgehinge/ridgehinge/pkg/placement"
)

// sendOrders sends orders to endpoints whose reports differ from the committed
// groups. An order is sent again until the endpoint's report matches. It
// carries the group's fencing token, so that endpoints that check it ignore
// late or duplicate orders.
func (l *Loop) sendOrders(now time.Time) {
	member := map[fleet.InstanceID]bool{}
	for _, g := range l.groups.All() {
		for rank, m := range g.Members {
			member[m.Instance] = true
			l.orderMember(now, g, rank, m)
		}
	}
	for id := range l.instances {
		if !member[id] {
			l.orderRelease(now, id)
		}
	}
}

func (l *Loop) orderMember(now time.Time, g fleet.Group, rank int, m fleet.Member) {
	status, fresh := l.tracker.Status(now, m.Instance)
	r := status.Report
	if !fresh || r.Incarnation != m.Incarnation || g.Matches(m, r) {
		return
	}
	loading := r.Phase == fleet.PhaseLoading && r.Group == g.ID && r.Generation == g.Generation
	if loading {
		return
	}
	l.order(now, m.Instance, engine.Order{
		Kind:        engine.OrderLoad,
		Fence:       g.Fence(),
		Group:       g.ID,
		Weights:     g.Weights,
		Role:        g.Role,
		Rank:        rank,
		Members:     g.Members,
		Incarnation: m.Incarnation,
	})
}

// orderRelease releases an endpoint that still reports a group of which it is
// no longer a member.
func (l *Loop) orderRelease(now time.Time, id fleet.InstanceID) {
	status, fresh := l.tracker.Status(now, id)
	if !fresh || status.Report.Group == "" {
		return
	}
	l.order(now, id, engine.Order{
		Kind:        engine.OrderRelease,
		Fence:       l.fence(),
		Incarnation: status.Report.Incarnation,
	})
}

func (l *Loop) orderPreload(now time.Time, a placement.Action) {
	status, fresh := l.tracker.Status(now, a.Instance)
	if !fresh || l.controller.ledger.Owner(a.Instance) != "" {
		return
	}
	l.order(now, a.Instance, engine.Order{
		Kind:        engine.OrderPreload,
		Fence:       l.fence(),
		Weights:     a.Weights,
		Incarnation: status.Report.Incarnation,
	})
}

// fence returns the fencing token of orders outside a group: not lower than
// those of all committed groups and lower than that of the next change.
func (l *Loop) fence() fleet.Fence {
	return fleet.Fence{Epoch: l.controller.epoch, Generation: l.groups.Revision()}
}

// order sends an order unless the last one to the endpoint is too recent. An
// endpoint that does not check fences gets none while an order of an earlier
// controller may still be in flight.
func (l *Loop) order(now time.Time, id fleet.InstanceID, o engine.Order) {
	in, listed := l.instances[id]
	if !listed || now.Sub(l.orders[id]) < l.intervals.Order {
		return
	}
	if !in.ChecksFences && now.Sub(l.controller.since) < l.options.UnfencedWait {
		return
	}
	l.orders[id] = now
	epoch := l.controller.epoch
	l.async(func(ctx context.Context) event {
		return orderSent{id, epoch, l.options.Engine.Order(ctx, in.Address, o)}
	})
}

// orderSent is the result of sending an order.
type orderSent struct {
	id    fleet.InstanceID
	epoch uint64
	err   error
}

func (e orderSent) apply(l *Loop, _ time.Time) {
	if errors.Is(e.err, engine.ErrStale) {
		l.log.Info("endpoint rejected an outdated order", "instance", string(e.id), "epoch", e.epoch)
	}
}
