package entry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/table"
)

// nodeTable has a row for each node, so that nodes find each other.
const nodeTable = "ridgehinge-nodes"

// nodeRow is the value of a node's row.
type nodeRow struct {
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
}

// nodesPause is the time between two tries to reach the table of nodes.
const nodesPause = time.Second

// followNodes keeps this node's row and learns of the others.
func (s *sharing) followNodes(ctx context.Context) {
	registered := false
	version := uint64(0)
	for ctx.Err() == nil {
		if !registered {
			registered = s.register(ctx) == nil
		}
		rows, next, err := s.readNodes(ctx, version)
		switch {
		case errors.Is(err, table.ErrHistoryGone):
			version = 0
		case err == nil:
			version = next
		}
		s.mu.Lock()
		for _, r := range rows {
			var row nodeRow
			if !r.Removed && json.Unmarshal(r.Value, &row) == nil {
				s.meet(row.Address, r.Key, row.DataCentre)
			}
		}
		s.mu.Unlock()
		if err != nil || !registered {
			select {
			case <-ctx.Done():
			case <-time.After(nodesPause):
			}
		}
	}
}

// nodesWait is how long one watch of the table of nodes waits.
const nodesWait = 15 * time.Second

func (s *sharing) readNodes(ctx context.Context, since uint64) ([]table.Row, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, nodesWait+storeCallTimeout)
	defer cancel()
	if since == 0 {
		page, err := s.store.Read(ctx, nodeTable, "")
		return page.Rows, page.Version, err
	}
	page, err := s.store.Watch(ctx, nodeTable, since, nodesWait)
	return page.Rows, max(since, page.Version), err
}

// row is this node's row; its key is its address, which it takes over from
// an earlier life.
func (s *sharing) row() table.Row {
	value, _ := json.Marshal(nodeRow{string(s.settings.DataCentre), s.settings.Peers}) // Plain structs always encode.
	return table.Row{Table: nodeTable, Key: s.settings.Node, Value: value}
}

func (s *sharing) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	_, err := s.store.Commit(ctx, table.Change{Writes: []table.Row{s.row()}})
	return err
}

// leave takes this node's row away and has the next messages say that it
// stops.
func (s *sharing) leave(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	row := s.row()
	row.Value = nil
	_, _ = s.store.Commit(ctx, table.Change{Removals: []table.Row{row}})
}
