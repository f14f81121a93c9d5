package directory

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/pkg/evacuation"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

const (
	testColdStart  = 3 * time.Second
	testColdPerSec = 14
)

// coldTest is a directory with one endpoint of a service whose endpoints start cold.
type coldTest struct {
	t       *testing.T
	d       *Directory
	version uint64
	now     time.Time
}

func newColdTest(t *testing.T) *coldTest {
	ct := &coldTest{t: t, now: time.Now(), d: New(Codec{Endpoint: func(_ string, value []byte) (e serving.Endpoint, err error) {
		return e, json.Unmarshal(value, &e)
	}})}
	ct.d.configuration = &serving.Configuration{Version: 1, Services: map[string]serving.Service{
		"llm": {Name: "llm", Engine: &serving.Engine{}, ColdStart: testColdStart, ColdPerSec: testColdPerSec},
	}}
	return ct
}

func (ct *coldTest) applyRow(startedAt int64, coldFor time.Duration) {
	value, err := json.Marshal(serving.Endpoint{ID: "e", Service: "llm", DataCentre: "north", StartedAt: startedAt, Writes: ct.version, ColdFor: coldFor})
	require.NoError(ct.t, err)
	ct.version++
	ct.d.ApplyChanges([]table.Row{{Key: "e", Value: value, Version: ct.version}}, ct.version-1, ct.version, ct.now)
}

func (ct *coldTest) limit(at time.Duration) float64 {
	return ct.d.View().Endpoints["e"].ColdLimit(ct.now.Add(at))
}

func TestCold_FollowsRows(t *testing.T) {
	ct := newColdTest(t)
	ct.applyRow(100, 0)
	require.Zero(t, ct.limit(0), "groups formed at the start are not slowed down")

	ct.applyRow(100, 2*time.Second)
	require.EqualValues(t, testColdPerSec, ct.limit(1900*time.Millisecond), "it became cold at work")
	require.Zero(t, ct.limit(2*time.Second))
	before, _ := ct.d.Changes(0)
	require.Len(t, before, 1)
	changed := ct.version

	// Heartbeats of the same cold period are no news for peers.
	ct.now = ct.now.Add(time.Second)
	ct.applyRow(100, time.Second)
	rows, _ := ct.d.Changes(changed)
	require.Empty(t, rows)
	// A new one is, although the endpoint has not been warm in between.
	ct.applyRow(100, testColdStart)
	rows, _ = ct.d.Changes(changed)
	require.Len(t, rows, 1)
	require.EqualValues(t, testColdPerSec, ct.limit(2900*time.Millisecond))

	ct.applyRow(100, 0)
	require.Zero(t, ct.limit(0))
}

// An incarnation that is only known from an observation may be cold; its row is still that of the
// one before.
func TestCold_UnknownIncarnation(t *testing.T) {
	ct := newColdTest(t)
	ct.applyRow(100, 0)
	ct.d.Observe(Observation{ID: "e", StartedAt: 200, Membership: serving.Membership{Group: "g", Epoch: 1}, Orders: 1}, false, ct.now)
	require.EqualValues(t, testColdPerSec, ct.limit(2900*time.Millisecond))
	require.Zero(t, ct.limit(testColdStart))
	// A late row of the incarnation before does not make it warm.
	ct.applyRow(100, 0)
	require.EqualValues(t, testColdPerSec, ct.limit(0))
	ct.applyRow(200, 0)
	require.Zero(t, ct.limit(0))
}

// Rows may not show yet that the endpoints of a data centre have become cold when its evacuation is
// lifted.
func TestCold_AfterEvacuation(t *testing.T) {
	ct := newColdTest(t)
	ct.applyRow(100, 0)
	ct.d.MergeEvacuations([]evacuation.Record{{DataCentre: "north", ChangedAt: ct.now}}, 5, "a peer", ct.now)
	require.Zero(t, ct.limit(0))
	require.True(t, ct.d.View().Evacuated["north"])
	ct.d.MergeEvacuations([]evacuation.Record{{DataCentre: "north", Lifted: true, ChangedAt: ct.now}}, 6, "a peer", ct.now)
	require.False(t, ct.d.View().Evacuated["north"])
	require.EqualValues(t, testColdPerSec, ct.limit(2900*time.Millisecond))
	require.Zero(t, ct.limit(testColdStart))
}

func TestCold_ElapsesDuringSuspension(t *testing.T) {
	ct := newColdTest(t)
	ct.applyRow(100, 2*time.Second)
	ct.d.HandleSuspension(time.Second)
	ct.d.Invalidate()
	require.EqualValues(t, testColdPerSec, ct.limit(900*time.Millisecond))
	require.Zero(t, ct.limit(1100*time.Millisecond))
}

// Evacuated endpoints must not be chosen, whatever their service, and stay listed for their
// controller.
func TestView_WithholdsEvacuatedEndpoints(t *testing.T) {
	engine := &serving.Engine{Models: []serving.Model{{Name: "m", Size: 1}}}
	c := &serving.Configuration{Services: map[string]serving.Service{"llm": {Name: "llm", Engine: engine}, "shop": {Name: "shop"}}}
	endpoints := map[serving.EndpointID]*serving.Endpoint{}
	for _, dc := range []serving.DataCentre{"north", "south"} {
		head := serving.EndpointID("h-" + dc)
		endpoints[head] = &serving.Endpoint{ID: head, Service: "llm", DataCentre: dc, Model: "m", Membership: serving.Membership{Group: "g-" + string(dc), Epoch: 1, State: serving.MemberOpen}}
		plain := serving.EndpointID("p-" + dc)
		endpoints[plain] = &serving.Endpoint{ID: plain, Service: "shop", DataCentre: dc}
	}
	v := buildView(viewInput{configuration: c, endpoints: endpoints, evacuated: map[serving.DataCentre]bool{"north": true}})
	pool := Pool{"llm", "m"}
	require.Len(t, v.Endpoints, 4)
	require.Len(t, v.Heads[pool], 1)
	require.Equal(t, serving.DataCentre("south"), v.Heads[pool][0].DataCentre)
	require.Len(t, v.Plain["shop"], 1)
	require.Equal(t, serving.DataCentre("south"), v.Plain["shop"][0].DataCentre)
	require.Equal(t, map[Pool]int{pool: 1, {Service: "shop"}: 1}, v.Withheld)
}
