package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func newTestTracker(id NodeID) *Tracker {
	return New(DefaultOptions(Node{ID: id, DataCentre: "dc", Address: "x"}, 1, start))
}

func readyReport(version uint64) fleet.Report {
	return fleet.Report{Instance: "e", Incarnation: 1, Version: version, Phase: fleet.PhaseReady}
}

// exchange sends a heartbeat from a to b and one back without delay.
func exchange(now time.Time, a, b *Tracker) {
	a.Expire(now)
	b.Expire(now)
	b.Receive(now, a.NextHeartbeat(now, b.options.Self.ID, LocalState{}))
	a.Receive(now, b.NextHeartbeat(now, a.options.Self.ID, LocalState{}))
}

func TestStatus_LocalReportExpires(t *testing.T) {
	a := newTestTracker("a")
	a.Observe(at(0), readyReport(1))
	_, fresh := a.Status(at(1200*time.Millisecond-1), "e")
	assert.True(t, fresh)
	_, fresh = a.Status(at(1200*time.Millisecond), "e")
	assert.False(t, fresh)
}

func TestReceive_PeerReportsAndWithdrawals(t *testing.T) {
	a, b := newTestTracker("a"), newTestTracker("b")
	b.Observe(at(0), readyReport(1))
	exchange(at(100*time.Millisecond), a, b)
	status, fresh := a.Status(at(100*time.Millisecond), "e")
	require.True(t, fresh)
	// The poll was 100 ms old when b sent the heartbeat.
	assert.Equal(t, at(0), status.Seen)
	b.Unreachable(at(200*time.Millisecond), "e")
	exchange(at(200*time.Millisecond), a, b)
	_, fresh = a.Status(at(200*time.Millisecond), "e")
	assert.False(t, fresh)
}

// A heartbeat delayed in a buffer or by a frozen sender must not make old
// reports appear fresh.
func TestReceive_DatesDelayedHeartbeats(t *testing.T) {
	a, b := newTestTracker("a"), newTestTracker("b")
	b.Observe(at(0), readyReport(1))
	exchange(at(0), a, b)
	delayed := b.NextHeartbeat(at(100*time.Millisecond), "a", LocalState{})
	require.True(t, a.Receive(at(time.Minute), delayed))
	_, fresh := a.Status(at(time.Minute), "e")
	assert.False(t, fresh)
	assert.Equal(t, []NodeID{"a"}, a.Live(at(time.Minute)))
}

func TestReceive_DropsReorderedHeartbeats(t *testing.T) {
	a, b := newTestTracker("a"), newTestTracker("b")
	exchange(at(0), a, b)
	old := b.NextHeartbeat(at(time.Second), "a", LocalState{})
	exchange(at(2*time.Second), a, b)
	assert.False(t, a.Receive(at(2*time.Second), old))
}

// Reports of an older state must not hide a newer state of an endpoint.
func TestStatus_PrefersNewestState(t *testing.T) {
	a, b := newTestTracker("a"), newTestTracker("b")
	a.Observe(at(0), readyReport(1))
	changed := readyReport(2)
	changed.Phase = fleet.PhaseLoading
	b.Observe(at(0), changed)
	exchange(at(0), a, b)
	status, fresh := a.Status(at(time.Millisecond), "e")
	require.True(t, fresh)
	assert.Equal(t, fleet.PhaseLoading, status.Report.Phase)
}

// Load changes are sent at a limited rate and only if large; other changes are
// sent immediately.
func TestObserve_LimitsLoadUpdates(t *testing.T) {
	a := newTestTracker("a")
	r := readyReport(1)
	r.Slots = 16
	a.Observe(at(0), r)
	lastSeq := func() uint64 { return a.NextHeartbeat(at(0), "b", LocalState{}).Seq }
	for i := range 50 {
		r.Version++
		r.Load = i % 16
		a.Observe(at(time.Duration(i)*100*time.Millisecond), r)
	}
	assert.LessOrEqual(t, lastSeq(), uint64(6), "more than one update per second")
	before, changes := lastSeq(), a.Changes()
	r.Phase = fleet.PhaseLoading
	a.Observe(at(5*time.Second), r)
	assert.Equal(t, before+1, lastSeq())
	assert.Equal(t, changes+1, a.Changes())
}

// After a lost heartbeat the next one includes all unacknowledged changes.
func TestNextHeartbeat_ResendsUnacknowledged(t *testing.T) {
	a, b := newTestTracker("a"), newTestTracker("b")
	exchange(at(0), a, b)
	b.Observe(at(0), readyReport(1))
	b.NextHeartbeat(at(0), "a", LocalState{})
	b.Observe(at(100*time.Millisecond), readyReport(2))
	exchange(at(200*time.Millisecond), a, b)
	status, _ := a.Status(at(200*time.Millisecond), "e")
	assert.Equal(t, uint64(2), status.Report.Version)
}

// A peer that was unreachable for longer than withdrawals are kept gets a
// snapshot, or it would keep withdrawn reports.
func TestForget_SendsSnapshotAfterWithdrawals(t *testing.T) {
	a, b := newTestTracker("a"), newTestTracker("b")
	b.Observe(at(0), readyReport(1))
	exchange(at(0), a, b)
	exchange(at(100*time.Millisecond), a, b)
	b.Unreachable(at(time.Second), "e")
	b.Forget(at(time.Hour), time.Minute*100)
	b.Observe(at(time.Hour), fleet.Report{Instance: "f", Incarnation: 1, Version: 1})
	exchange(at(time.Hour), a, b)
	exchange(at(time.Hour+time.Second), a, b)
	_, fresh := a.Status(at(time.Hour+time.Second), "e")
	assert.False(t, fresh)
	_, fresh = a.Status(at(time.Hour+time.Second), "f")
	assert.True(t, fresh)
}

func TestReceive_DropsReportsOfOldIncarnation(t *testing.T) {
	a, b := newTestTracker("a"), newTestTracker("b")
	b.Observe(at(0), readyReport(1))
	exchange(at(0), a, b)
	options := DefaultOptions(b.options.Self, 2, at(time.Second))
	restarted := New(options)
	exchange(at(2*time.Second), a, restarted)
	_, fresh := a.Status(at(2*time.Second), "e")
	assert.False(t, fresh, "the new incarnation has sent no reports yet")
}

// Each endpoint has two watchers, the load is balanced, and the removal of
// nodes takes no endpoint away from the remaining ones.
func TestWatches_SpreadsEndpoints(t *testing.T) {
	var nodes []NodeID
	for i := range 72 {
		nodes = append(nodes, NodeID(fmt.Sprintf("node-%d", i)))
	}
	counts := map[NodeID]int{}
	moved := 0
	for i := range 1833 {
		id := fleet.InstanceID(fmt.Sprintf("engine-%d", i))
		before, after := 0, 0
		for j, n := range nodes {
			if isWatcher(nodes, id, n, 2) {
				counts[n]++
				before++
				if j < 48 && !isWatcher(nodes[:48], id, n, 2) {
					moved++
				}
			}
			if j < 48 && isWatcher(nodes[:48], id, n, 2) {
				after++
			}
		}
		require.Equal(t, 2, before)
		require.Equal(t, 2, after)
	}
	assert.Zero(t, moved, "a remaining node lost an endpoint that it watched")
	for n, count := range counts {
		assert.InDelta(t, 51, count, 30, "%s watches %d", n, count)
	}
}

// Nodes that start together must not each watch all endpoints at first.
func TestWatchCandidates_IncludesUnheardNodes(t *testing.T) {
	a := newTestTracker("a")
	var known []Node
	for i := range 71 {
		known = append(known, Node{ID: NodeID(fmt.Sprint(i)), DataCentre: "dc"})
	}
	a.SetKnown(start, known)
	assert.Len(t, a.WatchCandidates(start), 72)
	assert.Len(t, a.Live(start), 1)
	assert.Len(t, a.WatchCandidates(at(2*time.Second)), 1, "nodes that were never heard from are excluded")
}

func ExampleTracker() {
	options := DefaultOptions(Node{ID: "a", DataCentre: "dc", Address: "10.0.0.1:70"}, 1, start)
	t := New(options)
	t.Observe(start, fleet.Report{Instance: "engine-1", Incarnation: 1, Phase: fleet.PhaseReady})
	status, fresh := t.Status(start.Add(time.Second), "engine-1")
	fmt.Println(status.Report.Phase, fresh)
	// Output: ready true
}
