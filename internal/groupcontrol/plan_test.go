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
	large = serving.Model{Name: "large", Size: 16, Fraction: 0.5, Pace: 1, LoadTime: 16 * time.Second, WarmTime: 1600 * time.Millisecond}
	small = serving.Model{Name: "small", Size: 4, Fraction: 0.5, Pace: 0.6, LoadTime: 12 * time.Second, WarmTime: 1100 * time.Millisecond}
)

// rack describes a domain of endpoints that can all start both models.
type rack struct {
	large, small, free, freeSmall, spare, soonFree int
}

// newSituation builds a data centre of racks.
func newSituation(racks ...rack) situation {
	s := situation{
		service: "llm",
		engine:  &serving.Engine{Models: []serving.Model{large, small}, FarFactor: 2.5},
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

func TestPlan(t *testing.T) {
	for _, test := range []struct {
		name       string
		situation  situation
		formations []string
		takeovers  []string
	}{
		{"all is well", newSituation(rack{large: 1, small: 5, free: 1}, rack{large: 1, small: 5, free: 1}), nil, nil},
		{"a spare completes the group", newSituation(rack{small: 5, free: 16}, rack{large: 1, small: 5}), []string{"large in rack-0"}, nil},
		{"one small group gives its members up", newSituation(rack{small: 5, free: 14}, rack{large: 1, small: 5, free: 1}), nil, []string{"large in rack-0 of 1"}},
		{"nothing is ended for a group whose members are on their way", newSituation(rack{small: 5, free: 2, soonFree: 14}), nil, nil},
		{"members stay with the model that they can start at once", newSituation(rack{large: 1, small: 3}, rack{free: 16, freeSmall: 3, spare: 1}), []string{"small in rack-1", "large in rack-1"}, nil},
		{"a model that others serve is no reason to end groups", withRemote(newSituation(rack{small: 5, free: 14}, rack{large: 1, small: 5, free: 1}), 160, 160), []string{"small in rack-0", "small in rack-0", "small in rack-0"}, nil},
		{"a rack that is too small forms what it can", newSituation(rack{free: 9}), []string{"small in rack-0", "small in rack-0"}, nil},
		{"the last groups of a model are not ended for the other", newSituation(rack{small: 1, free: 12}, rack{large: 1}), []string{"small in rack-0", "small in rack-0", "small in rack-0"}, nil},
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

// Whatever a data centre looks like, plans that are carried out one after the
// other come to rest: no two of them end each other's groups for ever.
func TestPlansComeToRest(t *testing.T) {
	for lost := range 30 {
		s := newSituation(rack{large: 1, small: 5, free: 1}, rack{large: 1, small: 5, free: 1})
		// The first members of a large group and of a few small ones are lost.
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

// withLimit has the heads of a model's groups limit what they take, in requests a second, each
// of which keeps a group busy for a tenth of a second.
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

func TestPlansCountWhatLimitsLeave(t *testing.T) {
	racks := []rack{{large: 1, small: 4, freeSmall: 4}, {large: 1, small: 4}}
	for _, test := range []struct {
		name      string
		perSecond float64
		// small is what the groups of the model count for.
		small      float64
		formations int
	}{
		{"without a limit", 0, 8, 0},
		{"a limit beyond what they can do", 50, 8, 0},
		{"a limit of half of it", 5, 4, 1},
		{"a limit of a tenth of it", 1, 0.8, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := withLimit(withDemand(newSituation(racks...), 2, 8), small, test.perSecond)
			require.InDelta(t, test.small, s.groupsOf(small), 0.001)
			d := plan(s)
			require.Len(t, d.formations, test.formations)
			require.Empty(t, d.takeovers, "no limited group is ended for another")
		})
	}
}
