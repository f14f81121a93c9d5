package directory

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Rows may lag, come from an older copy or be from a writer that does not record draining. An
// endpoint that advertised draining gets no new requests until a new incarnation is listed.
func TestDraining_OverridesRows(t *testing.T) {
	draining := map[serving.Incarnation]bool{}
	d := New(Codec{Endpoint: func(_ string, value []byte) (e serving.Endpoint, err error) {
		return e, json.Unmarshal(value, &e)
	}})
	d.SetDraining(func(inc serving.Incarnation) bool { return draining[inc] })
	version := uint64(0)
	apply := func(e serving.Endpoint, removed bool) *View {
		value, err := json.Marshal(e)
		require.NoError(t, err)
		version++
		d.ApplyChanges([]table.Row{{Key: "e", Value: value, Version: version, Removed: removed}}, version-1, version, time.Now())
		return d.View()
	}
	plain := serving.Endpoint{ID: "e", StartedAt: 5, Service: "shop", Address: "a:1"}
	require.False(t, apply(plain, false).Endpoints["e"].Draining)

	draining[plain.Incarnation()] = true
	d.Invalidate()
	require.True(t, d.View().Endpoints["e"].Draining)
	changed := plain
	changed.Slots, changed.Writes = 7, 9
	require.True(t, apply(changed, false).Endpoints["e"].Draining)
	require.Equal(t, 7, d.View().Endpoints["e"].Slots)

	// Removing the row does not make the endpoint a lapsed one.
	view := apply(changed, true)
	require.Nil(t, view.Endpoints["e"])
	require.Nil(t, view.Lapsed["e"])
	require.True(t, apply(changed, false).Endpoints["e"].Draining)

	next := plain
	next.StartedAt = 6
	require.False(t, apply(next, false).Endpoints["e"].Draining)
}
