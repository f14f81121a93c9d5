package quarantine

import (
	"encoding/binary"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func content(n uint64) Fingerprint {
	var f Fingerprint
	binary.LittleEndian.PutUint64(f[:], n)
	return f
}

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func blocked(l *List, n uint64) bool {
	r, known := l.Get(content(n))
	return known && r.Blocked()
}

func TestWhichRequestsAreNotSent(t *testing.T) {
	type step struct {
		at     float64
		end    Incarnation
		served bool
	}
	for _, test := range []struct {
		name  string
		steps []step
		want  bool
	}{
		{"two ends", []step{{0, 1, false}, {1, 2, false}}, false},
		{"three ends", []step{{0, 1, false}, {1, 2, false}, {2, 3, false}}, true},
		{"three at one moment, of one request at several nodes", []step{{0, 1, false}, {0, 2, false}, {0, 3, false}}, true},
		{"one end told three times", []step{{0, 1, false}, {1, 1, false}, {2, 1, false}}, false},
		{"served between", []step{{0, 1, false}, {1, 2, false}, {1.5, 0, true}, {2, 3, false}}, false},
		{"popular, and a rack fails", []step{{0, 0, true}, {1, 1, false}, {1, 2, false}, {1.2, 3, false}, {1.4, 4, false}}, false},
		{"popular, and endpoints go on ending under it", []step{{0, 0, true}, {1, 1, false}, {2.5, 2, false}, {4, 3, false}}, true},
		{"popular, with ends long ago", []step{{0, 1, false}, {1, 2, false}, {2, 0, true}, {3, 3, false}, {4.5, 4, false}, {5, 0, true}, {9, 5, false}}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := NewList()
			for _, s := range test.steps {
				if s.served {
					l.RecordSuccess(content(1), at(s.at))
					continue
				}
				l.RecordCrash(content(1), s.end, at(s.at))
			}
			require.Equal(t, test.want, blocked(l, 1))
			require.False(t, blocked(l, 2))
		})
	}
}

// swap tells each list what has changed in the other.
func swap(a, b *List, now time.Time) {
	fromA, _ := a.Changes(0, maxRecords)
	fromB, _ := b.Changes(0, maxRecords)
	a.Merge(fromB, now)
	b.Merge(fromA, now)
}

// Each of three nodes saw one end. What they tell each other counts once, in any order.
func TestEndsThatDifferentNodesSawCountTogether(t *testing.T) {
	lists := []*List{NewList(), NewList(), NewList()}
	for i, l := range lists {
		l.RecordCrash(content(1), Incarnation(i+1), at(float64(i)))
	}
	swap(lists[0], lists[1], at(3))
	swap(lists[0], lists[1], at(3))
	require.False(t, blocked(lists[0], 1))
	swap(lists[1], lists[2], at(3))
	require.True(t, blocked(lists[2], 1))
	swap(lists[0], lists[2], at(3))
	for _, l := range lists {
		require.True(t, blocked(l, 1))
	}
}

// A node that has served a request tells those that only saw it at endpoints that ended.
func TestThatARequestWasServedClearsItEverywhere(t *testing.T) {
	saw, served := NewList(), NewList()
	served.RecordSuccess(content(1), at(0))
	for i := range 3 {
		saw.RecordCrash(content(1), Incarnation(i+1), at(1))
	}
	require.True(t, blocked(saw, 1))
	swap(saw, served, at(1.1))
	swap(saw, served, at(1.2))
	require.False(t, blocked(saw, 1), "three at one moment, of a request that was served before")
	served.RecordSuccess(content(1), at(2))
	swap(saw, served, at(2.1))
	r, _ := saw.Get(content(1))
	require.Empty(t, r.Crashes)
	require.Equal(t, at(2), r.Served)
}

func TestNewsIsToldOnceAndTheWorstFirst(t *testing.T) {
	l := NewList()
	for i := range uint64(10) {
		l.RecordCrash(content(i), 1, at(float64(i)))
	}
	l.RecordCrash(content(7), 2, at(20))
	told, until := l.Changes(0, 4)
	require.Equal(t, content(7), told[0].Fingerprint)
	require.Len(t, told, 4)
	seen := map[Fingerprint]bool{}
	for range 10 {
		for _, r := range told {
			seen[r.Fingerprint] = true
		}
		told, until = l.Changes(until, 4)
	}
	require.Len(t, seen, 10)
	require.Empty(t, told)
	other := NewList()
	all, _ := l.Changes(0, maxRecords)
	other.Merge(all, at(21))
	_, version := other.Changes(0, maxRecords)
	other.Merge(all, at(22))
	told, _ = other.Changes(version, maxRecords)
	require.Empty(t, told, "what was known is no news")
}

// A rack that fails twice leaves more contents with two ends than a message holds. Told by
// their ends alone, the same ones were told for as long as they were kept, 4 KB a message,
// and what had changed before them never: ends of another request that several nodes had
// seen did not count together, and nobody heard what was served since.
func TestManyWithTwoEndsKeepNoNewsBack(t *testing.T) {
	const inMessage = 4
	l := NewList()
	l.RecordCrash(content(100), 1, at(0))
	l.RecordCrash(content(101), 1, at(0))
	l.RecordSuccess(content(101), at(1))
	for incarnation := range Incarnation(2) {
		for i := range uint64(5 * inMessage) {
			l.RecordCrash(content(i), incarnation, at(2+float64(incarnation)))
		}
	}
	seen := map[Fingerprint]bool{}
	told, until := l.Changes(0, inMessage)
	messages := 0
	for ; len(told) > 0; messages++ {
		require.Less(t, messages, 3*5*inMessage, "the news has no end")
		for _, r := range told {
			seen[r.Fingerprint] = true
		}
		told, until = l.Changes(until, inMessage)
	}
	require.Len(t, seen, 5*inMessage+2)
	t.Logf("%d contents in %d messages of %d", len(seen), messages, inMessage)
}

// One request is sent from quarantine after a while, since an outage may have ended the
// endpoints. Served, it is free everywhere; else none is sent again.
func TestOneRequestIsTriedAfterAWhile(t *testing.T) {
	l := NewList()
	for i := range 3 {
		l.RecordCrash(content(1), Incarnation(i+1), at(0))
	}
	require.False(t, l.StartTrial(content(1), at(1)))
	require.True(t, l.StartTrial(content(1), at(31)))
	require.False(t, l.StartTrial(content(1), at(32)))
	other := NewList()
	swap(l, other, at(32))
	require.False(t, other.StartTrial(content(1), at(100)))
	l.RecordSuccess(content(1), at(33))
	swap(l, other, at(33))
	require.False(t, blocked(other, 1))
	require.False(t, l.StartTrial(content(2), at(100)), "nothing is known of it")
}

func TestWhatTheTableIsToHold(t *testing.T) {
	l := NewList()
	l.RecordCrash(content(1), 1, at(0))
	write, remove := l.Unstored(MaxCrashes-1, 10)
	require.Empty(t, write)
	require.Empty(t, remove)
	l.RecordCrash(content(1), 2, at(1))
	write, _ = l.Unstored(MaxCrashes-1, 10)
	require.Len(t, write, 1)
	l.MarkStored(write)
	write, _ = l.Unstored(MaxCrashes-1, 10)
	require.Empty(t, write)
	l.RecordCrash(content(1), 3, at(2))
	write, _ = l.Unstored(MaxCrashes-1, 10)
	require.Len(t, write, 1)
	l.MarkStored(write)
	l.RecordCrash(content(1), 4, at(3))
	write, _ = l.Unstored(MaxCrashes-1, 10)
	require.Empty(t, write, "that it is blocked is there already")
	require.True(t, l.StartTrial(content(1), at(60)))
	write, _ = l.Unstored(MaxCrashes-1, 10)
	require.Len(t, write, 1, "that it was tried must last")
	l.MarkStored(write)
	l.RecordSuccess(content(1), at(61))
	write, remove = l.Unstored(MaxCrashes-1, 10)
	require.Empty(t, write)
	require.Equal(t, []Fingerprint{content(1)}, remove)
	l.MarkRemoved(remove)
	_, remove = l.Unstored(MaxCrashes-1, 10)
	require.Empty(t, remove)
}

func TestRecordsEnd(t *testing.T) {
	l := NewList()
	l.RecordCrash(content(1), 1, at(0))
	l.RecordCrash(content(1), 2, at(1))
	write, _ := l.Unstored(MaxCrashes-1, 10)
	l.MarkStored(write)
	l.RecordCrash(content(2), 1, at(0))
	l.RecordSuccess(content(2), at(1))
	require.Empty(t, l.Expire(at(2)))
	require.Equal(t, 2, l.Len())
	require.Empty(t, l.Expire(at(1).Add(clearedFor+time.Second)))
	require.Equal(t, 1, l.Len())
	require.Equal(t, []Fingerprint{content(1)}, l.Expire(at(1).Add(keepFor+time.Second)))
	require.Zero(t, l.Len())
	l.RecordCrash(content(2), 3, at(90))
	r, _ := l.Get(content(2))
	require.False(t, r.Served.IsZero(), "that it was served is still known")
}

// A flood of requests that ended nothing three times must neither grow the list without
// bound nor push out those that did.
func TestAFloodStaysWithinItsBounds(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	l := NewList()
	for incarnation := range Incarnation(3) {
		l.RecordCrash(content(1), incarnation, at(0))
	}
	const flood = 20 * maxRecords
	for i := range uint64(flood) {
		l.RecordCrash(content(i+10), 1, at(1))
		l.RecordSuccess(content(i+10+flood), at(1))
		l.RecordCrash(content(i+10), 2, at(1))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	require.True(t, blocked(l, 1))
	require.LessOrEqual(t, l.Len(), maxRecords)
	require.Len(t, l.served.times, servedKept)
	took := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d records and %d contents served: %d KB", l.Len(), len(l.served.times), took>>10)
	require.Less(t, took, int64(4<<20))
	told, _ := l.Changes(0, 100)
	require.Equal(t, content(1), told[0].Fingerprint, "the worst is told first")
	runtime.KeepAlive(l)
}
