package directory

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// testEndpoint is a directory with one endpoint.
type testEndpoint struct {
	*testing.T
	d       *Directory
	version uint64
}

func newTestEndpoint(t *testing.T) *testEndpoint {
	return &testEndpoint{T: t, d: New(Codec{Endpoint: func(_ string, value []byte) (e serving.Endpoint, err error) {
		return e, json.Unmarshal(value, &e)
	}})}
}

func (te *testEndpoint) applyRow(e serving.Endpoint) {
	te.Helper()
	te.version++
	e.ID = "e"
	value, err := json.Marshal(e)
	require.NoError(te, err)
	te.d.ApplyChanges([]table.Row{{Key: "e", Value: value, Version: te.version}}, 0, te.version, time.Now())
}

func (te *testEndpoint) observe(startedAt int64, local bool, m serving.Membership, model string, orders uint64) {
	te.d.Observe(Observation{ID: "e", StartedAt: startedAt, Model: model, Membership: m, Orders: orders}, local, time.Now())
}

func (te *testEndpoint) endpoint() serving.Endpoint { return *te.d.View().Endpoints["e"] }

var openGroup = serving.Membership{Group: "g", Epoch: 9, State: serving.MemberOpen}

// A restarted endpoint keeps its id but loses its state, and its counts restart: a directory that
// compared them with the previous incarnation's kept it in its last group.
func TestIncarnation_RestartClearsState(t *testing.T) {
	te := newTestEndpoint(t)
	te.applyRow(serving.Endpoint{StartedAt: 100, Model: "m", Membership: openGroup})
	te.observe(100, true, openGroup, "m", 7)
	te.applyRow(serving.Endpoint{StartedAt: 200})
	require.EqualValues(t, 200, te.endpoint().StartedAt)
	require.Empty(t, te.endpoint().Membership.Group)
	require.Empty(t, te.endpoint().Model, "no weights are loaded")
	te.observe(200, true, serving.Membership{Group: "h", Epoch: 3, State: serving.MemberJoining}, "", 1)
	require.Equal(t, "h", te.endpoint().Membership.Group, "fewer orders and a lower epoch than in the previous incarnation")
}

// A new incarnation may be observed before its row is written. Rows and peers' observations of the
// previous one are then ignored.
func TestIncarnation_ObservationOverridesOlderRows(t *testing.T) {
	te := newTestEndpoint(t)
	te.applyRow(serving.Endpoint{StartedAt: 100, Model: "m", Membership: openGroup, Draining: true})
	joining := serving.Membership{Group: "h", Epoch: 3, State: serving.MemberJoining}
	te.observe(200, true, joining, "", 1)
	require.Equal(t, joining, te.endpoint().Membership)
	require.False(t, te.endpoint().Draining, "only the previous incarnation was draining")
	te.applyRow(serving.Endpoint{StartedAt: 100, Model: "m", Membership: openGroup, Slots: 3})
	require.Equal(t, joining, te.endpoint().Membership)
	require.EqualValues(t, 200, te.endpoint().StartedAt)
	te.observe(100, false, openGroup, "m", 9)
	require.Equal(t, joining, te.endpoint().Membership)
	te.applyRow(serving.Endpoint{StartedAt: 200, Membership: joining})
	require.Equal(t, joining, te.endpoint().Membership)
	require.EqualValues(t, 200, te.endpoint().StartedAt)
	// Its clock was set back between two incarnations; the order of the rows counts.
	te.applyRow(serving.Endpoint{StartedAt: 150})
	require.EqualValues(t, 150, te.endpoint().StartedAt)
	require.Empty(t, te.endpoint().Membership.Group)
}

func TestIncarnation_PeersReportRestarts(t *testing.T) {
	te := newTestEndpoint(t)
	te.applyRow(serving.Endpoint{StartedAt: 100, Model: "m", Membership: openGroup})
	te.observe(200, false, serving.Membership{}, "", 0)
	require.EqualValues(t, 200, te.endpoint().StartedAt)
	require.Empty(t, te.endpoint().Membership.Group)
}

// An unparsable row removes its endpoint, also as a lapsed one, until a valid row follows.
func TestApplyUnreadable_RemovesEndpoint(t *testing.T) {
	te := newTestEndpoint(t)
	te.applyRow(serving.Endpoint{StartedAt: 100, Model: "m", Membership: openGroup})
	te.version++
	te.d.ApplyChanges([]table.Row{{Key: "e", Value: []byte{0xff}, Version: te.version}}, 0, te.version, time.Now())
	require.Nil(t, te.d.View().Endpoints["e"])
	require.Nil(t, te.d.View().Lapsed["e"], "nor is it a lapsed member of its group")
	rows, _ := te.d.Changes(te.version - 1)
	require.Len(t, rows, 1, "peers receive the row")
	te.d.Refresh(time.Now())
	te.applyRow(serving.Endpoint{StartedAt: 100, Model: "m", Membership: openGroup})
	require.Equal(t, openGroup, te.endpoint().Membership)
}
