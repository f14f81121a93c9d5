package fleet

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func delta(since, to uint64, groups ...Group) GroupsDelta {
	return GroupsDelta{Since: since, To: to, Groups: groups}
}

func TestGroups_NeverApplyOlderState(t *testing.T) {
	s := NewGroups()
	assert.True(t, s.Apply(delta(0, 2, Group{ID: "a", Revision: 2, Generation: 2})))
	assert.False(t, s.Apply(delta(0, 1, Group{ID: "a", Revision: 1, Generation: 1})), "older")
	assert.False(t, s.Apply(delta(3, 4)), "a gap")
	assert.True(t, s.Apply(delta(1, 3, Group{ID: "a", Revision: 1}, Group{ID: "b", Revision: 3})), "overlapping")
	g, _ := s.Get("a")
	assert.Equal(t, uint64(2), g.Generation)
	assert.Len(t, s.All(), 2)
}

// Guards against a deleted group that stays on a node which missed the deletion before its
// tombstone was dropped.
func TestGroups_SendSnapshotAfterDroppedTombstone(t *testing.T) {
	s, behind := NewGroups(), NewGroups()
	s.Apply(delta(0, 1, Group{ID: "a", Revision: 1}))
	behind.Apply(s.DeltaSince(0))
	s.Apply(delta(1, 2, Group{ID: "a", Revision: 2, Deleted: true}))
	s.Apply(delta(2, 3, Group{ID: "b", Revision: 3}))
	s.DropTombstones(2)
	d := s.DeltaSince(behind.Revision())
	assert.True(t, d.Full)
	assert.True(t, behind.Apply(d))
	assert.Equal(t, []Group{{ID: "b", Revision: 3}}, behind.All())
}
