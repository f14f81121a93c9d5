package gateway

import (
	"context"
	"slices"
	"time"
)

// targetAddresses returns the addresses of the endpoints that requests are sent to.
func (g *Gateway) targetAddresses() []string {
	var out []string
	for _, t := range g.snapshot.Load().Targets {
		out = append(out, t.Address)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// probe dials an endpoint and records whether the link to it works.
func (g *Gateway) probe(ctx context.Context, address string) error {
	start := time.Now()
	err := g.options.Engine.Probe(ctx, address)
	g.links.RecordDial(address, time.Since(start), err)
	return err
}
