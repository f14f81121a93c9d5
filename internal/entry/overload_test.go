package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/relay"
	"github.com/ridgehinge/ridgehinge/pkg/admission"
)

// Guards against overload control that is on by default, and against settings that have no effect.
func TestParse_Overload(t *testing.T) {
	s, err := Parse("entry.ini", []byte(minimal))
	require.NoError(t, err)
	require.False(t, s.Policy.OverloadControl)
	require.Equal(t, admission.DefaultPolicy(), s.Policy.Overload)

	s, err = Parse("entry.ini", []byte(minimal+"overload_control = yes\noverload_occupancy = 0.8\noverload_backlog = 0.3\noverload_correction = 700ms\nreserved_slots = 0.2\nreserved_backlog = 0.5\nmin_share = 0.1\nreturn_share = 0.2\n"))
	require.NoError(t, err)
	require.True(t, s.Policy.OverloadControl)
	require.Equal(t, admission.Policy{Occupancy: 0.8, Backlog: 0.3, Correction: 700 * time.Millisecond, ReservedSlots: 0.2, ReservedBacklog: 0.5, MinShare: 0.1, ReturnShare: 0.2}, s.Policy.Overload)
}

// Guards against values with which a plan would shed everything or never correct anything.
func TestParse_RejectsInvalidOverload(t *testing.T) {
	for _, wrong := range []string{"overload_control = maybe", "overload_occupancy = 0", "overload_occupancy = 3", "overload_backlog = 0", "overload_correction = 0s", "overload_correction = 2m", "reserved_slots = 2", "reserved_backlog = -1", "min_share = 0.6", "min_share = -0.1", "return_share = 1.1"} {
		t.Run(wrong, func(t *testing.T) {
			_, err := Parse("entry.ini", []byte(minimal+wrong))
			require.ErrorContains(t, err, "policy")
			require.ErrorContains(t, err, "entry.ini")
		})
	}
}

// Guards against rates being exchanged without overload control, and against overload control that
// exchanges none.
func TestNewOverload(t *testing.T) {
	for text, enabled := range map[string]bool{"overload_control = no": false, "overload_control = yes": true} {
		s, err := Parse("entry.ini", []byte(minimal+text))
		require.NoError(t, err)
		e := &Entry{settings: s, balancer: relay.NewBalancer("north", rand.NewPCG(1, 1), s.Policy.Relay)}
		overload, rates := e.newOverload()
		require.Equal(t, enabled, overload != nil)
		require.Equal(t, enabled, rates.Own != nil)
		require.Equal(t, enabled, rates.OnPeerRates != nil)
		require.Equal(t, enabled, rates.NearlyShort != nil)
	}
}
