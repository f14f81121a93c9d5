package gossip

import (
	"context"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/clock"
)

// Requests that end the endpoints that run them come again at any node, so what each node
// has seen of them is told to all with the other news. The relay of a data centre also
// keeps it in the platform's table: all nodes may be killed at once, and a data centre that
// is cut off from the others may still reach the table.

const (
	// quarantineTick is the time between two looks at what the table is to hold. Users
	// count on a node three seconds after trouble.
	quarantineTick = 250 * time.Millisecond
	// quarantineFirst is how long after its start a node looks whether it relays, and reads
	// the table if so: by then relays have told others that they do not.
	quarantineFirst = 500 * time.Millisecond
)

// triesQuarantined reports whether this node is the one that sends a request from quarantine
// once: the controller of the first data centre by name, of those that hear each other.
func (g *Gossiper) triesQuarantined() bool {
	if !g.controls() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isFirst(time.Now())
}

// keepQuarantine keeps the table in step for as long as this node relays.
func (g *Gossiper) keepQuarantine(ctx context.Context) {
	clock.Every(ctx, quarantineTick, func(now time.Time) {
		g.quarantine.over = append(g.quarantine.over, g.quarantine.list.Expire(now)...)
		if duty := g.quarantineDuty(now); duty.keeps {
			g.quarantine.step(ctx, duty, now)
		} else {
			// Whoever relays next reads the table first.
			g.quarantine.read = time.Time{}
		}
	})
}

// quarantineDuty is what a node does about the table.
type quarantineDuty struct {
	// keeps is set for the relay of a data centre, first for that of the first one.
	keeps bool
	first bool
	// apart is set while some other data centre is not heard: then what its nodes find
	// comes through the table.
	apart bool
}

// quarantineDuty returns what this node does about the table now.
func (g *Gossiper) quarantineDuty(now time.Time) quarantineDuty {
	controls := g.controls()
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.began) < quarantineFirst || g.leaving || !g.relaysHere(controls, now) {
		return quarantineDuty{}
	}
	d := quarantineDuty{keeps: true, first: g.isFirst(now)}
	for _, dc := range g.dataCentres() {
		if dc != g.config.DataCentre && g.wordOf(dc, now) == nil {
			d.apart = true
		}
	}
	return d
}
