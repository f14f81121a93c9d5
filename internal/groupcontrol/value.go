package groupcontrol

import (
	"math"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Weights are the weights and switches of the planner.
type Weights struct {
	// Demand is the weight of the observed demand in a model's share; the rest is the
	// configured fraction, which keeps some groups for a model without current demand.
	Demand float64
	// Headroom multiplies the demand, since groups can fail and demand can rise faster than
	// new groups are formed.
	Headroom float64
	// ModelChange is the cost of changing an endpoint that can start a model without a load to
	// another model, relative to its part of a group: the group may stay incomplete.
	ModelChange float64
	// TakeoverGain is the minimum estimated gain of a takeover, as a fraction of the work.
	// Dissolving a group aborts its requests, and the new group takes some time to open.
	TakeoverGain float64
	// SpareFraction is the fraction of a domain's endpoints that is kept free for the model
	// with the largest groups.
	SpareFraction float64
	// PackDomains uses spares that complete a group of a smaller model, as far as spares or
	// endpoints that can start the largest model without a load remain.
	PackDomains bool
	// CorrectForLateness scales the estimated demand by the fraction of requests that were
	// served in time: the estimate is too low for long prompts and bursts, which hides that a
	// model lacks groups.
	CorrectForLateness bool
	// LocalWeight weights what a data centre can serve by itself against what all can serve
	// together. It may be partitioned from the others at any time, and controllers that all
	// fill the same gap overshoot.
	LocalWeight float64
	// CallerWeight weights a model's share of the callers against its share of the work in the
	// value of a plan, 0 to 1. By work alone, a model with few expensive requests counts as much
	// as one with many cheap ones, although it serves few callers. It applies only to services whose
	// routes differ in priority: without a ranking, a long request counts for as much as its work. The
	// direction of the ranking is not considered, and rejected requests count as callers too.
	CallerWeight float64
	// AcrossDomains allows groups that span domains, which are slow, where none can be formed
	// within a domain.
	AcrossDomains bool
	// WarmSpares has spares start their model ahead of need.
	WarmSpares bool
	// SecondModels stages a second model on the hosts of members, so that they can change
	// models without a load.
	SecondModels bool
}

// DefaultWeights are the default weights.
var DefaultWeights = Weights{Demand: 0.85, Headroom: 1.6, ModelChange: 0.7, TakeoverGain: 0.02, SpareFraction: 0.06, CorrectForLateness: true, LocalWeight: 0.7, AcrossDomains: true, WarmSpares: true, SecondModels: true}

// minDemand is the demand, in endpoints, below which the configured fractions apply.
const minDemand = 0.5

// observed is the demand for all models, in endpoints that would be fully busy.
func (s *situation) observed() float64 {
	total := 0.0
	for _, m := range s.engine.Models {
		total += s.demand[m.Name] * float64(m.Size)
	}
	return total
}

// capacity is the number of endpoints in use or free.
func (s *situation) capacity() float64 {
	total := float64(len(s.free) + len(s.soonFree))
	for _, m := range s.engine.Models {
		total += s.groupsOf(m)*float64(m.Size) + s.remote[m.Name]
	}
	return total
}

// shareOf is a model's fraction of the work by endpoints, weighted between the configured
// fraction and the observed demand.
func (s *situation) shareOf(m serving.Model) float64 {
	total := s.observed()
	if total < minDemand {
		return m.Fraction
	}
	observed := s.demand[m.Name] * float64(m.Size) / total
	return (1-s.weights.Demand)*m.Fraction + s.weights.Demand*observed
}

// demandOf is the demand to plan for over all data centres, in groups that would be fully
// busy. Without observed demand the work is assumed to fill all endpoints.
func (s *situation) demandOf(m serving.Model) float64 {
	total := s.weights.Headroom * s.observed()
	if total < minDemand {
		total = max(1, s.capacity())
	}
	demand := s.shareOf(m) * total / float64(m.Size)
	if inTime, known := s.inTime[m.Name]; known && s.weights.CorrectForLateness {
		groups := s.groupsOf(m) + s.remote[m.Name]/float64(m.Size)
		demand = min(max(demand, groups/inverseServed(inTime)), maxCorrection*demand)
	}
	return demand
}

const (
	// minMeasured is the number of requests, weighted by age, from which on the fraction
	// served in time is used.
	minMeasured = 20
	// maxCorrection bounds the correction for lateness, since failures and lost members make
	// requests late as well.
	maxCorrection = 1.8
	// minInTime bounds the argument of the inverse.
	minInTime = 0.3
)

// inverseServed is the inverse of servedFraction: the ratio of groups to demand at which a
// fraction of it is served in time.
func inverseServed(inTime float64) float64 {
	inTime = min(0.99, max(minInTime, inTime))
	return inTime / math.Pow(1-math.Pow(inTime, servedExponent), 1.0/servedExponent)
}

// servedExponent sets how sharp the bend of servedFraction is. Groups are loaded unevenly, so
// some are full long before all are.
const servedExponent = 3

// value estimates the fraction of the work, or of the callers by CallerWeight, served in time after a
// change of the endpoints of each model in this data centre.
func (s *situation) value(change map[string]float64) float64 {
	value := 0.0
	for _, m := range s.engine.Models {
		demand := s.demandOf(m)
		localGroups := max(0, s.groupsOf(m)+change[m.Name]/float64(m.Size))
		allGroups := localGroups + s.remote[m.Name]/float64(m.Size)
		shared := servedFraction(demand, allGroups)
		isolated := servedFraction(demand/float64(max(1, s.dataCentres)), localGroups)
		value += s.weightOf(m) * ((1-s.weights.LocalWeight)*shared + s.weights.LocalWeight*isolated)
	}
	return value
}

// groupsOf is the number of groups of a model that this data centre has or is forming; those
// across domains count for less.
func (s *situation) groupsOf(m serving.Model) float64 {
	endpoints := 0.0
	for _, models := range s.inUse {
		endpoints += models[m.Name]
	}
	return endpoints / float64(m.Size)
}

// servedFraction estimates the fraction of a demand that a number of groups serves in time. It
// is concave, so that of two models the one that lacks more groups gains more from the next
// one. With a curve that is flat at both ends a plan gives up the model that is worse off.
func servedFraction(demand, groups float64) float64 {
	if groups <= 0 {
		return 0
	}
	ratio := groups / demand
	return ratio / math.Pow(1+math.Pow(ratio, servedExponent), 1.0/servedExponent)
}

// gainOf returns the change in value.
func (s *situation) gainOf(change map[string]float64) float64 {
	return s.value(change) - s.value(nil)
}

// changeCost is the cost of changing endpoints of one model to another, which need a load to
// change back. change has the endpoints in use. Without this cost, groups that lost a member
// would lose the remaining ones to other models: of nine groups of four, two are left after 25 s,
// among half-empty groups of two.
func (s *situation) changeCost(change map[string]float64, from serving.Model, endpoints int) float64 {
	after := map[string]float64{from.Name: float64(from.Size)}
	for name, n := range change {
		after[name] += n
	}
	recovered := s.value(after) - s.value(change)
	return s.weights.ModelChange * recovered * float64(endpoints) / float64(from.Size)
}

// isWorthwhile reports whether the gain of a group exceeds what its members could contribute
// to groups of their last models.
func (s *situation) isWorthwhile(f formation) bool {
	if s.byCallers() && s.concernsFirstGroup(f.model, f.members) {
		return s.byWork().isWorthwhile(f)
	}
	change := map[string]float64{f.model.Name: float64(f.model.Size)}
	cost := 0.0
	for _, from := range s.engine.Models {
		if from.Name == f.model.Name {
			continue
		}
		changing := 0
		for _, e := range f.members {
			if e.Model == from.Name {
				changing++
			}
		}
		if changing > 0 && s.couldForm(from, f.members[0].Domain) {
			cost += s.changeCost(change, from, changing)
		}
	}
	return s.gainOf(change) >= cost
}

// couldForm reports whether a domain has all endpoints but one for another group of a model.
func (s *situation) couldForm(model serving.Model, domain string) bool {
	n := s.countWarm(model, domain, s.free) + s.countWarm(model, domain, s.soonFree)
	for _, g := range s.groups {
		if g.model.Name != model.Name {
			n += s.countWarm(model, domain, g.members)
		}
	}
	return n >= model.Size-1
}
