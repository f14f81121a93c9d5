package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// A controller is suspended with its machine. Once awake it would tell its peers what the
// endpoints had said before as if they had just said so, since its clock had stood still.
func TestWhatWasSeenBeforeASuspensionIsNoNews(t *testing.T) {
	l := newIncarnations(t)
	l.row(serving.Endpoint{StartedAt: 100})
	l.observed(100, true, openGroup, "m", 7)
	told, _ := l.d.Observations(0, time.Now())
	require.Len(t, told, 1)
	l.d.HandleSuspension(observationFor)
	told, _ = l.d.Observations(0, time.Now())
	require.Empty(t, told)
	require.Equal(t, openGroup, l.view().Membership, "nothing newer is known")
}

// Rows that went while the machine was suspended went while it did not hear the store.
func TestASuspensionIsAGapInTheRows(t *testing.T) {
	l := newIncarnations(t)
	l.d.SetReturnGrace(DefaultReturnGrace)
	l.row(serving.Endpoint{StartedAt: 100, Membership: openGroup})
	l.d.HandleSuspension(2 * gapLeast)
	l.version++
	l.d.ApplyChanges([]table.Row{{Key: "e", Version: l.version, Removed: true}}, l.version-1, l.version, time.Now())
	require.NotNil(t, l.d.View().Endpoints["e"], "it is waited for")
}
