package gossip

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/forward"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

func anywhere(serving.DataCentre) bool { return true }

func addressesOf(neighbours []forward.Neighbour) []string {
	var out []string
	for _, n := range neighbours {
		out = append(out, n.Address)
	}
	slices.Sort(out)
	return out
}

// exchangeOften exchanges messages as nodes do without a controller, until relays have named
// neighbours.
func exchangeOften(t *testing.T, nodes []*rateNode) {
	t.Helper()
	for range 2 * knownNodesEvery {
		for i, from := range nodes {
			for j, to := range nodes {
				if i != j && j%4 < 2 && (i/4 == j/4 || i%4 < 2) {
					exchange(t, from.Gossiper, to.Gossiper)
				}
			}
		}
	}
}

// A node must know neighbours before it loses its links, also of other data centres: all nodes of its
// own may lose theirs together. Those that run no requests of others, such as nodes of an earlier
// version, must not be named.
func TestNeighbours_KnownInAllDataCentres(t *testing.T) {
	nodes := newRateNodes(t, func(int) float64 { return 0 })
	const earlierVersion = 3
	for i, n := range nodes {
		n.runsForwarded = func() bool { return i != earlierVersion }
	}
	exchangeOften(t, nodes)
	for i, n := range nodes {
		known := addressesOf(n.Neighbours(anywhere))
		require.NotContains(t, known, nodes[earlierVersion].config.Address)
		require.NotContains(t, known, n.config.Address)
		for j, other := range nodes {
			if j != i && j != earlierVersion {
				require.Contains(t, known, other.config.Address, "node %d", i)
			}
		}
		for _, neighbour := range n.Neighbours(func(dc serving.DataCentre) bool { return dc == "south" }) {
			require.Equal(t, i >= 4, neighbour.Local)
		}
		require.NotEmpty(t, n.Neighbours(func(dc serving.DataCentre) bool { return dc == "south" }))
	}
}

// A node that stops running requests of others is forgotten: by its relay with its next message, by
// others once it was not named for a while.
func TestNeighbours_Forgotten(t *testing.T) {
	nodes := newRateNodes(t, func(int) float64 { return 0 })
	for _, n := range nodes {
		n.runsForwarded = func() bool { return true }
	}
	exchangeOften(t, nodes)
	lost := nodes[2]
	lost.runsForwarded = func() bool { return false }
	exchange(t, lost.Gossiper, nodes[0].Gossiper)
	require.NotContains(t, addressesOf(nodes[0].Neighbours(anywhere)), lost.config.Address)
	other := nodes[3]
	require.Contains(t, addressesOf(other.Neighbours(anywhere)), lost.config.Address)
	for address, n := range other.neighbours {
		n.namedAt = n.namedAt.Add(-2 * namedNeighbourTTL)
		other.neighbours[address] = n
	}
	require.NotContains(t, addressesOf(other.Neighbours(anywhere)), lost.config.Address)
}

// Of many nodes each is named to some others, so that those named first are not overrun.
func TestAddNeighbours_SpreadsNamedNodes(t *testing.T) {
	now := time.Now()
	g := newTestRelay(now)
	for _, p := range g.peers {
		p.runsForwarded, p.hasSent, p.lastHeard = true, true, now
	}
	named := map[string]int{}
	for _, p := range g.peers {
		p.sentMessages = 0
		m := g.buildMessage(p)
		require.LessOrEqual(t, len(m.GetNeighbours()), 5*maxNeighboursNamed)
		for _, node := range m.GetNeighbours() {
			if node.GetDataCentre() == string(g.config.DataCentre) {
				named[node.GetAddress()]++
			}
		}
	}
	for address, n := range named {
		require.LessOrEqual(t, n, 4*maxNeighboursNamed, address)
	}
}
