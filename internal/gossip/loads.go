package gossip

import (
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/groupcontrol"
	"github.com/ridgehinge/ridgehinge/internal/relay"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// needsAggregation reports whether the totals have to be computed again. At each tick that would
// dominate the load of an idle node.
func (g *Gossiper) needsAggregation(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dirty || now.Sub(g.lastAggregated) >= maxAggregateAge
}

// updateAggregates passes the peers' totals and reports to the balancer, the retry budget and the
// user of rates, and assigns ranks if this node is a relay.
func (g *Gossiper) updateAggregates(now time.Time) {
	controls := g.controls()
	own, ownUnreachable := g.balancer.Suspects(now), g.balancer.UnreachableDataCentres(now)
	g.mu.Lock()
	g.dirty, g.lastAggregated = false, now
	relays := g.isRelay(controls, now)
	g.assignRanks(relays)
	g.nodes = max(g.nodes, g.countNodes(now))
	nodes := g.nodes
	total := g.peerWork(relays, nil, now)
	if relays {
		g.aggregated = g.aggregateReports(own, ownUnreachable, now)
	} else if relayNode := g.activeRelay(g.config.DataCentre, now); relayNode != nil {
		g.aggregated = relayNode.peerReports
	} else {
		g.aggregated = relay.PeerReports{}
	}
	peerReports := g.aggregated
	g.publishSuspects(peerReports)
	ratesAt := g.ratesComputedAt(relays, now)
	g.mu.Unlock()
	g.balancer.SetPeerLoads(total.loads)
	g.balancer.SetPeerReports(peerReports)
	g.reportPeerRates(total.rates, ratesAt)
	g.budget.SetNodes(nodes)
	g.balancer.SetNodes(nodes)
}

// countNodes estimates the number of nodes of all data centres; the caller holds the lock. A data
// centre without any report is assumed to have as many nodes as this one:
// otherwise data centres that are partitioned from the start would each use the whole slack of
// the retry budget.
func (g *Gossiper) countNodes(now time.Time) int {
	local := g.localNodes()
	n := local
	for _, dc := range g.config.DataCentreNames {
		if dc == g.config.DataCentre {
			continue
		}
		if p := g.activeRelay(dc, now); p != nil {
			g.dataCentreNodes[dc] = max(g.dataCentreNodes[dc], p.localNodes)
		}
		switch {
		case g.dataCentreNodes[dc] > 0:
			n += g.dataCentreNodes[dc]
		case !g.nodesReported && now.Sub(g.startedAt) >= g.config.RetryWindow:
			n += local
		}
	}
	return n
}

// totalDemand returns the demand for each model, at this node and all peers.
func (g *Gossiper) totalDemand() map[directory.Pool]relay.ModelDemand {
	now := time.Now()
	controls := g.controls()
	g.mu.Lock()
	defer g.mu.Unlock()
	total := g.peerWork(g.isRelay(controls, now), nil, now)
	total.add(work{demand: g.demand.Rates(now)})
	return total.demand
}

// ControlDemand returns the total demand in the controller's form.
func (g *Gossiper) ControlDemand() map[directory.Pool]groupcontrol.Demand {
	out := map[directory.Pool]groupcontrol.Demand{}
	for pool, d := range g.totalDemand() {
		measured := d.InTime + d.Late
		out[pool] = groupcontrol.Demand{Groups: d.Groups, Requests: d.Requests, InTime: d.InTime / max(1, measured), Measured: measured}
	}
	return out
}

// work has the loads of endpoints, the demand for models and the rates of pools of some nodes.
type work struct {
	loads  map[serving.EndpointID]relay.PeerLoad
	demand map[directory.Pool]relay.ModelDemand
	rates  poolRates
}

func newWork() work {
	return work{map[serving.EndpointID]relay.PeerLoad{}, map[directory.Pool]relay.ModelDemand{}, poolRates{}}
}

// add adds other work to a sum, which must be from newWork since it is modified in place.
func (w work) add(other work) {
	for id, l := range other.loads {
		w.loads[id] = w.loads[id].Add(l)
	}
	for pool, d := range other.demand {
		w.demand[pool] = w.demand[pool].Add(d)
	}
	for pool, r := range other.rates {
		sum := w.rates[pool]
		sum.Accumulate(r)
		w.rates[pool] = sum
	}
}

// peerWork sums the work of all nodes except this one and one peer; the caller holds the lock. A
// relay adds up the nodes of its data centre and the relays of the others; other nodes use what
// their relay reports.
func (g *Gossiper) peerWork(relays bool, except *peer, now time.Time) work {
	total := newWork()
	if relayNode := g.activeRelay(g.config.DataCentre, now); relayNode != nil && !relays {
		total.add(relayNode.own)
		total.add(relayNode.relayed)
		return total
	}
	for _, p := range g.peers {
		if p != except && p.dataCentre == g.config.DataCentre && now.Sub(p.lastHeard) <= loadTTL {
			total.add(p.own)
		}
	}
	for _, dc := range g.dataCentres() {
		if relayNode := g.activeRelay(dc, now); relayNode != nil && relayNode != except && dc != g.config.DataCentre {
			total.add(relayNode.own)
			total.add(relayNode.relayed)
		}
	}
	return total
}

// localWork sums the work of the other nodes of this data centre; the caller holds the lock.
func (g *Gossiper) localWork(now time.Time) work {
	total := newWork()
	for _, p := range g.peers {
		if p.dataCentre == g.config.DataCentre && now.Sub(p.lastHeard) <= loadTTL {
			total.add(p.own)
		}
	}
	return total
}

// Suspects returns the endpoints that this node or a peer suspects.
func (g *Gossiper) Suspects() []serving.EndpointID {
	now := time.Now()
	out := g.balancer.Suspects(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.peers {
		if now.Sub(p.lastHeard) < loadTTL {
			out = append(out, p.suspects...)
		}
	}
	return out
}
