package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/groupcontrol"
	"github.com/ridgehinge/ridgehinge/pkg/lease"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// lookupPause is the time between two looks for the controllers of data centres of
// which no node is known: each costs a call of the store.
const lookupPause = 5 * time.Second

// followRelays looks for the controllers of data centres of which no node is known:
// seeds may all be stale. Only a relay does, for all nodes of its data centre.
func (s *sharing) followRelays(ctx context.Context) {
	every(ctx, lookupPause, func(now time.Time) {
		for _, dc := range s.unknownDataCentres(now) {
			s.lookUp(ctx, dc)
		}
	})
}

// unknownDataCentres returns those of which a relay should know a node and does
// not.
func (s *sharing) unknownDataCentres(now time.Time) []serving.DataCentre {
	controls := s.controls()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.relaysHere(controls, now) {
		return nil
	}
	var out []serving.DataCentre
	for _, dc := range s.settings.DataCentreNames {
		if len(s.ordered(dc)) == 0 {
			out = append(out, dc)
		}
	}
	return out
}

// lookUp makes the controller of a data centre known by its lease.
func (s *sharing) lookUp(ctx context.Context, dataCentre serving.DataCentre) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	page, err := s.store.Read(ctx, groupcontrol.LeaseTable, string(dataCentre))
	if err != nil {
		s.log.Info("the controller of a data centre was not found", "data_centre", string(dataCentre), "error", err)
		return
	}
	for _, r := range page.Rows {
		var row lease.Row
		if err := json.Unmarshal(r.Value, &row); err != nil {
			s.log.Error("a lease cannot be read", "data_centre", string(dataCentre), "version", r.Version, "error", err)
			continue
		}
		s.meetHolder(row, dataCentre)
	}
}

// meetHolder makes the holder of a lease known.
func (s *sharing) meetHolder(row lease.Row, dataCentre serving.DataCentre) {
	if row.Released {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.meet(row.Address, row.Holder, string(dataCentre))
}
