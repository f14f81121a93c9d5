package gossip

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/ridgehinge/ridgehinge/internal/forward"
	"github.com/ridgehinge/ridgehinge/internal/peers"
	"github.com/ridgehinge/ridgehinge/internal/peers/sharepb"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Each node tells its relay whether it runs requests of others, and each relay names some such nodes:
// to those of its data centre and to the other relays, which pass them on. A node that then loses its
// links to the endpoints knows neighbours of all data centres.

const (
	// maxNeighboursNamed bounds the nodes of one data centre that a relay names in a message.
	maxNeighboursNamed = 4
	// neighboursEvery is the number of messages to a node of the same data centre per message that
	// names neighbours; to other data centres it is knownNodesEvery, since that traffic is billed.
	neighboursEvery = 10
	// namedNeighbourTTL is how long a neighbour that only a relay has named is used. Relays of many
	// nodes are called once a second.
	namedNeighbourTTL = time.Minute
)

// namedNeighbour is a node that runs requests of others, as a relay named it.
type namedNeighbour struct {
	dataCentre serving.DataCentre
	namedAt    time.Time
}

// applyNeighbours records what a peer's message says of nodes that run requests of others; the caller
// holds the lock.
func (g *Gossiper) applyNeighbours(p *peer, m *peers.ShareMessage, now time.Time) {
	p.runsForwarded = m.GetRunsForwarded()
	for _, node := range m.GetNeighbours() {
		if node.GetAddress() != g.config.Address {
			g.neighbours[node.GetAddress()] = namedNeighbour{serving.DataCentre(node.GetDataCentre()), now}
		}
	}
	for address, n := range g.neighbours {
		if now.Sub(n.namedAt) > namedNeighbourTTL {
			delete(g.neighbours, address)
		}
	}
}

// Neighbours returns the nodes of the allowed data centres that run requests of others: those that searches have
// found, or, if there is none, those that relays have named earlier of data centres that have not answered.
func (g *Gossiper) Neighbours(allowed func(serving.DataCentre) bool) []forward.Neighbour {
	now := time.Now()
	found := g.search.recent(now)
	var out []forward.Neighbour
	for dc, f := range found {
		if allowed(dc) {
			out = append(out, f.toNeighbours(dc == g.config.DataCentre)...)
		}
	}
	if len(out) > 0 {
		return out
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for address, dc := range g.forwardTargets(now) {
		if _, hasAnswered := found[dc]; !hasAnswered && allowed(dc) {
			out = append(out, forward.Neighbour{Address: address, Local: dc == g.config.DataCentre})
		}
	}
	return out
}

// LocalNeighbourReaches reports whether another node of this data centre runs requests of others.
func (g *Gossiper) LocalNeighbourReaches() bool {
	g.SearchNeighbours(context.Background(), time.Second)
	return len(g.search.recent(time.Now())[g.config.DataCentre].nodes) > 0
}

// AnnounceLinks tells the relay at once that this node's links to the endpoints are lost or regained.
func (g *Gossiper) AnnounceLinks() { g.callRelayNow() }

// forwardTargets returns the data centres of all known nodes that run requests of others, by address;
// the caller holds the lock. A node's own message outweighs a relay's.
func (g *Gossiper) forwardTargets(now time.Time) map[string]serving.DataCentre {
	out := make(map[string]serving.DataCentre, len(g.neighbours))
	for address, n := range g.neighbours {
		if now.Sub(n.namedAt) <= namedNeighbourTTL {
			out[address] = n.dataCentre
		}
	}
	for address, p := range g.peers {
		if !p.hasSent || now.Sub(p.lastHeard) > loadTTL {
			continue
		}
		delete(out, address)
		if p.runsForwarded && p.usable() {
			out[address] = p.dataCentre
		}
	}
	return out
}

// addNeighbours names nodes that run requests of others to a peer, if that is due; the caller holds the
// lock. Each peer gets another choice, so that the nodes named first are not overrun.
func (g *Gossiper) addNeighbours(m *peers.ShareMessage, to *peer, now time.Time) {
	every := neighboursEvery
	if to.dataCentre != g.config.DataCentre {
		every = knownNodesEvery
	}
	if !m.Relays || to.sentMessages%every != 1 {
		return
	}
	byDataCentre := map[serving.DataCentre][]string{}
	for address, dc := range g.forwardTargets(now) {
		// Each relay names the nodes of its own data centre to the others.
		isTold := to.dataCentre == g.config.DataCentre || dc == g.config.DataCentre
		if address != to.address && isTold {
			byDataCentre[dc] = append(byDataCentre[dc], address)
		}
	}
	for dc, addresses := range byDataCentre {
		slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(rendezvousScore(to, a), rendezvousScore(to, b)) })
		for _, address := range addresses[:min(len(addresses), maxNeighboursNamed)] {
			m.Neighbours = append(m.Neighbours, &sharepb.Node{Address: address, DataCentre: string(dc)})
		}
	}
}

// rendezvousScore orders neighbours differently for each peer, and always in the same way for one.
func rendezvousScore(to *peer, address string) uint64 {
	return xxh3.HashString(to.address + " " + address)
}
