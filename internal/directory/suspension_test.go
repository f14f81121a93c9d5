package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Guards against a resumed controller sending observations from before its suspension to peers as
// new ones.
func TestSuspension_ObservationsExpire(t *testing.T) {
	te := newTestEndpoint(t)
	te.applyRow(serving.Endpoint{StartedAt: 100})
	te.observe(100, true, openGroup, "m", 7)
	observations, _ := te.d.Observations(0, time.Now())
	require.Len(t, observations, 1)
	te.d.HandleSuspension(observationTTL)
	observations, _ = te.d.Observations(0, time.Now())
	require.Empty(t, observations)
	require.Equal(t, openGroup, te.endpoint().Membership, "no newer state is known")
}

// Rows removed during a suspension are treated like rows removed in an outage.
func TestSuspension_CountsAsGapInRows(t *testing.T) {
	te := newTestEndpoint(t)
	te.d.SetReturnGrace(DefaultReturnGrace)
	te.applyRow(serving.Endpoint{StartedAt: 100, Membership: openGroup})
	te.d.HandleSuspension(2 * minGap)
	te.version++
	te.d.ApplyChanges([]table.Row{{Key: "e", Version: te.version, Removed: true}}, te.version-1, te.version, time.Now())
	require.NotNil(t, te.d.View().Endpoints["e"], "it is listed for the grace period")
}
