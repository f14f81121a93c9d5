package control

import (
	"context"
	"errors"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/platform"
	"github.com/ridgehinge/ridgehinge/pkg/ledger"
	"github.com/ridgehinge/ridgehinge/pkg/placement"
)

// controllerState is the state of the leaseholder of a data centre.
type controllerState struct {
	epoch        uint64
	epochVersion uint64
	// since is when this node became the controller.
	since time.Time
	// ledger is nil until the table's rows have been read under this epoch;
	// no decisions are made before.
	ledger     *ledger.Ledger
	loading    bool
	committing bool
	queue      []placement.Action
}

// warmUpDelay is how long a node collects reports after its start before it
// plans: until then every member appears lost.
const warmUpDelay = 2 * time.Second

// runController plans and commits while this node is the leaseholder.
func (l *Loop) runController(now time.Time) {
	epoch, held := l.lease.Held(now)
	if !held || l.stopping {
		l.controller.ledger = nil
		l.controller.epoch = 0
		l.controller.queue = nil
		return
	}
	if l.controller.epoch != epoch {
		l.controller.epoch = epoch
		l.controller.since = now
		l.controller.ledger = nil
		l.planner = placement.New(l.options.Placement)
	}
	if l.controller.committing {
		return
	}
	if l.controller.ledger == nil {
		l.loadRows()
		return
	}
	if now.Sub(l.start) < warmUpDelay {
		return
	}
	if len(l.controller.queue) > 0 {
		action := l.controller.queue[0]
		l.controller.queue = l.controller.queue[1:]
		l.execute(now, action)
		return
	}
	if !now.Before(l.next.plan) {
		l.next.plan = now.Add(l.intervals.Plan)
		l.controller.queue = l.planner.Step(l.view(now))
		l.sendOrders(now)
	}
}

// rowsRead is the result of reading all rows of the data centre.
type rowsRead struct {
	epoch uint64
	rows  []platform.Row
	err   error
}

func (l *Loop) loadRows() {
	if l.controller.loading {
		return
	}
	l.controller.loading = true
	epoch := l.controller.epoch
	prefix := ledger.Prefix(l.options.Self.DataCentre)
	l.async(func(ctx context.Context) event {
		rows, err := l.options.Platform.Scan(ctx, prefix)
		return rowsRead{epoch, rows, err}
	})
}

func (e rowsRead) apply(l *Loop, _ time.Time) {
	l.controller.loading = false
	if e.err != nil || e.epoch != l.controller.epoch {
		return
	}
	rows := make([]ledger.Row, 0, len(e.rows))
	for _, row := range e.rows {
		rows = append(rows, ledger.Row(row))
	}
	loaded, delta, err := ledger.Load(l.options.Self.DataCentre, e.epoch, l.controller.epochVersion, rows)
	if err != nil {
		l.log.Error("cannot decode a row of the platform's table", "error", err)
		return
	}
	l.controller.ledger = loaded
	l.controller.queue = nil
	l.applyGroups(delta)
}

// view returns the input of a placement step.
func (l *Loop) view(now time.Time) placement.View {
	v := placement.View{Now: now, Groups: l.groups.All()}
	for id, in := range l.instances {
		status, fresh := l.tracker.Status(now, id)
		v.Instances = append(v.Instances, placement.Instance{Instance: in, Fresh: fresh, Report: status.Report})
	}
	soon := now.Add(l.options.Placement.LoadTime)
	for _, entry := range l.store.Entries() {
		t := entry.Template
		if t == nil || t.Model == "" || !t.RunsIn(l.options.Self.DataCentre) {
			continue
		}
		v.Demands = append(v.Demands, placement.Demand{
			Template:       t.Name,
			Weights:        t.WeightsName(),
			Role:           t.Role,
			Size:           t.ReplicaSize,
			Want:           t.GroupsAt(now),
			Soon:           t.GroupsAt(soon),
			WeightDowntime: t.WeightDowntime,
			WeightStranded: t.WeightStranded,
		})
	}
	return v
}

// execute commits one action, or sends its preload order.
func (l *Loop) execute(now time.Time, a placement.Action) {
	if a.Kind == placement.ActionPreload {
		l.orderPreload(now, a)
		return
	}
	change, ok := l.controller.ledger.Change(a, l.groups)
	if !ok {
		// The groups have changed since the step; the next step sees them.
		l.controller.queue = nil
		return
	}
	txn := platform.Txn{Deletes: change.Deletes}
	for _, c := range change.Conditions {
		txn.Conditions = append(txn.Conditions, platform.Condition(c))
	}
	for _, w := range change.Writes {
		txn.Writes = append(txn.Writes, platform.Write(w))
	}
	l.controller.committing = true
	epoch := l.controller.epoch
	l.async(func(ctx context.Context) event {
		outcome, err := l.options.Platform.Commit(ctx, txn)
		return committed{epoch, a, change, outcome, err}
	})
}

// committed is the result of an action's transaction.
type committed struct {
	epoch   uint64
	action  placement.Action
	change  ledger.Change
	outcome platform.Outcome
	err     error
}

func (e committed) apply(l *Loop, now time.Time) {
	l.controller.committing = false
	if l.controller.ledger == nil || e.epoch != l.controller.epoch {
		return
	}
	if e.err != nil || !e.outcome.Committed {
		// The state of the table is unknown now: read it again before the
		// next decision.
		l.controller.ledger = nil
		if !errors.Is(e.err, platform.ErrUnavailable) {
			l.log.Info("lost a race with another controller", "action", e.action.Kind.String())
		}
		return
	}
	l.applyGroups(l.controller.ledger.Committed(e.change, e.outcome.Version))
	l.sendOrders(now)
	group := e.change.Group
	l.log.Info("group changed", "action", e.action.Kind.String(), "group", string(group.ID),
		"template", group.Template, "reason", e.action.Reason)
}
