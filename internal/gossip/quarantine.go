package gossip

import (
	"context"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/clock"
	"github.com/ridgehinge/ridgehinge/internal/quarantinetable"
)

// Requests that crash endpoints may be retried through any node, so their records are gossiped.
// The relay of a data centre also stores them in the platform's table, since all nodes may be
// killed at once, and a partitioned data centre may still reach the table.

// quarantineStartDelay is how long after its start a node first accesses the table; by then it knows
// whether another node is the relay.
const quarantineStartDelay = 500 * time.Millisecond

// sendsTrials reports whether this node is the one that sends trial requests: the controller of
// the first data centre by name, among those that receive each other's messages.
func (g *Gossiper) sendsTrials() bool {
	if !g.controls() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isFirstDataCentre(time.Now())
}

// runQuarantine synchronizes the table while this node is a relay.
func (g *Gossiper) runQuarantine(ctx context.Context) {
	clock.Every(ctx, quarantinetable.Interval, func(now time.Time) {
		g.quarantineTable.Expire(now)
		if role, active := g.quarantineRole(now); active {
			g.quarantineTable.Sync(ctx, role, now)
		} else {
			g.quarantineTable.Suspend()
		}
	})
}

// quarantineRole returns what this node does with the quarantine's table; active is set for a relay.
func (g *Gossiper) quarantineRole(now time.Time) (role quarantinetable.Role, active bool) {
	controls := g.controls()
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.startedAt) < quarantineStartDelay || g.stopping || !g.isRelay(controls, now) {
		return role, false
	}
	role.FirstDataCentre = g.isFirstDataCentre(now)
	for _, dc := range g.dataCentres() {
		if dc != g.config.DataCentre && g.activeRelay(dc, now) == nil {
			role.Partitioned = true
		}
	}
	return role, true
}
