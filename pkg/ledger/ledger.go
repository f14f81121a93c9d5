// Package ledger converts a controller's placement actions into conditional
// transactions on the platform's table.
//
// The conditions make them safe: each instance has an owner row, which names
// its group. An instance joins a group only in a transaction whose conditions
// require that the owner row and the data centre's epoch and head rows are
// unchanged since they were read. The transactions of a controller that was
// paused beyond the end of its lease fail because the epoch row has changed.
//
// Ledger is pure: the caller commits the transactions and reports the results.
package ledger

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/ridgehinge/ridgehinge/pkg/fleet"
	"github.com/ridgehinge/ridgehinge/pkg/placement"
)

// Head is the row with the revision of a data centre's groups.
type Head struct {
	Revision uint64 `json:"revision"`
}

// Owner is an instance's row. The group of a free instance is empty.
type Owner struct {
	Group      fleet.GroupID `json:"group"`
	Generation uint64        `json:"generation"`
}

// Epoch is the row that changes only when the leaseholder changes.
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

// Row is a row of the table. Version 0 means that it does not exist.
type Row struct {
	Key     string
	Version uint64
	Value   json.RawMessage
}

// Condition requires that a row has a version.
type Condition struct {
	Key     string
	Version uint64
}

// Write is a row to write.
type Write struct {
	Key   string
	Value any
}

// Change is a transaction and the group that results from it.
type Change struct {
	Conditions []Condition
	Writes     []Write
	// Deletes are the rows of groups whose tombstones have expired.
	Deletes []string
	Group   fleet.Group
}

// TombstoneRevisions is the number of revisions for which the tombstone of a
// deleted group is kept. A node that is further behind needs a snapshot.
const TombstoneRevisions = 200

// maxDeletes bounds the rows that one transaction deletes.
const maxDeletes = 16

// Ledger is a controller's view of its data centre's rows.
type Ledger struct {
	dc       fleet.DataCentre
	epoch    uint64
	versions map[string]uint64
	owners   map[fleet.InstanceID]fleet.GroupID
	// deleted has the revisions of the deleted groups whose rows still exist.
	deleted map[fleet.GroupID]uint64
}

// Load returns the ledger of a data centre for a lease epoch. The version of
// the epoch row must be that of the lease's acquisition, not of the given rows:
// if another node has acquired the lease since, every transaction must fail.
// The delta is a snapshot of the groups.
func Load(dc fleet.DataCentre, epoch, epochVersion uint64, rows []Row) (*Ledger, fleet.GroupsDelta, error) {
	l := &Ledger{
		dc:       dc,
		epoch:    epoch,
		versions: map[string]uint64{},
		owners:   map[fleet.InstanceID]fleet.GroupID{},
		deleted:  map[fleet.GroupID]uint64{},
	}
	delta := fleet.GroupsDelta{Full: true}
	for _, row := range rows {
		l.versions[row.Key] = row.Version
		if err := l.loadRow(row, &delta); err != nil {
			return nil, delta, fmt.Errorf("row %s: %w", row.Key, err)
		}
	}
	l.versions[EpochKey(dc)] = epochVersion
	return l, delta, nil
}

func (l *Ledger) loadRow(row Row, delta *fleet.GroupsDelta) error {
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
			l.deleted[g.ID] = g.Revision
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

// Owner returns the group of an instance, which is empty if it is free.
func (l *Ledger) Owner(id fleet.InstanceID) fleet.GroupID { return l.owners[id] }

// Change returns the transaction for an action. It returns false if the action
// does not apply to the current groups and owners.
func (l *Ledger) Change(a placement.Action, groups *fleet.Groups) (Change, bool) {
	revision := groups.Revision() + 1
	previous, exists := groups.Get(a.Group.ID)
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
	case placement.ActionDissolve:
		group.Deleted = true
	}
	c := Change{Group: group}
	// The head must be the first write: its row shows whether a transaction
	// without a response was committed.
	l.addWrite(&c, HeadKey(l.dc), Head{Revision: revision})
	l.addWrite(&c, GroupKey(l.dc, group.ID), group)
	c.Conditions = append(c.Conditions, Condition{EpochKey(l.dc), l.versions[EpochKey(l.dc)]})
	l.addDeletes(&c)
	return c, l.addOwners(&c, previous)
}

// addDeletes adds the rows of groups whose tombstones have expired, which
// bounds the size of the table.
func (l *Ledger) addDeletes(c *Change) {
	for id, revision := range l.deleted {
		if revision+TombstoneRevisions < c.Group.Revision && len(c.Deletes) < maxDeletes {
			c.Deletes = append(c.Deletes, GroupKey(l.dc, id))
		}
	}
}

func (l *Ledger) addWrite(c *Change, key string, value any) {
	c.Conditions = append(c.Conditions, Condition{key, l.versions[key]})
	c.Writes = append(c.Writes, Write{key, value})
}

// addOwners adds the owner rows of the instances that join or leave the group.
// It returns false if another group owns one of them.
func (l *Ledger) addOwners(c *Change, previous fleet.Group) bool {
	for _, m := range c.Group.Members {
		if c.Group.Deleted || previous.Has(m.Instance) {
			continue
		}
		if l.owners[m.Instance] != "" {
			return false
		}
		l.addWrite(c, OwnerKey(l.dc, m.Instance), Owner{c.Group.ID, c.Group.Generation})
	}
	for _, m := range previous.Members {
		if c.Group.Deleted || !c.Group.Has(m.Instance) {
			l.addWrite(c, OwnerKey(l.dc, m.Instance), Owner{})
		}
	}
	return true
}

// Committed applies a committed transaction and returns the delta of the
// groups.
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
		delete(l.deleted, fleet.GroupID(strings.TrimPrefix(key, GroupPrefix(l.dc))))
	}
	if c.Group.Deleted {
		l.deleted[c.Group.ID] = c.Group.Revision
	}
	return fleet.GroupsDelta{Since: c.Group.Revision - 1, To: c.Group.Revision, Groups: []fleet.Group{c.Group}}
}
