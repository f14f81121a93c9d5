package control

import (
	"context"
	"errors"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/platform"
	"github.com/ridgehinge/ridgehinge/pkg/ledger"
	"github.com/ridgehinge/ridgehinge/pkg/placement"
)

// controller is what a node knows while it holds its data centre's lease.
type controller struct {
	epoch        uint64
	epochVersion uint64
	// since is when this node became the controller.
	since time.Time
	// ledger is nil until the table's rows were read under this epoch;
	// nothing is decided before.
	ledger     *ledger.Ledger
	loading    bool
	committing bool
	queue      []placement.Action
}

// warmUp is how long a node gathers evidence after its start before it
// decides anything: until then every member looks lost to it.
const warmUp = 2 * time.Second

// runController decides and commits while this node holds the lease.
func (l *Loop) runController(now time.Time) {
	epoch, held := l.lease.Held(now)
	if !held || l.leaving {
		l.control.ledger = nil
		l.control.epoch = 0
		l.control.queue = nil
		return
	}
	if l.control.epoch != epoch {
		l.control.epoch = epoch
		l.control.since = now
		l.control.ledger = nil
		l.planner = placement.New(l.options.Placement)
	}
	if l.control.committing {
		return
	}
	if l.control.ledger == nil {
		l.loadRows()
		return
	}
	if now.Sub(l.start) < warmUp {
		return
	}
	if len(l.control.queue) > 0 {
		action := l.control.queue[0]
		l.control.queue = l.control.queue[1:]
		l.carryOut(now, action)
		return
	}
	if !now.Before(l.next.plan) {
		l.next.plan = now.Add(l.intervals.Plan)
		l.control.queue = l.planner.Step(l.view(now))
		l.sendOrders(now)
	}
}

// rowsRead is all rows of the data centre.
type rowsRead struct {
	epoch uint64
	rows  []platform.Row
	err   error
}

func (l *Loop) loadRows() {
	if l.control.loading {
		return
	}
	l.control.loading = true
	epoch := l.control.epoch
	prefix := ledger.Prefix(l.options.Self.DataCentre)
	l.async(func(ctx context.Context) event {
		rows, err := l.options.Platform.Scan(ctx, prefix)
		return rowsRead{epoch, rows, err}
	})
}

func (e rowsRead) apply(l *Loop, _ time.Time) {
	l.control.loading = false
	if e.err != nil || e.epoch != l.control.epoch {
		return
	}
	rows := make([]ledger.Row, 0, len(e.rows))
	for _, row := range e.rows {
		rows = append(rows, ledger.Row(row))
	}
	loaded, delta, err := ledger.Load(l.options.Self.DataCentre, e.epoch, l.control.epochVersion, rows)
	if err != nil {
		l.log.Error("a row of the table cannot be read", "error", err)
		return
	}
	l.control.ledger = loaded
	l.control.queue = nil
	l.applyGroups(delta)
}

// view gathers what a placement step depends on.
func (l *Loop) view(now time.Time) placement.View {
	v := placement.View{Now: now, Groups: l.groups.All()}
	for id, in := range l.instances {
		status, fresh := l.tracker.Status(now, id)
		v.Instances = append(v.Instances, placement.Instance{Instance: in, Fresh: fresh, Report: status.Report})
	}
	ahead := now.Add(l.options.Placement.LoadTime)
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
			Soon:           t.GroupsAt(ahead),
			WeightDowntime: t.WeightDowntime,
			WeightStranded: t.WeightStranded,
		})
	}
	return v
}

// carryOut commits one action, or sends the order that it asks for.
func (l *Loop) carryOut(now time.Time, a placement.Action) {
	if a.Kind == placement.ActionPreload {
		l.orderPreload(now, a)
		return
	}
	change, ok := l.control.ledger.Change(a, l.groups)
	if !ok {
		// The view has moved on since the step; the next one sees it.
		l.control.queue = nil
		return
	}
	txn := platform.Txn{Deletes: change.Deletes}
	for _, c := range change.Conditions {
		txn.Conditions = append(txn.Conditions, platform.Condition(c))
	}
	for _, w := range change.Writes {
		txn.Writes = append(txn.Writes, platform.Write(w))
	}
	l.control.committing = true
	epoch := l.control.epoch
	l.async(func(ctx context.Context) event {
		outcome, err := l.options.Platform.Commit(ctx, txn)
		return committed{epoch, a, change, outcome, err}
	})
}

// committed is the outcome of an action's transaction.
type committed struct {
	epoch   uint64
	action  placement.Action
	change  ledger.Change
	outcome platform.Outcome
	err     error
}

func (e committed) apply(l *Loop, now time.Time) {
	l.control.committing = false
	if l.control.ledger == nil || e.epoch != l.control.epoch {
		return
	}
	if e.err != nil || !e.outcome.Committed {
		// What the table holds is not known here any more: read it again
		// before the next decision.
		l.control.ledger = nil
		if !errors.Is(e.err, platform.ErrUnavailable) {
			l.log.Info("another controller was first", "action", e.action.Kind.String())
		}
		return
	}
	l.applyGroups(l.control.ledger.Committed(e.change, e.outcome.Version))
	l.sendOrders(now)
	group := e.change.Group
	l.log.Info("changed a group", "action", e.action.Kind.String(), "group", string(group.ID),
		"template", group.Template, "reason", e.action.Reason)
}
