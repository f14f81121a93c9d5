package control

import (
	"context"
	"errors"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/engine"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
	"github.com/ridgehinge/ridgehinge/pkg/placement"
)

// sendOrders brings endpoints into line with the committed groups. An order
// is repeated until the endpoint reports what it should; it carries the fence
// of the group, so that a late or doubled one does no harm on endpoints that
// check it.
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
	under := r.Phase == fleet.PhaseLoading && r.Group == g.ID && r.Generation == g.Generation
	if under {
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

// orderRelease frees an endpoint that still reports a group which it is no
// member of.
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
	if !fresh || l.control.ledger.Owner(a.Instance) != "" {
		return
	}
	l.order(now, a.Instance, engine.Order{
		Kind:        engine.OrderPreload,
		Fence:       l.fence(),
		Weights:     a.Weights,
		Incarnation: status.Report.Incarnation,
	})
}

// fence is for orders outside a group: above all that were committed, below
// the next that will be.
func (l *Loop) fence() fleet.Fence {
	return fleet.Fence{Epoch: l.control.epoch, Generation: l.groups.Revision()}
}

// order sends an order unless the last one to the endpoint is too recent. An
// endpoint that does not check fences gets none while an order of an earlier
// controller may still be under way.
func (l *Loop) order(now time.Time, id fleet.InstanceID, o engine.Order) {
	in, listed := l.instances[id]
	if !listed || now.Sub(l.orders[id]) < l.intervals.Order {
		return
	}
	if !in.ChecksFences && now.Sub(l.control.since) < l.options.UnfencedWait {
		return
	}
	l.orders[id] = now
	epoch := l.control.epoch
	l.async(func(ctx context.Context) event {
		return ordered{id, epoch, l.options.Engine.Order(ctx, in.Address, o)}
	})
}

// ordered is the answer of an endpoint to an order.
type ordered struct {
	id    fleet.InstanceID
	epoch uint64
	err   error
}

func (e ordered) apply(l *Loop, _ time.Time) {
	if errors.Is(e.err, engine.ErrStale) {
		l.log.Info("an endpoint has a newer order", "instance", string(e.id), "epoch", e.epoch)
	}
}
