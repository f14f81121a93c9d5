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
	// working counts the endpoints of each model's groups that stand or are
	// being formed.
	working map[string]int
	// domainModels has the models that each domain serves.
	domainModels map[string]map[string]bool
}

// plan returns the groups to be formed now and the models to be staged on
// the endpoints left over.
func plan(s situation) ([]formation, []staging) {
	byDomain := map[string][]*serving.Endpoint{}
	for _, e := range s.free {
		byDomain[e.Domain] = append(byDomain[e.Domain], e)
	}
	working := maps.Clone(s.working)
	var formations []formation
	for {
		f, ok := s.best(byDomain, working)
		if !ok {
			break
		}
		formations = append(formations, f)
		working[f.model.Name] += len(f.members)
		domain := f.members[0].Domain
		byDomain[domain] = slices.DeleteFunc(byDomain[domain], func(e *serving.Endpoint) bool {
			return slices.Contains(f.members, e)
		})
	}
	return formations, s.spares(byDomain, formations)
}

// fastEnough is how much more a model may have, relative to its fraction,
// than the neediest and still go first because it can start at once.
const fastEnough = 1.4

// best returns the next group to form: for the neediest model, in the domain
// where it starts soonest. A model that starts without a load goes before a
// somewhat needier one that does not.
func (s situation) best(byDomain map[string][]*serving.Endpoint, working map[string]int) (formation, bool) {
	type candidate struct {
		formation
		need  float64
		start time.Duration
	}
	var candidates []candidate
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		for _, model := range s.engine.Models {
			if len(byDomain[domain]) < model.Size {
				continue
			}
			members, start := choose(byDomain[domain], model)
			need := float64(working[model.Name]+model.Size/2) / max(model.Fraction, 0.01)
			candidates = append(candidates, candidate{formation{s.service, model, members}, need, start})
		}
	}
	if len(candidates) == 0 {
		return formation{}, false
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.need, b.need), cmp.Compare(a.start, b.start))
	})
	first := candidates[0]
	if first.start < first.model.LoadTime {
		return first.formation, true
	}
	for _, c := range candidates[1:] {
		if c.start < c.model.LoadTime && c.need < first.need*fastEnough {
			return c.formation, true
		}
	}
	return first.formation, true
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
		return cmp.Or(cmp.Compare(startTime(a, m), startTime(b, m)), cmp.Compare(a.ID, b.ID))
	})
	members := sorted[:m.Size]
	return members, startTime(members[m.Size-1], m)
}

// spares chooses what to stage on the endpoints that no group needs: in each
// domain the models that it serves, by turns, the largest first.
func (s situation) spares(byDomain map[string][]*serving.Endpoint, formations []formation) []staging {
	serves := map[string]map[string]bool{}
	for domain, models := range s.domainModels {
		serves[domain] = maps.Clone(models)
	}
	for _, f := range formations {
		domain := f.members[0].Domain
		if serves[domain] == nil {
			serves[domain] = map[string]bool{}
		}
		serves[domain][f.model.Name] = true
	}
	var out []staging
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		out = append(out, s.sparesOf(byDomain[domain], serves[domain])...)
	}
	return out
}

// sparesOf stages the models that a domain serves and no spare of it holds.
func (s situation) sparesOf(free []*serving.Endpoint, serves map[string]bool) []staging {
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
			if len(serves) > 0 && !serves[m.Name] {
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
