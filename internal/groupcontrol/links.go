package groupcontrol

import (
	"context"
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// This file keeps a controller that has lost its links to all endpoints from taking them for dead, and
// hands its lease to a node that reaches them.

// Links is what a controller knows of its node's links to the endpoints.
type Links struct {
	// LostSince returns when the node lost its links to all endpoints, or the zero time.
	LostSince func() time.Time
	// Confirm reports whether the failure of the endpoint at an address is its own, and not one of the
	// node's links.
	Confirm func(ctx context.Context, address string) bool
	// NeighbourReaches reports whether another node of the data centre reaches the endpoints. It may take a call
	// to another node.
	NeighbourReaches func() bool
}

// handoverDelay is how long the links must be lost before the lease is released: the next holder needs
// some time to take the groups over.
const handoverDelay = time.Second

// linksLost reports whether this node has lost its links to all endpoints.
func (c *Controller) linksLost() bool {
	return c.options.Links != nil && !c.options.Links.LostSince().IsZero()
}

// handsOver reports whether this node leaves the lease to another one that reaches the endpoints.
func (c *Controller) handsOver(now time.Time) bool {
	isLong := c.linksLost() && now.Sub(c.options.Links.LostSince()) >= handoverDelay
	return isLong && !c.anotherHolds() && c.options.Links.NeighbourReaches()
}

// anotherHolds reports whether another node is known to hold the lease.
func (c *Controller) anotherHolds() bool {
	return c.Epoch() == 0 && c.options.HolderAlive != nil && c.options.HolderAlive()
}

// markSilent marks an endpoint as dead that did not respond, unless the reason are this node's links.
func (c *Controller) markSilent(ctx context.Context, e *serving.Endpoint, why string) {
	if c.options.Links != nil && (c.linksLost() || !c.options.Links.Confirm(ctx, e.Address)) {
		c.log.Info("endpoint does not respond, but neither do others", "endpoint", string(e.ID), "address", e.Address)
		return
	}
	c.markDead(e, why)
}
