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

// lookupPause is the time between two looks for the controllers of data centres of
// which no node is known: each costs a call of the store.
const lookupPause = 5 * time.Second

// storeCallTimeout bounds a call of the store.
const storeCallTimeout = 1200 * time.Millisecond

// followRelays looks for the controllers of data centres of which no node is known:
// seeds may all be stale. Only a relay does, for all nodes of its data centre.
func (g *Gossiper) followRelays(ctx context.Context) {
	clock.Every(ctx, lookupPause, func(now time.Time) {
		for _, dc := range g.unknownDataCentres(now) {
			g.lookUp(ctx, dc)
		}
	})
}

// unknownDataCentres returns those of which a relay should know a node and does
// not.
func (g *Gossiper) unknownDataCentres(now time.Time) []serving.DataCentre {
	controls := g.controls()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.relaysHere(controls, now) {
		return nil
	}
	var out []serving.DataCentre
	for _, dc := range g.config.DataCentreNames {
		if len(g.ordered(dc)) == 0 {
			out = append(out, dc)
		}
	}
	return out
}

// lookUp makes the controller of a data centre known by its lease.
func (g *Gossiper) lookUp(ctx context.Context, dataCentre serving.DataCentre) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	page, err := g.store.Read(ctx, groupcontrol.LeaseTable, string(dataCentre))
	if err != nil {
		g.log.Info("the controller of a data centre was not found", "data_centre", string(dataCentre), "error", err)
		return
	}
	for _, r := range page.Rows {
		var row lease.Row
		if err := json.Unmarshal(r.Value, &row); err != nil {
			g.log.Error("a lease cannot be read", "data_centre", string(dataCentre), "version", r.Version, "error", err)
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
	g.meet(row.Address, row.Holder, string(dataCentre))
}
