package gateway

import (
	"context"
	"slices"
	"time"
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

// probe dials an endpoint and records whether the link to it works.
func (g *Gateway) probe(ctx context.Context, address string) error {
	start := time.Now()
	err := g.options.Engine.Probe(ctx, address)
	g.links.RecordDial(address, time.Since(start), err)
	return err
}
