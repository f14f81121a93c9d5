package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/platform"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
	"github.com/ridgehinge/ridgehinge/pkg/placement"
)

// controller is what a node knows while it holds its data centre's lease.
type controller struct {
	epoch        uint64
	epochVersion uint64
	// since is when this node became the controller.
	since time.Time
	// loaded is set once the table's groups and owners were read under this
	// epoch; nothing is decided before.
	loaded  bool
	loading bool
	// rows has the versions of the data centre's rows.
	rows       map[string]uint64
	owners     map[fleet.InstanceID]fleet.GroupID
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
		l.control.loaded = false
		l.control.epoch = 0
		l.control.queue = nil
		return
	}
	if l.control.epoch != epoch {
		l.control.epoch = epoch
		l.control.since = now
		l.control.loaded = false
		l.planner = placement.New(l.options.Placement)
	}
	if l.control.committing {
		return
	}
	if !l.control.loaded {
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
		l.next.plan = now.Add(l.options.Intervals.Plan)
		l.control.queue = l.planner.Step(l.view(now))
	}
	l.sendOrders(now)
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
	prefix := "dc/" + string(l.options.Self.DataCentre) + "/"
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
	if err := l.takeRows(e.rows); err != nil {
		l.log.Error("a row of the table cannot be read", "error", err)
		return
	}
	l.control.loaded = true
	l.control.queue = nil
}

func (l *Loop) takeRows(rows []platform.Row) error {
	dc := l.options.Self.DataCentre
	delta := fleet.GroupsDelta{Whole: true}
	owners := map[fleet.InstanceID]fleet.GroupID{}
	versions := map[string]uint64{}
	for _, row := range rows {
		versions[row.Key] = row.Version
		if row.Key == headKey(dc) {
			var head groupsHead
			if err := json.Unmarshal(row.Value, &head); err != nil {
				return fmt.Errorf("%s: %w", row.Key, err)
			}
			delta.To = head.Revision
			continue
		}
		if strings.HasPrefix(row.Key, groupPrefix(dc)) {
			var g fleet.Group
			if err := json.Unmarshal(row.Value, &g); err != nil {
				return fmt.Errorf("%s: %w", row.Key, err)
			}
			delta.Groups = append(delta.Groups, g)
			continue
		}
		if id, ok := strings.CutPrefix(row.Key, ownerPrefix(dc)); ok {
			var owner ownerRow
			if err := json.Unmarshal(row.Value, &owner); err != nil {
				return fmt.Errorf("%s: %w", row.Key, err)
			}
			owners[fleet.InstanceID(id)] = owner.Group
		}
	}
	l.control.rows = versions
	l.control.owners = owners
	l.applyGroups(delta)
	return nil
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
	txn, group, ok := l.transaction(a)
	if !ok {
		// The view has moved on since the step; the next one sees it.
		l.control.queue = nil
		return
	}
	l.control.committing = true
	epoch := l.control.epoch
	l.async(func(ctx context.Context) event {
		outcome, err := l.options.Platform.Commit(ctx, txn)
		return committed{epoch, a, group, txn, outcome, err}
	})
}

// transaction turns an action into a conditional write: the epoch is still
// this node's, nobody has changed the data centre's groups since they were
// read, and every new member belongs to no group.
func (l *Loop) transaction(a placement.Action) (platform.Txn, fleet.Group, bool) {
	dc := l.options.Self.DataCentre
	rows := l.control.rows
	revision := l.groups.Revision() + 1
	old, exists := l.groups.Get(a.Group.ID)
	if exists == (a.Kind == placement.ActionForm) {
		return platform.Txn{}, old, false
	}
	group := a.Group
	group.DataCentre = dc
	group.Revision = revision
	switch a.Kind {
	case placement.ActionForm:
		group.ID = fleet.GroupID(fmt.Sprintf("%s-%d-%d", dc, l.control.epoch, revision))
		group.Epoch, group.Generation = l.control.epoch, revision
	case placement.ActionRepair:
		group.Epoch, group.Generation = l.control.epoch, revision
	case placement.ActionEnd:
		group.Gone = true
	}
	txn := platform.Txn{
		Conditions: []platform.Condition{
			{Key: headKey(dc), Version: rows[headKey(dc)]},
			{Key: epochKey(dc), Version: l.control.epochVersion},
			{Key: groupKey(dc, group.ID), Version: rows[groupKey(dc, group.ID)]},
		},
		Writes: []platform.Write{
			{Key: headKey(dc), Value: groupsHead{Revision: revision}},
			{Key: groupKey(dc, group.ID), Value: group},
		},
	}
	if !l.addOwners(&txn, old, group) {
		return txn, group, false
	}
	return txn, group, true
}

// addOwners adds the rows of the instances that join or leave a group.
func (l *Loop) addOwners(txn *platform.Txn, old, group fleet.Group) bool {
	dc := l.options.Self.DataCentre
	for _, m := range group.Members {
		if group.Gone || old.Has(m.Instance) {
			continue
		}
		if owner := l.control.owners[m.Instance]; owner != "" {
			return false
		}
		key := ownerKey(dc, m.Instance)
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: key, Version: l.control.rows[key]})
		txn.Writes = append(txn.Writes, platform.Write{Key: key, Value: ownerRow{group.ID, group.Generation}})
	}
	for _, m := range old.Members {
		if group.Has(m.Instance) && !group.Gone {
			continue
		}
		key := ownerKey(dc, m.Instance)
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: key, Version: l.control.rows[key]})
		txn.Writes = append(txn.Writes, platform.Write{Key: key, Value: ownerRow{}})
	}
	return true
}

// committed is the outcome of an action's transaction.
type committed struct {
	epoch   uint64
	action  placement.Action
	group   fleet.Group
	txn     platform.Txn
	outcome platform.Outcome
	err     error
}

func (e committed) apply(l *Loop, _ time.Time) {
	l.control.committing = false
	if e.err != nil || !e.outcome.Committed {
		// What the table holds is not known here any more: read it again
		// before the next decision.
		l.control.loaded = false
		if !errors.Is(e.err, platform.ErrUnavailable) {
			l.log.Info("another controller was first", "action", e.action.Kind.String())
		}
		return
	}
	for _, w := range e.txn.Writes {
		l.control.rows[w.Key] = e.outcome.Version
		l.noteOwner(w)
	}
	l.applyGroups(fleet.GroupsDelta{Since: e.group.Revision - 1, To: e.group.Revision, Groups: []fleet.Group{e.group}})
	l.log.Info("changed a group", "action", e.action.Kind.String(), "group", string(e.group.ID),
		"template", e.group.Template, "reason", e.action.Reason)
}

func (l *Loop) noteOwner(w platform.Write) {
	owner, ok := w.Value.(ownerRow)
	if !ok {
		return
	}
	id := strings.TrimPrefix(w.Key, ownerPrefix(l.options.Self.DataCentre))
	l.control.owners[fleet.InstanceID(id)] = owner.Group
}
