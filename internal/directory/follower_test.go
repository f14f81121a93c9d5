package directory

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/standin/memtable"
	"github.com/ridgehinge/ridgehinge/internal/table"
)

// A reader that pauses after a full page falls behind when many rows change.
func TestFollower_ReadsNextPageWithoutPause(t *testing.T) {
	for _, test := range []struct {
		rows int
		want time.Duration
	}{
		{0, 300 * time.Millisecond},
		{maxPageRows - 1, 300 * time.Millisecond},
		{maxPageRows, 0},
	} {
		f := &follower{Watcher: &Watcher{}, interval: 300 * time.Millisecond, version: 7, rows: test.rows}
		require.Equal(t, test.want, f.pauseAfter(nil), test.rows)
	}
}

// slowReads is a store whose full reads take a fixed time.
type slowReads struct {
	*memtable.Table
	duration time.Duration
}

func (s slowReads) Read(ctx context.Context, name, partition string) (table.Page, error) {
	select {
	case <-ctx.Done():
		return table.Page{}, table.ErrUnknown
	case <-time.After(s.duration):
		return s.Table.Read(ctx, name, partition)
	}
}

// A read of a large table takes longer than CallTimeout. Guards against aborting it, which kept
// restarted nodes from serving.
func TestFollower_ReadOutlastsCallTimeout(t *testing.T) {
	options := DefaultWatchOptions()
	store := slowReads{memtable.New(), options.CallTimeout + 300*time.Millisecond}
	w := &Watcher{Store: store, Directory: New(jsonCodec()), Options: options}
	require.NoError(t, w.endpoints().step(t.Context()))
}
