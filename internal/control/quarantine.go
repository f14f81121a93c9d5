package control

import (
	"time"

	"github.com/ridgehinge/ridgehinge/internal/delta"
	"github.com/ridgehinge/ridgehinge/internal/peers"
	"github.com/ridgehinge/ridgehinge/pkg/membership"
)

// peerNews is what this node and one peer have told each other of requests that end endpoints.
type peerNews struct {
	// incarnation is the peer's life that was told.
	incarnation uint64
	link        delta.Cursor
	heard       time.Time
}

// newsKept is for how long it is remembered what a silent peer was told; it is told all
// again if it comes back later.
const newsKept = 5 * time.Minute

// tellNews adds to a message what the peer has not heard yet of requests that end endpoints:
// they come again at any node.
func (l *Loop) tellNews(now time.Time, m *peers.Message, to membership.NodeID) {
	m.Quarantine = l.options.Quarantine.Delta(&l.newsOf(now, to).link, now)
}

// takeNews takes the same of a peer's message.
func (l *Loop) takeNews(now time.Time, m *peers.Message) {
	id := membership.NodeID(m.GetBeat().GetFrom().GetId())
	n := l.newsOf(now, id)
	if incarnation := m.GetBeat().GetIncarnation(); incarnation != n.incarnation {
		// A new life has nothing of what the last one was told.
		*n = peerNews{incarnation: incarnation}
	}
	n.heard = now
	l.options.Quarantine.ApplyDelta(&n.link, m.GetQuarantine(), "node "+string(id), now)
}

func (l *Loop) newsOf(now time.Time, id membership.NodeID) *peerNews {
	n := l.news[id]
	if n == nil {
		n = &peerNews{heard: now}
		l.news[id] = n
	}
	return n
}

// forgetNews drops what is over.
func (l *Loop) forgetNews(now time.Time) {
	l.options.Quarantine.Expire(now)
	for id, n := range l.news {
		if now.Sub(n.heard) > newsKept {
			delete(l.news, id)
		}
	}
}
