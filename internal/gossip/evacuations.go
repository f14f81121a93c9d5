package gossip

import (
	"time"

	"github.com/ridgehinge/ridgehinge/internal/clock"
	"github.com/ridgehinge/ridgehinge/internal/peers"
	"github.com/ridgehinge/ridgehinge/internal/peers/sharepb"
	"github.com/ridgehinge/ridgehinge/pkg/evacuation"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// addEvacuations adds this node's evacuations to a message, if the peer knows older ones; the
// caller holds the lock.
func (g *Gossiper) addEvacuations(m *peers.ShareMessage, p *peer, now time.Time) {
	records, version := g.directory.Evacuations()
	m.EvacuationsVersion = version
	if !p.hasSent || p.evacuations >= version || now.Sub(p.lastHeard) >= peerStateTTL {
		return
	}
	m.Evacuations = &sharepb.EvacuationList{}
	for _, record := range records {
		m.Evacuations.Evacuations = append(m.Evacuations.Evacuations, &sharepb.Evacuation{
			DataCentre: string(record.DataCentre),
			Lifted:     record.Lifted,
			AgeMs:      clock.AgeMillis(record.ChangedAt, now),
		})
	}
}

// applyEvacuations applies a peer's evacuations, if the message has them.
func (g *Gossiper) applyEvacuations(m *peers.ShareMessage, now time.Time) {
	if m.GetEvacuations() == nil {
		return
	}
	var records []evacuation.Record
	for _, e := range m.GetEvacuations().GetEvacuations() {
		records = append(records, evacuation.Record{
			DataCentre: serving.DataCentre(e.GetDataCentre()),
			Lifted:     e.GetLifted(),
			ChangedAt:  clock.FromAgeMillis(e.GetAgeMs(), now),
		})
	}
	g.directory.MergeEvacuations(records, m.GetEvacuationsVersion(), "peer "+m.GetFrom().GetId(), now)
}
