package gossip

import (
	"sync"
	"time"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"github.com/ridgehinge/ridgehinge/internal/peers"
	"github.com/ridgehinge/ridgehinge/internal/peers/sharepb"
	"github.com/ridgehinge/ridgehinge/internal/sharecodec"
)

// minCompressedRows is the number of rows from which they are compressed. While groups are formed or
// nodes start, each message has hundreds of rows; a relay that sends them uncompressed to a hundred
// nodes saturates its link, and the calls of most nodes time out.
const minCompressedRows = 16

// compressedRows caches the rows that change the table from one version to another in compressed
// form. The nodes of a data centre have few different versions, as the table is read a few times a
// second, so a relay would compress the same rows for most of them.
type compressedRows struct {
	mu sync.Mutex
	// until is the version to which all entries lead, bySince has them by the version before.
	until   uint64
	bySince map[uint64][]byte
}

// compress compresses the rows of a message, if there are many.
func (c *compressedRows) compress(m *peers.ShareMessage) {
	if len(m.Rows) < minCompressedRows {
		return
	}
	compressed := c.get(m.RowsSince, m.EndpointsVersion)
	if compressed == nil {
		// A message that was just built always encodes.
		encoded, _ := proto.Marshal(&sharepb.RowList{Rows: m.Rows})
		compressed = compress(encoded)
		c.put(m.RowsSince, m.EndpointsVersion, compressed)
	}
	m.CompressedRows, m.Rows = compressed, nil
}

func (c *compressedRows) get(since, until uint64) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.until != until {
		return nil
	}
	return c.bySince[since]
}

func (c *compressedRows) put(since, until uint64, compressed []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.until > until {
		return
	}
	if c.until < until {
		c.until, c.bySince = until, map[uint64][]byte{}
	}
	c.bySince[since] = compressed
}

// decodeRows returns the rows of a message.
func decodeRows(m *peers.ShareMessage) ([]*sharepb.Row, error) {
	if len(m.GetCompressedRows()) == 0 {
		return m.GetRows(), nil
	}
	encoded, err := decompress(m.GetCompressedRows())
	if err != nil {
		return nil, err
	}
	list := &sharepb.RowList{}
	if err := proto.Unmarshal(encoded, list); err != nil {
		return nil, oops.In("peers").Wrapf(err, "decode rows")
	}
	return list.GetRows(), nil
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
	update := sharecodec.FromRows(rows, now)
	update.Since, update.Version, update.Source = m.GetRowsSince(), m.GetEndpointsVersion(), "peer "+m.GetFrom().GetId()
	g.directory.Apply(update, now)
}
