// Package ledger turns a controller's decisions about replica groups into
// conditional transactions on the platform's table.
//
// The table gives the safety: each instance has an owner row, which names the
// group that it belongs to. A group takes an instance only in a transaction
// whose conditions say that the row is still as it was read, and that the
// data centre's epoch and head have not moved. A controller that was paused
// past its lease fails at the epoch row, whatever it believes.
//
// Ledger is pure: it makes transactions and learns of their outcomes, and the
// caller talks to the table.
package ledger

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/ridgehinge/ridgehinge/pkg/fleet"
	"github.com/ridgehinge/ridgehinge/pkg/placement"
)

// Head is the row that numbers a data centre's group changes.
type Head struct {
	Revision uint64 `json:"revision"`
}

// Owner is an instance's row; an empty group is a free instance.
type Owner struct {
	Group      fleet.GroupID `json:"group"`
	Generation uint64        `json:"generation"`
}

// Epoch is the row that changes when the lease changes hands, and only then.
type Epoch struct {
	Epoch  uint64 `json:"epoch"`
	Holder string `json:"holder"`
}

// Prefix returns the prefix of all rows of a data centre.
func Prefix(dc fleet.DataCentre) string { return "dc/" + string(dc) + "/" }

// HeadKey returns the key of the head row.
func HeadKey(dc fleet.DataCentre) string { return Prefix(dc) + "head" }

// LeaseKey returns the key of the lease row.
func LeaseKey(dc fleet.DataCentre) string { return Prefix(dc) + "lease" }

// EpochKey returns the key of the epoch row.
func EpochKey(dc fleet.DataCentre) string { return Prefix(dc) + "epoch" }

// GroupPrefix returns the prefix of the group rows.
func GroupPrefix(dc fleet.DataCentre) string { return Prefix(dc) + "g/" }

// OwnerPrefix returns the prefix of the owner rows.
func OwnerPrefix(dc fleet.DataCentre) string { return Prefix(dc) + "i/" }

// GroupKey returns the key of a group's row.
func GroupKey(dc fleet.DataCentre, id fleet.GroupID) string { return GroupPrefix(dc) + string(id) }

// OwnerKey returns the key of an instance's owner row.
func OwnerKey(dc fleet.DataCentre, id fleet.InstanceID) string { return OwnerPrefix(dc) + string(id) }

// Row is one row as the table has it; version 0 is an absent row.
type Row struct {
	Key     string
	Version uint64
	Value   json.RawMessage
}

// Condition asks that a row still has a version.
type Condition struct {
	Key     string
	Version uint64
}

// Write is one row to write.
type Write struct {
	Key   string
	Value any
}

// Change is one transaction and the group that it leads to.
type Change struct {
	Conditions []Condition
	Writes     []Write
	// Deletes are the rows of groups that ended long ago.
	Deletes []string
	Group   fleet.Group
}

// KeepTombstones is for how many revisions an ended group is remembered. A
// node that is further behind reads all groups anew.
const KeepTombstones = 200

// maxDeletes bounds the rows that one transaction deletes.
const maxDeletes = 16

// Ledger is what a controller knows of its data centre's rows.
type Ledger struct {
	dc       fleet.DataCentre
	epoch    uint64
	versions map[string]uint64
	owners   map[fleet.InstanceID]fleet.GroupID
	// ended has the revisions of the ended groups whose rows are still there.
	ended map[fleet.GroupID]uint64
}

// Load reads the rows of a data centre under a lease's epoch. The epoch row's
// version is that of the acquisition, not the one read now: if another node
// has taken over meanwhile, every transaction must fail. The delta brings a
// groups store up to date.
func Load(dc fleet.DataCentre, epoch, epochVersion uint64, rows []Row) (*Ledger, fleet.GroupsDelta, error) {
	l := &Ledger{
		dc:       dc,
		epoch:    epoch,
		versions: map[string]uint64{},
		owners:   map[fleet.InstanceID]fleet.GroupID{},
		ended:    map[fleet.GroupID]uint64{},
	}
	delta := fleet.GroupsDelta{Full: true}
	for _, row := range rows {
		l.versions[row.Key] = row.Version
		if err := l.load(row, &delta); err != nil {
			return nil, delta, fmt.Errorf("row %s: %w", row.Key, err)
		}
	}
	l.versions[EpochKey(dc)] = epochVersion
	return l, delta, nil
}

func (l *Ledger) load(row Row, delta *fleet.GroupsDelta) error {
	if row.Key == HeadKey(l.dc) {
		var head Head
		err := json.Unmarshal(row.Value, &head)
		delta.To = head.Revision
		return err
	}
	if strings.HasPrefix(row.Key, GroupPrefix(l.dc)) {
		var g fleet.Group
		err := json.Unmarshal(row.Value, &g)
		delta.Groups = append(delta.Groups, g)
		if g.Deleted {
			l.ended[g.ID] = g.Revision
		}
		return err
	}
	if id, ok := strings.CutPrefix(row.Key, OwnerPrefix(l.dc)); ok {
		var owner Owner
		err := json.Unmarshal(row.Value, &owner)
		l.owners[fleet.InstanceID(id)] = owner.Group
		return err
	}
	return nil
}

// Owner returns the group that an instance belongs to, or none.
func (l *Ledger) Owner(id fleet.InstanceID) fleet.GroupID { return l.owners[id] }

// Change makes the transaction for an action on the groups as they are. It
// returns false when the action no longer fits them.
func (l *Ledger) Change(a placement.Action, groups *fleet.Groups) (Change, bool) {
	revision := groups.Revision() + 1
	old, exists := groups.Get(a.Group.ID)
	if exists == (a.Kind == placement.ActionForm) {
		return Change{}, false
	}
	group := a.Group
	group.DataCentre = l.dc
	group.Revision = revision
	switch a.Kind {
	case placement.ActionForm:
		group.ID = fleet.GroupID(fmt.Sprintf("%s-%d-%d", l.dc, l.epoch, revision))
		group.Epoch, group.Generation = l.epoch, revision
	case placement.ActionRepair:
		group.Epoch, group.Generation = l.epoch, revision
	case placement.ActionEnd:
		group.Deleted = true
	}
	c := Change{Group: group}
	// The head comes first: its row settles a doubt about the outcome.
	l.add(&c, HeadKey(l.dc), Head{Revision: revision})
	l.add(&c, GroupKey(l.dc, group.ID), group)
	c.Conditions = append(c.Conditions, Condition{EpochKey(l.dc), l.versions[EpochKey(l.dc)]})
	l.addDeletes(&c)
	return c, l.addOwners(&c, old)
}

// addDeletes takes the rows of groups that ended long ago along, or the table
// would keep every group that there ever was.
func (l *Ledger) addDeletes(c *Change) {
	for id, revision := range l.ended {
		if revision+KeepTombstones < c.Group.Revision && len(c.Deletes) < maxDeletes {
			c.Deletes = append(c.Deletes, GroupKey(l.dc, id))
		}
	}
}

func (l *Ledger) add(c *Change, key string, value any) {
	c.Conditions = append(c.Conditions, Condition{key, l.versions[key]})
	c.Writes = append(c.Writes, Write{key, value})
}

// addOwners adds the rows of the instances that join or leave the group.
func (l *Ledger) addOwners(c *Change, old fleet.Group) bool {
	for _, m := range c.Group.Members {
		if c.Group.Deleted || old.Has(m.Instance) {
			continue
		}
		if l.owners[m.Instance] != "" {
			return false
		}
		l.add(c, OwnerKey(l.dc, m.Instance), Owner{c.Group.ID, c.Group.Generation})
	}
	for _, m := range old.Members {
		if c.Group.Deleted || !c.Group.Has(m.Instance) {
			l.add(c, OwnerKey(l.dc, m.Instance), Owner{})
		}
	}
	return true
}

// Committed learns that a transaction has taken effect, and returns what it
// means for a groups store.
func (l *Ledger) Committed(c Change, version uint64) fleet.GroupsDelta {
	for _, w := range c.Writes {
		l.versions[w.Key] = version
		if owner, ok := w.Value.(Owner); ok {
			id := strings.TrimPrefix(w.Key, OwnerPrefix(l.dc))
			l.owners[fleet.InstanceID(id)] = owner.Group
		}
	}
	for _, key := range c.Deletes {
		delete(l.versions, key)
		delete(l.ended, fleet.GroupID(strings.TrimPrefix(key, GroupPrefix(l.dc))))
	}
	if c.Group.Deleted {
		l.ended[c.Group.ID] = c.Group.Revision
	}
	return fleet.GroupsDelta{Since: c.Group.Revision - 1, To: c.Group.Revision, Groups: []fleet.Group{c.Group}}
}
