package gossip

import (
	"context"
	"encoding/json"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/clock"
	"github.com/ridgehinge/ridgehinge/internal/groupcontrol"
	"github.com/ridgehinge/ridgehinge/pkg/lease"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// lookupInterval is the time between two lookups of the controllers of data centres without a
// known node; each is a call to the store.
const lookupInterval = 5 * time.Second

const storeCallTimeout = 1200 * time.Millisecond

// findControllers looks up the controllers of data centres without a known node, since all seeds
// may be stale. Only a relay does so, for all nodes of its data centre.
func (g *Gossiper) findControllers(ctx context.Context) {
	clock.Every(ctx, lookupInterval, func(now time.Time) {
		for _, dc := range g.unknownDataCentres(now) {
			g.lookUpController(ctx, dc)
		}
	})
}

// unknownDataCentres returns the data centres without a usable node, or nil if this node is not a
// relay.
func (g *Gossiper) unknownDataCentres(now time.Time) []serving.DataCentre {
	controls := g.controls()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.isRelay(controls, now) {
		return nil
	}
	var out []serving.DataCentre
	for _, dc := range g.config.DataCentreNames {
		if len(g.byRank(dc)) == 0 {
			out = append(out, dc)
		}
	}
	return out
}

// lookUpController adds the controller of a data centre as a peer, from its lease.
func (g *Gossiper) lookUpController(ctx context.Context, dataCentre serving.DataCentre) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	page, err := g.store.Read(ctx, groupcontrol.LeaseTable, string(dataCentre))
	if err != nil {
		g.log.Info("failed to look up the controller of a data centre", "data_centre", string(dataCentre), "error", err)
		return
	}
	for _, r := range page.Rows {
		var row lease.Row
		if err := json.Unmarshal(r.Value, &row); err != nil {
			g.log.Error("failed to decode a lease", "data_centre", string(dataCentre), "version", r.Version, "error", err)
			continue
		}
		g.ObserveHolder(row, dataCentre)
	}
}

// ObserveHolder records the holder of a data centre's lease.
func (g *Gossiper) ObserveHolder(row lease.Row, dataCentre serving.DataCentre) {
	if row.Released {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addPeer(row.Address, row.Holder, string(dataCentre))
}
