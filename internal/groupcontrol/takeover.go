package groupcontrol

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// takeover dissolves groups so that their members, together with free endpoints of a domain,
// can form a group of a needier model.
type takeover struct {
	model  serving.Model
	domain string
	groups []*group
}

// changesModel reports whether groups of another model are dissolved.
func (t takeover) changesModel() bool {
	return slices.ContainsFunc(t.groups, func(g *group) bool { return g.model.Name != t.model.Name })
}

// takeoverOutcome is the result of looking for a takeover.
type takeoverOutcome uint8

const (
	takeoverNone takeoverOutcome = iota
	// takeoverPending means that a group can be formed once other operations have finished.
	takeoverPending
	takeoverFound
)

// takeoverFor returns the takeover for a model that dissolves the fewest groups.
func (s *situation) takeoverFor(model serving.Model, free freeByDomain) (best takeover, outcome takeoverOutcome) {
	if s.evacuated || slices.Contains(slices.Collect(maps.Values(s.reserved)), model.Name) {
		return takeover{}, takeoverNone
	}
	for _, domain := range slices.Sorted(maps.Keys(s.candidateDomains(free))) {
		if s.reserved[domain] != "" {
			continue
		}
		usable := free[domain]
		if s.byCallers() || s.weights.PackDomains {
			// Free endpoints that are kept as spares neither form a group nor replace a victim.
			// A group across domains would otherwise be dissolved for one that cannot be formed.
			usable = s.freeFor(model, domain, usable)
		}
		groups, ok := s.victims(model, domain, usable)
		switch {
		case !ok:
		case s.countWarm(model, domain, usable) >= model.Size:
			// A group could be formed now but is not worthwhile.
		case len(groups) == 0:
			return takeover{model, domain, nil}, takeoverPending
		case !s.formsAfter(model, domain, free[domain], groups):
		case s.improves(model, domain, free[domain], groups) && (outcome == takeoverNone || len(groups) < len(best.groups)):
			best, outcome = takeover{model, domain, groups}, takeoverFound
		}
	}
	return best, outcome
}

// formsAfter reports whether a domain can form a group of a model once other groups are dissolved and
// its spares are kept. Their number changes with the dissolution; a group across domains would otherwise be
// dissolved and formed again in turn.
func (s *situation) formsAfter(model serving.Model, domain string, free []*serving.Endpoint, victims []*group) bool {
	if !s.byCallers() && !s.weights.PackDomains {
		return true
	}
	after := *s
	after.inUse = map[string]map[string]float64{}
	for d, models := range s.inUse {
		after.inUse[d] = maps.Clone(models)
	}
	after.soonFree = slices.Clone(s.soonFree)
	after.end(victims)
	leaving, _ := partition(after.soonFree, func(e *serving.Endpoint) bool { return e.Domain == domain })
	after.soonFree = nil
	all := slices.Concat(free, leaving)
	return after.countWarm(model, domain, after.freeFor(model, domain, all)) >= model.Size
}

// end removes groups from the situation.
func (s *situation) end(groups []*group) {
	s.groups = slices.DeleteFunc(slices.Clone(s.groups), func(g *group) bool { return slices.Contains(groups, g) })
	for _, g := range groups {
		for _, e := range g.members {
			s.count(e.Domain, g.model.Name, -s.memberWeight(g))
		}
		s.soonFree = append(s.soonFree, g.members...)
	}
}

// candidateDomains returns the domains that have free endpoints or groups.
func (s *situation) candidateDomains(free freeByDomain) map[string]bool {
	out := map[string]bool{}
	for domain := range free {
		out[domain] = true
	}
	for _, g := range s.groups {
		for _, e := range g.members {
			out[e.Domain] = true
		}
	}
	return out
}

// victims returns the fewest groups, possibly none, whose members would let a domain form a
// group without a load. Slow groups across domains come first, then those with the most usable
// members.
func (s *situation) victims(model serving.Model, domain string, free []*serving.Endpoint) ([]*group, bool) {
	have := s.countWarm(model, domain, free) + s.countWarm(model, domain, s.soonFree)
	type candidate struct {
		group *group
		warm  int
	}
	var candidates []candidate
	for _, g := range s.groups {
		if !g.spansDomains() && g.model.Name == model.Name || g.age < minTakeoverAge {
			continue
		}
		if s.usableFraction(g) < 1 {
			// The limit may be lifted at any time, and the group still serves below it.
			continue
		}
		if n := s.countWarm(model, domain, g.members); n > 0 {
			candidates = append(candidates, candidate{g, n})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(compareBool(b.group.spansDomains(), a.group.spansDomains()), cmp.Compare(b.warm, a.warm), cmp.Compare(a.group.key, b.group.key))
	})
	var out []*group
	for _, o := range candidates {
		if have >= model.Size {
			break
		}
		out = append(out, o.group)
		have += o.warm
	}
	return out, have >= model.Size
}

// countWarm counts the endpoints of a domain that could start a model without a load.
func (s *situation) countWarm(model serving.Model, domain string, endpoints []*serving.Endpoint) int {
	n := 0
	for _, e := range endpoints {
		if e.Domain == domain && isWarm(e, model) && s.staging[e.ID] == "" {
			n++
		}
	}
	return n
}

// minTakeoverAge is how long a group must exist before a takeover may dissolve it, since the
// data on a new group and its demand may still change.
const minTakeoverAge = 3 * time.Second

// takeoverCooldown is the minimum time between two takeovers from another model. Demand
// follows changes with a delay; without the cooldown controllers could repeatedly dissolve
// each other's choices.
const takeoverCooldown = 5 * time.Second

// improves reports whether groups should give their members to a group of a model. If only
// slow groups of the same model are dissolved, the new group must make up for them; otherwise
// the estimated gain must exceed the cost.
func (s *situation) improves(model serving.Model, domain string, free []*serving.Endpoint, victims []*group) bool {
	if s.byCallers() && s.concernsLastGroup(model, victims) {
		return s.byWork().improves(model, domain, free, victims)
	}
	formable := s.formable(model, domain, free, victims)
	change := map[string]float64{model.Name: float64(formable * model.Size)}
	for _, g := range victims {
		change[g.model.Name] -= s.memberWeight(g) * float64(len(g.members))
	}
	if len(change) == 1 {
		return change[model.Name] > 0
	}
	if s.inCooldown {
		return false
	}
	cost := s.weights.TakeoverGain
	for _, g := range victims {
		if g.model.Name != model.Name {
			cost += s.changeCost(change, g.model, min(len(g.members), formable*model.Size))
		}
	}
	return s.gainOf(change) >= cost
}

// memberWeight is the capacity of a group's member relative to one in an unlimited group
// within a domain.
func (s *situation) memberWeight(g *group) float64 {
	memberWeight := s.usableFraction(g)
	if g.spansDomains() {
		memberWeight /= max(1, s.engine.CrossDomainFactor)
	}
	return memberWeight
}

// usableFraction is the fraction of a group's capacity that the rate limit of its head leaves,
// given the mean work of the model's requests.
func (s *situation) usableFraction(g *group) float64 {
	perSecond := 0.0
	if s.limit != nil && g.head != nil {
		perSecond = s.limit(g.head)
	}
	mean := s.meanWork[g.model.Name]
	if perSecond <= 0 || mean <= 0 {
		return 1
	}
	return min(1, perSecond*mean)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
