package placement

import (
	"fmt"
	"math"
	"sort"

	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

// grow forms groups for templates that are below their target. The template with the highest
// weighted deficit comes first and is determined again after each group, so that scarce
// instances are shared.
func (s *step) grow() {
	blocked := map[string]bool{}
	for {
		d, ok := s.neediest(blocked)
		if !ok {
			return
		}
		if s.form(d, "the template is below its target") {
			continue
		}
		blocked[d.Template] = true
		s.drainForRoom(d)
	}
}

func (s *step) neediest(blocked map[string]bool) (Demand, bool) {
	var best Demand
	highest := 0.0
	for _, d := range s.demands {
		short := d.target() - s.count(d.Template)
		if short <= 0 || blocked[d.Template] || d.Size == 0 {
			continue
		}
		need := math.Max(d.WeightDowntime, 1e-9) * float64(short) / float64(d.target())
		if need > highest {
			best, highest = d, need
		}
	}
	return best, highest > 0
}

// form starts a group in the domain that needs the fewest loads, and among equals in the one
// with the fewest free instances, so that large domains stay available for large groups.
func (s *step) form(d Demand, reason string) bool {
	domains := append([]string(nil), s.domains...)
	sort.SliceStable(domains, func(i, j int) bool {
		a, b := s.loadsNeeded(domains[i], d), s.loadsNeeded(domains[j], d)
		if a != b {
			return a < b
		}
		return len(s.free[domains[i]]) < len(s.free[domains[j]])
	})
	for _, domain := range domains {
		taken, ok := s.pick(domain, d.Weights, d.Size)
		if !ok {
			continue
		}
		s.addGroup(d, domain, taken, reason)
		return true
	}
	return false
}

// loadsNeeded is the number of loads that a group of the demand would need in a domain.
// Instances that a small domain lacks count as loads.
func (s *step) loadsNeeded(domain string, d Demand) int {
	warm := 0
	for _, in := range s.free[domain] {
		if !needsLoad(in, d.Weights) {
			warm++
		}
	}
	return max(0, d.Size-warm)
}

func (s *step) addGroup(d Demand, domain string, taken []*Instance, reason string) {
	g := fleet.Group{
		Domain:    domain,
		Template:  d.Template,
		Weights:   d.Weights,
		Role:      d.Role,
		CreatedAt: s.v.Now,
	}
	for _, in := range taken {
		g.Members = append(g.Members, member(in))
		g.DataCentre = in.DataCentre
	}
	// The name is unique only within this step; the caller replaces it by one derived from the
	// epoch and generation that the group is committed with.
	g.ID = fleet.GroupID(fmt.Sprintf("new-%d", len(s.actions)))
	s.groups = append(s.groups, &groupState{Group: g, changed: true})
	s.add(Action{Kind: ActionForm, Group: g, Reason: reason})
}

// drainForRoom drains a surplus group of another template for one that is below its target and
// has no room. One drain at a time suffices, since the next step takes it into account.
func (s *step) drainForRoom(d Demand) {
	var chosen *groupState
	for _, g := range s.groups {
		if g.dissolved || g.Template == d.Template || !s.fits(g.Domain, d) {
			continue
		}
		if g.Draining {
			return
		}
		if g.changed || !s.isSurplus(g) {
			continue
		}
		if chosen == nil || s.weight(g) < s.weight(chosen) {
			chosen = g
		}
	}
	if chosen != nil {
		s.drain(chosen, "template "+d.Template+" is below its target")
	}
}

// fits reports whether a domain is large enough for the demand.
func (s *step) fits(domain string, d Demand) bool {
	n := 0
	for _, in := range s.instances {
		if in.Domain == domain {
			n++
		}
	}
	return n >= d.Size
}

// roll replaces groups of an older version, one at a time for each template. Where there is
// room the new group is formed first, so that no capacity is lost.
func (s *step) roll() {
	for _, d := range s.demands {
		stale := s.staleGroup(d)
		if stale == nil || s.isRolling(d) {
			continue
		}
		if s.count(d.Template) > d.target() {
			s.drain(stale, "a newer version is serving")
			continue
		}
		if s.form(d, "rollout of a new version") {
			continue
		}
		s.drain(stale, "the new version needs its instances")
	}
}

func (s *step) staleGroup(d Demand) *groupState {
	for _, g := range s.groups {
		stale := g.Weights != d.Weights || len(g.Members) != d.Size
		if g.Template == d.Template && stale && !g.dissolved && !g.Draining {
			return g
		}
	}
	return nil
}

// isRolling reports whether a change of the template's groups is in progress.
func (s *step) isRolling(d Demand) bool {
	for _, g := range s.groups {
		if g.Template != d.Template || g.dissolved {
			continue
		}
		if g.Draining || !s.isSettled(g) {
			return true
		}
	}
	return false
}

// isSettled reports whether a group has been serving for long enough that every entry instance
// has seen it. The controller sees it first; if it drained another group at once, some entry
// instances would be left without any.
func (s *step) isSettled(g *groupState) bool {
	since, ok := s.p.servingSince[g.ID]
	return ok && s.v.Now.Sub(since) >= s.p.options.SettleTime
}

func (s *step) serving(g *groupState) bool {
	for _, m := range g.Members {
		in := s.instances[m.Instance]
		if in == nil || !in.Fresh || !g.Matches(m, in.Report) {
			return false
		}
	}
	return true
}

// shrink drains one group of each template that has been above its target for a while, unless
// keeping the surplus is worthwhile.
func (s *step) shrink() {
	for _, d := range s.demands {
		if s.count(d.Template) <= d.target() {
			delete(s.p.surplusSince, d.Template)
			continue
		}
		since, ok := s.p.surplusSince[d.Template]
		if !ok {
			s.p.surplusSince[d.Template] = s.v.Now
			continue
		}
		if s.v.Now.Sub(since) < s.p.options.ShrinkAfter || s.isRolling(d) {
			continue
		}
		g := s.lastGroup(d.Template)
		if g != nil && !s.surplusIsWorthwhile(d, g.Domain, g) {
			s.drain(g, "the template is above its target")
		}
	}
	s.drainOrphans()
}

// drainOrphans drains the groups of templates without a demand.
func (s *step) drainOrphans() {
	for _, g := range s.groups {
		if _, ok := s.demand(g.Template); !ok && !g.dissolved && !g.Draining {
			s.drain(g, "its template has no demand")
		}
	}
}

func (s *step) lastGroup(template string) *groupState {
	var last *groupState
	for _, g := range s.groups {
		if g.Template == template && !g.dissolved && !g.Draining && !g.changed {
			last = g
		}
	}
	return last
}

const minutesPerHour = 60

// surplusIsWorthwhile compares one more serving group with its instances as idle spares of the
// domain. A serving group strands no accelerators, but a repair must drain it first; idle
// spares are stranded until a failure. The instances of the excluded group don't count as
// protected: otherwise a group in an empty domain would be drained and formed again in turn.
func (s *step) surplusIsWorthwhile(d Demand, domain string, excluded *groupState) bool {
	protected := 0
	accelerators := 0
	for _, g := range s.groups {
		if g == excluded || g.Domain != domain || g.dissolved {
			continue
		}
		protected += len(g.Members)
	}
	for _, in := range s.instances {
		if in.Domain == domain {
			accelerators = max(accelerators, in.Accelerators)
		}
	}
	gain := float64(d.Size*accelerators) * d.WeightStranded
	failures := s.p.options.FailuresPerHour * float64(protected)
	cost := failures * s.p.options.DrainTime.Hours() * minutesPerHour * d.WeightDowntime
	return gain > cost
}

// useSurplus forms further groups from idle instances where that is worthwhile, starting with
// the template that has the highest weight for stranded accelerators. It does nothing while a
// template is below its target or rolling, which would need the instances soon.
func (s *step) useSurplus() {
	for _, d := range s.demands {
		if s.count(d.Template) < d.target() || s.staleGroup(d) != nil {
			return
		}
	}
	demands := append([]Demand(nil), s.demands...)
	sort.SliceStable(demands, func(i, j int) bool {
		return demands[i].WeightStranded > demands[j].WeightStranded
	})
	for _, d := range demands {
		if d.Size == 0 || d.target() == 0 {
			continue
		}
		for _, domain := range s.domains {
			s.fillDomain(d, domain)
		}
	}
}

func (s *step) fillDomain(d Demand, domain string) {
	for len(s.free[domain]) >= d.Size && s.surplusIsWorthwhile(d, domain, nil) {
		taken, ok := s.pick(domain, d.Weights, d.Size)
		if !ok {
			return
		}
		s.addGroup(d, domain, taken, "its instances would be stranded")
	}
}

// preload loads weights on idle instances that could repair a group of their domain, so that a
// repair needs no load. It runs last, because other loads take precedence in the budget.
func (s *step) preload() {
	for _, domain := range s.domains {
		weights := s.heaviestWeights(domain)
		if weights == "" {
			continue
		}
		for _, in := range s.free[domain] {
			if in.Report.Phase != fleet.PhaseIdle || in.Report.Group != "" || !needsLoad(in, weights) {
				continue
			}
			if s.loading+1 > s.p.options.LoadBudget {
				return
			}
			s.loading++
			s.add(Action{Kind: ActionPreload, Instance: in.ID, Weights: weights, Reason: "spare instance"})
		}
	}
}

// heaviestWeights returns the weights with the highest sum of downtime weights over the
// domain's groups.
func (s *step) heaviestWeights(domain string) string {
	sums := map[string]float64{}
	for _, g := range s.groups {
		if g.Domain == domain && !g.dissolved && !g.Draining {
			sums[g.Weights] += math.Max(s.weight(g), 1e-9)
		}
	}
	best, highest := "", 0.0
	for name, sum := range sums {
		if sum > highest || sum == highest && name < best {
			best, highest = name, sum
		}
	}
	return best
}
