package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/ridgehinge/ridgehinge/internal/delta"
	qlist "github.com/ridgehinge/ridgehinge/pkg/quarantine"
)

// Fingerprints, crashes and successes must reach a peer unchanged, whatever its clock shows.
func TestDelta_RoundTripsRecords(t *testing.T) {
	here, there := time.Unix(5000, 0), time.Unix(90, 0)
	sent := []qlist.Record{
		{Fingerprint: qlist.Fingerprint{1}, Crashes: []qlist.Crash{{Incarnation: 1 << 63, At: here.Add(-time.Second)}}, TrialUsed: true},
		{Fingerprint: qlist.Fingerprint{2}, Served: here.Add(-time.Minute)},
	}
	received := fromWire(toWire(sent, here), there)
	require.Equal(t, []qlist.Record{
		{Fingerprint: qlist.Fingerprint{1}, Crashes: []qlist.Crash{{Incarnation: 1 << 63, At: there.Add(-time.Second)}}, TrialUsed: true},
		{Fingerprint: qlist.Fingerprint{2}, Served: there.Add(-time.Minute)},
	}, received)
	broken := toWire(sent[:1], here)
	broken[0].Fingerprint = broken[0].Fingerprint[:3]
	require.Empty(t, fromWire(broken, there))
}

// Guards the size that quarantine records add to a message.
func TestDelta_BoundsMessageBytes(t *testing.T) {
	now := time.Now()
	q := NewQuarantine(noTrials)
	var records []qlist.Record
	for n := range byte(2 * maxDeltaRecords) {
		r := qlist.Record{Fingerprint: qlist.Fingerprint{n}, Served: now.Add(-time.Hour)}
		for incarnation := range qlist.Incarnation(qlist.MaxCrashes) {
			r.Crashes = append(r.Crashes, qlist.Crash{Incarnation: 1<<63 + incarnation, At: now.Add(-time.Minute)})
		}
		records = append(records, r)
	}
	q.Merge(records, "test", now)
	sent := q.Delta(&delta.Cursor{}, now)
	t.Logf("%d bytes in a message with %d records of three crashes", proto.Size(sent), len(sent.GetRecords()))
	require.Len(t, sent.GetRecords(), maxDeltaRecords)
	require.LessOrEqual(t, proto.Size(sent), 5<<10)
}

// Each record is sent to a peer once, and again after the peer restarted.
func TestDelta_SynchronizesPeers(t *testing.T) {
	now := time.Now()
	north, south := NewQuarantine(noTrials), NewQuarantine(noTrials)
	var fromNorth, fromSouth delta.Cursor
	exchange := func() (sent int) {
		request := north.Delta(&fromSouth, now)
		south.ApplyDelta(&fromNorth, request, "north", now)
		answer := south.Delta(&fromNorth, now)
		north.ApplyDelta(&fromSouth, answer, "south", now)
		return len(request.GetRecords()) + len(answer.GetRecords())
	}
	f := qlist.Fingerprint{1}
	north.addCrash(qlist.Subject{Content: f}, 1, "e1", now)
	north.addCrash(qlist.Subject{Content: f}, 2, "e2", now)
	south.addCrash(qlist.Subject{Content: f}, 3, "e3", now)
	exchange()
	for _, q := range []*Quarantine{north, south} {
		_, admitted := q.Allowed(qlist.Subject{Content: f}, now)
		require.False(t, admitted)
	}
	exchange()
	require.Zero(t, exchange(), "known records are not sent again")
	south, fromSouth, fromNorth = NewQuarantine(noTrials), delta.Cursor{}, delta.Cursor{}
	exchange()
	_, admitted := south.Allowed(qlist.Subject{Content: f}, now)
	require.False(t, admitted)
}
