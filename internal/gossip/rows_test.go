package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/logging"
	"github.com/ridgehinge/ridgehinge/internal/peers"
	"github.com/ridgehinge/ridgehinge/internal/sharecodec"
	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/internal/throttle"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// endpointRows returns the rows of endpoints in groups of twelve, about as large as a platform's.
func endpointRows(n int) []table.Row {
	rows := make([]table.Row, 0, n)
	for i := range n {
		value := fmt.Sprintf(`{"loaded_models":[{"model":"xaxa259685","version":1}],"staged_models":[],"domain":"wien-a-rack-%d",`+
			`"group":{"name":"wien-a-1-%d","epoch":%d,"rank":%d,"state":"open"},"started_at":%d,"service":"lm-pool","address":"10.3.%d.%d:8425",`+
			`"data_centre":"wien-a","slots":48,"state":"available","writes":%d,"cold_for_milliseconds":0}`,
			i/14, i/12, 100_000+i/12, i%12, 1_776_800_000_000+i*7919, i/250, i%250, i%20)
		rows = append(rows, table.Row{Key: fmt.Sprintf("i-%010x", i*2654435761%(1<<40)), Value: []byte(value), Version: uint64(i + 1)})
	}
	return rows
}

// newRowsGossiper returns a node whose directory accepts any row.
func newRowsGossiper(now time.Time) *Gossiper {
	g := newTestRelay(now)
	g.throttle = throttle.NewTracker(throttle.Options{})
	g.log = logging.For("peers")
	g.directory = directory.New(directory.Codec{
		EndpointTable: "servers",
		Endpoint: func(key string, _ []byte) (serving.Endpoint, error) {
			return serving.Endpoint{ID: serving.EndpointID(key), Service: "llm", Address: "10.0.0.1:1", DataCentre: "a", Slots: 1}, nil
		},
	})
	return g
}

const (
	// relayLinkBytes is what a relay's link of 200 Mbit/s carries in a second.
	relayLinkBytes = 25_000_000
	// nodesOfRelay is the number of nodes of a data centre in a deployment of 300.
	nodesOfRelay = 100
	// endpointsOfFleet is the number of endpoints in such a deployment.
	endpointsOfFleet = 3000
)

// Guards against relays that saturate their links while nodes start: with the whole table to each
// node of the data centre at once, the calls of all of them time out.
func TestBuildMessage_TableForAllNodesFitsRelaysLink(t *testing.T) {
	now := time.Now()
	g := newRowsGossiper(now)
	rows := endpointRows(endpointsOfFleet)
	g.directory.ApplySnapshot(rows, endpointsOfFleet, now)
	p := &peer{id: "n/1", address: "10.0.0.1:1", dataCentre: g.config.DataCentre, lastHeard: now, hasSent: true, readsCompressedRows: true}
	p.rowsMissingSince = now.Add(-snapshotDelay)
	g.peers[p.address] = p
	m := g.buildMessage(p)
	require.Less(t, proto.Size(m)*nodesOfRelay, int(relayLinkBytes*callTimeout.Seconds()))

	receiver := newRowsGossiper(now)
	receiver.applyRows(m, now)
	got, version := receiver.directory.Changes(0)
	require.ElementsMatch(t, rows, got)
	require.EqualValues(t, endpointsOfFleet, version)
}

// Guards against a crash of a node that has got notices, but not the table of endpoints yet.
func TestBuildMessage_NoticesBeforeTable(t *testing.T) {
	now := time.Now()
	g := newRowsGossiper(now)
	g.directory.ApplyNotices(directory.Update{Rows: endpointRows(2 * minCompressedRows), Source: "peer"}, now, now)
	p := &peer{id: "n/1", address: "10.0.0.1:1", dataCentre: g.config.DataCentre, lastHeard: now, hasSent: true, readsCompressedRows: true, rows: 1}
	m := g.buildMessage(p)
	require.Empty(t, m.GetRows())
	require.Empty(t, m.GetCompressedRows())
	require.Zero(t, m.GetEndpointsVersion())
}

// A node of an earlier version knows nothing of compressed rows, and would take the table for known
// up to a version whose rows it never got.
func TestBuildMessage_SendsPlainRowsToEarlierVersions(t *testing.T) {
	now := time.Now()
	g := newRowsGossiper(now)
	g.directory.ApplySnapshot(endpointRows(minCompressedRows), minCompressedRows, now)
	p := &peer{id: "n/1", address: "10.0.0.1:1", dataCentre: g.config.DataCentre, lastHeard: now, hasSent: true, rows: 1}
	g.peers[p.address] = p
	m := g.buildMessage(p)
	require.Empty(t, m.GetCompressedRows())
	require.Len(t, m.GetRows(), minCompressedRows-1)
}

// Rows that cannot be read must be asked for again.
func TestApplyRows_CorruptRowsLeaveVersionUnchanged(t *testing.T) {
	now := time.Now()
	g := newRowsGossiper(now)
	g.directory.ApplySnapshot(endpointRows(100), 100, now)
	p := &peer{id: "n/1", address: "10.0.0.1:1", dataCentre: g.config.DataCentre, lastHeard: now, hasSent: true, readsCompressedRows: true, rows: 1}
	g.peers[p.address] = p
	for name, corrupt := range map[string]func(b []byte) []byte{
		"cut off":     func(b []byte) []byte { return b[:len(b)/2] },
		"no flate":    func([]byte) []byte { return []byte("\xff\xff\xff\xff") },
		"no protobuf": func([]byte) []byte { return compress([]byte("\xff\xff\xff\xff")) },
		"too large":   func([]byte) []byte { return compress(make([]byte, maxDecompressedBytes+1)) },
	} {
		t.Run(name, func(t *testing.T) {
			m := g.buildMessage(p)
			m.CompressedRows = corrupt(m.GetCompressedRows())
			receiver := newRowsGossiper(now)
			receiver.applyRows(m, now)
			_, version := receiver.directory.Changes(0)
			require.Zero(t, version)
		})
	}
}

// A relay that compresses the same rows for each of its nodes spends most of its processor on it while
// nodes start. Another version, of either side, must get its own rows.
func TestBuildMessage_CompressesRowsOncePerVersion(t *testing.T) {
	now := time.Now()
	g := newRowsGossiper(now)
	rows := endpointRows(2000)
	g.directory.ApplySnapshot(rows[:1000], 1000, now)
	message := func(since uint64) *peers.ShareMessage {
		p := &peer{id: "n/1", address: "10.0.0.1:1", dataCentre: g.config.DataCentre, lastHeard: time.Now(), hasSent: true, readsCompressedRows: true, rows: since}
		return g.buildMessage(p)
	}
	rowsOfMessage := func(m *peers.ShareMessage) []table.Row {
		rows, err := decodeRows(m)
		require.NoError(t, err)
		return sharecodec.FromRows(rows, now).Rows
	}
	first := message(100)
	require.Same(t, &first.CompressedRows[0], &message(100).CompressedRows[0])
	require.ElementsMatch(t, rows[100:1000], rowsOfMessage(first))
	require.ElementsMatch(t, rows[200:1000], rowsOfMessage(message(200)))

	g.directory.ApplyChanges(rows[1000:], 1000, 2000, now)
	require.ElementsMatch(t, rows[100:2000], rowsOfMessage(message(100)))
	require.Len(t, g.compressedRows.bySince, 1, "rows up to an earlier version are dropped")
}
