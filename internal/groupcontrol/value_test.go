package groupcontrol

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// The slope of what groups are worth only falls. With a curve that is flat at
// both ends a plan gave up the model that was worse off.
func TestWhatOneMoreGroupIsWorthOnlyFalls(t *testing.T) {
	const demand = 5
	last := 1.0
	for groups := range 30 {
		gain := servedFraction(demand, float64(groups+1)) - servedFraction(demand, float64(groups))
		require.Greater(t, gain, 0.0)
		require.LessOrEqual(t, gain, last)
		last = gain
	}
}

// withDemand returns a data centre of three with a demand in groups.
func withDemand(s situation, largeDemand, smallDemand float64) situation {
	s.demand = map[string]float64{large.Name: largeDemand, small.Name: smallDemand}
	s.dataCentres = 3
	return s
}

func TestPlanByDemand(t *testing.T) {
	for _, test := range []struct {
		name       string
		situation  situation
		formations int
		takeovers  int
	}{
		// Fifteen of sixteen are left of a large group, and a group of four could be
		// formed of them.
		{"members wait for the last one of a group that is needed", withDemand(newSituation(rack{free: 15}, rack{small: 3}), 3, 4), 0, 0},
		{"members do not wait for a group that nobody needs", withDemand(newSituation(rack{free: 15, small: 1}, rack{large: 2}), 0.1, 12), 3, 1},
		// Nobody asks for the small model, and its four groups give up the members
		// that the large one lacks.
		{"groups that nobody needs are ended", withDemand(newSituation(rack{free: 14, small: 4}), 3, 0.1), 0, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := plan(test.situation)
			require.Len(t, d.formations, test.formations)
			require.Len(t, d.takeovers, test.takeovers)
		})
	}
}

// Three controllers that saw the same gap ended groups forth and back in the
// first three seconds of their service.
func TestGroupsAreNotEndedAgainSoonAfterATakeover(t *testing.T) {
	s := withDemand(newSituation(rack{free: 14, small: 4}), 3, 0.1)
	s.inCooldown = true
	require.Empty(t, plan(s).takeovers)
}

func TestLoadsGoWhereTheyCompleteWhatIsNeeded(t *testing.T) {
	s := withDemand(newSituation(rack{free: 15, small: 3, spare: 0}, rack{small: 4}), 3, 4)
	fresh := &serving.Endpoint{ID: "new", Domain: "rack-0"}
	s.free = append(s.free, fresh)
	d := plan(s)
	require.Empty(t, d.formations)
	require.NotEmpty(t, d.stagings)
	require.Equal(t, staging{fresh, large, 1}, d.stagings[0])
	require.Equal(t, 16*time.Second, d.stagings[0].model.LoadTime)
}

// A group that could be formed now, and is not worth it, keeps no domain from
// another model. The model that looks neediest here is served elsewhere; its
// domain stayed reserved for it in every plan, and nothing was formed there.
func TestAGroupThatDoesNotPayReservesNothing(t *testing.T) {
	s := withRemote(withDemand(newSituation(rack{large: 2, small: 1, free: 16}), 6, 4), 0, 400)
	s.weights.LocalWeight = 0
	require.Equal(t, small.Name, s.byNeed()[0].Name)
	d := plan(s)
	require.Len(t, d.formations, 1)
	require.Equal(t, large.Name, d.formations[0].model.Name)
}

// A model whose requests are late needs more groups than its work is reckoned to: of two
// models with the same work and groups the one that is late gets the next. Without it
// twenty full groups of one model stood beside nine of another that had little to do,
// through a burst of fourteen seconds.
func TestADemandThatIsNotServedInTimeCountsForMore(t *testing.T) {
	s := withDemand(newSituation(rack{large: 2, small: 8}), 1.2, 4.8)
	estimated := s.demandOf(small)
	gain := s.gainOf(map[string]float64{small.Name: 4})
	s.inTime = map[string]float64{small.Name: 0.6, large.Name: 0.99}
	require.Greater(t, s.demandOf(small), 1.2*estimated)
	require.LessOrEqual(t, s.demandOf(small), maxCorrection*estimated)
	require.Greater(t, s.gainOf(map[string]float64{small.Name: 4}), gain)
	s.inTime[small.Name] = 0.95
	require.InDelta(t, estimated, s.demandOf(small), 0.01*estimated, "what is in time corrects nothing")
}

func TestFullnessIsTheReverseOfServed(t *testing.T) {
	for _, ratio := range []float64{0.5, 0.8, 1, 1.5} {
		require.InDelta(t, ratio, inverseServed(servedFraction(1, ratio)), 0.001)
	}
}
