package groupcontrol

import (
	"math"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// This file weights models by their callers. It addresses demand for all models that exceeds the
// endpoints, where models differ in the work of one request. The first group of a model in a data
// centre is decided by work alone, so that no kind of request starves for another one with more
// callers.

// minRequests is the number of requests per second below which the configured fractions apply:
// the shares of a few requests change with each of them.
const minRequests = 1

// callersOf is a model's share of the callers, by the measured requests.
func (s *situation) callersOf(m serving.Model) float64 {
	total := 0.0
	for _, other := range s.engine.Models {
		total += s.requests[other.Name]
	}
	if total < minRequests {
		return m.Fraction
	}
	return s.requests[m.Name] / total
}

// weightOf is the weight of a model in the value of a plan.
func (s *situation) weightOf(m serving.Model) float64 {
	if !s.byCallers() {
		return s.shareOf(m)
	}
	return (1-s.weights.CallerWeight)*s.shareOf(m) + s.weights.CallerWeight*s.callersOf(m)
}

// byCallers reports whether plans are weighted by callers.
func (s *situation) byCallers() bool { return s.weights.CallerWeight > 0 }

// byWork returns the situation with plans weighted by work alone.
func (s *situation) byWork() *situation {
	out := *s
	out.weights.CallerWeight = 0
	return &out
}

// need orders the models: the one with the highest need is the neediest.
func (s *situation) need(m serving.Model) float64 { return s.needWith(m, 0) }

// needWith is the need of a model with extra endpoints added. By work it decreases with the
// coverage. By callers it is the gain of another group per endpoint, and a model without a group
// comes first.
func (s *situation) needWith(m serving.Model, extra float64) float64 {
	if !s.byCallers() {
		return -s.coverageWith(m, extra)
	}
	if s.groupsOf(m) == 0 && extra == 0 {
		return math.Inf(1)
	}
	size := float64(m.Size)
	return (s.value(map[string]float64{m.Name: extra + size}) - s.value(map[string]float64{m.Name: extra})) / size
}

// concernsFirstGroup reports whether a formation is the first group of its model in the data
// centre, or uses endpoints that another model without a group could start.
func (s *situation) concernsFirstGroup(model serving.Model, members []*serving.Endpoint) bool {
	if s.groupsOf(model) < 1 {
		return true
	}
	for _, e := range members {
		if from, ok := s.engine.Model(e.Model); ok && s.groupsOf(from) < 1 {
			return true
		}
	}
	return false
}

// concernsLastGroup reports whether a takeover forms the first group of a model in the data centre,
// or dissolves the last group of another one.
func (s *situation) concernsLastGroup(model serving.Model, victims []*group) bool {
	left := map[string]float64{}
	for _, m := range s.engine.Models {
		left[m.Name] = s.groupsOf(m)
	}
	if left[model.Name] < 1 {
		return true
	}
	for _, g := range victims {
		if g.model.Name == model.Name {
			continue
		}
		left[g.model.Name] -= s.memberWeight(g)
		if left[g.model.Name] < 1 {
			return true
		}
	}
	return false
}

// formable is the number of groups of a model that a domain can form from its free endpoints and
// the members of groups that would be dissolved. By work only the first one counts.
func (s *situation) formable(model serving.Model, domain string, free []*serving.Endpoint, victims []*group) int {
	if !s.byCallers() {
		return 1
	}
	warm := s.countWarm(model, domain, s.freeFor(model, domain, free)) + s.countWarm(model, domain, s.soonFree)
	for _, g := range victims {
		warm += s.countWarm(model, domain, g.members)
	}
	return max(1, warm/model.Size)
}
