package entry

import (
	"context"
	"encoding/json"
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

const (
	// nodesPause is the time between two tries to reach the table of nodes.
	nodesPause = time.Second
	// nodesAgain is the time between two reads of the table while no
	// controller speaks; with one, nodes learn of each other from it.
	nodesAgain = 5 * time.Second
)

// followNodes keeps this node's row and learns of the others. The table is not
// watched: each of sixty nodes that start together would wake up all others.
func (s *sharing) followNodes(ctx context.Context) {
	registered, read := false, false
	for ctx.Err() == nil {
		if !registered {
			registered = s.register(ctx) == nil
		}
		if registered && (!read || !s.hearsController()) {
			read = s.readNodes(ctx) == nil || read
		}
		wait := nodesAgain
		if !registered || !read {
			wait = nodesPause
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// hearsController reports whether this node, or one that speaks to it,
// controls the data centre.
func (s *sharing) hearsController() bool {
	return s.controls() || s.controllerLives()
}

// readNodes makes the nodes of the table known.
func (s *sharing) readNodes(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	page, err := s.store.Read(ctx, nodeTable, "")
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range page.Rows {
		var row nodeRow
		if !r.Removed && json.Unmarshal(r.Value, &row) == nil {
			s.meet(row.Address, r.Key, row.DataCentre)
		}
	}
	return nil
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
