package gossip

import (
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/groupcontrol"
	"github.com/ridgehinge/ridgehinge/internal/relay"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// needsSum reports whether the sums have to be made anew. Made twenty times a second they
// cost a node without requests as much as a busy one.
func (g *Gossiper) needsSum(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dirty || now.Sub(g.summed) >= sumPause
}

// sum tells the balancer and the budget what the peers told, and has a relay note
// the places of the nodes that it tells.
func (g *Gossiper) sum(now time.Time) {
	controls := g.controls()
	own, ownCutOff := g.balancer.Suspects(now), g.balancer.UnreachableDataCentres(now)
	g.mu.Lock()
	g.dirty, g.summed = false, now
	relays := g.relaysHere(controls, now)
	g.assignRanks(relays)
	g.nodes = max(g.nodes, g.countNodes(now))
	nodes := g.nodes
	total := g.othersWork(relays, nil, now)
	if relays {
		g.aggregated = g.aggregate(own, ownCutOff, now)
	} else if word := g.wordOf(g.config.DataCentre, now); word != nil {
		g.aggregated = word.peerReports
	} else {
		g.aggregated = relay.PeerReports{}
	}
	peerReports := g.aggregated
	g.mu.Unlock()
	g.balancer.SetPeerLoads(total.loads)
	g.balancer.SetPeerReports(peerReports)
	g.budget.SetNodes(nodes)
}

// countNodes counts the nodes of all data centres, as far as this node hears of them; the
// caller holds the lock. Of a data centre that it has never heard of, nor was told of by a
// relay, it takes as many as of its own: they spend their parts of the retry budget's slack
// as well, and three data centres that are cut off from each other from their first moment
// would each take the whole of it.
func (g *Gossiper) countNodes(now time.Time) int {
	home := g.homeNodes()
	n := home
	for _, dc := range g.config.DataCentreNames {
		if dc == g.config.DataCentre {
			continue
		}
		if p := g.wordOf(dc, now); p != nil {
			g.nodesOf[dc] = max(g.nodesOf[dc], p.homeNodes)
		}
		switch {
		case g.nodesOf[dc] > 0:
			n += g.nodesOf[dc]
		case !g.toldNodes && now.Sub(g.began) >= g.config.RetryWindow:
			n += home
		}
	}
	return n
}

// totalDemand is the work that callers ask for of each model, at this node and
// all that it hears of.
func (g *Gossiper) totalDemand() map[directory.Pool]relay.ModelDemand {
	now := time.Now()
	controls := g.controls()
	g.mu.Lock()
	defer g.mu.Unlock()
	total := g.othersWork(g.relaysHere(controls, now), nil, now)
	total.add(work{demand: g.demand.Rates(now)})
	return total.demand
}

// ControlDemand is the total demand as the controller plans by it.
func (g *Gossiper) ControlDemand() map[directory.Pool]groupcontrol.Demand {
	out := map[directory.Pool]groupcontrol.Demand{}
	for pool, asked := range g.totalDemand() {
		judged := asked.InTime + asked.Late
		out[pool] = groupcontrol.Demand{Groups: asked.Groups, Requests: asked.Requests, InTime: asked.InTime / max(1, judged), Measured: judged}
	}
	return out
}

// work is what nodes have under way at each endpoint, and what callers ask them
// for of each model.
type work struct {
	loads  map[serving.EndpointID]relay.PeerLoad
	demand map[directory.Pool]relay.ModelDemand
}

func newWork() work {
	return work{map[serving.EndpointID]relay.PeerLoad{}, map[directory.Pool]relay.ModelDemand{}}
}

// add adds the work of other nodes.
func (w work) add(other work) {
	for id, l := range other.loads {
		w.loads[id] = w.loads[id].Add(l)
	}
	for pool, asked := range other.demand {
		w.demand[pool] = w.demand[pool].Add(asked)
	}
}

// othersWork sums up the work of others than this node, and than one peer; the
// caller holds the lock. A relay takes what the nodes of its data centre told, and
// the words of the other data centres' relays; others take the word of their relay.
func (g *Gossiper) othersWork(relays bool, except *peer, now time.Time) work {
	total := newWork()
	if word := g.wordOf(g.config.DataCentre, now); word != nil && !relays {
		total.add(word.own)
		total.add(word.relayed)
		return total
	}
	for _, p := range g.peers {
		if p != except && p.dataCentre == g.config.DataCentre && now.Sub(p.heard) <= loadTTL {
			total.add(p.own)
		}
	}
	for _, dc := range g.dataCentres() {
		if word := g.wordOf(dc, now); word != nil && word != except && dc != g.config.DataCentre {
			total.add(word.own)
			total.add(word.relayed)
		}
	}
	return total
}

// homeWork sums up the work of the other nodes of this data centre; the caller
// holds the lock.
func (g *Gossiper) homeWork(now time.Time) work {
	total := newWork()
	for _, p := range g.peers {
		if p.dataCentre == g.config.DataCentre && now.Sub(p.heard) <= loadTTL {
			total.add(p.own)
		}
	}
	return total
}

// Suspects returns what this node and its peers find silent or failing.
func (g *Gossiper) Suspects() []serving.EndpointID {
	now := time.Now()
	out := g.balancer.Suspects(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.peers {
		if now.Sub(p.heard) < loadTTL {
			out = append(out, p.suspects...)
		}
	}
	return out
}
