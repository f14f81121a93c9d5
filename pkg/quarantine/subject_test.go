package quarantine

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// Parts of the prompts of these tests. The first part is shared by all requests.
const (
	partFirst   = 1
	partDeadly  = 2
	partSession = 3
	partOther   = 4
)

func parts(n ...uint64) []Fingerprint {
	var out []Fingerprint
	for _, part := range n {
		out = append(out, fingerprint(part))
	}
	return out
}

// Guards against blaming parts that requests share with sound ones, and against sparing the one that
// crashes endpoints because it once did not.
func TestRecordPartCrash_BlamesLeastTrustedPart(t *testing.T) {
	type step struct {
		at     float64
		crash  Incarnation
		served bool
		parts  []Fingerprint
	}
	crashes := func(p []Fingerprint, at ...float64) []step {
		var out []step
		for i, seconds := range at {
			out = append(out, step{seconds, Incarnation(i + 1), false, p})
		}
		return out
	}
	bad := parts(partFirst, partDeadly, partSession)
	for _, test := range []struct {
		name    string
		steps   []step
		blocked []uint64
	}{
		{"two crashes", crashes(bad, 1, 2), nil},
		{"sound requests before", append([]step{{0, 0, true, parts(partFirst, partSession)}}, crashes(bad, 1, 2, 3)...), []uint64{partDeadly}},
		{"it succeeded before, others since", append([]step{{0, 0, true, bad}, {1, 0, true, parts(partFirst, partSession)}}, crashes(bad, 2, 3.1, 4.2)...), []uint64{partDeadly}},
		{"cleared between", append(crashes(bad, 1, 2), step{2.5, 0, true, bad}, step{3, 9, false, bad}), nil},
		{"popular part, failing rack", append([]step{{0, 0, true, parts(partFirst, partOther)}}, crashes(parts(partFirst, partOther), 1, 1.1, 1.2, 1.3)...), nil},
		{"one crash reported twice", append(crashes(bad, 1, 2), step{3, 2, false, bad}), nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := NewList()
			for _, s := range test.steps {
				l.RecordSent(s.parts)
				if s.served {
					l.RecordPartSuccess(s.parts, at(s.at))
					continue
				}
				l.RecordPartCrash(s.parts, s.crash, at(s.at))
			}
			var blocked []uint64
			for part := uint64(1); part <= partOther; part++ {
				if l.Blocks(fingerprint(part)) {
					blocked = append(blocked, part)
				}
			}
			require.Equal(t, test.blocked, blocked)
		})
	}
}

// Guards against blocking a whole route from the start: no request with the first part has succeeded yet,
// and it was at all endpoints that the deadly part crashed, and at one more.
func TestBlocks_PartWithMostCrashesPerAttempt(t *testing.T) {
	l := NewList()
	for n := range Incarnation(4) {
		for range 10 {
			l.RecordSent(parts(partFirst, partOther))
		}
		l.RecordSent(parts(partFirst, partDeadly))
		l.RecordPartCrash(parts(partFirst, partDeadly), n, at(float64(n)))
	}
	l.RecordPartCrash(parts(partFirst, partOther), 9, at(5))
	require.True(t, l.Blocks(fingerprint(partDeadly)))
	require.False(t, l.Blocks(fingerprint(partFirst)))
	require.Equal(t, 1, l.Blocked())
	for n := range Incarnation(MaxCrashes) {
		l.RecordPartCrash(parts(partFirst), 20+n, at(10+float64(n)))
	}
	require.True(t, l.Blocks(fingerprint(partFirst)), "crashes that the other part does not explain")
}

// Guards against releasing a blocked part because one of its requests, sent as a trial, had another part in
// common with two earlier ones, which this node has sent less often.
func TestBlocks_KeepsPartWithMoreCrashes(t *testing.T) {
	l := NewList()
	session, other := parts(partFirst, partDeadly, partSession), parts(partFirst, partDeadly, partOther)
	l.RecordPartCrash(session, 1, at(0))
	l.RecordPartCrash(session, 2, at(0.1))
	l.RecordSent(other)
	l.RecordPartCrash(other, 3, at(1))
	for range 100 {
		l.RecordSent(parts(partFirst))
	}
	l.RecordPartSuccess(parts(partFirst), at(2))
	require.True(t, l.Blocks(fingerprint(partDeadly)))
	l.RecordSent(session)
	l.RecordPartCrash(session, 4, at(32))
	require.True(t, l.Blocks(fingerprint(partDeadly)))
	require.False(t, l.Blocks(fingerprint(partSession)))
}

// A request that merely ran beside the part, at each endpoint that it crashed, must not be blocked.
func TestBlocks_SparesBystanders(t *testing.T) {
	l := NewList()
	bystander := fingerprint(100)
	for n := range Incarnation(MaxCrashes) {
		l.RecordCrash(bystander, n, at(float64(n)))
	}
	require.True(t, l.Blocks(bystander), "nothing else explains the crashes yet")
	for n := range Incarnation(MaxCrashes) {
		l.RecordPartCrash(parts(partDeadly), n, at(float64(n)))
	}
	require.False(t, l.Blocks(bystander))
	require.True(t, l.Blocks(fingerprint(partDeadly)))
}

func TestMerge_PartsOfOtherNodes(t *testing.T) {
	a, b := NewList(), NewList()
	a.RecordPartCrash(parts(partDeadly), 1, at(0))
	b.RecordPartCrash(parts(partDeadly), 2, at(1))
	b.RecordPartCrash(parts(partDeadly), 3, at(2))
	swap(a, b, at(3))
	for _, l := range []*List{a, b} {
		require.True(t, l.Blocks(fingerprint(partDeadly)))
		r, _ := l.Get(fingerprint(partDeadly))
		require.True(t, r.Part)
	}
	b.RecordPartSuccess(parts(partDeadly), at(4))
	swap(a, b, at(5))
	require.False(t, a.Blocks(fingerprint(partDeadly)), "a success lifts it everywhere")
}

// Guards the memory that parts take, however many there are.
func TestRecentParts_Bounded(t *testing.T) {
	l := NewList()
	for n := range uint64(3 * maxRecentParts) {
		l.RecordSent(parts(n))
		l.RecordPartSuccess(parts(n), at(float64(n)))
	}
	require.Len(t, l.parts.parts, maxRecentParts)
	require.Len(t, l.parts.ring, maxRecentParts)
}

// Guards against blocking the part that all requests share in place of the one that crashes endpoints, because the
// order of their fingerprints decided: as traffic starts, with no success yet, both have the same crashes.
func TestBlocks_TieIsNotDecidedByFingerprints(t *testing.T) {
	for _, test := range []struct{ shared, deadly uint64 }{{1, 2}, {2, 1}} {
		sound, bad := parts(test.shared), parts(test.shared, test.deadly)
		shared, deadly := fingerprint(test.shared), fingerprint(test.deadly)
		crash := func(l *List, n int) {
			l.RecordSent(bad)
			l.RecordPartCrash(bad, Incarnation(n), at(float64(n)))
		}
		tied := func(crashes int) *List {
			l := NewList()
			for n := range crashes {
				crash(l, n+1)
			}
			return l
		}
		for crashes := MaxCrashes; crashes < maxTiedCrashes; crashes++ {
			l := tied(crashes)
			require.False(t, l.Blocks(shared) || l.Blocks(deadly), "nothing tells them apart")
			l.RecordPartSuccess(sound, at(10))
			require.False(t, l.Blocks(shared))
			require.True(t, l.Blocks(deadly))
		}
		l := tied(maxTiedCrashes)
		require.True(t, l.Blocks(shared) && l.Blocks(deadly), "the bound on crashes")
		require.False(t, l.StartTrial(deadly, Subject{Parts: bad}, at(6)), "its response would not tell them apart")
		require.False(t, l.StartTrial(shared, Subject{Parts: bad}, at(6)))
		require.True(t, l.StartTrial(shared, Subject{Parts: sound}, at(6)), "at once")
		require.False(t, l.StartTrial(shared, Subject{Parts: sound}, at(6)))
		l.RecordPartSuccess(sound, at(6.1))
		require.False(t, l.Blocks(shared))
		require.True(t, l.Blocks(deadly))

		l = tied(maxTiedCrashes)
		l.RecordPartCrash(parts(test.deadly), 9, at(9))
		require.False(t, l.Blocks(shared), "one more crash tells")
		require.True(t, l.Blocks(deadly))
	}
}

// Guards against a tie that the order of fingerprints, or of the rows read back, decides after all nodes have restarted: they
// know the crashes from the table and nothing else.
func TestBlocks_TieAfterRestartOfAllNodes(t *testing.T) {
	for _, test := range []struct {
		shared, deadly uint64
		sharedFirst    bool
	}{{1, 2, true}, {1, 2, false}, {2, 1, true}, {2, 1, false}} {
		sound, bad := parts(test.shared), parts(test.shared, test.deadly)
		shared, deadly := fingerprint(test.shared), fingerprint(test.deadly)
		restarted := func(crashes int) *List {
			before := NewList()
			for n := range crashes {
				before.RecordSent(bad)
				before.RecordPartCrash(bad, Incarnation(n+1), at(float64(n)))
			}
			rows, _ := before.Unstored(MaxCrashes-1, 10)
			require.Len(t, rows, 2)
			if (rows[0].Fingerprint == shared) != test.sharedFirst {
				slices.Reverse(rows)
			}
			after := NewList()
			for _, row := range rows {
				for i := range row.Crashes {
					// A row does not have the times of the crashes.
					row.Crashes[i].At = at(10)
				}
				after.Merge([]Record{row}, at(10))
			}
			after.MarkStored(rows)
			return after
		}
		requireTold := func(l *List) {
			t.Helper()
			require.False(t, l.Blocks(shared))
			require.True(t, l.Blocks(deadly))
		}
		for crashes := MaxCrashes; crashes < maxTiedCrashes; crashes++ {
			l := restarted(crashes)
			require.False(t, l.Blocks(shared) || l.Blocks(deadly), "nothing tells them apart")
			l.RecordPartSuccess(sound, at(11))
			requireTold(l)

			l = restarted(crashes)
			l.RecordSent(bad)
			l.RecordPartCrash(bad, 9, at(11))
			require.Equal(t, crashes+1 >= maxTiedCrashes, l.Blocks(shared) && l.Blocks(deadly), "a crash of both parts tells nothing")
			l.RecordPartCrash(parts(test.deadly), 10, at(12))
			requireTold(l)
		}
		l := restarted(maxTiedCrashes)
		require.True(t, l.Blocks(shared) && l.Blocks(deadly), "the bound on crashes")
		require.False(t, l.StartTrial(deadly, Subject{Parts: bad}, at(11)), "its response would not tell them apart")
		require.True(t, l.StartTrial(shared, Subject{Parts: sound}, at(11)), "at once")
		l.RecordPartSuccess(sound, at(11.1))
		requireTold(l)
	}
}

// Two parts that crash different endpoints are not tied, so neither gets a trial at once.
func TestTrialAllowed_IgnoresUnrelatedParts(t *testing.T) {
	l := NewList()
	for n := range maxTiedCrashes {
		l.RecordPartCrash(parts(partDeadly), Incarnation(n), at(float64(n)))
		l.RecordPartCrash(parts(partOther), Incarnation(100+n), at(float64(n)))
	}
	require.True(t, l.Blocks(fingerprint(partDeadly)))
	require.False(t, l.StartTrial(fingerprint(partDeadly), Subject{Parts: parts(partDeadly)}, at(5)))
}
