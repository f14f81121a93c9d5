package placement

import (
	"sort"

	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

// repair gives broken groups new members, the heaviest template first. A
// repair keeps the survivors, whose weights stay in memory.
func (s *step) repair() {
	broken := s.brokenGroups()
	for _, g := range broken {
		if g.ended {
			continue
		}
		if g.Draining || !s.wanted(g) {
			s.end(g, "it lost a member and is not needed")
			continue
		}
		if s.repairInPlace(g) {
			continue
		}
		s.repairFrom(g, broken)
	}
}

func (s *step) brokenGroups() []*groupState {
	var out []*groupState
	for _, g := range s.groups {
		if len(g.missing) > 0 && !g.ended {
			out = append(out, g)
		}
	}
	sort.SliceStable(out, func(i, j int) bool {
		a, b := s.weight(out[i]), s.weight(out[j])
		if a != b {
			return a > b
		}
		// The group that lacks least is whole again first.
		return len(out[i].missing) < len(out[j].missing)
	})
	return out
}

func (s *step) weight(g *groupState) float64 {
	d, _ := s.demand(g.Template)
	return d.WeightDowntime
}

// wanted reports whether the template still wants the group: without it,
// fewer groups would be left than the target.
func (s *step) wanted(g *groupState) bool {
	d, ok := s.demand(g.Template)
	if !ok || g.Weights != d.Weights || len(g.Members) != d.Size {
		return false
	}
	return s.count(g.Template) <= d.target()
}

// count is the number of groups of a template that stay.
func (s *step) count(template string) int {
	n := 0
	for _, g := range s.groups {
		if g.Template == template && !g.ended && !g.Draining {
			n++
		}
	}
	return n
}

// repairInPlace replaces the missing members by free instances of the same
// fabric domain. An instance that restarted is free for its own old place.
func (s *step) repairInPlace(g *groupState) bool {
	returned := s.returnedMembers(g)
	s.free[g.Domain] = append(s.free[g.Domain], returned...)
	taken, ok := s.pick(g.Domain, g.Weights, len(g.missing))
	if !ok {
		s.removeFree(g.Domain, returned)
		return false
	}
	group := g.Group
	group.Members = append([]fleet.Member(nil), g.Members...)
	next := 0
	for i, m := range group.Members {
		if contains(g.missing, m.Instance) {
			group.Members[i] = member(taken[next])
			next++
		}
	}
	// A restarted member that was not picked for its old place stays free:
	// the action releases the rows of all members that it drops.
	g.Group = group
	g.missing = nil
	g.changed = true
	s.add(Action{Kind: ActionRepair, Group: group, Reason: "it lost a member"})
	return true
}

// returnedMembers lists the missing members that are back with a new
// incarnation and may take a place again.
func (s *step) returnedMembers(g *groupState) []*Instance {
	var out []*Instance
	for _, id := range g.missing {
		in := s.instances[id]
		if in != nil && in.Fresh && !in.leaving() {
			out = append(out, in)
		}
	}
	return out
}

func (s *step) removeFree(domain string, gone []*Instance) {
	var kept []*Instance
	for _, in := range s.free[domain] {
		if !containsInstance(gone, in) {
			kept = append(kept, in)
		}
	}
	s.free[domain] = kept
}

func contains(list []fleet.InstanceID, id fleet.InstanceID) bool {
	for _, other := range list {
		if other == id {
			return true
		}
	}
	return false
}

func containsInstance(list []*Instance, in *Instance) bool {
	for _, other := range list {
		if other == in {
			return true
		}
	}
	return false
}

// repairFrom finds members for a group whose domain has none free: first
// from another broken group of the domain, which serves nobody anyway, then
// by draining a surplus group. Where nothing helps, and its member has not
// come back for long, the group is moved to a domain that has room.
func (s *step) repairFrom(g *groupState, broken []*groupState) {
	for i := len(broken) - 1; i >= 0; i-- {
		donor := broken[i]
		if donor == g || donor.ended || donor.Domain != g.Domain || len(donor.missing) == 0 {
			continue
		}
		if len(donor.Members)-len(donor.missing) < len(g.missing) {
			continue
		}
		s.end(donor, "its survivors repair group "+string(g.ID))
		s.repairInPlace(g)
		return
	}
	if s.drainSurplusIn(g.Domain) {
		return
	}
	if s.v.Now.Sub(s.p.broken[g.ID]) < s.p.options.RestartGrace {
		return
	}
	if s.roomElsewhere(g) {
		s.end(g, "its domain has no replacement and another has room")
	}
}

// drainSurplusIn drains a group of the domain that its template does not
// need, unless one is draining already.
func (s *step) drainSurplusIn(domain string) bool {
	var chosen *groupState
	for _, g := range s.groups {
		if g.Domain != domain || g.ended || len(g.missing) > 0 {
			continue
		}
		if g.Draining {
			return true
		}
		if !s.isSurplus(g) {
			continue
		}
		if chosen == nil || s.weight(g) < s.weight(chosen) {
			chosen = g
		}
	}
	if chosen == nil {
		return false
	}
	s.drain(chosen, "its instances are needed for a repair")
	return true
}

func (s *step) isSurplus(g *groupState) bool {
	d, ok := s.demand(g.Template)
	return !ok || s.count(g.Template) > d.target()
}

func (s *step) drain(g *groupState, reason string) {
	g.Draining = true
	g.changed = true
	s.p.drained[g.ID] = s.v.Now
	s.add(Action{Kind: ActionDrain, Group: g.Group, Reason: reason})
}

func (s *step) roomElsewhere(g *groupState) bool {
	for _, domain := range s.domains {
		if domain != g.Domain && len(s.free[domain]) >= len(g.Members) {
			return true
		}
	}
	return false
}

// replaceLeaving drains groups that have a leaving member, so that nothing in
// progress is cut. The platform takes the instance away soon, so none waits; a
// draining group no longer counts, and grow builds its successor in this step.
func (s *step) replaceLeaving() {
	for _, g := range s.groups {
		if !g.leaving || g.ended || g.Draining || g.changed || len(g.missing) > 0 {
			continue
		}
		s.drain(g, "a member is leaving")
	}
}
