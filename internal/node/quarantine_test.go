package node

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/control"
	"github.com/ridgehinge/ridgehinge/internal/platform"
	"github.com/ridgehinge/ridgehinge/internal/quarantine"
	"github.com/ridgehinge/ridgehinge/internal/quarantinetable"
	"github.com/ridgehinge/ridgehinge/internal/standin/platformstandin"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
	"github.com/ridgehinge/ridgehinge/pkg/membership"
	qlist "github.com/ridgehinge/ridgehinge/pkg/quarantine"
)

// testNode is the quarantine of one node with its table.
type testNode struct {
	list  *quarantine.Quarantine
	table *quarantinetable.Table
}

func newTestNode(t *testing.T, address string) *testNode {
	client := platform.New(platform.Options{Address: address, Timeout: time.Second})
	t.Cleanup(client.Close)
	list := quarantine.NewQuarantine(func() bool { return false })
	return &testNode{list, quarantinetable.New(list, quarantineStore{client})}
}

func (n *testNode) addCrashes(f qlist.Fingerprint, incarnations ...qlist.Incarnation) {
	r := qlist.Record{Fingerprint: f}
	for _, incarnation := range incarnations {
		r.Crashes = append(r.Crashes, qlist.Crash{Incarnation: incarnation, At: time.Now()})
	}
	n.list.Merge([]qlist.Record{r}, "test", time.Now())
}

// sync calls Sync at simulated times for some seconds.
func (n *testNode) sync(ctx context.Context, from time.Time, d time.Duration) {
	for at := time.Duration(0); at < d; at += quarantinetable.Interval {
		n.table.Sync(ctx, quarantinetable.Role{FirstDataCentre: true}, from.Add(at))
	}
}

func (n *testNode) allows(f qlist.Fingerprint) bool {
	_, allowed := n.list.Allowed(qlist.Subject{Content: f}, time.Now())
	return allowed
}

// All nodes may be killed at once. A request that crashed as many endpoints as it may must not crash
// more of them afterwards, however the platform's table behaves in between.
func TestQuarantineStore_SurvivesLossOfAllNodes(t *testing.T) {
	store := platformstandin.New()
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	crasher, twice, once := qlist.FingerprintOf([]byte("crasher")), qlist.FingerprintOf([]byte("twice")), qlist.FingerprintOf([]byte("once"))

	before := newTestNode(t, address)
	before.addCrashes(crasher, 1, 2, 3)
	before.addCrashes(twice, 1, 2)
	before.addCrashes(once, 1)
	store.SetFaults(platformstandin.Faults{LoseAnswers: 2})
	start := time.Now()
	before.sync(t.Context(), start, 3*time.Second)

	after := newTestNode(t, address)
	require.True(t, after.table.Load(t.Context()))
	require.False(t, after.allows(crasher))
	require.True(t, after.allows(twice))
	after.addCrashes(twice, 9)
	require.False(t, after.allows(twice))
	after.addCrashes(once, 9)
	require.True(t, after.allows(once))

	// A node that knows an older version of the rows must not undo those of another.
	after.sync(t.Context(), start, 3*time.Second)
	before.addCrashes(once, 7, 8)
	before.sync(t.Context(), start.Add(3*time.Second), 3*time.Second)
	last := newTestNode(t, address)
	require.True(t, last.table.Load(t.Context()))
	for _, f := range []qlist.Fingerprint{crasher, twice, once} {
		require.False(t, last.allows(f))
	}
}

// A node that starts while the table is unavailable must read it later.
func TestQuarantineStore_LoadFailsDuringOutage(t *testing.T) {
	store := platformstandin.New()
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	n := newTestNode(t, strings.TrimPrefix(server.URL, "http://"))
	store.SetFaults(platformstandin.Faults{Down: true})
	require.False(t, n.table.Load(t.Context()))
	store.SetFaults(platformstandin.Faults{})
	require.True(t, n.table.Load(t.Context()))
}

func TestIsFirstDataCentre(t *testing.T) {
	remote := func(dc fleet.DataCentre) control.Remote {
		return control.Remote{Node: membership.Node{DataCentre: dc}}
	}
	require.True(t, isFirstDataCentre("kochi", nil))
	require.True(t, isFirstDataCentre("kochi", []control.Remote{remote("lugo"), remote("kochi")}))
	require.False(t, isFirstDataCentre("kochi", []control.Remote{remote("lugo"), remote("alba")}))
}
