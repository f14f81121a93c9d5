package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/ridgehinge/ridgehinge/internal/delta"
	qlist "github.com/ridgehinge/ridgehinge/pkg/quarantine"
)

// What a request is known by, when endpoints ended and when it was served reach the other
// node as they were, whatever its clock says.
func TestDelta_RoundTripsRecords(t *testing.T) {
	here, there := time.Unix(5000, 0), time.Unix(90, 0)
	told := []qlist.Record{
		{Fingerprint: qlist.Fingerprint{1}, Crashes: []qlist.Crash{{Incarnation: 1 << 63, At: here.Add(-time.Second)}}, TrialUsed: true},
		{Fingerprint: qlist.Fingerprint{2}, Served: here.Add(-time.Minute)},
	}
	heard := fromWire(toWire(told, here), there)
	require.Equal(t, []qlist.Record{
		{Fingerprint: qlist.Fingerprint{1}, Crashes: []qlist.Crash{{Incarnation: 1 << 63, At: there.Add(-time.Second)}}, TrialUsed: true},
		{Fingerprint: qlist.Fingerprint{2}, Served: there.Add(-time.Minute)},
	}, heard)
	broken := toWire(told[:1], here)
	broken[0].Fingerprint = broken[0].Fingerprint[:3]
	require.Empty(t, fromWire(broken, there))
}

// What the news of the quarantine adds to a message: 4,352 bytes if it is full.
func TestDelta_BytesOfQuarantineRecords(t *testing.T) {
	now := time.Now()
	q := NewQuarantine(nobody)
	var known []qlist.Record
	for content := range byte(2 * maxDeltaRecords) {
		r := qlist.Record{Fingerprint: qlist.Fingerprint{content}, Served: now.Add(-time.Hour)}
		for incarnation := range qlist.Incarnation(qlist.MaxCrashes) {
			r.Crashes = append(r.Crashes, qlist.Crash{Incarnation: 1<<63 + incarnation, At: now.Add(-time.Minute)})
		}
		known = append(known, r)
	}
	q.Merge(known, "test", now)
	told := q.Delta(&delta.Cursor{}, now)
	t.Logf("%d bytes of a message with %d records of three ends", proto.Size(told), len(told.GetRecords()))
	require.Len(t, told.GetRecords(), maxDeltaRecords)
	require.LessOrEqual(t, proto.Size(told), 5<<10)
}

// Two nodes tell each other what each has seen, once, also after one of them has begun anew.
func TestDelta_SpreadsQuarantineRecords(t *testing.T) {
	now := time.Now()
	north, south := NewQuarantine(nobody), NewQuarantine(nobody)
	var ofNorth, ofSouth delta.Cursor
	exchange := func() (told int) {
		word := north.Delta(&ofSouth, now)
		south.ApplyDelta(&ofNorth, word, "north", now)
		answer := south.Delta(&ofNorth, now)
		north.ApplyDelta(&ofSouth, answer, "south", now)
		return len(word.GetRecords()) + len(answer.GetRecords())
	}
	f := qlist.Fingerprint{1}
	north.ended(f, 1, "e1", now)
	north.ended(f, 2, "e2", now)
	south.ended(f, 3, "e3", now)
	exchange()
	for _, q := range []*Quarantine{north, south} {
		_, admitted := q.Allowed(f, now)
		require.False(t, admitted)
	}
	exchange()
	require.Zero(t, exchange(), "what is known is not told again")
	south, ofSouth, ofNorth = NewQuarantine(nobody), delta.Cursor{}, delta.Cursor{}
	exchange()
	_, admitted := south.Allowed(f, now)
	require.False(t, admitted)
}
