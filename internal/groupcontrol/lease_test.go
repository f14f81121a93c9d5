package groupcontrol

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/standin/memtable"
	"github.com/ridgehinge/ridgehinge/pkg/lease"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Sixty nodes that all look at the lease of a silent holder make ninety calls a second. They
// look in the order of their rank.
func TestNodesLookAtASilentLeaseInTheirOrder(t *testing.T) {
	const ttl = 3 * time.Second
	for _, test := range []struct {
		name string
		rank int
		// lives is set while the holder speaks.
		alive bool
		// after is the time since the start, looks whether the lease is looked at.
		after time.Duration
		reads bool
	}{
		{"the first at once", 0, false, 0, true},
		{"nobody while the holder speaks", 0, true, 0, false},
		{"the third after those before it", 3, false, 2900 * time.Millisecond, false},
		{"and then it does", 3, false, 3100 * time.Millisecond, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := newLeaseManager(nil, Options{
				Node: "n", LeaseTTL: ttl,
				Rank:        func() int { return test.rank },
				HolderAlive: func() bool { return test.alive },
			})
			action := m.next(m.startedAt.Add(test.after))
			require.Equal(t, test.reads, action.Kind != lease.ActionNone)
		})
	}
}

// While a controller is suspended with its machine another takes its lease over. By a clock
// that stands still meanwhile it would hold the lease once it wakes, and give orders to the
// endpoints of the other's groups. Found by reading; fails with time.Now as the clock.
func TestALeaseRunsOutWhileItsHolderIsSuspended(t *testing.T) {
	const ttl = 3 * time.Second
	store := memtable.New()
	now := time.Now()
	clock := func() time.Time { return now }
	first := newLeaseManager(store, Options{Node: "first", LeaseTTL: ttl, Now: clock})
	second := newLeaseManager(store, Options{Node: "second", LeaseTTL: ttl, Now: clock})
	run := func(d time.Duration, managers ...*leaseManager) {
		for until := now.Add(d); now.Before(until); now = now.Add(ttl / 30) {
			for _, m := range managers {
				m.step(t.Context())
			}
		}
	}
	run(ttl, first, second)
	epoch, held := first.Held()
	require.True(t, held)
	run(2*ttl, second)
	_, held = first.Held()
	require.False(t, held, "suspended meanwhile")
	later, held := second.Held()
	require.True(t, held)
	require.Greater(t, later, epoch)
	c := &Controller{lease: first}
	_, err := c.order(t.Context(), nil, serving.Order{Fence: epoch})
	require.ErrorIs(t, err, errLeaseLost)
	run(ttl, first, second)
	_, held = first.Held()
	require.False(t, held)
}
