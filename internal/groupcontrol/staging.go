package groupcontrol

import (
	"cmp"
	"maps"
	"slices"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// staging is a model to be loaded to an endpoint's host.
type staging struct {
	endpoint *serving.Endpoint
	model    serving.Model
	// priority is the number of endpoints that the group still lacks; lower ones come first,
	// because loads are scarce and should complete groups soon.
	priority int
}

// sparePriority is the priority of a spare, which completes no group, and secondModelPriority
// that of an endpoint that loads a second model.
const (
	sparePriority       = 1000
	secondModelPriority = 2000
)

// warmUp has a free endpoint join a group of its own, which is never opened, so that it can
// later join a group without its warm time.
type warmUp struct {
	endpoint *serving.Endpoint
	model    serving.Model
}

// chooseWarmUps chooses the free endpoints that hold a model but have not been in a group of
// it. Without a warm-up a spare would delay its group by the model's warm time, of a second or more.
func (s *situation) chooseWarmUps(free freeByDomain) []warmUp {
	var out []warmUp
	for _, domain := range slices.Sorted(maps.Keys(free)) {
		if s.reserved[domain] != "" {
			continue
		}
		for _, e := range free[domain] {
			if e.Model != "" || s.staging[e.ID] != "" {
				continue
			}
			if model, ok := s.largestStagedModel(e); ok {
				out = append(out, warmUp{e, model})
			}
		}
	}
	return out
}

// largestStagedModel returns the model on an endpoint's host that has the largest groups.
func (s *situation) largestStagedModel(e *serving.Endpoint) (serving.Model, bool) {
	var held serving.Model
	for _, m := range s.engine.Models {
		if slices.Contains(e.Staged, m.Name) && m.Size > held.Size {
			held = m
		}
	}
	return held, held.Size > 0
}

// availableModel returns the model that an endpoint can start without a load or is loading, or
// an empty string.
func (s *situation) availableModel(e *serving.Endpoint) string {
	for _, m := range s.engine.Models {
		if isWarm(e, m) {
			return m.Name
		}
	}
	return s.staging[e.ID]
}

// stage chooses the models to load to the hosts of free endpoints: first those that a group
// lacks to be formed, then spares for each model that the domain serves.
func (s *situation) stage(free freeByDomain) []staging {
	var out []staging
	for _, domain := range slices.Sorted(maps.Keys(free)) {
		spare := slices.Clone(free[domain])
		slices.SortFunc(spare, func(a, b *serving.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
		out = append(out, s.stageDomain(domain, spare)...)
	}
	if s.weights.SecondModels {
		out = append(out, s.stageSecondModels(free)...)
	}
	slices.SortStableFunc(out, func(a, b staging) int { return cmp.Compare(a.priority, b.priority) })
	return out
}

func (s *situation) stageDomain(domain string, free []*serving.Endpoint) []staging {
	kept := s.spares(domain, free)
	out := s.stageLargest(kept)
	for _, model := range s.byGain(free) {
		have, rest := partition(s.availableFor(model, free, kept), func(e *serving.Endpoint) bool { return s.availableModel(e) == model.Name })
		missing := model.Size - len(have)
		if missing <= 0 || missing > len(rest) {
			continue
		}
		// Hosts without an available model come first.
		slices.SortStableFunc(rest, func(a, b *serving.Endpoint) int {
			return cmp.Compare(len(s.availableModel(a)), len(s.availableModel(b)))
		})
		for _, e := range rest[:missing] {
			out = append(out, staging{e, model, missing})
		}
		free = rest[missing:]
	}
	return append(out, s.stageSpares(domain, without(free, kept))...)
}

// byGain sorts the models by the gain of another group per endpoint that a domain lacks for
// it.
func (s *situation) byGain(free []*serving.Endpoint) []serving.Model {
	gain := map[string]float64{}
	for _, m := range s.engine.Models {
		have, _ := partition(free, func(e *serving.Endpoint) bool { return s.availableModel(e) == m.Name })
		gain[m.Name] = s.gainOf(map[string]float64{m.Name: float64(m.Size)}) / float64(max(1, m.Size-len(have)))
	}
	models := s.byNeed()
	slices.SortStableFunc(models, func(a, b serving.Model) int { return cmp.Compare(gain[b.Name], gain[a.Name]) })
	return models
}

// stageSpares distributes the models that the domain serves evenly over the remaining empty
// hosts, the largest first.
func (s *situation) stageSpares(domain string, free []*serving.Endpoint) []staging {
	held := map[string]int{}
	for _, e := range free {
		held[s.availableModel(e)]++
	}
	models := slices.Clone(s.engine.Models)
	if activeModels := s.inUse[domain]; len(activeModels) > 0 {
		models = slices.DeleteFunc(models, func(m serving.Model) bool { return activeModels[m.Name] == 0 })
	}
	slices.SortStableFunc(models, func(a, b serving.Model) int {
		return cmp.Or(cmp.Compare(b.Size, a.Size), cmp.Compare(a.Name, b.Name))
	})
	var out []staging
	for _, e := range free {
		if s.availableModel(e) != "" || len(models) == 0 {
			continue
		}
		model := slices.MinFunc(models, func(a, b serving.Model) int { return cmp.Compare(held[a.Name], held[b.Name]) })
		held[model.Name]++
		out = append(out, staging{e, model, sparePriority})
	}
	return out
}

// stageSecondModels stages a second model on the hosts of endpoints that have been in a group.
// An endpoint can start the model of its last group at once whatever its host holds, so it can
// then join a group of either model without a load. Otherwise a group of sixteen that loses two members
// in a domain with one spare is gone for half a minute.
func (s *situation) stageSecondModels(free freeByDomain) []staging {
	var out []staging
	add := func(endpoints []*serving.Endpoint) {
		for _, e := range endpoints {
			if model, ok := s.secondModel(e); ok {
				out = append(out, staging{e, model, secondModelPriority})
			}
		}
	}
	for _, g := range s.groups {
		add(g.members)
	}
	for _, domain := range slices.Sorted(maps.Keys(free)) {
		add(free[domain])
	}
	slices.SortStableFunc(out, func(a, b staging) int {
		return cmp.Or(cmp.Compare(b.model.Size, a.model.Size), cmp.Compare(a.endpoint.ID, b.endpoint.ID))
	})
	return out
}

// secondModel returns the neediest model other than the endpoint's own, unless its host
// already holds another one.
func (s *situation) secondModel(e *serving.Endpoint) (serving.Model, bool) {
	if e.Model == "" || e.Draining || s.staging[e.ID] != "" {
		return serving.Model{}, false
	}
	if slices.ContainsFunc(e.Staged, func(held string) bool { return held != e.Model }) {
		return serving.Model{}, false
	}
	for _, m := range s.byNeed() {
		if m.Name != e.Model {
			return m, true
		}
	}
	return serving.Model{}, false
}

// partition splits a list by a predicate, preserving order.
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
