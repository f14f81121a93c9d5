package gossip

import (
	"time"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"github.com/ridgehinge/ridgehinge/internal/peers"
	"github.com/ridgehinge/ridgehinge/internal/peers/sharepb"
	"github.com/ridgehinge/ridgehinge/internal/table"
)

// minCompressedRows is the number of rows from which they are compressed. While groups are formed or
// nodes start, each message has hundreds of rows; a relay that sends them uncompressed to a hundred
// nodes saturates its link, and the calls of most nodes time out.
const minCompressedRows = 16

// compressRows compresses the rows of a message, if there are many.
func compressRows(m *peers.ShareMessage) {
	if len(m.Rows) < minCompressedRows {
		return
	}
	// A message that was just built always encodes.
	encoded, _ := proto.Marshal(&sharepb.RowList{Rows: m.Rows})
	m.CompressedRows, m.Rows = compress(encoded), nil
}

// decodeRows returns the rows of a message.
func decodeRows(m *peers.ShareMessage) ([]table.Row, error) {
	if len(m.GetCompressedRows()) == 0 {
		return fromRows(m.GetRows()), nil
	}
	encoded, err := decompress(m.GetCompressedRows())
	if err != nil {
		return nil, err
	}
	list := &sharepb.RowList{}
	if err := proto.Unmarshal(encoded, list); err != nil {
		return nil, oops.In("peers").Wrapf(err, "decode rows")
	}
	return fromRows(list.GetRows()), nil
}

// applyRows applies the rows of a peer's message.
func (g *Gossiper) applyRows(m *peers.ShareMessage, now time.Time) {
	if m.GetEndpointsVersion() == 0 {
		return
	}
	rows, err := decodeRows(m)
	if err != nil {
		// Without the rows, the table is not known up to the message's version.
		g.log.Error("failed to read a peer's rows; they will be sent again", "peer", m.GetFrom().GetId(), "error", err)
		return
	}
	g.directory.ApplyChanges(rows, m.GetRowsSince(), m.GetEndpointsVersion(), now)
}

func toRows(rows []table.Row) []*sharepb.Row {
	out := make([]*sharepb.Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, &sharepb.Row{Key: r.Key, Value: r.Value, Version: r.Version, Removed: r.Removed})
	}
	return out
}

func fromRows(rows []*sharepb.Row) []table.Row {
	out := make([]table.Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, table.Row{Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion(), Removed: r.GetRemoved()})
	}
	return out
}
