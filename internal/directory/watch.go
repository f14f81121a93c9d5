package directory

import (
	"context"
	"errors"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/table"
)

// WatchOptions are the intervals of a Watcher.
type WatchOptions struct {
	// LongPoll is how long one watch of the configuration waits.
	LongPoll time.Duration
	// EndpointPause is the time between two reads of the endpoint table,
	// whose rows change all the time.
	EndpointPause time.Duration
	// RetryPause is the time before a failed call is made again.
	RetryPause time.Duration
	// CallTimeout bounds one call beyond the time that it may wait.
	CallTimeout time.Duration
}

// DefaultWatchOptions suit some ten nodes.
func DefaultWatchOptions() WatchOptions {
	return WatchOptions{
		LongPoll:      10 * time.Second,
		EndpointPause: 300 * time.Millisecond,
		RetryPause:    250 * time.Millisecond,
		CallTimeout:   time.Second,
	}
}

// Watcher follows the store's tables into a directory.
type Watcher struct {
	Store     table.Store
	Directory *Directory
	Options   WatchOptions
}

// follower follows one table.
type follower struct {
	*Watcher
	name  string
	wait  time.Duration
	pause time.Duration
	// take applies rows; whole is set after a full read.
	take func(rows []table.Row, whole bool, version uint64)
	// version is zero until the table was read.
	version uint64
	// down is set while the store does not answer.
	down bool
}

// Run follows both tables until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.configuration().run(ctx)
	}()
	w.endpoints().run(ctx)
	<-done
}

func (w *Watcher) configuration() *follower {
	codec := w.Directory.codec
	return &follower{
		Watcher: w,
		name:    codec.ConfigurationTable,
		wait:    w.Options.LongPoll,
		take: func(rows []table.Row, _ bool, _ uint64) {
			for _, row := range rows {
				if row.Key == codec.ConfigurationKey && !row.Removed {
					w.Directory.TakeConfiguration(row.Value, "store")
				}
			}
		},
	}
}

func (w *Watcher) endpoints() *follower {
	return &follower{
		Watcher: w,
		name:    w.Directory.codec.EndpointTable,
		pause:   w.Options.EndpointPause,
		take: func(rows []table.Row, whole bool, version uint64) {
			w.Directory.TakeEndpoints(rows, whole, version, time.Now())
		},
	}
}

func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		f.note(err)
		pause := f.pause
		if err != nil {
			pause = f.Options.RetryPause
		}
		pause -= time.Since(began)
		if f.wait > 0 && err == nil || errors.Is(err, table.ErrHistoryGone) {
			continue
		}
		if pause <= 0 {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// note logs when the store is lost and regained.
func (f *follower) note(err error) {
	down := err != nil && !errors.Is(err, table.ErrHistoryGone)
	if down == f.down {
		return
	}
	f.down = down
	if down {
		f.Directory.log.Warn("the store is lost; what is known stays in force", "table", f.name, "version", f.version, "error", err)
		return
	}
	f.Directory.log.Info("the store is back", "table", f.name, "version", f.version)
}

// step makes one call: a read of the whole table, or of what has changed.
func (f *follower) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.wait+f.Options.CallTimeout)
	defer cancel()
	if f.version == 0 {
		page, err := f.Store.Read(ctx, f.name, "")
		if err != nil {
			return err
		}
		f.take(page.Rows, true, page.Version)
		f.version = page.Version
		return nil
	}
	page, err := f.Store.Watch(ctx, f.name, f.version, f.wait)
	if errors.Is(err, table.ErrHistoryGone) {
		f.version = 0
		return err
	}
	if err != nil {
		return err
	}
	f.take(page.Rows, false, page.Version)
	f.version = max(f.version, page.Version)
	return nil
}
