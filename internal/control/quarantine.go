package control

import (
	"time"

	"github.com/ridgehinge/ridgehinge/internal/delta"
	"github.com/ridgehinge/ridgehinge/internal/peers"
	"github.com/ridgehinge/ridgehinge/pkg/membership"
)

// quarantineSync tracks which quarantine records this node and one peer have exchanged.
type quarantineSync struct {
	// incarnation is the peer's incarnation that has received them.
	incarnation  uint64
	cursor       delta.Cursor
	lastReceived time.Time
}

// quarantineSyncTTL is how long the state for a silent peer is kept; a peer that returns
// later gets all records again.
const quarantineSyncTTL = 5 * time.Minute

// addQuarantineDelta adds the quarantine records that the peer lacks. Every node needs them,
// because a caller may retry a request at any node.
func (l *Loop) addQuarantineDelta(now time.Time, m *peers.Message, to membership.NodeID) {
	m.Quarantine = l.options.Quarantine.Delta(&l.quarantineSyncOf(now, to).cursor, now)
}

// applyQuarantineDelta applies the quarantine records of a peer's message.
func (l *Loop) applyQuarantineDelta(now time.Time, m *peers.Message) {
	id := membership.NodeID(m.GetBeat().GetFrom().GetId())
	sync := l.quarantineSyncOf(now, id)
	if incarnation := m.GetBeat().GetIncarnation(); incarnation != sync.incarnation {
		// A new incarnation has none of the records sent to the previous one.
		*sync = quarantineSync{incarnation: incarnation}
	}
	sync.lastReceived = now
	l.options.Quarantine.ApplyDelta(&sync.cursor, m.GetQuarantine(), "node "+string(id), now)
}

func (l *Loop) quarantineSyncOf(now time.Time, id membership.NodeID) *quarantineSync {
	sync := l.quarantineSyncs[id]
	if sync == nil {
		sync = &quarantineSync{lastReceived: now}
		l.quarantineSyncs[id] = sync
	}
	return sync
}

// expireQuarantineSyncs drops the state for silent peers.
func (l *Loop) expireQuarantineSyncs(now time.Time) {
	for id, sync := range l.quarantineSyncs {
		if now.Sub(sync.lastReceived) > quarantineSyncTTL {
			delete(l.quarantineSyncs, id)
		}
	}
}
