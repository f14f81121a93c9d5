package groupcontrol

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Guards against an endpoint that fails again and again and ends each of its groups: after a second
// failure it is excluded for the whole time, unless it restarts or the first one is long ago.
func TestDeadMark_Repeated(t *testing.T) {
	start := time.Now()
	e, restarted := &serving.Endpoint{ID: "e", StartedAt: 1}, &serving.Endpoint{ID: "e", StartedAt: 2}
	first := deadMark{}.renewed(e, start)
	require.False(t, first.repeated)
	require.False(t, first.renewed(e, start.Add(time.Second)).repeated, "it has not responded in between")
	first.responded = true
	second := first.renewed(e, start.Add(5*time.Second))
	require.True(t, second.repeated)
	require.False(t, second.responded)
	require.True(t, second.renewed(e, start.Add(6*time.Second)).repeated)
	require.False(t, first.renewed(restarted, start.Add(5*time.Second)).repeated)
	require.False(t, first.renewed(e, start.Add(repeatWindow)).repeated)
}
