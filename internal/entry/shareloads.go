package entry

import (
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/groupcontrol"
	"github.com/ridgehinge/ridgehinge/internal/relay"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// hasNews reports whether the sums have to be made anew. Made twenty times a second they
// cost a node without requests as much as a busy one.
func (s *sharing) hasNews(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.news || now.Sub(s.summed) >= sumPause
}

// sum tells the balancer and the budget what the peers told, and has a relay note
// the places of the nodes that it tells.
func (s *sharing) sum(now time.Time) {
	controls := s.controls()
	own, ownCutOff := s.balancer.Suspects(now), s.balancer.CutOff(now)
	s.mu.Lock()
	s.news, s.summed = false, now
	relays := s.relaysHere(controls, now)
	s.noteRanks(relays)
	s.nodes = max(s.nodes, s.countNodes(now))
	nodes := s.nodes
	total := s.othersWork(relays, nil, now)
	if relays {
		s.gathered = s.gather(own, ownCutOff, now)
	} else if word := s.wordOf(s.settings.DataCentre, now); word != nil {
		s.gathered = word.hearsay
	} else {
		s.gathered = relay.Hearsay{}
	}
	hearsay := s.gathered
	s.mu.Unlock()
	s.balancer.SetPeers(total.loads)
	s.balancer.SetHearsay(hearsay)
	s.budget.SetNodes(nodes)
}

// countNodes counts the nodes of all data centres, as far as this node hears of them; the
// caller holds the lock. Of a data centre that it has never heard of, nor was told of by a
// relay, it takes as many as of its own: they spend their parts of the retry budget's slack
// as well, and three data centres that are cut off from each other from their first moment
// would each take the whole of it.
func (s *sharing) countNodes(now time.Time) int {
	home := s.homeNodes()
	n := home
	for _, dc := range s.settings.DataCentreNames {
		if dc == s.settings.DataCentre {
			continue
		}
		if p := s.wordOf(dc, now); p != nil {
			s.nodesOf[dc] = max(s.nodesOf[dc], p.homeNodes)
		}
		switch {
		case s.nodesOf[dc] > 0:
			n += s.nodesOf[dc]
		case !s.toldNodes && now.Sub(s.began) >= s.settings.RetryWindow:
			n += home
		}
	}
	return n
}

// totalDemand is the work that callers ask for of each model, at this node and
// all that it hears of.
func (s *sharing) totalDemand() map[directory.Pool]relay.Asked {
	now := time.Now()
	controls := s.controls()
	s.mu.Lock()
	defer s.mu.Unlock()
	total := s.othersWork(s.relaysHere(controls, now), nil, now)
	total.add(work{demand: s.demand.Rates(now)})
	return total.demand
}

// controlDemand is the total demand as the controller plans by it.
func (s *sharing) controlDemand() map[directory.Pool]groupcontrol.Demand {
	out := map[directory.Pool]groupcontrol.Demand{}
	for pool, asked := range s.totalDemand() {
		judged := asked.InTime + asked.Late
		out[pool] = groupcontrol.Demand{Groups: asked.Groups, Requests: asked.Requests, InTime: asked.InTime / max(1, judged), Judged: judged}
	}
	return out
}

// work is what nodes have under way at each endpoint, and what callers ask them
// for of each model.
type work struct {
	loads  map[serving.EndpointID]relay.PeerLoad
	demand map[directory.Pool]relay.Asked
}

func newWork() work {
	return work{map[serving.EndpointID]relay.PeerLoad{}, map[directory.Pool]relay.Asked{}}
}

// add adds the work of other nodes.
func (w work) add(other work) {
	for id, l := range other.loads {
		w.loads[id] = w.loads[id].Plus(l)
	}
	for pool, asked := range other.demand {
		w.demand[pool] = w.demand[pool].Plus(asked)
	}
}

// othersWork sums up the work of others than this node, and than one peer; the
// caller holds the lock. A relay takes what the nodes of its data centre told, and
// the words of the other data centres' relays; others take the word of their relay.
func (s *sharing) othersWork(relays bool, except *peer, now time.Time) work {
	total := newWork()
	if word := s.wordOf(s.settings.DataCentre, now); word != nil && !relays {
		total.add(word.own)
		total.add(word.relayed)
		return total
	}
	for _, p := range s.peers {
		if p != except && p.dataCentre == s.settings.DataCentre && now.Sub(p.heard) <= loadTTL {
			total.add(p.own)
		}
	}
	for _, dc := range s.dataCentres() {
		if word := s.wordOf(dc, now); word != nil && word != except && dc != s.settings.DataCentre {
			total.add(word.own)
			total.add(word.relayed)
		}
	}
	return total
}

// homeWork sums up the work of the other nodes of this data centre; the caller
// holds the lock.
func (s *sharing) homeWork(now time.Time) work {
	total := newWork()
	for _, p := range s.peers {
		if p.dataCentre == s.settings.DataCentre && now.Sub(p.heard) <= loadTTL {
			total.add(p.own)
		}
	}
	return total
}

// suspects returns what this node and its peers find silent or failing.
func (s *sharing) suspects() []serving.EndpointID {
	now := time.Now()
	out := s.balancer.Suspects(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		if now.Sub(p.heard) < loadTTL {
			out = append(out, p.suspects...)
		}
	}
	return out
}
