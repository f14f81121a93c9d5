package directory

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/standin/memtable"
	"github.com/ridgehinge/ridgehinge/internal/table"
)

// After a full page there is more to be read: with 3,000 endpoints that change, a reader that
// paused 0.3 s after each page of 500 rows was 1,600 versions behind another one (a trial).
func TestAFullPageIsFollowedByTheNextAtOnce(t *testing.T) {
	for _, test := range []struct {
		rows int
		want time.Duration
	}{
		{0, 300 * time.Millisecond},
		{fullPage - 1, 300 * time.Millisecond},
		{fullPage, 0},
	} {
		f := &follower{Watcher: &Watcher{}, pause: 300 * time.Millisecond, version: 7, rows: test.rows}
		require.Equal(t, test.want, f.pauseAfter(nil), test.rows)
	}
}

// slowReads is a store of which a read of a whole table takes a time.
type slowReads struct {
	*memtable.Table
	takes time.Duration
}

func (s slowReads) Read(ctx context.Context, name, partition string) (table.Page, error) {
	select {
	case <-ctx.Done():
		return table.Page{}, table.ErrUnknown
	case <-time.After(s.takes):
		return s.Table.Read(ctx, name, partition)
	}
}

// All of 300 nodes were killed, started again and read 3,003 endpoints in seven calls each. The
// store answered each call, but the read as a whole took longer than the second that one call
// may take: all 300 gave it up, threw away what they had, and none served for four seconds. By
// the log, all of their first reads ended one second after their start.
func TestAReadOfManyCallsIsNotGivenUp(t *testing.T) {
	options := DefaultWatchOptions()
	store := slowReads{memtable.New(), options.CallTimeout + 300*time.Millisecond}
	w := &Watcher{Store: store, Directory: New(plainCodec()), Options: options}
	require.NoError(t, w.endpoints().step(t.Context()))
}
