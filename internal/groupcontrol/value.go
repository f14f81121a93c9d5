package groupcontrol

import (
	"math"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Weights set how a plan weighs what it does not know for certain.
type Weights struct {
	// Demand is the part of a model's share that the demand observed tells, the
	// rest being what the configuration expects: a model that nobody asks for
	// now keeps some groups.
	Demand float64
	// Headroom is what the demand is multiplied with: groups are lost, and demand
	// may rise, faster than others can be formed.
	Headroom float64
	// ModelChange is the cost of changing an endpoint that can start a model without a load
	// to another model, relative to its part of a group: the group may stay incomplete.
	ModelChange float64
	// TakeoverGain is the part of the work that must be served more, by estimate,
	// after groups were ended for another: groups that end cut their requests
	// off, and the new one takes a second or two to open.
	TakeoverGain float64
	// SpareFraction is the fraction of a domain's endpoints that is kept free for the model
	// with the largest groups.
	SpareFraction float64
	// CorrectForLateness scales the estimated demand by the fraction of requests that were
	// served in time: the estimate is too low for long prompts and bursts, which hides that
	// a model lacks groups.
	CorrectForLateness bool
	// LocalWeight weights what a data centre can serve by itself against what all can serve
	// together: it may lose contact with the others at any time, and controllers that all
	// fill the same gap overshoot.
	LocalWeight float64
	// AcrossDomains allows groups that span domains, which are slow, where none
	// within a domain can be formed.
	AcrossDomains bool
	// WarmSpares has spares start their model ahead of need.
	WarmSpares bool
	// SecondModels has the hosts of members hold another model than their own,
	// so that members can change without a load.
	SecondModels bool
}

// DefaultWeights were found by the rounds in docs/DECISIONS.md.
var DefaultWeights = Weights{Demand: 0.85, Headroom: 1.6, ModelChange: 0.7, TakeoverGain: 0.02, SpareFraction: 0.06, CorrectForLateness: true, LocalWeight: 0.7, AcrossDomains: true, WarmSpares: true, SecondModels: true}

// minDemand is the demand, in endpoints, below which what is observed says
// nothing yet.
const minDemand = 0.5

// observed is the work that callers ask for of all models, in endpoints that
// would be busy all the time.
func (s *situation) observed() float64 {
	total := 0.0
	for _, m := range s.engine.Models {
		total += s.demand[m.Name] * float64(m.Size)
	}
	return total
}

// capacity is the number of endpoints at work or free.
func (s *situation) capacity() float64 {
	total := float64(len(s.free) + len(s.soonFree))
	for _, m := range s.engine.Models {
		total += s.groupsOf(m)*float64(m.Size) + s.remote[m.Name]
	}
	return total
}

// shareOf is a model's part of the work, in endpoints: what the configuration
// expects, and what callers ask for.
func (s *situation) shareOf(m serving.Model) float64 {
	total := s.observed()
	if total < minDemand {
		return m.Fraction
	}
	observed := s.demand[m.Name] * float64(m.Size) / total
	return (1-s.weights.Demand)*m.Fraction + s.weights.Demand*observed
}

// demandOf is the work to be planned for of a model over all data centres, in
// groups that would be busy all the time. While none is observed, all endpoints
// count as needed.
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
	// minMeasured is the number of requests, older ones counting for less, from which
	// on the part of them that was in time says something.
	minMeasured = 20
	// maxCorrection bounds what lateness adds to a demand that was reckoned: cuts and
	// lost members make requests late as well.
	maxCorrection = 1.8
	// minInTime keeps the reverse of the curve within what it is for.
	minInTime = 0.3
)

// inverseServed is the reverse of served: how many times the demand the groups are that serve
// a part of it in time.
func inverseServed(inTime float64) float64 {
	inTime = min(0.99, max(minInTime, inTime))
	return inTime / math.Pow(1-math.Pow(inTime, servedExponent), 1.0/servedExponent)
}

// servedExponent sets how sharply the bend is between groups that lack work and
// groups that lack time. Groups are seldom loaded alike, so some are full long
// before all are.
const servedExponent = 3

// value is the part of the work that is served in time, by estimate, after a
// change of the endpoints at work on each model here.
func (s *situation) value(change map[string]float64) float64 {
	value := 0.0
	for _, m := range s.engine.Models {
		demand := s.demandOf(m)
		localGroups := max(0, s.groupsOf(m)+change[m.Name]/float64(m.Size))
		allGroups := localGroups + s.remote[m.Name]/float64(m.Size)
		shared := servedFraction(demand, allGroups)
		isolated := servedFraction(demand/float64(max(1, s.dataCentres)), localGroups)
		value += s.shareOf(m) * ((1-s.weights.LocalWeight)*shared + s.weights.LocalWeight*isolated)
	}
	return value
}

// groupsOf is how many groups of a model this data centre has or is forming;
// those across domains count for less.
func (s *situation) groupsOf(m serving.Model) float64 {
	endpoints := 0.0
	for _, models := range s.inUse {
		endpoints += models[m.Name]
	}
	return endpoints / float64(m.Size)
}

// servedFraction is the part of a demand that a number of groups serves in time: all of
// it with many groups, and what they have time for with few. Its slope only
// falls, so of two models that lack groups the one that lacks more comes first:
// with a curve that is flat at both ends a plan gave up the model that was worse
// off (docs/DECISIONS.md, round F).
func servedFraction(demand, groups float64) float64 {
	if groups <= 0 {
		return 0
	}
	ratio := groups / demand
	return ratio / math.Pow(1+math.Pow(ratio, servedExponent), 1.0/servedExponent)
}

// gainOf is what a change is worth.
func (s *situation) gainOf(change map[string]float64) float64 {
	return s.value(change) - s.value(nil)
}

// changeCost is what is lost when endpoints change from a model to another: an
// endpoint that was in a group of the other model needs a load to go back. The
// change is that of the endpoints at work. Without it nine groups of four were two
// after 25 seconds: each that lost a member left its others to groups of two, which
// were half empty.
func (s *situation) changeCost(change map[string]float64, from serving.Model, endpoints int) float64 {
	after := map[string]float64{from.Name: float64(from.Size)}
	for name, n := range change {
		after[name] += n
	}
	recovered := s.value(after) - s.value(change)
	return s.weights.ModelChange * recovered * float64(endpoints) / float64(from.Size)
}

// isWorthwhile reports whether a group is worth more than what its members could do for
// the groups that they come from.
func (s *situation) isWorthwhile(f formation) bool {
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

// couldForm reports whether a domain has, beside the groups of a model, all
// endpoints but one that another group of it takes.
func (s *situation) couldForm(model serving.Model, domain string) bool {
	n := s.countWarm(model, domain, s.free) + s.countWarm(model, domain, s.soonFree)
	for _, g := range s.groups {
		if g.model.Name != model.Name {
			n += s.countWarm(model, domain, g.members)
		}
	}
	return n >= model.Size-1
}
