package evacuation_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/pkg/evacuation"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

func TestRegistry_AppliesChangesOnce(t *testing.T) {
	r := evacuation.NewRegistry()
	now := time.Now()
	later := now.Add(time.Minute)
	evacuate := []evacuation.Change{{DataCentre: "north", Version: 7}}
	require.Len(t, r.ApplyChanges(evacuate, now), 1)
	require.True(t, r.IsEvacuated("north"))
	require.False(t, r.IsEvacuated("south"))
	require.Empty(t, r.ApplyChanges(evacuate, later))

	lift := []evacuation.Change{{DataCentre: "north", Lifted: true, Version: 9}}
	require.Len(t, r.ApplyChanges(lift, later), 1)
	require.False(t, r.IsEvacuated("north"))
	require.Equal(t, later, r.LiftedAt("north"))
	// A delayed copy of the first row does not evacuate it again.
	require.Empty(t, r.ApplyChanges(evacuate, later))
	require.False(t, r.IsEvacuated("north"))
}

func TestRegistry_SnapshotLiftsUnlisted(t *testing.T) {
	r := evacuation.NewRegistry()
	now := time.Now()
	require.Len(t, r.ApplySnapshot([]serving.DataCentre{"north"}, 5, now), 1)
	require.Empty(t, r.ApplySnapshot(nil, 4, now), "an older read changes nothing")
	require.True(t, r.IsEvacuated("north"))
	require.Len(t, r.ApplySnapshot([]serving.DataCentre{"south"}, 6, now), 2)
	require.False(t, r.IsEvacuated("north"))
	require.True(t, r.IsEvacuated("south"))
}

// A node that read the table after an evacuation was lifted must not believe a peer that has not
// heard of that yet: it watches from its own read on and would never see the removal.
func TestRegistry_IgnoresOlderListOfPeer(t *testing.T) {
	stale, fresh := evacuation.NewRegistry(), evacuation.NewRegistry()
	now := time.Now()
	stale.ApplyChanges([]evacuation.Change{{DataCentre: "north", Version: 15}}, now)
	fresh.ApplySnapshot(nil, 20, now)
	require.Empty(t, fresh.Merge(stale.Records(), stale.Version(), now))
	require.False(t, fresh.IsEvacuated("north"))
	require.Len(t, stale.Merge(fresh.Records(), fresh.Version(), now), 1, "the fresh node's empty list lifts the evacuation")
	require.False(t, stale.IsEvacuated("north"))
}

// Nodes that read parts of the history and exchange lists in any order agree on the newest state.
func TestRegistry_NodesConverge(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		now := time.Now()
		names := []serving.DataCentre{"north", "south", "east"}
		truth := map[serving.DataCentre]bool{}
		version := uint64(0)
		var nodes []*evacuation.Registry
		readUpTo := make([]uint64, 5)
		for range readUpTo {
			nodes = append(nodes, evacuation.NewRegistry())
		}
		var history []evacuation.Change
		read := func(i int) {
			if readUpTo[i] == 0 {
				var listed []serving.DataCentre
				for dc, evacuated := range truth {
					if evacuated {
						listed = append(listed, dc)
					}
				}
				nodes[i].ApplySnapshot(listed, version, now)
			} else {
				nodes[i].ApplyChanges(history[readUpTo[i]:], now)
			}
			readUpTo[i] = version
		}
		for range 60 {
			switch random.IntN(3) {
			case 0:
				dc := names[random.IntN(len(names))]
				truth[dc] = !truth[dc]
				version++
				history = append(history, evacuation.Change{DataCentre: dc, Lifted: !truth[dc], Version: version})
			case 1:
				read(random.IntN(len(nodes)))
			case 2:
				from, to := nodes[random.IntN(len(nodes))], nodes[random.IntN(len(nodes))]
				to.Merge(from.Records(), from.Version(), now)
			}
		}
		read(0)
		for i := range nodes {
			nodes[i].Merge(nodes[0].Records(), nodes[0].Version(), now)
			for _, dc := range names {
				require.Equal(t, truth[dc], nodes[i].IsEvacuated(dc), "seed %d, node %d, %s", seed, i, dc)
			}
		}
	}
}

func TestRegistry_BoundsRecords(t *testing.T) {
	r := evacuation.NewRegistry()
	for i := range 1000 {
		r.ApplyChanges([]evacuation.Change{{DataCentre: serving.DataCentre(fmt.Sprint("dc-", i)), Version: uint64(i + 1)}}, time.Now())
	}
	require.Len(t, r.Records(), 256)
}
