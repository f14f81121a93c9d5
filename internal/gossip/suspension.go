package gossip

import (
	"time"

	"github.com/ridgehinge/ridgehinge/internal/clock"
)

// Suspended makes what peers and endpoints told older, by the time for which the machine was
// suspended: loads, who controls and relays, and who is there.
func (g *Gossiper) Suspended(duration time.Duration) {
	g.throttle.Suspended(duration)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.peers {
		for _, at := range []*time.Time{&p.heard, &p.called, &p.failed, &p.toldRelay, &p.storeSeen, &p.behindSince} {
			clock.Age(at, duration)
		}
	}
	for _, at := range []*time.Time{&g.heardController, &g.storeSeen, &g.rowsHeard} {
		clock.Age(at, duration)
	}
	g.dirty = true
}
