package gossip

import (
	"slices"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/notices"
	"github.com/ridgehinge/ridgehinge/internal/peers"
	"github.com/ridgehinge/ridgehinge/internal/relay"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// minReporters is the number of nodes that must agree before a relay passes a report on; a
// single node may have a faulty link.
const minReporters = 2

// aggregateReports returns the reports on which several nodes of this data centre agree, including
// this one; the caller holds the lock.
func (g *Gossiper) aggregateReports(own []serving.EndpointID, ownUnreachable []serving.DataCentre, now time.Time) relay.PeerReports {
	suspects, unreachableDataCentres := map[serving.EndpointID]int{}, map[serving.DataCentre]int{}
	count(suspects, own)
	count(unreachableDataCentres, ownUnreachable)
	for _, p := range g.peers {
		if p.dataCentre == g.config.DataCentre && now.Sub(p.lastHeard) < loadTTL {
			count(suspects, p.suspects)
			count(unreachableDataCentres, p.unreachableDataCentres)
		}
	}
	return relay.PeerReports{Suspects: reportedBySeveral(suspects), Unreachable: reportedBySeveral(unreachableDataCentres)}
}

func count[K comparable](reporters map[K]int, reported []K) {
	for _, k := range reported {
		reporters[k]++
	}
}

// reportedBySeveral returns the keys with at least minReporters.
func reportedBySeveral[K comparable](reporters map[K]int) map[K]bool {
	out := map[K]bool{}
	for k, n := range reporters {
		if n >= minReporters {
			out[k] = true
		}
	}
	return out
}

// addPeerReports adds aggregated reports to a relay's message.
func addPeerReports(m *peers.ShareMessage, r relay.PeerReports) {
	for id := range r.Suspects {
		m.RelayedSuspects = append(m.RelayedSuspects, string(id))
	}
	for dc := range r.Unreachable {
		m.RelayedCutOff = append(m.RelayedCutOff, string(dc))
	}
}

// peerReportsFrom is the reverse of addPeerReports.
func peerReportsFrom(m *peers.ShareMessage) relay.PeerReports {
	r := relay.PeerReports{Suspects: map[serving.EndpointID]bool{}, Unreachable: map[serving.DataCentre]bool{}}
	for _, id := range m.GetRelayedSuspects() {
		r.Suspects[serving.EndpointID(id)] = true
	}
	for _, dc := range m.GetRelayedCutOff() {
		r.Unreachable[serving.DataCentre(dc)] = true
	}
	return r
}

// publishSuspects makes the endpoints on which several nodes agree available for notices; the caller holds
// the lock.
func (g *Gossiper) publishSuspects(r relay.PeerReports) {
	var ids []string
	for id := range r.Suspects {
		ids = append(ids, string(id))
	}
	slices.Sort(ids)
	if before := g.publishedSuspects.Swap(&ids); before == nil || !slices.Equal(*before, ids) {
		g.notices.Wake()
	}
}

// ownSuspects returns the endpoints that this node suspects, sorted.
func (g *Gossiper) ownSuspects() []string {
	var ids []string
	for _, id := range g.balancer.Suspects(time.Now()) {
		ids = append(ids, string(id))
	}
	slices.Sort(ids)
	return ids
}

// relayedSuspects returns the endpoints that publishSuspects published last.
func (g *Gossiper) relayedSuspects() []string {
	if ids := g.publishedSuspects.Load(); ids != nil {
		return *ids
	}
	return nil
}

// applySuspects applies the suspects in a peer's notice.
func (g *Gossiper) applySuspects(address string, s notices.Suspects) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers[address]
	if p == nil {
		return
	}
	if s.Own != nil {
		p.suspects = toEndpointIDs(s.Own)
	}
	if s.Relayed != nil {
		p.peerReports.Suspects = map[serving.EndpointID]bool{}
		for _, id := range s.Relayed {
			p.peerReports.Suspects[serving.EndpointID(id)] = true
		}
	}
	g.dirty = true
}

func toEndpointIDs(ids []string) []serving.EndpointID {
	out := make([]serving.EndpointID, 0, len(ids))
	for _, id := range ids {
		out = append(out, serving.EndpointID(id))
	}
	return out
}
