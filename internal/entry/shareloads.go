package entry

import (
	"time"

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
	total := s.othersLoads(controls, nil, now)
	s.mu.Unlock()
	s.balancer.SetPeers(total)
	s.budget.SetNodes(nodes)
}

// loadSum adds up loads.
type loadSum map[serving.EndpointID]relay.PeerLoad

func (t loadSum) add(loads map[serving.EndpointID]relay.PeerLoad) {
	for id, l := range loads {
		sum := t[id]
		sum.Running += l.Running
		sum.Unread += l.Unread
		t[id] = sum
	}
}

// othersLoads sums up what others than this node, and than one peer, have
// under way; the caller holds the lock. A node that hears its controller
// takes that one's word; a controller takes those of its data centre and the
// words of the other controllers.
func (s *sharing) othersLoads(controls bool, except *peer, now time.Time) loadSum {
	total := loadSum{}
	if own := s.controllerOf(s.settings.DataCentre, now); own != nil && !controls {
		total.add(own.loads)
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
		total.add(p.loads)
	}
	return total
}

// homeLoads sums up what the other nodes of this data centre have under way;
// the caller holds the lock.
func (s *sharing) homeLoads(now time.Time) loadSum {
	total := loadSum{}
	for _, p := range s.peers {
		if p.dataCentre == s.settings.DataCentre && now.Sub(p.heard) <= loadTTL {
			total.add(p.loads)
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
