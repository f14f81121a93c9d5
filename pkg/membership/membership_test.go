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

func tracker(id NodeID) *Tracker {
	return New(DefaultOptions(Node{ID: id, DataCentre: "dc", Address: "x"}, 1, start))
}

func ready(version uint64) fleet.Report {
	return fleet.Report{Instance: "e", Incarnation: 1, Version: version, Phase: fleet.PhaseReady}
}

// pair exchanges beats at a time: a asks, b answers at once.
func pair(now time.Time, a, b *Tracker) {
	a.Expire(now)
	b.Expire(now)
	b.Receive(now, a.NextHeartbeat(now, b.options.Self.ID, LocalState{}))
	a.Receive(now, b.NextHeartbeat(now, a.options.Self.ID, LocalState{}))
}

func TestOwnEvidenceEnds(t *testing.T) {
	a := tracker("a")
	a.Observe(at(0), ready(1))
	_, fresh := a.Status(at(1200*time.Millisecond-1), "e")
	assert.True(t, fresh)
	_, fresh = a.Status(at(1200*time.Millisecond), "e")
	assert.False(t, fresh)
}

func TestVouchReachesPeers(t *testing.T) {
	a, b := tracker("a"), tracker("b")
	b.Observe(at(0), ready(1))
	pair(at(100*time.Millisecond), a, b)
	status, fresh := a.Status(at(100*time.Millisecond), "e")
	require.True(t, fresh)
	// The poll was 100 ms old when b vouched for it.
	assert.Equal(t, at(0), status.Seen)
	b.Unreachable(at(200*time.Millisecond), "e")
	pair(at(200*time.Millisecond), a, b)
	_, fresh = a.Status(at(200*time.Millisecond), "e")
	assert.False(t, fresh)
}

// A beat that waited in a buffer, or in a frozen sender, is dated by what it
// echoes and not by its arrival.
func TestLateBeatIsOldEvidence(t *testing.T) {
	a, b := tracker("a"), tracker("b")
	b.Observe(at(0), ready(1))
	pair(at(0), a, b)
	late := b.NextHeartbeat(at(100*time.Millisecond), "a", LocalState{})
	require.True(t, a.Receive(at(time.Minute), late))
	_, fresh := a.Status(at(time.Minute), "e")
	assert.False(t, fresh)
	assert.Equal(t, []NodeID{"a"}, a.Live(at(time.Minute)))
}

func TestOvertakenBeatIsDropped(t *testing.T) {
	a, b := tracker("a"), tracker("b")
	pair(at(0), a, b)
	old := b.NextHeartbeat(at(time.Second), "a", LocalState{})
	pair(at(2*time.Second), a, b)
	assert.False(t, a.Receive(at(2*time.Second), old))
}

// Evidence of an older state of an endpoint does not keep it alive: what
// counts is the newest state that somebody vouches for.
func TestNewestStateCounts(t *testing.T) {
	a, b := tracker("a"), tracker("b")
	a.Observe(at(0), ready(1))
	changed := ready(2)
	changed.Phase = fleet.PhaseLoading
	b.Observe(at(0), changed)
	pair(at(0), a, b)
	status, fresh := a.Status(at(time.Millisecond), "e")
	require.True(t, fresh)
	assert.Equal(t, fleet.PhaseLoading, status.Report.Phase)
}

// A load that changes all the time is told now and then, and only when it has
// changed a lot; any other change is told at once.
func TestLoadIsToldSeldom(t *testing.T) {
	a := tracker("a")
	r := ready(1)
	r.Slots = 16
	a.Observe(at(0), r)
	told := func() uint64 { return a.NextHeartbeat(at(0), "b", LocalState{}).Seq }
	for i := range 50 {
		r.Version++
		r.Load = i % 16
		a.Observe(at(time.Duration(i)*100*time.Millisecond), r)
	}
	assert.LessOrEqual(t, told(), uint64(6), "once a second at the most")
	before, changes := told(), a.Changes()
	r.Phase = fleet.PhaseLoading
	a.Observe(at(5*time.Second), r)
	assert.Equal(t, before+1, told())
	assert.Equal(t, changes+1, a.Changes())
}

// A lost message leaves no gap: the next beat brings what the peer has not
// acknowledged.
func TestLostBeatIsMadeUp(t *testing.T) {
	a, b := tracker("a"), tracker("b")
	pair(at(0), a, b)
	b.Observe(at(0), ready(1))
	b.NextHeartbeat(at(0), "a", LocalState{})
	b.Observe(at(100*time.Millisecond), ready(2))
	pair(at(200*time.Millisecond), a, b)
	status, _ := a.Status(at(200*time.Millisecond), "e")
	assert.Equal(t, uint64(2), status.Report.Version)
}

// A peer that was cut off for longer than withdrawals are remembered gets
// everything anew, so that nothing old revives.
func TestForgottenWithdrawal(t *testing.T) {
	a, b := tracker("a"), tracker("b")
	b.Observe(at(0), ready(1))
	pair(at(0), a, b)
	pair(at(100*time.Millisecond), a, b)
	b.Unreachable(at(time.Second), "e")
	b.Forget(at(time.Hour), time.Minute*100)
	b.Observe(at(time.Hour), fleet.Report{Instance: "f", Incarnation: 1, Version: 1})
	pair(at(time.Hour), a, b)
	pair(at(time.Hour+time.Second), a, b)
	_, fresh := a.Status(at(time.Hour+time.Second), "e")
	assert.False(t, fresh)
	_, fresh = a.Status(at(time.Hour+time.Second), "f")
	assert.True(t, fresh)
}

func TestRestartedPeerStartsAnew(t *testing.T) {
	a, b := tracker("a"), tracker("b")
	b.Observe(at(0), ready(1))
	pair(at(0), a, b)
	options := DefaultOptions(b.options.Self, 2, at(time.Second))
	again := New(options)
	pair(at(2*time.Second), a, again)
	_, fresh := a.Status(at(2*time.Second), "e")
	assert.False(t, fresh, "the new life vouches for nothing yet")
}

// Each endpoint has its watchers, the load is even, and a third of the nodes
// going moves little else.
func TestSharing(t *testing.T) {
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
			if watches(nodes, id, n, 2) {
				counts[n]++
				before++
				if j < 48 && !watches(nodes[:48], id, n, 2) {
					moved++
				}
			}
			if j < 48 && watches(nodes[:48], id, n, 2) {
				after++
			}
		}
		require.Equal(t, 2, before)
		require.Equal(t, 2, after)
	}
	assert.Zero(t, moved, "a survivor lost an endpoint that it watched")
	for n, count := range counts {
		assert.InDelta(t, 51, count, 30, "%s watches %d", n, count)
	}
}

// Nodes that start together do not all watch everything at first.
func TestSharingAtStart(t *testing.T) {
	a := tracker("a")
	var known []Node
	for i := range 71 {
		known = append(known, Node{ID: NodeID(fmt.Sprint(i)), DataCentre: "dc"})
	}
	a.SetKnown(start, known)
	assert.Len(t, a.WatchCandidates(start), 72)
	assert.Len(t, a.Live(start), 1)
	assert.Len(t, a.WatchCandidates(at(2*time.Second)), 1, "those that were never heard count no longer")
}

func ExampleTracker() {
	options := DefaultOptions(Node{ID: "a", DataCentre: "dc", Address: "10.0.0.1:70"}, 1, start)
	t := New(options)
	t.Observe(start, fleet.Report{Instance: "engine-1", Incarnation: 1, Phase: fleet.PhaseReady})
	status, fresh := t.Status(start.Add(time.Second), "engine-1")
	fmt.Println(status.Report.Phase, fresh)
	// Output: ready true
}
