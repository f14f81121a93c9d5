package fleet

import "sort"

// Groups has the newest known replica groups of one data centre. It never replaces a group by
// an older state.
type Groups struct {
	revision uint64
	// floor is the revision up to which tombstones have been dropped; a node with a lower
	// revision needs a full snapshot.
	floor  uint64
	groups map[GroupID]Group
}

// NewGroups returns an empty store at revision 0.
func NewGroups() *Groups {
	return &Groups{groups: map[GroupID]Group{}}
}

// Revision returns the current revision.
func (s *Groups) Revision() uint64 { return s.revision }

// Get returns a group, but not a tombstone.
func (s *Groups) Get(id GroupID) (Group, bool) {
	g, ok := s.groups[id]
	return g, ok && !g.Deleted
}

// All returns the groups that are not deleted, by id.
func (s *Groups) All() []Group {
	out := make([]Group, 0, len(s.groups))
	for _, g := range s.groups {
		if !g.Deleted {
			out = append(out, g)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// GroupsDelta has every group that changed after Since, up to To.
type GroupsDelta struct {
	Since  uint64  `json:"since"`
	To     uint64  `json:"to"`
	Groups []Group `json:"groups"`
	// Full means that groups not listed are deleted.
	Full bool `json:"whole,omitempty"`
}

// DeltaSince returns what a node at an older revision lacks.
func (s *Groups) DeltaSince(since uint64) GroupsDelta {
	full := since < s.floor
	d := GroupsDelta{Since: since, To: s.revision, Full: full}
	for _, g := range s.groups {
		if full || g.Revision > since {
			d.Groups = append(d.Groups, g)
		}
	}
	sort.Slice(d.Groups, func(i, j int) bool { return d.Groups[i].ID < d.Groups[j].ID })
	return d
}

// Apply applies a delta. It returns false and changes nothing if the delta would leave a gap
// or is not newer.
func (s *Groups) Apply(d GroupsDelta) bool {
	if d.To <= s.revision || !d.Full && d.Since > s.revision {
		return false
	}
	if d.Full {
		s.dropUnlisted(d)
	}
	for _, g := range d.Groups {
		if old, ok := s.groups[g.ID]; ok && old.Revision >= g.Revision {
			continue
		}
		s.groups[g.ID] = g
	}
	s.revision = d.To
	return true
}

func (s *Groups) dropUnlisted(d GroupsDelta) {
	listed := make(map[GroupID]bool, len(d.Groups))
	for _, g := range d.Groups {
		listed[g.ID] = true
	}
	for id, g := range s.groups {
		if !listed[id] && g.Revision <= d.To {
			delete(s.groups, id)
		}
	}
	s.floor = max(s.floor, d.To)
}

// DropTombstones drops the tombstones up to a revision.
func (s *Groups) DropTombstones(upTo uint64) {
	for id, g := range s.groups {
		if g.Deleted && g.Revision <= upTo {
			delete(s.groups, id)
			s.floor = max(s.floor, g.Revision)
		}
	}
}
