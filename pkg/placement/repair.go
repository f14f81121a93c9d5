package placement

import (
	"sort"

	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

// repair replaces the missing members of broken groups, the heaviest template first. The
// remaining members are kept, with their weights in memory.
func (s *step) repair() {
	broken := s.brokenGroups()
	for _, g := range broken {
		if g.dissolved {
			continue
		}
		if g.Draining || !s.isNeeded(g) {
			s.dissolve(g, "it lost a member and is not needed")
			continue
		}
		if s.repairInPlace(g) {
			continue
		}
		s.reclaimForRepair(g, broken)
	}
}

func (s *step) brokenGroups() []*groupState {
	var out []*groupState
	for _, g := range s.groups {
		if len(g.missing) > 0 && !g.dissolved {
			out = append(out, g)
		}
	}
	sort.SliceStable(out, func(i, j int) bool {
		a, b := s.weight(out[i]), s.weight(out[j])
		if a != b {
			return a > b
		}
		// Groups with fewer missing members come first.
		return len(out[i].missing) < len(out[j].missing)
	})
	return out
}

func (s *step) weight(g *groupState) float64 {
	d, _ := s.demand(g.Template)
	return d.WeightDowntime
}

// isNeeded reports whether the template needs the group to reach its target.
func (s *step) isNeeded(g *groupState) bool {
	d, ok := s.demand(g.Template)
	if !ok || g.Weights != d.Weights || len(g.Members) != d.Size {
		return false
	}
	return s.count(g.Template) <= d.target()
}

// count is the number of groups of a template that are not draining or dissolved.
func (s *step) count(template string) int {
	n := 0
	for _, g := range s.groups {
		if g.Template == template && !g.dissolved && !g.Draining {
			n++
		}
	}
	return n
}

// repairInPlace replaces the missing members by free instances of the same fabric domain. An
// instance that restarted may replace its own earlier incarnation.
func (s *step) repairInPlace(g *groupState) bool {
	restarted := s.restartedMembers(g)
	s.free[g.Domain] = append(s.free[g.Domain], restarted...)
	taken, ok := s.pick(g.Domain, g.Weights, len(g.missing))
	if !ok {
		s.removeFree(g.Domain, restarted)
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
	// A restarted member that was not picked stays free: the action releases the rows of all
	// members that it removes.
	g.Group = group
	g.missing = nil
	g.changed = true
	s.add(Action{Kind: ActionRepair, Group: group, Reason: "it lost a member"})
	return true
}

// restartedMembers returns the missing members that run again as a new incarnation.
func (s *step) restartedMembers(g *groupState) []*Instance {
	var out []*Instance
	for _, id := range g.missing {
		in := s.instances[id]
		if in != nil && in.Fresh && !in.isDraining() {
			out = append(out, in)
		}
	}
	return out
}

func (s *step) removeFree(domain string, removed []*Instance) {
	var kept []*Instance
	for _, in := range s.free[domain] {
		if !containsInstance(removed, in) {
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

// reclaimForRepair finds instances for a group whose domain has no free ones: first from
// another broken group of the domain, which serves no requests anyway, then by draining a
// surplus group. If neither helps and the member has not restarted within the grace, the group
// is dissolved in favour of a domain that has room.
func (s *step) reclaimForRepair(g *groupState, broken []*groupState) {
	for i := len(broken) - 1; i >= 0; i-- {
		donor := broken[i]
		if donor == g || donor.dissolved || donor.Domain != g.Domain || len(donor.missing) == 0 {
			continue
		}
		if len(donor.Members)-len(donor.missing) < len(g.missing) {
			continue
		}
		s.dissolve(donor, "its remaining members repair group "+string(g.ID))
		s.repairInPlace(g)
		return
	}
	if s.drainSurplusIn(g.Domain) {
		return
	}
	if s.v.Now.Sub(s.p.brokenSince[g.ID]) < s.p.options.RestartGrace {
		return
	}
	if s.hasRoomElsewhere(g) {
		s.dissolve(g, "its domain has no replacement and another domain has room")
	}
}

// drainSurplusIn drains a surplus group of the domain, unless one is draining already.
func (s *step) drainSurplusIn(domain string) bool {
	var chosen *groupState
	for _, g := range s.groups {
		if g.Domain != domain || g.dissolved || len(g.missing) > 0 {
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
	s.p.drainingSince[g.ID] = s.v.Now
	s.add(Action{Kind: ActionDrain, Group: g.Group, Reason: reason})
}

func (s *step) hasRoomElsewhere(g *groupState) bool {
	for _, domain := range s.domains {
		if domain != g.Domain && len(s.free[domain]) >= len(g.Members) {
			return true
		}
	}
	return false
}

// drainForDrainingMembers drains groups with a draining member, so that their requests can
// finish. The platform removes the instance soon; a draining group no longer counts, and grow
// forms its replacement in the same step.
func (s *step) drainForDrainingMembers() {
	for _, g := range s.groups {
		if !g.memberDraining || g.dissolved || g.Draining || g.changed || len(g.missing) > 0 {
			continue
		}
		s.drain(g, "a member is draining")
	}
}
