package placement

import (
	"fmt"
	"math"
	"sort"

	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

// grow forms groups for templates that are short. The template that is
// shortest for its weight comes first, and is looked for anew after each
// group, so that scarce instances are spread.
func (s *step) grow() {
	blocked := map[string]bool{}
	for {
		d, ok := s.neediest(blocked)
		if !ok {
			return
		}
		if s.form(d, "the template wants it") {
			continue
		}
		blocked[d.Template] = true
		s.makeRoom(d)
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

// form starts a group in the domain where it fits best: the one that needs
// the fewest loads, then the one with the fewest free instances, so that
// large holes stay whole.
func (s *step) form(d Demand, reason string) bool {
	domains := append([]string(nil), s.domains...)
	sort.SliceStable(domains, func(i, j int) bool {
		a, b := s.coldOf(domains[i], d), s.coldOf(domains[j], d)
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

// coldOf is the number of loads that a group of the demand would need in a
// domain; a domain that is too small counts as all cold.
func (s *step) coldOf(domain string, d Demand) int {
	warm := 0
	for _, in := range s.free[domain] {
		if !loads(in, d.Weights) {
			warm++
		}
	}
	return max(0, d.Size-warm)
}

func (s *step) addGroup(d Demand, domain string, taken []*Instance, reason string) {
	g := fleet.Group{
		Domain:   domain,
		Template: d.Template,
		Weights:  d.Weights,
		Role:     d.Role,
		Since:    s.v.Now,
	}
	for _, in := range taken {
		g.Members = append(g.Members, member(in))
		g.DataCentre = in.DataCentre
	}
	// The name is only unique within this step; the caller replaces it by
	// one made of the epoch and generation that the group is committed with.
	g.ID = fleet.GroupID(fmt.Sprintf("new-%d", len(s.actions)))
	s.groups = append(s.groups, &groupState{Group: g, changed: true})
	s.add(Action{Kind: ActionForm, Group: g, Reason: reason})
}

// makeRoom drains a surplus group of another template for one that is short
// and has no room. One drain at a time is enough: the next step sees it.
func (s *step) makeRoom(d Demand) {
	var chosen *groupState
	for _, g := range s.groups {
		if g.ended || g.Template == d.Template || !s.fits(g.Domain, d) {
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
		s.drain(chosen, "template "+d.Template+" is short")
	}
}

// fits reports whether a domain is large enough for the demand at all.
func (s *step) fits(domain string, d Demand) bool {
	n := 0
	for _, in := range s.instances {
		if in.Domain == domain {
			n++
		}
	}
	return n >= d.Size
}

// roll replaces groups of an older version, one at a time for each template:
// a new group first where there is room, so that no capacity is lost.
func (s *step) roll() {
	for _, d := range s.demands {
		stale := s.staleGroup(d)
		if stale == nil || s.rolling(d) {
			continue
		}
		if s.count(d.Template) > d.target() {
			s.drain(stale, "a newer version serves")
			continue
		}
		if s.form(d, "it brings the new version") {
			continue
		}
		s.drain(stale, "the new version needs its instances")
	}
}

func (s *step) staleGroup(d Demand) *groupState {
	for _, g := range s.groups {
		stale := g.Weights != d.Weights || len(g.Members) != d.Size
		if g.Template == d.Template && stale && !g.ended && !g.Draining {
			return g
		}
	}
	return nil
}

// rolling reports whether a change of the template's groups is under way.
func (s *step) rolling(d Demand) bool {
	for _, g := range s.groups {
		if g.Template != d.Template || g.ended {
			continue
		}
		if g.Draining || !s.settled(g) {
			return true
		}
	}
	return false
}

// settled reports whether a group has been serving for long enough that every
// entry instance has seen it. The controller sees it first; if it drained
// another group at once, some entry instances would be left with none.
func (s *step) settled(g *groupState) bool {
	since, ok := s.p.whole[g.ID]
	return ok && s.v.Now.Sub(since) >= s.p.options.Settle
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

// shrink drains one group of each template that has had more than it wants
// for a while, unless the objective says that the surplus should serve.
func (s *step) shrink() {
	for _, d := range s.demands {
		if s.count(d.Template) <= d.target() {
			delete(s.p.surplus, d.Template)
			continue
		}
		since, ok := s.p.surplus[d.Template]
		if !ok {
			s.p.surplus[d.Template] = s.v.Now
			continue
		}
		if s.v.Now.Sub(since) < s.p.options.ShrinkAfter || s.rolling(d) {
			continue
		}
		g := s.lastGroup(d.Template)
		if g != nil && !s.surplusPays(d, g.Domain, g) {
			s.drain(g, "fewer groups are wanted")
		}
	}
	s.drainOrphans()
}

// drainOrphans drains the groups of templates that ask for none any more.
func (s *step) drainOrphans() {
	for _, g := range s.groups {
		if _, ok := s.demand(g.Template); !ok && !g.ended && !g.Draining {
			s.drain(g, "its template is gone")
		}
	}
}

func (s *step) lastGroup(template string) *groupState {
	var last *groupState
	for _, g := range s.groups {
		if g.Template == template && !g.ended && !g.Draining && !g.changed {
			last = g
		}
	}
	return last
}

const minutesPerHour = 60

// surplusPays weighs one more serving group against its instances as idle
// spares of the domain. Serving, they strand nothing, but a repair must
// drain them first; idle, they strand for as long as nothing fails. The group
// itself is left out of what its instances would protect: counted in, a group
// that was formed in an empty domain would be drained at once, and formed
// again after that.
func (s *step) surplusPays(d Demand, domain string, itself *groupState) bool {
	protected := 0
	accelerators := 0
	for _, g := range s.groups {
		if g == itself || g.Domain != domain || g.ended {
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

// useSurplus forms further groups from instances that would stay idle, where
// that pays. The template with the highest weight for stranded accelerators
// takes them. Nothing is formed while a template is short or rolling: the
// instances would be wanted back at once.
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
	for len(s.free[domain]) >= d.Size && s.surplusPays(d, domain, nil) {
		taken, ok := s.pick(domain, d.Weights, d.Size)
		if !ok {
			return
		}
		s.addGroup(d, domain, taken, "its instances would be stranded")
	}
}

// preload loads weights on idle instances next to groups that they could
// repair, so that a repair needs no load. It runs last: loads that callers
// wait for come first in the budget.
func (s *step) preload() {
	for _, domain := range s.domains {
		weights := s.heaviestIn(domain)
		if weights == "" {
			continue
		}
		for _, in := range s.free[domain] {
			if in.Report.Phase != fleet.PhaseIdle || in.Report.Group != "" || !loads(in, weights) {
				continue
			}
			if s.loading+1 > s.p.options.LoadBudget {
				return
			}
			s.loading++
			s.add(Action{Kind: ActionPreload, Instance: in.ID, Weights: weights, Reason: "it is a spare"})
		}
	}
}

// heaviestIn returns the weights of the domain's group that weighs downtime
// most, the most frequent first among equals.
func (s *step) heaviestIn(domain string) string {
	sums := map[string]float64{}
	for _, g := range s.groups {
		if g.Domain == domain && !g.ended && !g.Draining {
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
