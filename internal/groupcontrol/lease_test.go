package groupcontrol

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/pkg/lease"
)

// Sixty nodes that all look at the lease of a silent holder make ninety calls a second. They
// look in the order of their rank.
func TestNodesLookAtASilentLeaseInTheirOrder(t *testing.T) {
	const ttl = 3 * time.Second
	for _, test := range []struct {
		name string
		rank int
		// lives is set while the holder speaks.
		lives bool
		// after is the time since the start, looks whether the lease is looked at.
		after time.Duration
		looks bool
	}{
		{"the first at once", 0, false, 0, true},
		{"nobody while the holder speaks", 0, true, 0, false},
		{"the third after those before it", 3, false, 2900 * time.Millisecond, false},
		{"and then it does", 3, false, 3100 * time.Millisecond, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			k := newLeaseKeeper(nil, Options{
				Node: "n", LeaseTTL: ttl,
				Rank:        func() int { return test.rank },
				HolderLives: func() bool { return test.lives },
			})
			action := k.next(k.began.Add(test.after))
			require.Equal(t, test.looks, action.Kind != lease.ActionNone)
		})
	}
}
