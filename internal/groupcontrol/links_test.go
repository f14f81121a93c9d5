package groupcontrol_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/groupcontrol"
	"github.com/ridgehinge/ridgehinge/internal/standin/fleetstandin"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// fakeLinks are links whose loss a test decides.
type fakeLinks struct {
	lostSince atomic.Pointer[time.Time]
	// neighbour is set while another node reaches the endpoints.
	neighbour atomic.Bool
}

func (f *fakeLinks) lose(ago time.Duration) {
	since := time.Now().Add(-ago)
	f.lostSince.Store(&since)
}

func (f *fakeLinks) links() *groupcontrol.Links {
	return &groupcontrol.Links{
		LostSince: func() time.Time {
			if since := f.lostSince.Load(); since != nil {
				return *since
			}
			return time.Time{}
		},
		Confirm:          func(context.Context, string) bool { return f.lostSince.Load() == nil },
		NeighbourReaches: f.neighbour.Load,
	}
}

// membersOf returns the endpoints of a model's group by rank.
func (dc *testDataCentre) membersOf(model string, size int) []serving.EndpointID {
	var out []serving.EndpointID
	for rank := range size {
		out = append(out, dc.member(model, rank))
	}
	return out
}

// Guards against a controller that takes all endpoints for dead, and dissolves their groups, because
// its own node has lost its links.
func TestController_KeepsGroupsWhileItsLinksAreLost(t *testing.T) {
	dc := newDataCentre(t, 9)
	fake := &fakeLinks{}
	dc.links = fake.links()
	dc.leaseTTL = 10 * time.Second
	dc.startController("n1")
	dc.awaitOpen(1, 1)
	dc.awaitStaged()
	members := dc.membersOf("large", 4)
	group := dc.fleet.Group(members[0]).Group
	fake.lose(0)
	for _, m := range members {
		dc.fleet.SetCondition(m, fleetstandin.Silent)
	}
	dc.setSuspects(members...)
	time.Sleep(time.Second)
	for _, m := range members {
		dc.fleet.SetCondition(m, fleetstandin.Healthy)
	}
	dc.setSuspects()
	fake.lostSince.Store(nil)
	time.Sleep(time.Second)
	for _, m := range members {
		require.Equal(t, group, dc.fleet.Group(m).Group)
	}
	dc.awaitOpen(1, 1)
}

// A controller without links leaves its lease to a node that reaches the endpoints, so that groups are
// repaired meanwhile, and keeps it while there is none.
func TestController_HandsOverWhileItsLinksAreLost(t *testing.T) {
	dc := newDataCentre(t, 9)
	dc.leaseTTL = 10 * time.Second
	fake := &fakeLinks{}
	dc.links = fake.links()
	dc.startController("n1")
	dc.awaitOpen(1, 1)
	dc.awaitStaged()
	dc.links = nil
	dc.startController("n2")
	dead := dc.member("large", 1)
	fake.lose(time.Minute)
	dc.fleet.SetCondition(dead, fleetstandin.Terminated)
	time.Sleep(time.Second)
	require.Zero(t, dc.fleet.Open()["large"], "the lease of ten seconds is kept")
	fake.neighbour.Store(true)
	began := time.Now()
	require.Eventually(t, func() bool { return dc.fleet.Open()["large"] == 1 }, timeout, 5*time.Millisecond)
	require.Less(t, time.Since(began), 5*time.Second, "the lease was not released")
	dc.requireUnbroken()
}

// Guards against dissolving the group of a sound endpoint that is silent for a second and goes on.
func TestController_ToleratesSilentSecond(t *testing.T) {
	dc := newDataCentre(t, 9)
	dc.silenceTolerance = 1200 * time.Millisecond
	dc.leaseTTL = 10 * time.Second
	dc.startController("n1")
	dc.awaitOpen(1, 1)
	dc.awaitStaged()
	head := dc.member("large", 0)
	group := dc.fleet.Group(head).Group
	dc.fleet.SetCondition(head, fleetstandin.Silent)
	dc.setSuspects(head)
	time.Sleep(time.Second)
	dc.fleet.SetCondition(head, fleetstandin.Healthy)
	time.Sleep(time.Second)
	require.Equal(t, group, dc.fleet.Group(head).Group)

	dc.fleet.SetCondition(head, fleetstandin.Silent)
	require.Eventually(t, func() bool { return dc.fleet.Group(head).Group != group || dc.fleet.Open()["large"] == 0 }, timeout, 5*time.Millisecond,
		"an endpoint that stays silent counts as dead")
	dc.requireUnbroken()
}
