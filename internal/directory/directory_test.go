package directory

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// newTestDirectory returns a directory with one endpoint.
func newTestDirectory(t *testing.T) (d *Directory, row func(serving.Membership, string), membership func() serving.Membership) {
	d = New(Codec{Endpoint: func(_ string, value []byte) (e serving.Endpoint, err error) {
		return e, json.Unmarshal(value, &e)
	}})
	version := uint64(0)
	row = func(m serving.Membership, model string) {
		version++
		value, err := json.Marshal(serving.Endpoint{ID: "e", Membership: m, Model: model})
		require.NoError(t, err)
		d.ApplyChanges([]table.Row{{Key: "e", Value: value, Version: version}}, 0, version, time.Now())
	}
	row(serving.Membership{}, "")
	return d, row, func() serving.Membership { return d.View().Endpoints["e"].Membership }
}

func observe(d *Directory, m serving.Membership, orders uint64) {
	d.Observe(Observation{ID: "e", Model: "m", Membership: m, Orders: orders}, false, time.Now())
}

// Messages of peers may arrive out of order.
func TestObserve_IgnoresOlderStateOfGroup(t *testing.T) {
	d, _, membership := newTestDirectory(t)
	open := serving.Membership{Group: "g", Epoch: 3, State: serving.MemberOpen}
	ready := serving.Membership{Group: "g", Epoch: 3, State: serving.MemberReady}
	observe(d, open, 2)
	observe(d, ready, 2)
	require.Equal(t, open, membership())
	observe(d, serving.Membership{Group: "h", Epoch: 4, State: serving.MemberJoining}, 4)
	require.Equal(t, "h", membership().Group)
}

func TestObserve_LeavingGroupOverridesOlderRows(t *testing.T) {
	d, row, membership := newTestDirectory(t)
	observe(d, serving.Membership{Group: "g", Epoch: 3, State: serving.MemberJoining}, 1)
	observe(d, serving.Membership{}, 2)
	row(serving.Membership{Group: "g", Epoch: 3, State: serving.MemberReady}, "m")
	require.Empty(t, membership().Group)
	row(serving.Membership{Group: "h", Epoch: 4, State: serving.MemberJoining}, "m")
	require.Equal(t, "h", membership().Group)
}

// A row without a group has no model, but the weights are still loaded.
func TestView_KeepsModelOfLastGroup(t *testing.T) {
	d, row, _ := newTestDirectory(t)
	row(serving.Membership{Group: "g", Epoch: 3, State: serving.MemberReady}, "m")
	row(serving.Membership{}, "")
	require.Equal(t, "m", d.View().Endpoints["e"].Model)
}

// A group formed during a store outage has no row that could confirm it.
func TestObservation_KeptDuringStoreOutage(t *testing.T) {
	d, _, membership := newTestDirectory(t)
	open := serving.Membership{Group: "g", Epoch: 3, State: serving.MemberOpen}
	observe(d, open, 2)
	now := time.Now()
	d.Refresh(now.Add(10 * observationTTL))
	require.Equal(t, open, membership(), "the table has not been updated since")
	d.ApplyChanges(nil, 1, 100, now.Add(20*observationTTL))
	d.Refresh(now.Add(20 * observationTTL))
	require.Empty(t, membership().Group, "newer rows do not confirm the group")
}

// Live endpoints lose their rows in an outage; without the grace period, each return of the store
// dissolved their groups.
func TestReturnGrace_KeepsRowsRemovedInOutage(t *testing.T) {
	d, _, _ := newTestDirectory(t)
	d.SetReturnGrace(DefaultReturnGrace)
	start := time.Now()
	listed := func() bool { return d.View().Endpoints["e"] != nil }
	removed := []table.Row{{Key: "e", Version: 100, Removed: true}}
	back := start.Add(time.Minute)
	d.ApplyChanges(removed, 1, 100, back)
	require.True(t, listed())
	d.Refresh(back.Add(DefaultReturnGrace - time.Millisecond))
	require.True(t, listed())
	d.Refresh(back.Add(DefaultReturnGrace + time.Millisecond))
	require.False(t, listed())
	require.Contains(t, d.View().Lapsed, serving.EndpointID("e"))
}

func TestReturnGrace_NotWithoutOutage(t *testing.T) {
	d, _, _ := newTestDirectory(t)
	d.SetReturnGrace(DefaultReturnGrace)
	now := time.Now()
	d.ApplyChanges(nil, 1, 99, now.Add(time.Second))
	d.ApplyChanges([]table.Row{{Key: "e", Version: 100, Removed: true}}, 99, 100, now.Add(2*time.Second))
	require.Empty(t, d.View().Endpoints)
}

// A draining endpoint whose row is removed during an outage must not be listed again.
func TestReturnGrace_ExcludesDrainingEndpoints(t *testing.T) {
	d, _, _ := newTestDirectory(t)
	d.SetReturnGrace(DefaultReturnGrace)
	start := time.Now()
	value, err := json.Marshal(serving.Endpoint{ID: "e", Draining: true})
	require.NoError(t, err)
	d.ApplyChanges([]table.Row{{Key: "e", Value: value, Version: 50}}, 1, 50, start)
	require.True(t, d.View().Endpoints["e"].Draining)
	d.Refresh(start.Add(time.Minute))
	require.True(t, d.View().Endpoints["e"].Draining, "no newer row")
	d.ApplyChanges([]table.Row{{Key: "e", Version: 100, Removed: true}}, 50, 100, start.Add(time.Minute))
	require.Empty(t, d.View().Endpoints)
	require.Empty(t, d.View().Lapsed)
}

// Bounds the calls that a data centre makes during an outage.
func TestFollower_BacksOffAfterFailures(t *testing.T) {
	for _, test := range []struct {
		name     string
		reads    bool
		failures int
		maxPause time.Duration
	}{
		{"the first", false, 1, 250 * time.Millisecond},
		{"the third", false, 3, time.Second},
		{"the hundredth", false, 100, 2 * time.Second},
		{"the reader's hundredth", true, 100, 500 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := &follower{Watcher: &Watcher{Options: DefaultWatchOptions(), Role: func() WatchRole { return WatchRole{Endpoints: test.reads} }}}
			f.failures = test.failures
			for range 100 {
				pause := f.pauseAfter(table.ErrUnavailable)
				require.LessOrEqual(t, pause, test.maxPause)
				require.GreaterOrEqual(t, pause, test.maxPause/2)
			}
		})
	}
}

// Guards against every node logging every endpoint change.
func TestLogs_SummariseChangesOfOtherDataCentres(t *testing.T) {
	var lines bytes.Buffer
	d, _, _ := newTestDirectory(t)
	before := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&lines, nil)))
	defer slog.SetDefault(before)
	d.SetLogsEachChange(func(dc serving.DataCentre) bool { return dc == "own" })
	now := time.Now()
	for i := range 200 {
		dc := serving.DataCentre("other")
		if i%100 == 0 {
			dc = "own"
		}
		value, err := json.Marshal(serving.Endpoint{ID: serving.EndpointID(fmt.Sprint(i)), DataCentre: dc, Draining: i == 33})
		require.NoError(t, err)
		d.ApplyChanges([]table.Row{{Key: fmt.Sprint(i), Value: value, Version: uint64(i + 2)}}, 0, uint64(i+2), now)
	}
	d.Refresh(now.Add(2 * summaryInterval))
	d.Refresh(now.Add(2*summaryInterval + time.Millisecond))
	text := lines.String()
	require.Equal(t, 3, strings.Count(text, "endpoint changed"), "two of its own data centre, and one that started draining")
	require.Equal(t, 1, strings.Count(text, "endpoints changed"))
	require.Contains(t, text, "changed=197")
}

// Guards against a busy loop on an empty store, which has no version to watch from.
func TestFollower_PausesOnEmptyStore(t *testing.T) {
	f := &follower{Watcher: &Watcher{Options: DefaultWatchOptions()}, longPoll: time.Minute}
	require.Equal(t, time.Second, f.pauseAfter(nil))
}

// A node that reads nothing for others skips calls while peers send updates.
func TestFollower_SkipsWhatPeersSend(t *testing.T) {
	d, _, _ := newTestDirectory(t)
	d.ApplyChanges(nil, 1, 99, time.Now())
	d.configuration = &serving.Configuration{Version: 1}
	role := WatchRole{}
	w := &Watcher{Directory: d, Options: DefaultWatchOptions(), Role: func() WatchRole { return role }}
	for _, f := range []*follower{w.endpoints(), w.configuration()} {
		require.NoError(t, f.step(t.Context()), "no call is made: there is no store")
		require.True(t, f.skipped, f.tableName)
		require.Equal(t, 100*time.Millisecond, f.pauseAfter(nil))
	}
	role = WatchRole{ExtraDelay: time.Second}
	d.tableVersionAt = time.Now().Add(-w.Options.RelyOnPeers - time.Second/2)
	require.True(t, w.endpoints().skip(), "nodes before it in rank read first")
	role = WatchRole{}
	require.False(t, w.endpoints().skip())
	role = WatchRole{Endpoints: true, Configuration: true, Wait: true}
	require.True(t, w.endpoints().skip(), "the state is to come from peers")
	require.True(t, w.configuration().skip(), "the state is to come from peers")
}

// A node of a high rank that the store turned away, and that no relay reaches, must learn of a
// configuration within seconds of being served again.
func TestFollower_BackoffIsBoundedForAnyRank(t *testing.T) {
	for _, extra := range []time.Duration{0, time.Second, 8 * time.Second, time.Hour} {
		w := &Watcher{Options: DefaultWatchOptions(), Role: func() WatchRole { return WatchRole{ExtraDelay: extra} }}
		f := &follower{Watcher: w, failures: 100}
		for range 100 {
			require.LessOrEqual(t, f.backoff(), 4*time.Second)
		}
	}
}

func TestFollower_PausesBetweenConfigurations(t *testing.T) {
	f := &follower{Watcher: &Watcher{Options: DefaultWatchOptions()}, longPoll: time.Minute, version: 1}
	require.Zero(t, f.pauseAfter(nil), "a long poll is repeated immediately")
	f.rows = 1
	require.Equal(t, 300*time.Millisecond, f.pauseAfter(nil))
}

// The grace period of one outage must not apply to a later removal of the row.
func TestReturnGrace_EndsWhenRowReturns(t *testing.T) {
	d, _, _ := newTestDirectory(t)
	d.SetReturnGrace(DefaultReturnGrace)
	back := time.Now().Add(time.Minute)
	d.ApplyChanges([]table.Row{{Key: "e", Version: 100, Removed: true}}, 1, 100, back)
	require.Contains(t, d.View().Endpoints, serving.EndpointID("e"))
	value, err := json.Marshal(serving.Endpoint{ID: "e"})
	require.NoError(t, err)
	d.ApplyChanges([]table.Row{{Key: "e", Value: value, Version: 101}}, 100, 101, back.Add(time.Second))
	for i := range 10 {
		d.ApplyChanges(nil, 1, uint64(102+i), back.Add(time.Duration(2+i)*time.Second))
	}
	d.ApplyChanges([]table.Row{{Key: "e", Version: 120, Removed: true}}, 111, 120, back.Add(12*time.Second))
	require.Empty(t, d.View().Endpoints)
}
