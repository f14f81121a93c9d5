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

// known returns a directory with one endpoint.
func known(t *testing.T) (d *Directory, row func(serving.Membership, string), membership func() serving.Membership) {
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

// A peer's message came after a later one, and the head of an open group looked
// like one that is not open yet. Found by a test of the emulator beside load.
func TestAnOlderObservationOfAGroupIsLeftAside(t *testing.T) {
	d, _, membership := known(t)
	open := serving.Membership{Group: "g", Epoch: 3, State: serving.MemberOpen}
	ready := serving.Membership{Group: "g", Epoch: 3, State: serving.MemberReady}
	observe(d, open, 2)
	observe(d, ready, 2)
	require.Equal(t, open, membership())
	observe(d, serving.Membership{Group: "h", Epoch: 4, State: serving.MemberJoining}, 4)
	require.Equal(t, "h", membership().Group)
}

func TestARowOfAGroupThatWasLeftBringsItNotBack(t *testing.T) {
	d, row, membership := known(t)
	observe(d, serving.Membership{Group: "g", Epoch: 3, State: serving.MemberJoining}, 1)
	observe(d, serving.Membership{}, 2)
	row(serving.Membership{Group: "g", Epoch: 3, State: serving.MemberReady}, "m")
	require.Empty(t, membership().Group)
	row(serving.Membership{Group: "h", Epoch: 4, State: serving.MemberJoining}, "m")
	require.Equal(t, "h", membership().Group)
}

// What an endpoint can start at once is the model of its last group, which its
// row does not tell while it is in none.
func TestTheModelOfTheLastGroupIsRemembered(t *testing.T) {
	d, row, _ := known(t)
	row(serving.Membership{Group: "g", Epoch: 3, State: serving.MemberReady}, "m")
	row(serving.Membership{}, "")
	require.Equal(t, "m", d.View().Endpoints["e"].Model)
}

// A group that was formed in an outage of the store is known for as long as no
// newer row can say otherwise.
func TestAnObservationOutlivesAnOutageOfTheStore(t *testing.T) {
	d, _, membership := known(t)
	open := serving.Membership{Group: "g", Epoch: 3, State: serving.MemberOpen}
	observe(d, open, 2)
	now := time.Now()
	d.Refresh(now.Add(10 * observationFor))
	require.Equal(t, open, membership(), "no rows have come since")
	d.ApplyChanges(nil, 1, 100, now.Add(20*observationFor))
	d.Refresh(now.Add(20 * observationFor))
	require.Empty(t, membership().Group, "rows of a later time say otherwise")
}

// The store was out, and rows of endpoints that live went in it: they count as
// listed until they must be back. An endpoint whose row goes at any other time
// does not. Each return of the store ended groups that stood.
func TestRowsThatWentInAnOutageAreWaitedFor(t *testing.T) {
	d, _, _ := known(t)
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

func TestARowThatGoesWhileRowsComeIsGone(t *testing.T) {
	d, _, _ := known(t)
	d.SetReturnGrace(DefaultReturnGrace)
	now := time.Now()
	d.ApplyChanges(nil, 1, 99, now.Add(time.Second))
	d.ApplyChanges([]table.Row{{Key: "e", Version: 100, Removed: true}}, 99, 100, now.Add(2*time.Second))
	require.Empty(t, d.View().Endpoints)
}

// A node that has acknowledged a leaving is bound by it in an outage and after it:
// the endpoint's row goes while the store is out.
func TestALeavingEndpointIsNotTrustedAfterAnOutage(t *testing.T) {
	d, _, _ := known(t)
	d.SetReturnGrace(DefaultReturnGrace)
	start := time.Now()
	value, err := json.Marshal(serving.Endpoint{ID: "e", Draining: true})
	require.NoError(t, err)
	d.ApplyChanges([]table.Row{{Key: "e", Value: value, Version: 50}}, 1, 50, start)
	require.True(t, d.View().Endpoints["e"].Draining)
	d.Refresh(start.Add(time.Minute))
	require.True(t, d.View().Endpoints["e"].Draining, "no row says otherwise")
	d.ApplyChanges([]table.Row{{Key: "e", Version: 100, Removed: true}}, 50, 100, start.Add(time.Minute))
	require.Empty(t, d.View().Endpoints)
	require.Empty(t, d.View().Lapsed)
}

// In an outage the nodes of a data centre call ever more seldom, but for the one
// that reads for all. An outage of eight seconds cost sixty nodes five thousand calls.
func TestFailedCallsAreMadeEverMoreSeldom(t *testing.T) {
	for _, test := range []struct {
		name     string
		reads    bool
		failures int
		most     time.Duration
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
				require.LessOrEqual(t, pause, test.most)
				require.GreaterOrEqual(t, pause, test.most/2)
			}
		})
	}
}

// Each of twenty nodes logged every change of every endpoint, 60,000 lines in nineteen
// seconds. Only who decides on an endpoint does now, and the others sum up.
func TestChangesOfOthersEndpointsAreSummedUpInTheLog(t *testing.T) {
	var lines bytes.Buffer
	d, _, _ := known(t)
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
	d.Refresh(now.Add(2 * sumPause))
	d.Refresh(now.Add(2*sumPause + time.Millisecond))
	text := lines.String()
	require.Equal(t, 3, strings.Count(text, "an endpoint has changed"), "two of its own, and one that leaves")
	require.Equal(t, 1, strings.Count(text, "endpoints have changed"))
	require.Contains(t, text, "changed=197")
}

// A store that nothing was written to yet has no version to watch from. Twenty nodes
// read it 868 times in their first half second.
func TestAnEmptyStoreIsReadAtAPace(t *testing.T) {
	f := &follower{Watcher: &Watcher{Options: DefaultWatchOptions()}, wait: time.Minute}
	require.Equal(t, time.Second, f.pauseAfter(nil))
}

// A node that follows nothing for others makes no call while peers bring news, and looks
// again soon.
func TestWhatPeersBringIsNotRead(t *testing.T) {
	d, _, _ := known(t)
	d.ApplyChanges(nil, 1, 99, time.Now())
	d.configuration = &serving.Configuration{Version: 1}
	duty := WatchRole{}
	w := &Watcher{Directory: d, Options: DefaultWatchOptions(), Role: func() WatchRole { return duty }}
	for _, f := range []*follower{w.endpoints(), w.configuration()} {
		require.NoError(t, f.step(t.Context()), "no call is made: there is no store")
		require.True(t, f.skipped, f.name)
		require.Equal(t, 100*time.Millisecond, f.pauseAfter(nil))
	}
	duty = WatchRole{ExtraDelay: time.Second}
	d.coveredAt = time.Now().Add(-w.Options.RelyOnPeers - time.Second/2)
	require.True(t, w.endpoints().skip(), "those before it in rank go first")
	duty = WatchRole{}
	require.False(t, w.endpoints().skip())
	duty = WatchRole{Endpoints: true, Configuration: true, Wait: true}
	require.True(t, w.endpoints().skip(), "peers will bring it")
	require.True(t, w.configuration().skip(), "peers will bring it")
}

func TestAStormOfVersionsIsNotFollowedOneByOne(t *testing.T) {
	f := &follower{Watcher: &Watcher{Options: DefaultWatchOptions()}, wait: time.Minute, version: 1}
	require.Zero(t, f.pauseAfter(nil), "a call that waited is made again at once")
	f.rows = 1
	require.Equal(t, 300*time.Millisecond, f.pauseAfter(nil))
}

// An endpoint came back after an outage, and its row goes again later on: what it
// was trusted for then does not count now.
func TestTrustEndsWithTheReturnOfARow(t *testing.T) {
	d, _, _ := known(t)
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
