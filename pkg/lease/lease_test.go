package lease

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const ttl = 4 * time.Second

var start = time.Unix(1000, 0)

func newMachine(self string) *Machine {
	return New(Options{Self: self, TTL: ttl, RenewInterval: time.Second, Guard: time.Second})
}

func at(d time.Duration) time.Time { return start.Add(d) }

// newHolder returns a machine that has acquired an absent row.
func newHolder(t *testing.T) *Machine {
	t.Helper()
	m := newMachine("a")
	require.Equal(t, ActionRead, m.Next(start).Kind)
	m.ReadDone(start, Row{}, 0)
	action := m.Next(at(time.Second))
	require.Equal(t, ActionAcquire, action.Kind)
	require.Equal(t, uint64(1), action.Row.Epoch)
	m.WriteDone(at(time.Second), action.Row, 1, true)
	return m
}

func TestMachine_ExpiresByItsOwnClock(t *testing.T) {
	m := newHolder(t)
	for _, c := range []struct {
		at   time.Duration
		want bool
	}{
		{time.Second, true},
		{time.Second + ttl - time.Second - 1, true},
		// The holder stops one guard before others may acquire the lease.
		{time.Second + ttl - time.Second, false},
		{time.Hour, false},
	} {
		_, held := m.Held(at(c.at))
		assert.Equal(t, c.want, held, "after %s", c.at)
	}
}

func TestMachine_RenewalCountsFromRequest(t *testing.T) {
	m := newHolder(t)
	action := m.Next(at(2 * time.Second))
	require.Equal(t, ActionRenew, action.Kind)
	// The response arrives 2 s after the request, which does not extend the lease.
	m.WriteDone(at(2*time.Second), action.Row, 2, true)
	_, held := m.Held(at(5*time.Second - 1))
	assert.True(t, held)
	_, held = m.Held(at(5 * time.Second))
	assert.False(t, held)
}

func TestMachine_WaitsUntilRowIsUnchangedForTTL(t *testing.T) {
	m := newMachine("b")
	m.Next(start)
	m.ReadDone(start, Row{Epoch: 3, Holder: "a", Renewals: 1}, 7)
	assert.Equal(t, ActionRead, m.Next(at(3*time.Second)).Kind)
	// The holder has renewed, so the TTL starts again.
	m.ReadDone(at(3*time.Second), Row{Epoch: 3, Holder: "a", Renewals: 2}, 8)
	assert.Equal(t, ActionRead, m.Next(at(5*time.Second)).Kind)
	m.ReadDone(at(5*time.Second), Row{Epoch: 3, Holder: "a", Renewals: 2}, 8)
	action := m.Next(at(7*time.Second + 1))
	assert.Equal(t, Action{Kind: ActionAcquire, Row: Row{Epoch: 4, Holder: "b"}, Version: 8}, action)
}

func TestMachine_AcquiresReleasedLeaseAtOnce(t *testing.T) {
	m := newMachine("b")
	m.Next(start)
	m.ReadDone(start, Row{Epoch: 3, Holder: "a", Released: true}, 9)
	assert.Equal(t, ActionAcquire, m.Next(at(time.Second)).Kind)
}

func TestMachine_ConflictingRenewalLosesLease(t *testing.T) {
	m := newHolder(t)
	action := m.Next(at(2 * time.Second))
	m.WriteDone(at(2*time.Second), action.Row, 0, false)
	_, held := m.Held(at(2 * time.Second))
	assert.False(t, held)
	assert.Equal(t, ActionRead, m.Next(at(2*time.Second)).Kind)
}

// Guards against a node that takes the row of an earlier incarnation of the same name for its
// own lease.
func TestMachine_IgnoresRowOfEarlierIncarnation(t *testing.T) {
	m := newMachine("a")
	m.Next(start)
	m.ReadDone(start, Row{Epoch: 5, Holder: "a"}, 4)
	_, held := m.Held(start)
	assert.False(t, held)
}

func TestMachine_Release(t *testing.T) {
	m := newHolder(t)
	action, held := m.Release(at(2 * time.Second))
	require.True(t, held)
	assert.True(t, action.Row.Released)
	_, held = m.Held(at(2 * time.Second))
	assert.False(t, held)
}

func TestMachine_ObserveHolderPreventsExpiry(t *testing.T) {
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

// Guards against a data centre without a controller after a power failure of all nodes: the
// holder's next incarnation must not wait for its predecessor's lease to expire.
func TestMachine_ReplacesEarlierIncarnationAtOnce(t *testing.T) {
	held := Row{Epoch: 7, Holder: "node/first", Renewals: 3}
	isEarlier := func(self string) func(string) bool {
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
			m.options.IsEarlierIncarnation = isEarlier(c.self)
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

// A holder keeps its lease for the outage extension while the table does not respond, and
// steps down at once when another node holds it.
func TestMachine_HoldsPastExpiryDuringOutage(t *testing.T) {
	held := func(m *Machine, after time.Duration) bool {
		_, held := m.Held(at(after))
		return held
	}
	for _, c := range []struct {
		name        string
		extension   time.Duration
		unavailable bool
		want        bool
	}{
		{"without an extension", 0, true, false},
		{"while the table does not respond", time.Minute, true, true},
		// A suspended process has not tried to renew, so its lease is not extended.
		{"without an attempt to renew", time.Minute, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newHolder(t)
			m.options.OutageExtension = c.extension
			if c.unavailable {
				require.Equal(t, ActionRenew, m.Next(at(2*time.Second)).Kind)
				m.StoreUnavailable()
			}
			assert.Equal(t, c.want, held(m, 30*time.Second))
			assert.Equal(t, c.want, m.HeldPastExpiry(at(30*time.Second)))
			assert.False(t, held(m, 2*time.Hour))
		})
	}
	m := newHolder(t)
	m.options.OutageExtension = time.Minute
	m.Next(at(2 * time.Second))
	m.StoreUnavailable()
	m.StepDown(at(3 * time.Second))
	assert.True(t, held(m, 3*time.Second), "the lease has not expired yet")
	m.StepDown(at(30 * time.Second))
	assert.False(t, held(m, 30*time.Second))
	require.Equal(t, ActionRead, m.Next(at(31*time.Second)).Kind)
}

// The table responds again, and another node has the lease.
func TestMachine_ConflictEndsHoldPastExpiry(t *testing.T) {
	m := newHolder(t)
	m.options.OutageExtension = time.Minute
	m.Next(at(2 * time.Second))
	m.StoreUnavailable()
	action := m.Next(at(30 * time.Second))
	require.Equal(t, ActionRenew, action.Kind)
	m.WriteDone(at(30*time.Second), action.Row, 0, false)
	_, held := m.Held(at(30 * time.Second))
	assert.False(t, held)
}

// A former holder that has read another node's row must not hold the lease past expiry when
// the table then becomes unavailable.
func TestMachine_FormerHolderDoesNotHoldPastExpiry(t *testing.T) {
	m := newHolder(t)
	m.options.OutageExtension = time.Minute
	m.ReadDone(at(6*time.Second), Row{Epoch: 2, Holder: "b"}, 2)
	m.StoreUnavailable()
	assert.False(t, m.HeldPastExpiry(at(7*time.Second)))
	assert.False(t, m.StepDown(at(7*time.Second)))
}

// Guards against reuse of an epoch after the table is restored from an older copy, whose row
// may name this incarnation, another node or nobody.
func TestMachine_NeverReusesEpochAfterRestore(t *testing.T) {
	for _, c := range []struct {
		name     string
		row      Row
		version  uint64
		observed uint64
		kind     ActionKind
		epoch    uint64
	}{
		{"the row is missing", Row{}, 0, 0, ActionAcquire, 2},
		{"the row is missing and others had later epochs", Row{}, 0, 9, ActionAcquire, 10},
		{"an earlier row of this incarnation", Row{Epoch: 1, Holder: "a", Renewals: 1}, 3, 0, ActionAcquire, 2},
		{"a row of another node that may be alive", Row{Epoch: 1, Holder: "b"}, 3, 0, ActionNone, 0},
		{"a released row", Row{Epoch: 1, Holder: "b", Released: true}, 3, 5, ActionAcquire, 6},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newHolder(t)
			m.ObserveEpoch(c.observed)
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

// Guards against a data centre without a controller for a TTL, because the row of an acquisition that got
// no response is taken for that of another holder.
func TestMachine_ReacquiresAfterUnansweredAcquisition(t *testing.T) {
	m := newMachine("b")
	m.Next(start)
	m.ReadDone(start, Row{Epoch: 3, Holder: "a"}, 7)
	action := m.Next(at(ttl + time.Second))
	require.Equal(t, ActionAcquire, action.Kind)
	m.StoreUnavailable()
	// The table applied the write, so the next one conflicts.
	second := m.Next(at(ttl + 2*time.Second))
	require.Equal(t, ActionAcquire, second.Kind)
	require.Equal(t, action.Row, second.Row)
	m.WriteDone(at(ttl+2*time.Second), second.Row, 0, false)
	require.Equal(t, ActionRead, m.Next(at(ttl+2*time.Second)).Kind)
	m.ReadDone(at(ttl+2*time.Second), action.Row, 8)
	third := m.Next(at(ttl + 2*time.Second))
	require.Equal(t, Action{Kind: ActionAcquire, Row: Row{Epoch: 5, Holder: "b"}, Version: 8}, third)
}

// table is a table with one lease row, of which some calls get no response.
type table struct {
	row     Row
	version uint64
	random  *rand.Rand
	// lost is the share of calls without a response; half of the writes among them take effect.
	lost float64
}

// call is a call in progress.
type call struct {
	action Action
	sentAt time.Time
	doneAt time.Time
	// answered is set if there is a response, which has the row that was read or whether the write committed.
	answered, committed bool
	row                 Row
	version             uint64
}

func (t *table) do(action Action, now time.Time) *call {
	c := &call{action: action, sentAt: now, doneAt: now.Add(time.Duration(t.random.IntN(300)) * time.Millisecond)}
	c.answered = t.random.Float64() >= t.lost
	if action.Kind != ActionRead && action.Version == t.version && (c.answered || t.random.IntN(2) == 0) {
		t.version++
		t.row = action.Row
		c.committed = true
	}
	c.row, c.version = t.row, t.version
	if !c.answered {
		c.doneAt = now.Add(700 * time.Millisecond)
	}
	return c
}

func (c *call) finish(m *Machine, now time.Time) {
	switch {
	case !c.answered:
		m.StoreUnavailable()
	case c.action.Kind == ActionRead:
		m.ReadDone(now, c.row, c.version)
	default:
		m.WriteDone(c.sentAt, c.action.Row, c.version, c.committed)
	}
}

// Guards against a lease that nobody takes after its holder was suspended, whatever responses were lost before, and against
// two holders.
func TestMachine_TakesOverFromSuspendedHolder(t *testing.T) {
	const tick, suspendAfter, within = 50 * time.Millisecond, 20 * time.Second, 2*ttl + 2*time.Second
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 0))
		store := &table{random: random, lost: 0.6 * random.Float64()}
		machines := []*Machine{newMachine("a"), newMachine("b")}
		calls := make([]*call, len(machines))
		suspended := -1
		var takenAt, suspendedAt time.Time
		for now := start; takenAt.IsZero(); now = now.Add(tick) {
			holders := 0
			for i, m := range machines {
				if i == suspended {
					continue
				}
				if c := calls[i]; c != nil && !now.Before(c.doneAt) {
					c.finish(m, now)
					calls[i] = nil
				}
				if calls[i] == nil {
					if action := m.Next(now); action.Kind != ActionNone {
						calls[i] = store.do(action, now)
					}
				}
				if _, held := m.Held(now); held {
					holders++
					if suspended >= 0 {
						takenAt = now
					} else if now.Sub(start) > suspendAfter {
						suspended, suspendedAt, store.lost = i, now, 0
					}
				}
			}
			require.LessOrEqual(t, holders, 1, "seed %d", seed)
			if suspended >= 0 {
				require.LessOrEqual(t, now.Sub(suspendedAt), within, "seed %d: nobody has taken the lease", seed)
			}
			require.Less(t, now.Sub(start), 10*suspendAfter, "seed %d: nobody holds the lease", seed)
		}
	}
}
