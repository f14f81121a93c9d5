package groupcontrol

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Guards against a curve that is flat at both ends, which would make a plan give up the model
// that lacks more groups.
func TestServedFraction_IsConcave(t *testing.T) {
	const demand = 5
	last := 1.0
	for groups := range 30 {
		gain := servedFraction(demand, float64(groups+1)) - servedFraction(demand, float64(groups))
		require.Greater(t, gain, 0.0)
		require.LessOrEqual(t, gain, last)
		last = gain
	}
}

// withDemand sets the demand in groups, in one of three data centres.
func withDemand(s situation, largeDemand, smallDemand float64) situation {
	s.demand = map[string]float64{large.Name: largeDemand, small.Name: smallDemand}
	s.dataCentres = 3
	return s
}

func TestPlan_FollowsDemand(t *testing.T) {
	for _, test := range []struct {
		name       string
		situation  situation
		formations int
		takeovers  int
	}{
		// 15 of 16 members of a large group are left, which could also form small groups.
		{"members wait for the last one of a needed group", withDemand(newSituation(rack{free: 15}, rack{small: 3}), 3, 4), 0, 0},
		{"members do not wait for a group without demand", withDemand(newSituation(rack{free: 15, small: 1}, rack{large: 2}), 0.1, 12), 3, 1},
		// The small model has almost no demand, and its groups give up the members that the
		// large one lacks.
		{"takes over groups without demand", withDemand(newSituation(rack{free: 14, small: 4}), 3, 0.1), 0, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := plan(test.situation)
			require.Len(t, d.formations, test.formations)
			require.Len(t, d.takeovers, test.takeovers)
		})
	}
}

// Guards against controllers that repeatedly dissolve each other's choices.
func TestPlan_NoTakeoverDuringCooldown(t *testing.T) {
	s := withDemand(newSituation(rack{free: 14, small: 4}), 3, 0.1)
	s.inCooldown = true
	require.Empty(t, plan(s).takeovers)
}

func TestPlan_StagesModelThatCompletesNeededGroup(t *testing.T) {
	s := withDemand(newSituation(rack{free: 15, small: 3, spare: 0}, rack{small: 4}), 3, 4)
	fresh := &serving.Endpoint{ID: "new", Domain: "rack-0"}
	s.free = append(s.free, fresh)
	d := plan(s)
	require.Empty(t, d.formations)
	require.NotEmpty(t, d.stagings)
	require.Equal(t, staging{fresh, large, 1}, d.stagings[0])
	require.Equal(t, 16*time.Second, d.stagings[0].model.LoadTime)
}

// Guards against a domain that stays reserved for a needy model whose group is not worthwhile
// there, so that no other group is formed.
func TestPlan_UnprofitableGroupReservesNothing(t *testing.T) {
	s := withRemote(withDemand(newSituation(rack{large: 2, small: 1, free: 16}), 6, 4), 0, 400)
	s.weights.LocalWeight = 0
	require.Equal(t, small.Name, s.byNeed()[0].Name)
	d := plan(s)
	require.Len(t, d.formations, 1)
	require.Equal(t, large.Name, d.formations[0].model.Name)
}

// Guards against too few groups of a model whose requests are late: of two models with the
// same estimated demand and groups, the late one must gain more from the next group.
func TestDemandOf_CorrectsForLateness(t *testing.T) {
	s := withDemand(newSituation(rack{large: 2, small: 8}), 1.2, 4.8)
	estimated := s.demandOf(small)
	gain := s.gainOf(map[string]float64{small.Name: 4})
	s.inTime = map[string]float64{small.Name: 0.6, large.Name: 0.99}
	require.Greater(t, s.demandOf(small), 1.2*estimated)
	require.LessOrEqual(t, s.demandOf(small), maxCorrection*estimated)
	require.Greater(t, s.gainOf(map[string]float64{small.Name: 4}), gain)
	s.inTime[small.Name] = 0.95
	require.InDelta(t, estimated, s.demandOf(small), 0.01*estimated, "no correction when requests are in time")
}

func TestInverseServed_InvertsServedFraction(t *testing.T) {
	for _, ratio := range []float64{0.5, 0.8, 1, 1.5} {
		require.InDelta(t, ratio, inverseServed(servedFraction(1, ratio)), 0.001)
	}
}
