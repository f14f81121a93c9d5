package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/groupcontrol"
	"github.com/ridgehinge/ridgehinge/internal/link"
	"github.com/ridgehinge/ridgehinge/internal/relay"
	"github.com/ridgehinge/ridgehinge/pkg/health"
)

// minimal has only the required settings.
const minimal = `
[interface]
kind = platform
[node]
name = n
data_centre = north
data_centres = north,south
[listen]
callers = 127.0.0.1:1
ready = 127.0.0.1:2
peers = 127.0.0.1:3
metrics = 127.0.0.1:4
[peers]
key = 0123456789abcdef
[store]
address = 127.0.0.1:5
[policy]
`

func TestParse_PolicySettings(t *testing.T) {
	s, err := Parse("entry.ini", []byte(minimal))
	require.NoError(t, err)
	require.Equal(t, groupcontrol.DefaultWeights, s.Policy.Groups)
	require.Equal(t, relay.DefaultWeights, s.Policy.Relay)
	require.Equal(t, defaultLeaseOutageExtension, s.Policy.LeaseOutageExtension)

	s, err = Parse("entry.ini", []byte(minimal+"lease_outage = 0s\nheadroom = 2\ncut_off = no\nendpoint_pause = 1s\n"))
	require.NoError(t, err)
	require.Zero(t, s.Policy.LeaseOutageExtension)
	require.InDelta(t, 2, s.Policy.Groups.Headroom, 0)
	require.False(t, s.Policy.Relay.SkipUnreachable)
	require.Equal(t, time.Second, s.Policy.watchOptions().EndpointPause)

	s, err = Parse("entry.ini", []byte(minimal+"failures = suspect\nshared_events = no\nobserved_pace = no\ncorrected_demand = no\nshare_nodes = 4\nfirst_offset = yes\nfree_weight = yes\n"))
	require.NoError(t, err)
	require.Equal(t, health.Suspect, s.Policy.Relay.Failures)
	require.False(t, s.Policy.Relay.SharedEvents)
	require.False(t, s.Policy.Relay.ObservedPace)
	require.True(t, s.Policy.Relay.FirstOffset)
	require.True(t, s.Policy.Relay.FreeWeight)
	require.False(t, s.Policy.Groups.CorrectForLateness)
	require.Equal(t, 4, s.Policy.FullRateNodes)

	s, err = Parse("entry.ini", []byte(minimal+"affinity = 8\nconnection_bound = yes\ncaller_weight = 0.5\npack_domains = yes\nrecheck_dead = yes\n"))
	require.NoError(t, err)
	require.InDelta(t, 8, s.Policy.Relay.Affinity, 0)
	require.True(t, s.Policy.Relay.ConnectionBound)
	require.InDelta(t, 0.5, s.Policy.Groups.CallerWeight, 0)
	require.True(t, s.Policy.Groups.PackDomains)
	require.True(t, s.Policy.RecheckDead)
}

func TestParse_SilenceSetting(t *testing.T) {
	s, err := Parse("entry.ini", []byte(minimal))
	require.NoError(t, err)
	require.Equal(t, link.DefaultSilenceTimeout, s.Silence)
	s, err = Parse("entry.ini", []byte(minimal+"[timing]\nsilence = 3s\n"))
	require.NoError(t, err)
	require.Equal(t, 3*time.Second, s.Silence)
	_, err = Parse("entry.ini", []byte(minimal+"[timing]\nsilence = 100ms\n"))
	require.ErrorContains(t, err, "silence")
}

func TestParse_RejectsInvalidPolicy(t *testing.T) {
	for _, wrong := range []string{"headroom = 0.5", "headroom = many", "home_weight = 2", "caller_weight = 1.5", "pack_domains = 2", "recheck_dead = 1s", "takeover_gain = -1", "late_factor = 0", "overload_return = 0s", "across_domains = maybe", "lease_outage = 2h", "headrom = 2", "failures = sometimes", "shared_events = perhaps", "observed_pace = 2", "corrected_demand = 0.5", "share_nodes = 0", "first_offset = 20ms", "free_weight = 2"} {
		t.Run(wrong, func(t *testing.T) {
			_, err := Parse("entry.ini", []byte(minimal+wrong))
			require.ErrorContains(t, err, "policy")
			require.ErrorContains(t, err, "entry.ini")
		})
	}
}
