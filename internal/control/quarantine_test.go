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

// A request that ends endpoints comes again at any node. What one node has found reaches
// those of its own data centre and of others, also a node that has begun anew.
func TestRequestsThatEndEndpointsAreToldToAllNodes(t *testing.T) {
	for _, dataCentre := range []fleet.DataCentre{"dc", "another"} {
		t.Run(string(dataCentre), func(t *testing.T) {
			now := time.Now()
			f := quarantine.Fingerprint{1}
			teller := newBenchLoop(0)
			var ends []quarantine.Crash
			for life := range quarantine.Incarnation(quarantine.MaxCrashes) {
				ends = append(ends, quarantine.Crash{Incarnation: life, At: now})
			}
			teller.options.Quarantine.Merge([]quarantine.Record{{Fingerprint: f, Crashes: ends}}, "test", now)
			for incarnation := range uint64(2) {
				hearer := newBenchLoop(1)
				hearer.options.Incarnation += incarnation
				hearer.options.Self.DataCentre = dataCentre
				asked := hearer.message(now, teller.options.Self.ID, 0, 0)
				if dataCentre != teller.options.Self.DataCentre {
					asked = hearer.remoteMessage(now, teller.options.Self.ID, 0)
				}
				asked.Beat.Incarnation = hearer.options.Incarnation
				hearer.takeNews(now, answerOf(teller, asked, now))
				_, admitted := hearer.options.Quarantine.Allowed(f, now)
				require.False(t, admitted)
				again := hearer.remoteMessage(now, teller.options.Self.ID, 0)
				again.Beat.Incarnation = hearer.options.Incarnation
				require.Empty(t, answerOf(teller, again, now).GetQuarantine().GetRecords(), "what was heard is not told again")
			}
		})
	}
}

// answerOf returns what a loop answers a peer.
func answerOf(l *Loop, m *peers.Message, now time.Time) *peers.Message {
	e := exchangeEvent{m, make(chan *peers.Message, 1)}
	e.apply(l, now)
	return <-e.reply
}

// What was told to nodes that are gone is forgotten.
func TestNewsOfNodesThatAreGoneIsForgotten(t *testing.T) {
	l := newBenchLoop(0)
	now := time.Now()
	l.newsOf(now, membership.NodeID("gone"))
	l.forgetNews(now.Add(newsKept))
	require.Len(t, l.news, 1)
	l.forgetNews(now.Add(2 * newsKept))
	require.Empty(t, l.news)
}
