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

// situation is what a plan depends on, for one service of one data centre.
type situation struct {
	service string
	engine  *serving.Engine
	// free endpoints are in no group that stands, nor in an operation.
	free []*serving.Endpoint
	// soon are endpoints that will be free in a moment: they are leaving a group
	// that is being ended.
	soonFree []*serving.Endpoint
	// working counts, by domain and model, the endpoints of groups that stand
	// or are being formed; those of groups across domains count for less.
	inUse map[string]map[string]float64
	// elsewhere counts, by model, the endpoints of groups in other data centres.
	remote map[string]float64
	// staging has the models that are on their way to hosts.
	staging map[serving.EndpointID]string
	// groups are those that stand without fault.
	groups []*group
	// reserved domains keep their free endpoints for a model: groups were ended
	// to form one of it.
	reserved map[string]string
	// growing domains have had a new endpoint lately, and may have more soon.
	growing map[string]bool
	weights Weights
	// settling is set shortly after groups were ended for another model.
	inCooldown bool
	// demand is the work asked of each model over all data centres, in groups
	// that would be busy with it all the time.
	demand map[string]float64
	// inTime is the part of the requests of each model that were served in time lately,
	// where enough of them are known.
	inTime map[string]float64
	// meanWork is how long the mean request of each model keeps a group busy, in seconds, and
	// limit how many requests a second a head takes that limits them, zero if it does not;
	// nil means that none does.
	meanWork map[string]float64
	limit    func(*serving.Endpoint) float64
	// dataCentres is their number.
	dataCentres int
	// open is set once a group of the data centre has taken requests.
	open bool
}

// count adds endpoints to what works in a domain.
func (s *situation) count(domain, model string, n float64) {
	if s.inUse[domain] == nil {
		s.inUse[domain] = map[string]float64{}
	}
	s.inUse[domain][model] += n
}

// decision is what a plan asks for.
type decision struct {
	formations []formation
	takeovers  []takeover
	stagings   []staging
	warmUps    []warmUp
}

// freeByDomain has the free endpoints that a plan has not used yet.
type freeByDomain map[string][]*serving.Endpoint

// remove takes endpoints out.
func (f freeByDomain) remove(members []*serving.Endpoint) {
	for domain := range f {
		f[domain] = slices.DeleteFunc(f[domain], func(e *serving.Endpoint) bool { return slices.Contains(members, e) })
	}
}

// plan returns the groups to be formed now, those to be ended so that others
// can be formed of their members, and the models to be staged.
func plan(s situation) decision {
	free := freeByDomain{}
	for _, e := range s.free {
		free[e.Domain] = append(free[e.Domain], e)
	}
	var d decision
	if !s.open {
		// Loads for groups go first.
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

// addNext adds the next formation or takeover to a decision, that of the neediest
// model for which there is one.
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

// warmFormation returns the group of a model that starts soonest without a load.
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

// initialFormations returns the groups to be formed before anything is served, when
// loads take a tenth of their time. Later what a group lacks is staged instead:
// members that wait for a load are no help to others.
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

// acrossDomains forms groups that span domains of endpoints that need no
// load. Such a group is slow, and better than none while its members wait for
// others of their domains.
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
			s.count(members[0].Domain, model.Name, float64(model.Size)/max(1, s.engine.FarFactor))
		}
	}
	return out
}

// staysNeediest reports whether a model is needier than all others even with one more
// group across domains. Else its members are worth more as spares.
func (s *situation) staysNeediest(model serving.Model) bool {
	extended := s.coverageWith(model, float64(model.Size)/max(1, s.engine.FarFactor))
	for _, other := range s.engine.Models {
		if other.Name != model.Name && s.coverage(other) < extended {
			return false
		}
	}
	return true
}

// bestInitial returns the next group to form before anything is served: the one that
// starts soonest among those that each domain is needed for most.
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

// bestInDomain returns the group that a domain is needed for most, if possible one
// that needs no load.
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

// coverage is how much of its part of the work a model can do: the endpoints of
// its groups, for each unit of its fraction. The lowest is the neediest.
func (s *situation) coverage(m serving.Model) float64 { return s.coverageWith(m, 0) }

// coverageWith is the need with some endpoints more.
func (s *situation) coverageWith(m serving.Model, extra float64) float64 {
	for _, models := range s.inUse {
		extra += models[m.Name]
	}
	return extra / max(s.shareOf(m), 0.01)
}

// byNeed sorts the models, the neediest first.
func (s *situation) byNeed() []serving.Model {
	models := slices.Clone(s.engine.Models)
	slices.SortStableFunc(models, func(a, b serving.Model) int {
		return cmp.Or(cmp.Compare(s.coverage(a), s.coverage(b)), cmp.Compare(s.shareOf(b), s.shareOf(a)), cmp.Compare(a.Name, b.Name))
	})
	return models
}

// rejoinTime is how long a member takes that had the model last.
const rejoinTime = 200 * time.Millisecond

// startDuration is how long an endpoint takes to be a ready member.
func startDuration(e *serving.Endpoint, m serving.Model) time.Duration {
	switch {
	case e.Model == m.Name:
		return rejoinTime
	case slices.Contains(e.Staged, m.Name):
		return m.WarmTime
	}
	return m.LoadTime
}

// isWarm reports whether an endpoint can be a member without a load.
func isWarm(e *serving.Endpoint, m serving.Model) bool { return startDuration(e, m) < m.LoadTime }

// versatility ranks an endpoint by what it could start beside a model: nothing,
// what its host holds, or the model of its last group.
func versatility(e *serving.Endpoint, m serving.Model) int {
	switch {
	case e.Model != "" && e.Model != m.Name:
		return 2
	case slices.ContainsFunc(e.Staged, func(held string) bool { return held != m.Name }):
		return 1
	}
	return 0
}

// chooseMembers picks the members that start soonest, in an order that is the same
// for every controller.
func chooseMembers(free []*serving.Endpoint, m serving.Model) ([]*serving.Endpoint, time.Duration) {
	sorted := slices.Clone(free)
	slices.SortFunc(sorted, func(a, b *serving.Endpoint) int {
		return cmp.Or(
			cmp.Compare(startDuration(a, m), startDuration(b, m)),
			// Who could soon serve another model is left for that.
			cmp.Compare(versatility(a, m), versatility(b, m)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	members := sorted[:m.Size]
	return members, startDuration(members[m.Size-1], m)
}
