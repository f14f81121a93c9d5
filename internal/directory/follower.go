package directory

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/table"
)

// follower follows one table.
type follower struct {
	*Watcher
	name  string
	wait  time.Duration
	pause time.Duration
	// take applies rows; since is zero after a read of the whole table.
	take func(rows []table.Row, since, version uint64)
	// known returns a version up to which the table is known from elsewhere,
	// and skip whether a call can be left out; nil means neither.
	known func() uint64
	skip  func() bool
	// version is zero until the table was read; reread is set while it must be read
	// as a whole, since the history after the version is gone.
	version uint64
	reread  bool
	// down is set while the store does not answer; failures counts the calls that
	// failed since it last did.
	down     bool
	failures int
	// asked is when the last call began, answered when one was last answered.
	asked    time.Time
	answered time.Time
	// rows is how many the last call brought, skipped is set when it was left out.
	rows    int
	skipped bool
}

func (f *follower) run(ctx context.Context) {
	f.answered = time.Now()
	for ctx.Err() == nil {
		f.asked = time.Now()
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		f.note(err)
		pause := f.pauseAfter(err) - time.Since(f.asked)
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

// pauseAfter is the time between the beginnings of two calls, the first of which
// ended with an error or without.
func (f *follower) pauseAfter(err error) time.Duration {
	switch {
	case errors.Is(err, table.ErrHistoryGone):
		return 0
	case err != nil:
		return f.backoff()
	case f.skipped:
		return f.Options.SkipPause
	case table.VersionNumber(f.version) == 0:
		// Nothing was ever written to the store, so there is nothing to watch from.
		return f.Options.EmptyPause
	case f.rows >= fullPage:
		// There is more: with a pause after each, a reader of 3,000 endpoints that all
		// changed was 1,600 versions behind another one (a trial).
		return 0
	case f.wait > 0 && f.rows > 0:
		return f.Options.ChangePause
	case f.wait > 0:
		// The call itself has waited.
		return 0
	}
	return f.pause
}

// backoff is the time before a failed call is made again. Half of it is random,
// so that nodes that failed together do not come back together.
func (f *follower) backoff() time.Duration {
	duty := f.duty()
	most := f.Options.MaxRetryPause + duty.ExtraDelay
	if duty.Endpoints {
		most = f.Options.MaxReaderRetryPause
	}
	pause := f.Options.RetryPause << min(f.failures-1, maxDoublings)
	pause = min(pause, max(most, f.Options.RetryPause))
	return pause/2 + rand.N(pause/2+1)
}

// maxDoublings keeps a shift within its type.
const maxDoublings = 16

// note logs when the store is lost and regained, with how long the call took that told
// so and how long ago one was last answered: a call that waits for an answer that never
// comes shows in nothing else.
func (f *follower) note(err error) {
	if f.skipped {
		return
	}
	now := time.Now()
	before := f.answered
	down := err != nil && !errors.Is(err, table.ErrHistoryGone)
	if down {
		f.failures++
	} else {
		f.failures = 0
		f.answered = now
	}
	if down == f.down {
		return
	}
	f.down = down
	if down {
		f.Directory.log.Warn("the store is lost; what is known stays in force", "table", f.name, "version", f.version,
			"waited", now.Sub(f.asked), "answered_before", now.Sub(before), "error", err)
		return
	}
	f.Directory.log.Info("the store is back", "table", f.name, "version", f.version,
		"waited", now.Sub(f.asked), "answered_before", now.Sub(before))
}

// waitFor returns how long the next call waits for a change. Nothing is waited for at a
// store that may not hear: its first answer tells at once that it is back, and what has
// changed.
func (f *follower) waitFor() time.Duration {
	if f.down {
		return 0
	}
	return f.wait
}

// fullPage is as many rows as the users' store answers a call with at most.
const fullPage = 500

// step makes one call: a read of the whole table, or of what has changed.
func (f *follower) step(ctx context.Context) error {
	f.rows = 0
	f.skipped = f.skip != nil && f.skip()
	if f.skipped {
		return nil
	}
	if f.known != nil && !f.reread {
		// Peers that bring all rows spare a read of the whole table.
		f.version = max(f.version, f.known())
	}
	if table.VersionNumber(f.version) == 0 {
		return f.readWhole(ctx)
	}
	return f.readChanges(ctx)
}

func (f *follower) readWhole(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.Options.ReadTimeout)
	defer cancel()
	page, err := f.Store.Read(ctx, f.name, "")
	if err != nil {
		return err
	}
	f.take(page.Rows, 0, page.Version)
	f.version, f.reread = page.Version, false
	return nil
}

func (f *follower) readChanges(ctx context.Context) error {
	wait := f.waitFor()
	ctx, cancel := context.WithTimeout(ctx, wait+f.Options.CallTimeout)
	defer cancel()
	page, err := f.Store.Watch(ctx, f.name, f.version, wait)
	if errors.Is(err, table.ErrHistoryGone) {
		f.version, f.reread = 0, true
		return err
	}
	if err != nil {
		return err
	}
	f.rows = len(page.Rows)
	f.take(page.Rows, f.version, page.Version)
	f.version = max(f.version, page.Version)
	return nil
}
