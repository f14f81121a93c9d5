package gossip

import (
	"context"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/clock"
)

// Requests that crash endpoints may be retried through any node, so their records are gossiped.
// The relay of a data centre also stores them in the platform's table, since all nodes may be
// killed at once, and a partitioned data centre may still reach the table.

const (
	// quarantineInterval is the time between two checks for pending changes of the table.
	quarantineInterval = 250 * time.Millisecond
	// quarantineStartDelay is how long after its start a node first accesses the table; by
	// then it knows whether another node is the relay.
	quarantineStartDelay = 500 * time.Millisecond
)

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
	clock.Every(ctx, quarantineInterval, func(now time.Time) {
		g.quarantine.expired = append(g.quarantine.expired, g.quarantine.list.Expire(now)...)
		if role := g.quarantineRole(now); role.active {
			g.quarantine.sync(ctx, role, now)
		} else {
			// The table is read again before this node writes as a relay.
			g.quarantine.lastRead = time.Time{}
		}
	})
}

// quarantineRole is what a node does with the quarantine's table.
type quarantineRole struct {
	// active is set for a relay, firstDataCentre for that of the first data centre.
	active          bool
	firstDataCentre bool
	// partitioned is set while another data centre is unreachable; its records then arrive
	// through the table.
	partitioned bool
}

func (g *Gossiper) quarantineRole(now time.Time) quarantineRole {
	controls := g.controls()
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.startedAt) < quarantineStartDelay || g.stopping || !g.isRelay(controls, now) {
		return quarantineRole{}
	}
	role := quarantineRole{active: true, firstDataCentre: g.isFirstDataCentre(now)}
	for _, dc := range g.dataCentres() {
		if dc != g.config.DataCentre && g.activeRelay(dc, now) == nil {
			role.partitioned = true
		}
	}
	return role
}
