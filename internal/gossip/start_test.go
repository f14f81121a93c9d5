package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/link"
	"github.com/ridgehinge/ridgehinge/internal/relay"
	"github.com/ridgehinge/ridgehinge/internal/standin/fleetstandin"
	"github.com/ridgehinge/ridgehinge/internal/standin/memtable"
)

// startingNodes returns the nodes of a data centre that have just started. Ten have more cores than
// the others.
func startingNodes(n int) []*Gossiper {
	var out []*Gossiper
	for i := range n {
		cores := 0.2
		if i%max(1, n/10) == 0 {
			cores = 0.8
		}
		d := directory.New(fleetstandin.Codec())
		demand := relay.NewDemand()
		g := New(Config{
			Incarnation: fmt.Sprintf("n%03d/x", i),
			Address:     fmt.Sprintf("10.0.%d.%d:1", i/250, i%250),
			DataCentre:  "north",
			Cores:       cores,
			Nodes:       1,
		}, Parts{
			Directory: d,
			Balancer:  relay.NewBalancer("north", rand.NewPCG(uint64(i), 1), relay.DefaultWeights),
			Demand:    demand,
			Budget:    relay.NewBudget(0.1, 10, 10*time.Second, 1),
			Store:     memtable.New(),
			Links:     link.New(nil),
		})
		g.SetController(notController{})
		out = append(out, g)
	}
	return out
}

// exchange makes one node call another.
func exchange(t *testing.T, from, to *Gossiper) {
	t.Helper()
	from.AddSeeds([]string{to.config.Address})
	answer, err := to.Share(t.Context(), from.buildMessage(from.peers[to.config.Address]))
	require.NoError(t, err)
	from.applyMessage(answer, to.config.Address)
}

// Guards against reads of the lease by every node that starts, whose number grows with the fleet.
func TestRank_FewNodesStartAtFront(t *testing.T) {
	for _, n := range []int{3, 20, 100, 200} {
		nodes := startingNodes(n)
		seed := nodes[n/2]
		for range 2 {
			for _, node := range nodes {
				if node != seed {
					exchange(t, node, seed)
				}
			}
		}
		front := 0
		for _, node := range nodes {
			if node.Rank() == 0 {
				front++
			}
		}
		require.Equal(t, 1, front, "%d nodes", n)
	}
}

// A node that knows of none better must not wait for anyone.
func TestRank_IgnoresNodesThatAreGone(t *testing.T) {
	nodes := startingNodes(2)
	better, node := nodes[0], nodes[1]
	node.config.Cores = better.config.Cores / 2
	exchange(t, node, better)
	require.Equal(t, 1, node.Rank())
	node.peers[better.config.Address].lastFailed = time.Now().Add(time.Second)
	require.Zero(t, node.Rank())
}
