package groupcontrol

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The racks of customer K: domains of 37, two for each of three data centres.
var (
	rackK       = rack{large: 1, small: 5, free: 1}
	rackKSpares = rack{large: 1, small: 4, free: 5}
	rackKLost   = rack{small: 5, free: 16}
)

// customerK returns a data centre of customer K at a peak of the small model, which has 91 in 100
// of the requests and 0.52 of the work: 6.8 large and 29.6 small groups would be needed. The other
// two data centres have the given groups.
func customerK(callerWeight, remoteLarge, remoteSmall float64, racks ...rack) situation {
	s := withRemote(withDemand(newSituation(racks...), 4.25, 18.5), remoteLarge*16, remoteSmall*4)
	s.requests = map[string]float64{large.Name: 56, small.Name: 570}
	s.weights.CallerWeight = callerWeight
	return s
}

// settle applies plans until nothing changes, or 20 of them. It returns the number of takeovers and
// whether the plans converged. As in the controller, the domains of takeovers are kept for them; the
// cooldown and the minimum age of groups do not apply.
func settle(s situation) (after situation, takeovers int, converged bool) {
	for range 20 {
		d := plan(s)
		if len(d.formations)+len(d.takeovers) == 0 && len(s.reserved) == 0 {
			return s, takeovers, true
		}
		takeovers += len(d.takeovers)
		after := applyPlan(s, d)
		after.demand, after.requests, after.remote, after.dataCentres = s.demand, s.requests, s.remote, s.dataCentres
		for _, t := range d.takeovers {
			after.reserved[t.domain] = t.model.Name
		}
		s = after
	}
	return s, takeovers, false
}

// Guards against plans that keep a large group for few callers while many callers of the small
// model are late, and against plans that leave a model without a group or never come to rest.
func TestPlan_WeightsCallers(t *testing.T) {
	for _, test := range []struct {
		name                    string
		situation               situation
		takeovers               int
		wantLarge, wantSmall    float64
		withoutMeasuredRequests bool
	}{
		{name: "by work, one domain lost elsewhere", situation: customerK(0, 3, 15, rackK, rackK), wantLarge: 2, wantSmall: 10},
		{name: "by half, one domain lost elsewhere", situation: customerK(0.5, 3, 15, rackK, rackK), wantLarge: 2, wantSmall: 10},
		{name: "by callers, one domain lost elsewhere", situation: customerK(1, 3, 15, rackK, rackK), takeovers: 1, wantLarge: 1, wantSmall: 14},
		{name: "by callers, spares are free", situation: customerK(0.7, 3, 12, rackKSpares, rackKSpares), takeovers: 1, wantLarge: 1, wantSmall: 14},
		{name: "by callers, after a takeover elsewhere", situation: customerK(1, 2, 19, rackK, rackK), takeovers: 1, wantLarge: 1, wantSmall: 14},
		{name: "by callers, one domain lost here", situation: customerK(1, 4, 20, rackK), wantLarge: 1, wantSmall: 5},
		{name: "by callers, without measured requests", situation: customerK(1, 3, 15, rackK, rackK), wantLarge: 2, wantSmall: 10, withoutMeasuredRequests: true},
		{name: "by work, members of a large group are free", situation: customerK(0, 3, 15, rackKLost, rackK), wantLarge: 2, wantSmall: 10},
		// All 36 endpoints of the first domain form small groups; spares are of no use there.
		{name: "by callers, members of a large group are free", situation: customerK(1, 3, 15, rackKLost, rackK), wantLarge: 1, wantSmall: 14},
		{name: "by callers, members of the last large group are free", situation: customerK(1, 4, 20, rackKLost), wantLarge: 1, wantSmall: 5},
	} {
		t.Run(test.name, func(t *testing.T) {
			if test.withoutMeasuredRequests {
				test.situation.requests = nil
			}
			after, takeovers, converged := settle(test.situation)
			require.True(t, converged)
			require.Equal(t, test.takeovers, takeovers)
			require.InDelta(t, test.wantLarge, after.groupsOf(large), 0.01)
			require.InDelta(t, test.wantSmall, after.groupsOf(small), 0.01)
		})
	}
}

// Guards against groups that are dissolved by callers for a small gain or within the cooldown.
func TestPlan_ByCallersKeepsCostsOfTakeovers(t *testing.T) {
	s := customerK(1, 3, 15, rackK, rackK)
	require.Len(t, plan(s).takeovers, 1)
	s.inCooldown = true
	require.Empty(t, plan(s).takeovers)

	s = customerK(1, 3, 15, rackK, rackK)
	s.demand = map[string]float64{large.Name: 2.5, small.Name: 11}
	require.Empty(t, plan(s).takeovers, "calm load")
}
