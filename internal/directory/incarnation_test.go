package directory

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// incarnations is a directory that is told of one endpoint.
type incarnations struct {
	*testing.T
	d       *Directory
	version uint64
}

func newIncarnations(t *testing.T) *incarnations {
	return &incarnations{T: t, d: New(Codec{Endpoint: func(_ string, value []byte) (e serving.Endpoint, err error) {
		return e, json.Unmarshal(value, &e)
	}})}
}

func (l *incarnations) row(e serving.Endpoint) {
	l.Helper()
	l.version++
	e.ID = "e"
	value, err := json.Marshal(e)
	require.NoError(l, err)
	l.d.ApplyChanges([]table.Row{{Key: "e", Value: value, Version: l.version}}, 0, l.version, time.Now())
}

func (l *incarnations) observed(startedAt int64, here bool, m serving.Membership, model string, orders uint64) {
	l.d.Observe(Observation{ID: "e", StartedAt: startedAt, Model: model, Membership: m, Orders: orders}, here, time.Now())
}

func (l *incarnations) view() serving.Endpoint { return *l.d.View().Endpoints["e"] }

var openGroup = serving.Membership{Group: "g", Epoch: 9, State: serving.MemberOpen}

// An endpoint may end and begin again under the id that it had. It holds and knows nothing of
// before, and its counts begin anew: what it said then looked older than what was known, and
// it stayed a member of its last group.
func TestIncarnation_RestartUnderTheSameIDIsANewEndpoint(t *testing.T) {
	l := newIncarnations(t)
	l.row(serving.Endpoint{StartedAt: 100, Model: "m", Membership: openGroup})
	l.observed(100, true, openGroup, "m", 7)
	l.row(serving.Endpoint{StartedAt: 200})
	require.EqualValues(t, 200, l.view().StartedAt)
	require.Empty(t, l.view().Membership.Group)
	require.Empty(t, l.view().Model, "it can start no model at once")
	l.observed(200, true, serving.Membership{Group: "h", Epoch: 3, State: serving.MemberJoining}, "", 1)
	require.Equal(t, "h", l.view().Membership.Group, "fewer orders and a lower epoch than in the incarnation before")
}

// The endpoint itself may tell of its new incarnation before its row does. Rows and peers' words
// of the incarnation before change nothing then.
func TestIncarnation_ObservationsCountAgainstOlderRows(t *testing.T) {
	l := newIncarnations(t)
	l.row(serving.Endpoint{StartedAt: 100, Model: "m", Membership: openGroup, Draining: true})
	joining := serving.Membership{Group: "h", Epoch: 3, State: serving.MemberJoining}
	l.observed(200, true, joining, "", 1)
	require.Equal(t, joining, l.view().Membership)
	require.False(t, l.view().Draining, "that was the incarnation before")
	l.row(serving.Endpoint{StartedAt: 100, Model: "m", Membership: openGroup, Slots: 3})
	require.Equal(t, joining, l.view().Membership)
	require.EqualValues(t, 200, l.view().StartedAt)
	l.observed(100, false, openGroup, "m", 9)
	require.Equal(t, joining, l.view().Membership)
	l.row(serving.Endpoint{StartedAt: 200, Membership: joining})
	require.Equal(t, joining, l.view().Membership)
	require.EqualValues(t, 200, l.view().StartedAt)
	// Its clock was set back before the next incarnation: rows are in order all the same.
	l.row(serving.Endpoint{StartedAt: 150})
	require.EqualValues(t, 150, l.view().StartedAt)
	require.Empty(t, l.view().Membership.Group)
}

// A peer tells of an incarnation that is not known here yet.
func TestIncarnation_PeersReportRestarts(t *testing.T) {
	l := newIncarnations(t)
	l.row(serving.Endpoint{StartedAt: 100, Model: "m", Membership: openGroup})
	l.observed(200, false, serving.Membership{}, "", 0)
	require.EqualValues(t, 200, l.view().StartedAt)
	require.Empty(t, l.view().Membership.Group)
}

// An entry that cannot be read names no endpoint to use, also where there was one. The
// others hold, and one that can be read brings it back.
func TestAnEntryThatCannotBeReadNamesNoEndpoint(t *testing.T) {
	l := newIncarnations(t)
	l.row(serving.Endpoint{StartedAt: 100, Model: "m", Membership: openGroup})
	l.version++
	l.d.ApplyChanges([]table.Row{{Key: "e", Value: []byte{0xff}, Version: l.version}}, 0, l.version, time.Now())
	require.Nil(t, l.d.View().Endpoints["e"])
	require.Nil(t, l.d.View().Lapsed["e"], "nor a member that may serve on")
	rows, _ := l.d.Changes(l.version - 1)
	require.Len(t, rows, 1, "peers hear of it")
	l.d.Refresh(time.Now())
	l.row(serving.Endpoint{StartedAt: 100, Model: "m", Membership: openGroup})
	require.Equal(t, openGroup, l.view().Membership)
}
