package groupcontrol

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// formation is a group to be formed.
type formation struct {
	service string
	model   serving.Model
	// members has the head first.
	members []*serving.Endpoint
}

// ids returns the members' ids, the head first.
func (f formation) ids() []serving.EndpointID {
	out := make([]serving.EndpointID, 0, len(f.members))
	for _, m := range f.members {
		out = append(out, m.ID)
	}
	return out
}

// staging is a model to be loaded to the host of a free endpoint.
type staging struct {
	endpoint *serving.Endpoint
	model    serving.Model
	// lacking is how many endpoints its group lacks with this one; loads are
	// few, and those go first that complete a group soonest.
	lacking int
}

// spareLacking is the lacking of a spare, which completes no group.
const spareLacking = 1000

// situation is what a plan depends on, for one service of one data centre.
type situation struct {
	service string
	engine  *serving.Engine
	// free endpoints are in no group that stands, nor in an operation.
	free []*serving.Endpoint
	// working counts, by domain and model, the endpoints of groups that stand
	// or are being formed.
	working map[string]map[string]int
	// staging has the models that are on their way to hosts.
	staging map[serving.EndpointID]string
	// far groups span domains.
	far []*group
	// growing domains have had a new endpoint lately, and may have more soon.
	growing map[string]bool
	// open is set once a group of the data centre takes requests.
	open bool
}

// count adds endpoints to what works in a domain.
func (s *situation) count(domain, model string, n int) {
	if s.working[domain] == nil {
		s.working[domain] = map[string]int{}
	}
	s.working[domain][model] += n
}

// plan returns the groups to be formed now and the models to be staged on
// the endpoints left over.
func plan(s situation) ([]formation, []staging) {
	byDomain := map[string][]*serving.Endpoint{}
	for _, e := range s.free {
		byDomain[e.Domain] = append(byDomain[e.Domain], e)
	}
	var formations []formation
	for {
		f, ok := s.best(byDomain)
		if !ok {
			break
		}
		formations = append(formations, f)
		domain := f.members[0].Domain
		s.count(domain, f.model.Name, len(f.members))
		byDomain[domain] = slices.DeleteFunc(byDomain[domain], func(e *serving.Endpoint) bool {
			return slices.Contains(f.members, e)
		})
	}
	if !s.open {
		// Loads for groups go first.
		return formations, nil
	}
	formations = append(formations, s.acrossDomains(byDomain)...)
	return formations, s.stage(byDomain)
}

// acrossDomains forms groups that span domains of endpoints that need no
// load. Such a group is slow, and better than none while its members wait for
// others of their domains.
func (s *situation) acrossDomains(byDomain map[string][]*serving.Endpoint) []formation {
	var out []formation
	for _, model := range s.byNeed("") {
		var warm []*serving.Endpoint
		for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
			for _, e := range byDomain[domain] {
				if startTime(e, model) < model.LoadTime && s.staging[e.ID] == "" {
					warm = append(warm, e)
				}
			}
		}
		for len(warm) >= model.Size {
			members := warm[:model.Size]
			warm = warm[model.Size:]
			out = append(out, formation{s.service, model, members})
			for domain := range byDomain {
				byDomain[domain] = slices.DeleteFunc(byDomain[domain], func(e *serving.Endpoint) bool { return slices.Contains(members, e) })
			}
		}
	}
	return out
}

// supersededFar returns the groups across domains whose members could form a
// group of one domain with endpoints that are free.
func (s *situation) supersededFar() []*group {
	var out []*group
	for _, g := range s.far {
		counts := map[string]int{}
		for _, e := range g.members {
			counts[e.Domain]++
		}
		for _, e := range s.free {
			if counts[e.Domain] > 0 && startTime(e, g.model) < g.model.LoadTime {
				counts[e.Domain]++
			}
		}
		for _, n := range counts {
			if n >= g.model.Size {
				out = append(out, g)
				break
			}
		}
	}
	return out
}

// best returns the next group to form: the one that starts soonest among
// those that each domain needs most.
func (s *situation) best(byDomain map[string][]*serving.Endpoint) (formation, bool) {
	var best formation
	var bestStart time.Duration
	found := false
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		f, start, ok := s.bestOf(domain, byDomain[domain])
		if ok && (!found || start < bestStart) {
			best, bestStart, found = f, start, true
		}
	}
	return best, found
}

// bestOf returns the group that a domain needs most and can form without a
// load. Only before anything is served do groups form with loads: later a
// load takes many times as long, and members that wait for one are no help
// to others. What a group lacks is staged instead.
func (s *situation) bestOf(domain string, free []*serving.Endpoint) (formation, time.Duration, bool) {
	models := s.byNeed(domain)
	for _, model := range models {
		if len(free) < model.Size {
			continue
		}
		if members, start := choose(free, model); start < model.LoadTime {
			return formation{s.service, model, members}, start, true
		}
	}
	if s.open {
		return formation{}, 0, false
	}
	for _, model := range models {
		if len(free) >= model.Size {
			members, start := choose(free, model)
			return formation{s.service, model, members}, start, true
		}
		if s.growing[domain] {
			break
		}
	}
	return formation{}, 0, false
}

// workingAnywhere counts the endpoints of a model's groups in all domains.
func (s *situation) workingAnywhere(model string) int {
	n := 0
	for _, models := range s.working {
		n += models[model]
	}
	return n
}

// byNeed sorts the models by how much of their part of a domain's work they
// have, or of the data centre's for an empty domain.
func (s *situation) byNeed(domain string) []serving.Model {
	models := slices.Clone(s.engine.Models)
	need := func(m serving.Model) float64 {
		n := s.working[domain][m.Name]
		if domain == "" {
			n = s.workingAnywhere(m.Name)
		}
		return float64(n) / max(m.Fraction, 0.01)
	}
	slices.SortStableFunc(models, func(a, b serving.Model) int {
		return cmp.Or(cmp.Compare(need(a), need(b)), cmp.Compare(b.Fraction, a.Fraction), cmp.Compare(a.Name, b.Name))
	})
	return models
}

// rejoinTime is how long a member takes that had the model last.
const rejoinTime = 200 * time.Millisecond

// startTime is how long an endpoint takes to be a ready member.
func startTime(e *serving.Endpoint, m serving.Model) time.Duration {
	switch {
	case e.Model == m.Name:
		return rejoinTime
	case slices.Contains(e.Staged, m.Name):
		return m.WarmTime
	}
	return m.LoadTime
}

// choose picks the members that start soonest, in an order that is the same
// for every controller.
func choose(free []*serving.Endpoint, m serving.Model) ([]*serving.Endpoint, time.Duration) {
	sorted := slices.Clone(free)
	slices.SortFunc(sorted, func(a, b *serving.Endpoint) int {
		return cmp.Or(
			cmp.Compare(startTime(a, m), startTime(b, m)),
			// A host that holds another model would lose it.
			cmp.Compare(len(a.Staged), len(b.Staged)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	members := sorted[:m.Size]
	return members, startTime(members[m.Size-1], m)
}

// holds returns the model that an endpoint can start without a load, or that
// is on its way to its host; empty if there is none.
func (s *situation) holds(e *serving.Endpoint) string {
	for _, m := range s.engine.Models {
		if startTime(e, m) < m.LoadTime {
			return m.Name
		}
	}
	return s.staging[e.ID]
}

// stage chooses what to load to the hosts of free endpoints: first what the
// neediest groups lack to be formed, then a spare for each model that the
// domain serves.
func (s *situation) stage(byDomain map[string][]*serving.Endpoint) []staging {
	var out []staging
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		free := slices.Clone(byDomain[domain])
		slices.SortFunc(free, func(a, b *serving.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
		out = append(out, s.stageDomain(domain, free)...)
	}
	slices.SortStableFunc(out, func(a, b staging) int { return cmp.Compare(a.lacking, b.lacking) })
	return out
}

func (s *situation) stageDomain(domain string, free []*serving.Endpoint) []staging {
	var out []staging
	models := s.byNeed(domain)
	for _, model := range models {
		have, rest := partition(free, func(e *serving.Endpoint) bool { return s.holds(e) == model.Name })
		missing := model.Size - len(have)
		if missing <= 0 || missing > len(rest) {
			continue
		}
		// Hosts that hold nothing go first.
		slices.SortStableFunc(rest, func(a, b *serving.Endpoint) int { return cmp.Compare(len(s.holds(a)), len(s.holds(b))) })
		for _, e := range rest[:missing] {
			out = append(out, staging{e, model, missing})
		}
		free = rest[missing:]
	}
	return append(out, s.stageSpares(domain, free)...)
}

// stageSpares gives the empty hosts that are left the models that the domain
// serves, by turns, the largest first.
func (s *situation) stageSpares(domain string, free []*serving.Endpoint) []staging {
	held := map[string]int{}
	for _, e := range free {
		held[s.holds(e)]++
	}
	models := slices.Clone(s.engine.Models)
	if serves := s.working[domain]; len(serves) > 0 {
		models = slices.DeleteFunc(models, func(m serving.Model) bool { return serves[m.Name] == 0 })
	}
	slices.SortStableFunc(models, func(a, b serving.Model) int {
		return cmp.Or(cmp.Compare(b.Size, a.Size), cmp.Compare(a.Name, b.Name))
	})
	var out []staging
	for _, e := range free {
		if s.holds(e) != "" || len(models) == 0 {
			continue
		}
		model := slices.MinFunc(models, func(a, b serving.Model) int { return cmp.Compare(held[a.Name], held[b.Name]) })
		held[model.Name]++
		out = append(out, staging{e, model, spareLacking})
	}
	return out
}

// partition splits a list by a test, in order.
func partition(list []*serving.Endpoint, test func(*serving.Endpoint) bool) (yes, no []*serving.Endpoint) {
	for _, e := range list {
		if test(e) {
			yes = append(yes, e)
		} else {
			no = append(no, e)
		}
	}
	return yes, no
}
