package lease

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const ttl = 4 * time.Second

var start = time.Unix(1000, 0)

func machine(self string) *Machine {
	return New(Options{Self: self, TTL: ttl, RenewInterval: time.Second, Guard: time.Second})
}

func at(d time.Duration) time.Time { return start.Add(d) }

// acquired returns a machine that acquired an absent row at the start.
func acquired(t *testing.T) *Machine {
	t.Helper()
	m := machine("a")
	require.Equal(t, ActionRead, m.Next(start).Kind)
	m.ReadDone(start, Row{}, 0)
	action := m.Next(at(time.Second))
	require.Equal(t, ActionAcquire, action.Kind)
	require.Equal(t, uint64(1), action.Row.Epoch)
	m.WriteDone(at(time.Second), action.Row, 1, true)
	return m
}

func TestHoldEndsOnItsOwnClock(t *testing.T) {
	m := acquired(t)
	for _, c := range []struct {
		at   time.Duration
		want bool
	}{
		{time.Second, true},
		{time.Second + ttl - time.Second - 1, true},
		// The guard before the others' limit: the holder stops first.
		{time.Second + ttl - time.Second, false},
		{time.Hour, false},
	} {
		_, held := m.Held(at(c.at))
		assert.Equal(t, c.want, held, "after %s", c.at)
	}
}

func TestRenewalCountsFromTheAsking(t *testing.T) {
	m := acquired(t)
	action := m.Next(at(2 * time.Second))
	require.Equal(t, ActionRenew, action.Kind)
	// The answer comes 2 s after the asking, which buys nothing.
	m.WriteDone(at(2*time.Second), action.Row, 2, true)
	_, held := m.Held(at(5*time.Second - 1))
	assert.True(t, held)
	_, held = m.Held(at(5 * time.Second))
	assert.False(t, held)
}

func TestOthersWaitForTheRowToRest(t *testing.T) {
	m := machine("b")
	m.Next(start)
	m.ReadDone(start, Row{Epoch: 3, Holder: "a", Renewals: 1}, 7)
	assert.Equal(t, ActionRead, m.Next(at(3*time.Second)).Kind)
	// The holder has renewed: the wait begins anew.
	m.ReadDone(at(3*time.Second), Row{Epoch: 3, Holder: "a", Renewals: 2}, 8)
	assert.Equal(t, ActionRead, m.Next(at(5*time.Second)).Kind)
	m.ReadDone(at(5*time.Second), Row{Epoch: 3, Holder: "a", Renewals: 2}, 8)
	action := m.Next(at(7*time.Second + 1))
	assert.Equal(t, Action{Kind: ActionAcquire, Row: Row{Epoch: 4, Holder: "b"}, Version: 8}, action)
}

func TestReleasedIsTakenAtOnce(t *testing.T) {
	m := machine("b")
	m.Next(start)
	m.ReadDone(start, Row{Epoch: 3, Holder: "a", Released: true}, 9)
	assert.Equal(t, ActionAcquire, m.Next(at(time.Second)).Kind)
}

func TestLostRaceIsNoHold(t *testing.T) {
	m := acquired(t)
	action := m.Next(at(2 * time.Second))
	m.WriteDone(at(2*time.Second), action.Row, 0, false)
	_, held := m.Held(at(2 * time.Second))
	assert.False(t, held)
	assert.Equal(t, ActionRead, m.Next(at(2*time.Second)).Kind)
}

// A node that restarts under its old name reads its own name in the row; that
// was an earlier life, and is no hold.
func TestOwnNameFromAnEarlierLife(t *testing.T) {
	m := machine("a")
	m.Next(start)
	m.ReadDone(start, Row{Epoch: 5, Holder: "a"}, 4)
	_, held := m.Held(start)
	assert.False(t, held)
}

func TestRelease(t *testing.T) {
	m := acquired(t)
	action, held := m.Release(at(2 * time.Second))
	require.True(t, held)
	assert.True(t, action.Row.Released)
	_, held = m.Held(at(2 * time.Second))
	assert.False(t, held)
}

func TestAHolderThatSpeaksKeepsTheLeaseFromLapsing(t *testing.T) {
	start := time.Unix(0, 0)
	m := New(Options{Self: "b", TTL: time.Second, RenewInterval: 100 * time.Millisecond, Guard: 100 * time.Millisecond})
	require.Equal(t, ActionRead, m.Next(start).Kind)
	m.ReadDone(start, Row{Epoch: 1, Holder: "a"}, 7)
	for i := 1; i <= 30; i++ {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		require.Equal(t, ActionRead, m.Next(now).Kind)
		m.ObserveHolder(now)
	}
	last := start.Add(3 * time.Second)
	require.Equal(t, ActionRead, m.Next(last.Add(900*time.Millisecond)).Kind)
	m.StoreUnavailable()
	require.Equal(t, ActionAcquire, m.Next(last.Add(1100*time.Millisecond)).Kind)
}

// All nodes lose power at once and start again: the holder's own next life need
// not wait for the lease of the last one. For two seconds nobody controlled a data centre.
func TestTheNextLifeOfTheHolderTakesOverAtOnce(t *testing.T) {
	held := Row{Epoch: 7, Holder: "node/first", Renewals: 3}
	earlier := func(self string) func(string) bool {
		return func(holder string) bool { return holder != self && strings.HasPrefix(holder, "node/") }
	}
	for _, c := range []struct {
		self string
		kind ActionKind
	}{
		{"node/second", ActionAcquire},
		{"other/first", ActionNone},
		{"node/first", ActionNone},
	} {
		m := New(Options{Self: c.self, TTL: ttl, RenewInterval: time.Second, Guard: time.Second})
		if strings.HasPrefix(c.self, "node/") {
			m.options.IsEarlierIncarnation = earlier(c.self)
		}
		require.Equal(t, ActionRead, m.Next(start).Kind)
		m.ReadDone(at(time.Millisecond), held, 11)
		action := m.Next(at(2 * time.Millisecond))
		require.Equal(t, c.kind, action.Kind, c.self)
		if c.kind == ActionAcquire {
			require.EqualValues(t, 8, action.Row.Epoch)
			require.EqualValues(t, 11, action.Version)
		}
	}
}

// A holder that the table does not answer goes on for the time allowed, and
// ends at once when it hears of another.
func TestAHolderGoesOnWhileTheTableDoesNotAnswer(t *testing.T) {
	held := func(m *Machine, after time.Duration) bool {
		_, held := m.Held(at(after))
		return held
	}
	for _, c := range []struct {
		name    string
		outage  time.Duration
		failing bool
		want    bool
	}{
		{"without an allowance", 0, true, false},
		{"while the table does not answer", time.Minute, true, true},
		// A process that was frozen has not failed to renew: it has not tried.
		{"without a try", time.Minute, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := acquired(t)
			m.options.OutageExtension = c.outage
			if c.failing {
				require.Equal(t, ActionRenew, m.Next(at(2*time.Second)).Kind)
				m.StoreUnavailable()
			}
			assert.Equal(t, c.want, held(m, 30*time.Second))
			assert.Equal(t, c.want, m.HeldPastExpiry(at(30*time.Second)))
			assert.False(t, held(m, 2*time.Hour))
		})
	}
	m := acquired(t)
	m.options.OutageExtension = time.Minute
	m.Next(at(2 * time.Second))
	m.StoreUnavailable()
	m.StepDown(at(3 * time.Second))
	assert.True(t, held(m, 3*time.Second), "the lease itself still runs")
	m.StepDown(at(30 * time.Second))
	assert.False(t, held(m, 30*time.Second))
	require.Equal(t, ActionRead, m.Next(at(31*time.Second)).Kind)
}

// The table answers again, and another node has the lease.
func TestAHoldPastTheLeaseEndsWithARefusedRenewal(t *testing.T) {
	m := acquired(t)
	m.options.OutageExtension = time.Minute
	m.Next(at(2 * time.Second))
	m.StoreUnavailable()
	action := m.Next(at(30 * time.Second))
	require.Equal(t, ActionRenew, action.Kind)
	m.WriteDone(at(30*time.Second), action.Row, 0, false)
	_, held := m.Held(at(30 * time.Second))
	assert.False(t, held)
}

// A former holder that read another's row, and then finds the table out, holds
// nothing over.
func TestAFormerHolderHoldsNothingOver(t *testing.T) {
	m := acquired(t)
	m.options.OutageExtension = time.Minute
	m.ReadDone(at(6*time.Second), Row{Epoch: 2, Holder: "b"}, 2)
	m.StoreUnavailable()
	assert.False(t, m.HeldPastExpiry(at(7*time.Second)))
	assert.False(t, m.StepDown(at(7*time.Second)))
}

// The table comes back from an older copy, whose row may name this life, another or nobody. No
// epoch that anybody has had is given again, and what this life held is held on no word of the
// copy's.
func TestAnOlderCopyGivesNoEpochAgain(t *testing.T) {
	for _, c := range []struct {
		name    string
		row     Row
		version uint64
		raise   uint64
		kind    ActionKind
		epoch   uint64
	}{
		{"its row is gone", Row{}, 0, 0, ActionAcquire, 2},
		{"its row is gone, and others had later epochs", Row{}, 0, 9, ActionAcquire, 10},
		{"an earlier row of this life", Row{Epoch: 1, Holder: "a", Renewals: 1}, 3, 0, ActionAcquire, 2},
		{"a row of another, which may live", Row{Epoch: 1, Holder: "b"}, 3, 0, ActionNone, 0},
		{"a row that was given up", Row{Epoch: 1, Holder: "b", Released: true}, 3, 5, ActionAcquire, 6},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := acquired(t)
			m.ObserveEpoch(c.raise)
			m.Abandon()
			_, held := m.Held(at(2 * time.Second))
			require.False(t, held)
			require.Equal(t, ActionRead, m.Next(at(2*time.Second)).Kind)
			m.ReadDone(at(2*time.Second), c.row, c.version)
			action := m.Next(at(2*time.Second + time.Millisecond))
			require.Equal(t, c.kind, action.Kind)
			if c.kind == ActionAcquire {
				require.Equal(t, c.epoch, action.Row.Epoch)
				m.WriteDone(at(2*time.Second+time.Millisecond), action.Row, 4, true)
				_, held = m.Held(at(3 * time.Second))
				require.True(t, held)
			}
		})
	}
}
