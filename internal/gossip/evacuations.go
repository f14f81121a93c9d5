package gossip

import (
	"time"

	"github.com/ridgehinge/ridgehinge/internal/peers"
	"github.com/ridgehinge/ridgehinge/internal/sharecodec"
)

// addEvacuations adds this node's evacuations to a message, if the peer knows older ones; the
// caller holds the lock.
func (g *Gossiper) addEvacuations(m *peers.ShareMessage, p *peer, now time.Time) {
	records, version := g.directory.Evacuations()
	m.EvacuationsVersion = version
	if !p.hasSent || p.evacuations >= version || now.Sub(p.lastHeard) >= peerStateTTL {
		return
	}
	m.Evacuations = sharecodec.ToEvacuations(records, now)
}

// applyEvacuations applies a peer's evacuations, if the message has them.
func (g *Gossiper) applyEvacuations(m *peers.ShareMessage, now time.Time) {
	if m.GetEvacuations() == nil {
		return
	}
	records := sharecodec.FromEvacuations(m.GetEvacuations(), now)
	g.directory.MergeEvacuations(records, m.GetEvacuationsVersion(), "peer "+m.GetFrom().GetId(), now)
}
