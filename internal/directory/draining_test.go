package directory

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Rows lag by seconds, come from an older copy of the store, or from a writer that tells
// nothing of it: an endpoint that has said itself that it leaves takes nothing new, until
// another incarnation is listed.
func TestDraining_HoldsWhateverTheRowSays(t *testing.T) {
	draining := map[serving.Incarnation]bool{}
	d := New(Codec{Endpoint: func(_ string, value []byte) (e serving.Endpoint, err error) {
		return e, json.Unmarshal(value, &e)
	}})
	d.SetDraining(func(inc serving.Incarnation) bool { return draining[inc] })
	version := uint64(0)
	take := func(e serving.Endpoint, removed bool) *View {
		value, err := json.Marshal(e)
		require.NoError(t, err)
		version++
		d.ApplyChanges([]table.Row{{Key: "e", Value: value, Version: version, Removed: removed}}, version-1, version, time.Now())
		return d.View()
	}
	plain := serving.Endpoint{ID: "e", StartedAt: 5, Service: "shop", Address: "a:1"}
	require.False(t, take(plain, false).Endpoints["e"].Draining)

	draining[plain.Incarnation()] = true
	d.Invalidate()
	require.True(t, d.View().Endpoints["e"].Draining)
	changed := plain
	changed.Slots, changed.Writes = 7, 9
	require.True(t, take(changed, false).Endpoints["e"].Draining)
	require.Equal(t, 7, d.View().Endpoints["e"].Slots)

	// A row that goes says nothing of an endpoint that serves on.
	view := take(changed, true)
	require.Nil(t, view.Endpoints["e"])
	require.Nil(t, view.Lapsed["e"])
	require.True(t, take(changed, false).Endpoints["e"].Draining)

	next := plain
	next.StartedAt = 6
	require.False(t, take(next, false).Endpoints["e"].Draining)
}
