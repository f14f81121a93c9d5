package groupcontrol

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/standin/memtable"
	"github.com/ridgehinge/ridgehinge/pkg/lease"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Guards against a burst of reads when the holder falls silent: the nodes must read the lease
// in the order of their ranks.
func TestLeaseManager_ReadsInRankOrder(t *testing.T) {
	const ttl = 3 * time.Second
	for _, test := range []struct {
		name string
		rank int
		// alive is set while the holder is alive.
		alive bool
		// after is the time since the start; reads is whether the lease is read.
		after time.Duration
		reads bool
	}{
		{"first rank reads at once", 0, false, 0, true},
		{"no read while the holder is alive", 0, true, 0, false},
		{"later rank waits", 3, false, 2900 * time.Millisecond, false},
		{"later rank reads after its delay", 3, false, 3100 * time.Millisecond, true},
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

// Guards against a holder that still acts after its machine was suspended, while another node
// has acquired the lease. A clock that stops during suspension would not let the lease expire.
func TestLeaseManager_ExpiresDuringSuspension(t *testing.T) {
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
	require.False(t, held, "the lease expired during the suspension")
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
