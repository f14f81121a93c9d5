package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/peers"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
	"github.com/ridgehinge/ridgehinge/pkg/membership"
	"github.com/ridgehinge/ridgehinge/pkg/quarantine"
)

// A caller may retry a crashing request at any node, so the quarantine of one node must
// reach all nodes of its own and other data centres, including restarted ones.
func TestQuarantine_ReachesAllNodes(t *testing.T) {
	for _, dataCentre := range []fleet.DataCentre{"dc", "another"} {
		t.Run(string(dataCentre), func(t *testing.T) {
			now := time.Now()
			f := quarantine.Fingerprint{1}
			sender := newTestLoop(0)
			var crashes []quarantine.Crash
			for crashed := range quarantine.Incarnation(quarantine.MaxCrashes) {
				crashes = append(crashes, quarantine.Crash{Incarnation: crashed, At: now})
			}
			sender.options.Quarantine.Merge([]quarantine.Record{{Fingerprint: f, Crashes: crashes}}, "test", now)
			for incarnation := range uint64(2) {
				receiver := newTestLoop(1)
				receiver.options.Incarnation += incarnation
				receiver.options.Self.DataCentre = dataCentre
				request := receiver.buildMessage(now, sender.options.Self.ID, 0, 0)
				if dataCentre != sender.options.Self.DataCentre {
					request = receiver.buildRemoteMessage(now, sender.options.Self.ID, 0)
				}
				request.Beat.Incarnation = receiver.options.Incarnation
				receiver.applyQuarantineDelta(now, exchangeWithLoop(sender, request, now))
				_, allowed := receiver.options.Quarantine.Allowed(quarantine.Subject{Content: f}, now)
				require.False(t, allowed)
				next := receiver.buildRemoteMessage(now, sender.options.Self.ID, 0)
				next.Beat.Incarnation = receiver.options.Incarnation
				require.Empty(t, exchangeWithLoop(sender, next, now).GetQuarantine().GetRecords(), "records that the peer has received are not sent again")
			}
		})
	}
}

// exchangeWithLoop sends a message to a loop and returns its response.
func exchangeWithLoop(l *Loop, m *peers.Message, now time.Time) *peers.Message {
	e := exchangeRequest{m, make(chan *peers.Message, 1)}
	e.apply(l, now)
	return <-e.reply
}

// The state for removed nodes must not accumulate.
func TestQuarantine_ForgetsRemovedNodes(t *testing.T) {
	l := newTestLoop(0)
	now := time.Now()
	l.quarantineSyncOf(now, membership.NodeID("gone"))
	l.expireQuarantineSyncs(now.Add(quarantineSyncTTL))
	require.Len(t, l.quarantineSyncs, 1)
	l.expireQuarantineSyncs(now.Add(2 * quarantineSyncTTL))
	require.Empty(t, l.quarantineSyncs)
}
