package entry

import (
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/relay"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// sum tells the balancer and the budget what the peers told.
func (s *sharing) sum(now time.Time) {
	controls := s.controls()
	s.mu.Lock()
	nodes := 1
	for _, p := range s.peers {
		if p.id != "" {
			nodes++
		}
	}
	total := s.othersWork(controls, nil, now)
	s.mu.Unlock()
	s.balancer.SetPeers(total.loads)
	s.budget.SetNodes(nodes)
}

// totalDemand is the work that callers ask for of each model, at this node and
// all that it hears of.
func (s *sharing) totalDemand() map[directory.Pool]float64 {
	now := time.Now()
	controls := s.controls()
	s.mu.Lock()
	defer s.mu.Unlock()
	total := s.othersWork(controls, nil, now)
	total.add(work{demand: s.demand.Rates(now)})
	return total.demand
}

// work is what nodes have under way at each endpoint, and what callers ask them
// for of each model.
type work struct {
	loads  map[serving.EndpointID]relay.PeerLoad
	demand map[directory.Pool]float64
}

func newWork() work {
	return work{map[serving.EndpointID]relay.PeerLoad{}, map[directory.Pool]float64{}}
}

// add adds the work of other nodes.
func (w work) add(other work) {
	for id, l := range other.loads {
		sum := w.loads[id]
		sum.Running += l.Running
		sum.Unread += l.Unread
		w.loads[id] = sum
	}
	for pool, groups := range other.demand {
		w.demand[pool] += groups
	}
}

// othersWork sums up the work of others than this node, and than one peer; the
// caller holds the lock. A node that hears its controller takes that one's
// word; a controller takes those of its data centre and the words of the other
// controllers.
func (s *sharing) othersWork(controls bool, except *peer, now time.Time) work {
	total := newWork()
	if own := s.controllerOf(s.settings.DataCentre, now); own != nil && !controls {
		total.add(own.own)
		total.add(own.relayed)
		return total
	}
	for _, p := range s.peers {
		if p == except || now.Sub(p.heard) > loadTTL {
			continue
		}
		if controls && p.dataCentre != s.settings.DataCentre {
			if p.controls {
				total.add(p.relayed)
			} else if s.controllerOf(p.dataCentre, now) != nil {
				continue
			}
		}
		total.add(p.own)
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
