package groupcontrol

import (
	"cmp"
	"slices"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Spares of a domain are free endpoints that hold the model of the largest groups. A group
// fails with any one of its members, and without a spare a large group can be formed again
// only after members of other groups have loaded its model, which takes some 16 s in place of 0.2 to
// 1.6 s. Nothing else leaves enough endpoints free: a domain of 73 has a single one beside a group of
// 32 and five of 8.

// largest returns the model with the largest groups.
func (s *situation) largest() serving.Model {
	return slices.MaxFunc(s.engine.Models, func(a, b serving.Model) int { return cmp.Compare(a.Size, b.Size) })
}

// domainSize counts the endpoints of a domain, including free ones.
func (s *situation) domainSize(domain string, free []*serving.Endpoint) float64 {
	n := float64(len(free))
	for _, endpoints := range s.inUse[domain] {
		n += endpoints
	}
	for _, e := range s.soonFree {
		if e.Domain == domain {
			n++
		}
	}
	return n
}

// spares returns the free endpoints of a domain that are kept for the largest model,
// preferring those that hold it and then those that hold nothing.
func (s *situation) spares(domain string, free []*serving.Endpoint) []*serving.Endpoint {
	largest := s.largest()
	size := s.domainSize(domain, free)
	n := min(len(free), int(s.weights.SpareFraction*size))
	if n == 0 || size < float64(largest.Size) {
		return nil
	}
	if s.weights.PackDomains {
		n = s.packedSpares(free, n)
	}
	rank := func(e *serving.Endpoint) int {
		switch {
		case isWarm(e, largest) || s.staging[e.ID] == largest.Name:
			return 0
		case s.availableModel(e) == "":
			return 1
		}
		return 2
	}
	sorted := slices.Clone(free)
	slices.SortFunc(sorted, func(a, b *serving.Endpoint) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.ID, b.ID))
	})
	return sorted[:n]
}

// freeFor returns the free endpoints of a domain that a group of a model may use.
func (s *situation) freeFor(model serving.Model, domain string, free []*serving.Endpoint) []*serving.Endpoint {
	return s.availableFor(model, free, s.spares(domain, free))
}

// availableFor excludes the kept endpoints unless the model is the largest one.
func (s *situation) availableFor(model serving.Model, free, kept []*serving.Endpoint) []*serving.Endpoint {
	if model.Name == s.largest().Name {
		return free
	}
	return without(free, kept)
}

// without returns the endpoints of a list that are not in another.
func without(list, others []*serving.Endpoint) []*serving.Endpoint {
	if len(others) == 0 {
		return list
	}
	_, rest := partition(list, func(e *serving.Endpoint) bool { return slices.Contains(others, e) })
	return rest
}

// stageLargest stages the largest model on the kept spares that lack it.
func (s *situation) stageLargest(kept []*serving.Endpoint) []staging {
	largest := s.largest()
	var out []staging
	for _, e := range kept {
		if !isWarm(e, largest) && s.staging[e.ID] == "" {
			out = append(out, staging{e, largest, sparePriority})
		}
	}
	return out
}
