package gossip

import (
	"time"

	"github.com/ridgehinge/ridgehinge/internal/clock"
)

// HandleSuspension backdates the state of peers and endpoints by the time for which the machine
// was suspended.
func (g *Gossiper) HandleSuspension(duration time.Duration) {
	g.throttle.HandleSuspension(duration)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.peers {
		for _, at := range []*time.Time{&p.lastHeard, &p.lastCalled, &p.lastFailed, &p.namedRelayAt, &p.storeSeen, &p.rowsMissingSince} {
			clock.Backdate(at, duration)
		}
	}
	for _, at := range []*time.Time{&g.controllerHeard, &g.storeSeen} {
		clock.Backdate(at, duration)
	}
	g.dirty = true
}
