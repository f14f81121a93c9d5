package quarantine

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// rackFailure records a success and then the given number of crashes within half a second.
func rackFailure(l *List, crashes int) {
	l.RecordSuccess(fingerprint(1), at(0))
	for i := range crashes {
		l.RecordCrash(fingerprint(1), Incarnation(i+1), at(1+0.5*float64(i)/float64(crashes)))
	}
}

// A rack failure under a popular request must not hide the crashes that it causes later.
func TestList_BlocksAfterBurstsThatFollowRackFailure(t *testing.T) {
	for _, crashes := range []int{1, 2, 7, 8, 9, 40} {
		l := NewList()
		rackFailure(l, crashes)
		require.False(t, blocked(l, 1), "%d crashes in one burst", crashes)
		require.True(t, l.RecordCrash(fingerprint(1), 100, at(3)))
		require.False(t, blocked(l, 1))
		require.True(t, l.RecordCrash(fingerprint(1), 101, at(5)))
		require.True(t, blocked(l, 1), "%d crashes in the first burst", crashes)
		r, _ := l.Get(fingerprint(1))
		require.LessOrEqual(t, len(r.Crashes), maxCrashesKept)
		require.Equal(t, at(5), r.lastCrash())
	}
}

// Nodes that saw different crashes of the bursts must agree that the request is blocked, and stop
// sending each other changes.
func TestMerge_FullRecordsConverge(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		lists := []*List{NewList(), NewList(), NewList()}
		for _, l := range lists {
			l.RecordSuccess(fingerprint(1), at(0))
		}
		for i := range 40 {
			burst := float64(random.IntN(4))
			lists[random.IntN(3)].RecordCrash(fingerprint(1), Incarnation(i+1), at(1+2*burst+random.Float64()/2))
		}
		for range 5 {
			for i := range lists {
				swap(lists[i], lists[(i+1)%3], at(20))
			}
		}
		var versions []uint64
		for _, l := range lists {
			require.True(t, blocked(l, 1))
			versions = append(versions, l.version)
		}
		for i := range lists {
			swap(lists[i], lists[(i+1)%3], at(21))
			require.Equal(t, versions[i], lists[i].version, "nothing is new any more")
		}
	}
}
