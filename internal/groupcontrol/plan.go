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

// staging is a model to be loaded to the host of a spare endpoint.
type staging struct {
	endpoint *serving.Endpoint
	model    serving.Model
}

// situation is what a plan depends on, for one service of one data centre.
type situation struct {
	service string
	engine  *serving.Engine
	// free endpoints are in no group that stands, nor in an operation.
	free []*serving.Endpoint
	// working counts, by domain and model, the endpoints of groups that stand
	// or are being formed.
	working map[string]map[string]int
	// growing domains have had a new endpoint lately, and may have more soon.
	growing map[string]bool
	// unsettled domains have a group that is being dissolved.
	unsettled map[string]bool
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
	return formations, s.spares(byDomain)
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

// bestOf returns the group that a domain needs most and can form. What starts
// without a load goes first, even if another model is needier: a load takes
// many times as long, and costs the host what it held.
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
	if s.unsettled[domain] || s.growing[domain] && s.open {
		// Endpoints that start sooner may be about to come.
		return formation{}, 0, false
	}
	for i, model := range models {
		if len(free) < model.Size {
			if s.growing[domain] {
				break
			}
			continue
		}
		members, start := choose(free, model)
		if i > 0 && slices.ContainsFunc(members, func(e *serving.Endpoint) bool { return servesSooner(e, models[:i], model) }) {
			continue
		}
		return formation{s.service, model, members}, start, true
	}
	return formation{}, 0, false
}

// byNeed sorts the models by how much of their part of a domain's work they
// have.
func (s *situation) byNeed(domain string) []serving.Model {
	models := slices.Clone(s.engine.Models)
	need := func(m serving.Model) float64 {
		return float64(s.working[domain][m.Name]) / max(m.Fraction, 0.01)
	}
	slices.SortStableFunc(models, func(a, b serving.Model) int {
		return cmp.Or(cmp.Compare(need(a), need(b)), cmp.Compare(b.Fraction, a.Fraction), cmp.Compare(a.Name, b.Name))
	})
	return models
}

// servesSooner reports whether an endpoint could join a group of one of the
// models without the load that another asks for.
func servesSooner(e *serving.Endpoint, models []serving.Model, other serving.Model) bool {
	if startTime(e, other) < other.LoadTime {
		return false
	}
	return slices.ContainsFunc(models, func(m serving.Model) bool { return startTime(e, m) < m.LoadTime })
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

// spares chooses what to stage on the endpoints that no group needs: in each
// domain the models that it serves, by turns, the largest first.
func (s *situation) spares(byDomain map[string][]*serving.Endpoint) []staging {
	var out []staging
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		if !s.growing[domain] {
			out = append(out, s.sparesOf(byDomain[domain], s.working[domain])...)
		}
	}
	return out
}

// sparesOf stages the models that a domain serves and no spare of it holds.
func (s *situation) sparesOf(free []*serving.Endpoint, serves map[string]int) []staging {
	held := map[string]int{}
	var empty []*serving.Endpoint
	for _, e := range free {
		model := ""
		for _, m := range s.engine.Models {
			if startTime(e, m) < m.LoadTime {
				model = m.Name
			}
		}
		if model == "" {
			empty = append(empty, e)
			continue
		}
		held[model]++
	}
	slices.SortFunc(empty, func(a, b *serving.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	models := slices.Clone(s.engine.Models)
	slices.SortStableFunc(models, func(a, b serving.Model) int {
		return cmp.Or(cmp.Compare(b.Size, a.Size), cmp.Compare(a.Name, b.Name))
	})
	var out []staging
	for _, e := range empty {
		best := -1
		for i, m := range models {
			if len(serves) > 0 && serves[m.Name] == 0 {
				continue
			}
			if best < 0 || held[m.Name] < held[models[best].Name] {
				best = i
			}
		}
		if best >= 0 {
			held[models[best].Name]++
			out = append(out, staging{e, models[best]})
		}
	}
	return out
}
