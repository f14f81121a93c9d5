package groupcontrol

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

var (
	large = serving.Model{Name: "large", Size: 16, Fraction: 0.5, TimeFactor: 1, LoadTime: 16 * time.Second, WarmTime: 1600 * time.Millisecond}
	small = serving.Model{Name: "small", Size: 4, Fraction: 0.5, TimeFactor: 0.6, LoadTime: 12 * time.Second, WarmTime: 1100 * time.Millisecond}
)

// rack describes a domain whose endpoints can all start both models.
type rack struct {
	large, small, free, freeSmall, spare, soonFree int
}

// newSituation returns the situation of a data centre with the given racks.
func newSituation(racks ...rack) situation {
	s := situation{
		service: "llm",
		engine:  &serving.Engine{Models: []serving.Model{large, small}, CrossDomainFactor: 2.5},
		inUse:   map[string]map[string]float64{},
		staging: map[serving.EndpointID]string{},
		growing: map[string]bool{},
		open:    true,
		weights: DefaultWeights,

		reserved: map[string]string{},
	}
	for i, r := range racks {
		domain := fmt.Sprintf("rack-%d", i)
		n := 0
		endpoints := func(count int, last, staged serving.Model) (out []*serving.Endpoint) {
			for range count {
				n++
				out = append(out, &serving.Endpoint{ID: serving.EndpointID(fmt.Sprintf("%s-%02d", domain, n)), Domain: domain, Model: last.Name, Staged: []string{staged.Name}})
			}
			return out
		}
		add := func(groups int, model, other serving.Model) {
			for g := range groups {
				members := endpoints(model.Size, model, other)
				members[0].Membership.State = serving.MemberOpen
				s.addHealthy(&group{key: fmt.Sprintf("%s-%s-%d", domain, model.Name, g), head: members[0], members: members, model: model, age: time.Minute})
			}
		}
		add(r.large, large, small)
		add(r.small, small, large)
		s.free = append(s.free, endpoints(r.free, large, small)...)
		s.free = append(s.free, endpoints(r.freeSmall, small, large)...)
		s.free = append(s.free, endpoints(r.spare, serving.Model{}, small)...)
		s.soonFree = endpoints(r.soonFree, large, small)
	}
	return s
}

// withRemote adds the endpoints that serve the models in other data centres.
func withRemote(s situation, largeEndpoints, smallEndpoints float64) situation {
	s.remote = map[string]float64{large.Name: largeEndpoints, small.Name: smallEndpoints}
	return s
}

func TestPlan_FormationsAndTakeovers(t *testing.T) {
	for _, test := range []struct {
		name       string
		situation  situation
		formations []string
		takeovers  []string
	}{
		{"steady state", newSituation(rack{large: 1, small: 5, free: 1}, rack{large: 1, small: 5, free: 1}), nil, nil},
		{"free endpoints form the missing group", newSituation(rack{small: 5, free: 16}, rack{large: 1, small: 5}), []string{"large in rack-0"}, nil},
		{"takes over one small group", newSituation(rack{small: 5, free: 14}, rack{large: 1, small: 5, free: 1}), nil, []string{"large in rack-0 of 1"}},
		{"waits for members that become free soon", newSituation(rack{small: 5, free: 2, soonFree: 14}), nil, nil},
		{"prefers models that start without a load", newSituation(rack{large: 1, small: 3}, rack{free: 16, freeSmall: 3, spare: 1}), []string{"small in rack-1", "large in rack-1"}, nil},
		{"no takeover for a model served elsewhere", withRemote(newSituation(rack{small: 5, free: 14}, rack{large: 1, small: 5, free: 1}), 160, 160), []string{"small in rack-0", "small in rack-0", "small in rack-0"}, nil},
		{"small rack forms groups of the smaller model", newSituation(rack{free: 9}), []string{"small in rack-0", "small in rack-0"}, nil},
		{"no takeover of the last groups of a model", newSituation(rack{small: 1, free: 12}, rack{large: 1}), []string{"small in rack-0", "small in rack-0", "small in rack-0"}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := plan(test.situation)
			var formations, takeovers []string
			for _, f := range d.formations {
				require.Len(t, f.members, f.model.Size)
				formations = append(formations, f.model.Name+" in "+f.members[0].Domain)
			}
			for _, to := range d.takeovers {
				takeovers = append(takeovers, fmt.Sprintf("%s in %s of %d", to.model.Name, to.domain, len(to.groups)))
			}
			require.Equal(t, test.formations, formations)
			require.Equal(t, test.takeovers, takeovers)
		})
	}
}

// Guards against plans that dissolve each other's groups forever: applying one plan after the
// other must converge.
func TestPlan_Converges(t *testing.T) {
	for lost := range 30 {
		s := newSituation(rack{large: 1, small: 5, free: 1}, rack{large: 1, small: 5, free: 1})
		// A large group is dissolved and some of its members are lost.
		s = dissolve(s, s.groups[0])
		s.free = s.free[min(lost, len(s.free)):]
		steps := 0
		for {
			d := plan(s)
			if len(d.formations)+len(d.takeovers) == 0 {
				break
			}
			steps++
			require.Less(t, steps, 20)
			s = applyPlan(s, d)
		}
	}
}

// applyPlan returns the situation after a plan.
func applyPlan(s situation, d decision) situation {
	for _, t := range d.takeovers {
		for _, g := range t.groups {
			s.free = append(slices.Clone(s.free), g.members...)
			s.groups = slices.DeleteFunc(slices.Clone(s.groups), func(other *group) bool { return other == g })
		}
	}
	out := situation{service: s.service, engine: s.engine, inUse: map[string]map[string]float64{}, staging: s.staging, growing: s.growing, open: true, weights: s.weights, reserved: map[string]string{}}
	for _, g := range s.groups {
		out.addHealthy(g)
	}
	var used []*serving.Endpoint
	for i, f := range d.formations {
		used = append(used, f.members...)
		f.members[0].Membership.State = serving.MemberOpen
		out.addHealthy(&group{key: fmt.Sprintf("%s-%d-%d", f.model.Name, len(out.groups), i), head: f.members[0], members: f.members, model: f.model, age: time.Minute})
	}
	for _, e := range s.free {
		if !slices.Contains(used, e) {
			out.free = append(out.free, e)
		}
	}
	return out
}

// dissolve frees the members of a group.
func dissolve(s situation, g *group) situation {
	s.groups = slices.DeleteFunc(slices.Clone(s.groups), func(other *group) bool { return other == g })
	s.free = append(slices.Clone(s.free), g.members...)
	for _, e := range g.members {
		s.inUse[e.Domain][g.model.Name] -= s.memberWeight(g)
	}
	return s
}

// withLimit sets a rate limit, in requests per second, on the heads of a model's groups. Each
// request keeps a group busy for 0.1 s.
func withLimit(s situation, model serving.Model, perSecond float64) situation {
	s.meanWork = map[string]float64{model.Name: 0.1}
	s.limit = func(*serving.Endpoint) float64 { return perSecond }
	groups := s.groups
	s.groups, s.inUse = nil, map[string]map[string]float64{}
	for _, g := range groups {
		s.addHealthy(g)
	}
	return s
}

func TestPlan_AccountsForRateLimits(t *testing.T) {
	racks := []rack{{large: 1, small: 4, freeSmall: 4}, {large: 1, small: 4}}
	for _, test := range []struct {
		name      string
		perSecond float64
		// small is the resulting number of groups of the model.
		small      float64
		formations int
	}{
		{"no limit", 0, 8, 0},
		{"limit above the capacity", 50, 8, 0},
		{"limit at half the capacity", 5, 4, 1},
		{"limit at a tenth of the capacity", 1, 0.8, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := withLimit(withDemand(newSituation(racks...), 2, 8), small, test.perSecond)
			require.InDelta(t, test.small, s.groupsOf(small), 0.001)
			d := plan(s)
			require.Len(t, d.formations, test.formations)
			require.Empty(t, d.takeovers, "rate-limited groups must not be taken over")
		})
	}
}

// An evacuated data centre gets no requests, so its groups look idle. They must be kept for its
// return, while the others form what only it had.
func TestPlan_KeepsGroupsOfEvacuatedDataCentre(t *testing.T) {
	s := newSituation(rack{small: 9})
	s.demand = map[string]float64{large.Name: 2, small.Name: 1}
	require.NotEmpty(t, plan(s).takeovers, "a group of the model that nobody serves is formed")
	s = newSituation(rack{small: 9})
	s.demand = map[string]float64{large.Name: 2, small.Name: 1}
	s.evacuated = true
	require.Empty(t, plan(s).takeovers)
}
