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
	// members starts with the head.
	members []*serving.Endpoint
}

// ids returns the members' ids in rank order.
func (f formation) ids() []serving.EndpointID {
	out := make([]serving.EndpointID, 0, len(f.members))
	for _, m := range f.members {
		out = append(out, m.ID)
	}
	return out
}

// situation is the input of a plan for one service of one data centre.
type situation struct {
	service string
	engine  *serving.Engine
	// free endpoints are neither in a healthy group nor in an operation.
	free []*serving.Endpoint
	// soonFree endpoints are leaving a group that is being dissolved.
	soonFree []*serving.Endpoint
	// inUse counts, by domain and model, the endpoints of healthy groups and of groups being
	// formed; members of groups across domains count for less.
	inUse map[string]map[string]float64
	// remote counts, by model, the endpoints of groups in other data centres, without those that
	// are evacuated; dataCentres counts the data centres that get requests.
	remote map[string]float64
	// staging has the models that are being loaded to hosts.
	staging map[serving.EndpointID]string
	// groups are the open groups without a fault.
	groups []*group
	// reserved domains keep their free endpoints for a model for which other groups were
	// dissolved.
	reserved map[string]string
	// growing domains have had a new endpoint recently and may get more soon.
	growing map[string]bool
	weights Weights
	// inCooldown is set shortly after groups were dissolved for another model.
	inCooldown bool
	// demand is the work for each model over all data centres, in groups that would be fully
	// busy.
	demand map[string]float64
	// requests are the requests per second for each model over all data centres.
	requests map[string]float64
	// inTime is the recent fraction of each model's requests that were served in time, if
	// enough requests were measured.
	inTime map[string]float64
	// meanWork is how long a mean request of each model keeps a group busy, in seconds. limit
	// returns the rate limit of a head in requests per second, zero if it has none; nil means
	// that no head has one.
	meanWork    map[string]float64
	limit       func(*serving.Endpoint) float64
	dataCentres int
	// evacuated is set while this data centre gets no new requests. Its groups are kept and
	// repaired, so that it serves at once when the evacuation is lifted.
	evacuated bool
	// open is set once a group of the data centre has served requests.
	open bool
}

// count adds n endpoints in use for a model in a domain.
func (s *situation) count(domain, model string, n float64) {
	if s.inUse[domain] == nil {
		s.inUse[domain] = map[string]float64{}
	}
	s.inUse[domain][model] += n
}

// decision is the output of a plan.
type decision struct {
	formations []formation
	takeovers  []takeover
	stagings   []staging
	warmUps    []warmUp
}

// freeByDomain has the free endpoints that the plan has not used yet.
type freeByDomain map[string][]*serving.Endpoint

// remove deletes endpoints that the plan has used.
func (f freeByDomain) remove(members []*serving.Endpoint) {
	for domain := range f {
		f[domain] = slices.DeleteFunc(f[domain], func(e *serving.Endpoint) bool { return slices.Contains(members, e) })
	}
}

// plan returns the groups to form now, the groups to dissolve so that their members can form
// others, and the models to stage.
func plan(s situation) decision {
	free := freeByDomain{}
	for _, e := range s.free {
		free[e.Domain] = append(free[e.Domain], e)
	}
	var d decision
	if !s.open {
		// Loads for groups come first.
		d.formations = s.initialFormations(free)
		return d
	}
	for s.addNext(&d, free) {
	}
	if s.weights.AcrossDomains {
		d.formations = append(d.formations, s.acrossDomains(free)...)
	}
	d.stagings = s.stage(free)
	if s.weights.WarmSpares {
		d.warmUps = s.chooseWarmUps(free)
	}
	return d
}

// addNext adds the next formation or takeover to a decision, for the neediest model that has
// one.
func (s *situation) addNext(d *decision, free freeByDomain) bool {
	for _, model := range s.byNeed() {
		if f, ok := s.warmFormation(model, free); ok {
			d.formations = append(d.formations, f)
			s.count(f.members[0].Domain, model.Name, float64(model.Size))
			free.remove(f.members)
			return true
		}
		switch t, outcome := s.takeoverFor(model, free); outcome {
		case takeoverFound:
			d.takeovers = append(d.takeovers, t)
			s.inCooldown = s.inCooldown || t.changesModel()
			s.end(t.groups)
			s.reserved[t.domain] = model.Name
			return true
		case takeoverPending:
			s.reserved[t.domain] = model.Name
		}
	}
	return false
}

// warmFormation returns the group of a model that can start soonest without a load.
func (s *situation) warmFormation(model serving.Model, free freeByDomain) (formation, bool) {
	var best formation
	bestStart := model.LoadTime
	for _, domain := range slices.Sorted(maps.Keys(free)) {
		kept := s.reserved[domain]
		usable := s.freeFor(model, domain, free[domain])
		if len(usable) < model.Size || kept != "" && kept != model.Name {
			continue
		}
		members, start := chooseMembers(usable, model)
		f := formation{s.service, model, members}
		if start < bestStart && s.isWorthwhile(f) {
			best, bestStart = f, start
		}
	}
	return best, best.members != nil
}

// initialFormations returns the groups to form before anything is served, when loads are
// unpaced. Later on, missing models are staged instead, so that no members are blocked in a
// group that waits for a load.
func (s *situation) initialFormations(free freeByDomain) []formation {
	var out []formation
	for {
		f, ok := s.bestInitial(free)
		if !ok {
			return out
		}
		out = append(out, f)
		s.count(f.members[0].Domain, f.model.Name, float64(len(f.members)))
		free.remove(f.members)
	}
}

// acrossDomains forms groups that span domains from endpoints that need no load. Such a group
// is slow, but serves while its members wait for others of their own domains.
func (s *situation) acrossDomains(free freeByDomain) []formation {
	var out []formation
	for _, model := range s.byNeed() {
		var warm []*serving.Endpoint
		for _, domain := range slices.Sorted(maps.Keys(free)) {
			if s.reserved[domain] != "" {
				continue
			}
			for _, e := range free[domain] {
				if isWarm(e, model) && s.staging[e.ID] == "" {
					warm = append(warm, e)
				}
			}
		}
		for len(warm) >= model.Size && s.staysNeediest(model) {
			members := slices.Clone(warm[:model.Size])
			warm = warm[model.Size:]
			out = append(out, formation{s.service, model, members})
			free.remove(members)
			s.count(members[0].Domain, model.Name, float64(model.Size)/max(1, s.engine.CrossDomainFactor))
		}
	}
	return out
}

// staysNeediest reports whether a model would remain the neediest even with one more group
// across domains. Otherwise the members are more useful as spares.
func (s *situation) staysNeediest(model serving.Model) bool {
	extended := s.needWith(model, float64(model.Size)/max(1, s.engine.CrossDomainFactor))
	for _, other := range s.engine.Models {
		if other.Name != model.Name && s.need(other) > extended {
			return false
		}
	}
	return true
}

// bestInitial returns the next group to form before anything is served: each domain proposes a
// group of its neediest model, and the one that starts soonest is chosen.
func (s *situation) bestInitial(free freeByDomain) (formation, bool) {
	var best formation
	var bestStart time.Duration
	found := false
	for _, domain := range slices.Sorted(maps.Keys(free)) {
		f, start, ok := s.bestInDomain(domain, free[domain])
		if ok && (!found || start < bestStart) {
			best, bestStart, found = f, start, true
		}
	}
	return best, found
}

// bestInDomain returns a group of the neediest model that a domain can form, preferring groups
// that need no load.
func (s *situation) bestInDomain(domain string, free []*serving.Endpoint) (formation, time.Duration, bool) {
	models := s.byNeed()
	for _, model := range models {
		usable := s.freeFor(model, domain, free)
		if len(usable) < model.Size {
			continue
		}
		if members, start := chooseMembers(usable, model); start < model.LoadTime {
			return formation{s.service, model, members}, start, true
		}
	}
	for _, model := range models {
		if usable := s.freeFor(model, domain, free); len(usable) >= model.Size {
			members, start := chooseMembers(usable, model)
			return formation{s.service, model, members}, start, true
		}
		if s.growing[domain] {
			break
		}
	}
	return formation{}, 0, false
}

// coverageWith is the number of endpoints that serve a model, with extra ones added, per unit of
// its share of the work.
func (s *situation) coverageWith(m serving.Model, extra float64) float64 {
	for _, models := range s.inUse {
		extra += models[m.Name]
	}
	return extra / max(s.shareOf(m), 0.01)
}

// byNeed returns the models, the neediest first.
func (s *situation) byNeed() []serving.Model {
	models := slices.Clone(s.engine.Models)
	need := make(map[string]float64, len(models))
	for _, m := range models {
		need[m.Name] = s.need(m)
	}
	slices.SortStableFunc(models, func(a, b serving.Model) int {
		return cmp.Or(cmp.Compare(need[b.Name], need[a.Name]), cmp.Compare(s.shareOf(b), s.shareOf(a)), cmp.Compare(a.Name, b.Name))
	})
	return models
}

// rejoinTime is how long an endpoint takes to become ready with the model of its last group.
const rejoinTime = 200 * time.Millisecond

// startDuration is how long an endpoint takes to become a ready member.
func startDuration(e *serving.Endpoint, m serving.Model) time.Duration {
	switch {
	case e.Model == m.Name:
		return rejoinTime
	case slices.Contains(e.Staged, m.Name):
		return m.WarmTime
	}
	return m.LoadTime
}

// isWarm reports whether an endpoint can become a member without a load.
func isWarm(e *serving.Endpoint, m serving.Model) bool { return startDuration(e, m) < m.LoadTime }

// versatility ranks an endpoint by the other models that it could start: none, a staged one,
// or that of its last group.
func versatility(e *serving.Endpoint, m serving.Model) int {
	switch {
	case e.Model != "" && e.Model != m.Name:
		return 2
	case slices.ContainsFunc(e.Staged, func(held string) bool { return held != m.Name }):
		return 1
	}
	return 0
}

// chooseMembers picks the members that start soonest, in an order that is the same on every
// controller.
func chooseMembers(free []*serving.Endpoint, m serving.Model) ([]*serving.Endpoint, time.Duration) {
	sorted := slices.Clone(free)
	slices.SortFunc(sorted, func(a, b *serving.Endpoint) int {
		return cmp.Or(
			cmp.Compare(startDuration(a, m), startDuration(b, m)),
			// Endpoints that could start another model are kept for it.
			cmp.Compare(versatility(a, m), versatility(b, m)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	members := sorted[:m.Size]
	return members, startDuration(members[m.Size-1], m)
}
