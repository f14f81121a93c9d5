package gossip

import (
	"time"

	"github.com/ridgehinge/ridgehinge/internal/peers"
	"github.com/ridgehinge/ridgehinge/internal/relay"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// minReporters is how many nodes must find the same before a relay tells the others: one
// alone may have a bad link of its own.
const minReporters = 2

// aggregate returns what several nodes of this data centre find, this one among them; the
// caller holds the lock.
func (g *Gossiper) aggregate(own []serving.EndpointID, ownCutOff []serving.DataCentre, now time.Time) relay.PeerReports {
	suspects, cutOff := map[serving.EndpointID]int{}, map[serving.DataCentre]int{}
	count(suspects, own)
	count(cutOff, ownCutOff)
	for _, p := range g.peers {
		if p.dataCentre == g.config.DataCentre && now.Sub(p.heard) < loadTTL {
			count(suspects, p.suspects)
			count(cutOff, p.cutOff)
		}
	}
	return relay.PeerReports{Suspects: reportedBySeveral(suspects), Unreachable: reportedBySeveral(cutOff)}
}

func count[K comparable](reporters map[K]int, found []K) {
	for _, k := range found {
		reporters[k]++
	}
}

// reportedBySeveral returns what enough nodes found.
func reportedBySeveral[K comparable](reporters map[K]int) map[K]bool {
	out := map[K]bool{}
	for k, n := range reporters {
		if n >= minReporters {
			out[k] = true
		}
	}
	return out
}

// addPeerReports adds it to a message of a relay.
func addPeerReports(m *peers.ShareMessage, h relay.PeerReports) {
	for id := range h.Suspects {
		m.RelayedSuspects = append(m.RelayedSuspects, string(id))
	}
	for dc := range h.Unreachable {
		m.RelayedCutOff = append(m.RelayedCutOff, string(dc))
	}
}

// toPeerReports is the reverse of addPeerReports.
func toPeerReports(m *peers.ShareMessage) relay.PeerReports {
	h := relay.PeerReports{Suspects: map[serving.EndpointID]bool{}, Unreachable: map[serving.DataCentre]bool{}}
	for _, id := range m.GetRelayedSuspects() {
		h.Suspects[serving.EndpointID(id)] = true
	}
	for _, dc := range m.GetRelayedCutOff() {
		h.Unreachable[serving.DataCentre(dc)] = true
	}
	return h
}
