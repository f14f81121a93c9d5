package gossip

import (
	"time"

	"github.com/ridgehinge/ridgehinge/internal/clock"
)

// HandleSuspension backdates what peers and endpoints reported by the time for which the
// machine was suspended.
func (g *Gossiper) HandleSuspension(duration time.Duration) {
	g.throttle.HandleSuspension(duration)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.peers {
		for _, at := range []*time.Time{&p.heard, &p.called, &p.failed, &p.toldRelay, &p.storeSeen, &p.behindSince} {
			clock.Backdate(at, duration)
		}
	}
	for _, at := range []*time.Time{&g.heardController, &g.storeSeen, &g.rowsHeard} {
		clock.Backdate(at, duration)
	}
	g.dirty = true
}
