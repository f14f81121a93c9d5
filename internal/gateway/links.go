package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/routing"
)

// targetAddresses returns the addresses of the endpoints that requests are sent to, all of the own data
// centre.
func (g *Gateway) targetAddresses() (local, remote []string) {
	for _, t := range g.snapshot.Load().Targets {
		local = append(local, t.Address)
	}
	slices.Sort(local)
	return slices.Compact(local), nil
}

// isTarget reports whether new requests are sent to an address.
func (g *Gateway) isTarget(address string) bool {
	return slices.ContainsFunc(g.snapshot.Load().Targets, func(t routing.Target) bool { return t.Address == address })
}

// dialEndpoint dials an endpoint and records whether the link to it works.
func (g *Gateway) dialEndpoint(ctx context.Context, address string) error {
	start := time.Now()
	err := g.options.Engine.Probe(ctx, address)
	g.links.RecordDial(address, time.Since(start), err)
	return err
}

// probe dials an endpoint and waits for a response of any kind.
func (g *Gateway) probe(ctx context.Context, address string) error {
	if err := g.options.Engine.Probe(ctx, address); err != nil {
		return err
	}
	if _, _, _, err := g.options.Engine.Status(ctx, address, ""); ctx.Err() != nil {
		return err
	}
	return nil
}

// lastEventAt returns when any endpoint last sent this node something.
func (g *Gateway) lastEventAt() time.Time { return time.Unix(0, g.lastEvent.Load()) }
