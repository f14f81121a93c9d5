package directory

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/table"
)

// follower keeps the directory up to date with one table.
type follower struct {
	*Watcher
	tableName string
	longPoll  time.Duration
	interval  time.Duration
	// apply applies rows; since is zero after a full read of the table.
	apply func(rows []table.Row, since, version uint64)
	// knownVersion returns a version up to which the table is known from peers, and skip reports
	// whether the next call can be left out. Both may be nil.
	knownVersion func() uint64
	skip         func() bool
	// version is zero until the table was read. needsFullRead is set while the full table must be
	// read because the store no longer has the history after the version.
	version       uint64
	needsFullRead bool
	// down is set while the store does not respond; failures counts consecutive failed calls.
	down     bool
	failures int
	// calledAt is when the last call started, lastResponseAt when one last got a response.
	calledAt       time.Time
	lastResponseAt time.Time
	// rows is the number of rows of the last call; skipped is set when it was left out.
	rows    int
	skipped bool
}

func (f *follower) run(ctx context.Context) {
	f.lastResponseAt = time.Now()
	for ctx.Err() == nil {
		f.calledAt = time.Now()
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		f.recordResult(err)
		pause := f.pauseAfter(err) - time.Since(f.calledAt)
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

// pauseAfter returns the time between the start of a call that returned err and the start of the
// next.
func (f *follower) pauseAfter(err error) time.Duration {
	switch {
	case errors.Is(err, table.ErrHistoryGone):
		return 0
	case err != nil:
		return f.backoff()
	case f.skipped:
		return f.Options.SkipPause
	case table.VersionNumber(f.version) == 0:
		// The store is empty, so there is no version to watch from.
		return f.Options.EmptyPause
	case f.rows >= maxPageRows:
		// More rows are waiting: with a pause after each page, a reader of 3,000 endpoints that all
		// change falls behind by more than a thousand versions.
		return 0
	case f.longPoll > 0 && f.rows > 0:
		return f.Options.ChangePause
	case f.longPoll > 0:
		// The call itself was a long poll.
		return 0
	}
	return f.interval
}

// backoff returns the time before a failed call is retried. Half of it is jitter, so that nodes
// whose calls failed together do not retry together.
func (f *follower) backoff() time.Duration {
	role := f.role()
	maxPause := f.Options.MaxRetryPause + min(role.ExtraDelay, maxExtraBackoff)
	if role.Endpoints {
		maxPause = f.Options.MaxReaderRetryPause
	}
	pause := f.Options.RetryPause << min(f.failures-1, maxDoublings)
	pause = min(pause, max(maxPause, f.Options.RetryPause))
	return pause/2 + rand.N(pause/2+1)
}

// maxExtraBackoff bounds what a node's rank adds to its backoff: with many nodes in a data centre
// most ranks are high, and a node that the store has served again has to learn of a configuration
// soon, also if no relay reaches it.
const maxExtraBackoff = 2 * time.Second

// maxDoublings prevents an overflow of the shift.
const maxDoublings = 16

// recordResult tracks whether the store is reachable and logs transitions, with the duration of
// the call and the time since the last response: a long poll without a response shows nowhere
// else.
func (f *follower) recordResult(err error) {
	if f.skipped {
		return
	}
	now := time.Now()
	before := f.lastResponseAt
	down := err != nil && !errors.Is(err, table.ErrHistoryGone)
	if down {
		f.failures++
	} else {
		f.failures = 0
		f.lastResponseAt = now
	}
	if down == f.down {
		return
	}
	f.down = down
	if down {
		f.Directory.log.Warn("store unreachable; keeping the last known state", "table", f.tableName, "version", f.version,
			"waited", now.Sub(f.calledAt), "answered_before", now.Sub(before), "error", err)
		return
	}
	f.Directory.log.Info("store reachable again", "table", f.tableName, "version", f.version,
		"waited", now.Sub(f.calledAt), "answered_before", now.Sub(before))
}

// waitTime returns the long-poll timeout of the next call. It is zero while the store is down, so
// that its first response shows at once that it is back.
func (f *follower) waitTime() time.Duration {
	if f.down {
		return 0
	}
	return f.longPoll
}

// maxPageRows is the store's maximum number of rows per response.
const maxPageRows = 500

// step makes one call: a full read of the table, or a read of its changes.
func (f *follower) step(ctx context.Context) error {
	f.rows = 0
	f.skipped = f.skip != nil && f.skip()
	if f.skipped {
		return nil
	}
	if f.knownVersion != nil && !f.needsFullRead {
		// Rows from peers make a full read of the table unnecessary.
		f.version = max(f.version, f.knownVersion())
	}
	if table.VersionNumber(f.version) == 0 {
		return f.readTable(ctx)
	}
	return f.readChanges(ctx)
}

func (f *follower) readTable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.Options.ReadTimeout)
	defer cancel()
	page, err := f.Store.Read(ctx, f.tableName, "")
	if err != nil {
		return err
	}
	f.apply(page.Rows, 0, page.Version)
	f.version, f.needsFullRead = page.Version, false
	return nil
}

func (f *follower) readChanges(ctx context.Context) error {
	wait := f.waitTime()
	ctx, cancel := context.WithTimeout(ctx, wait+f.Options.CallTimeout)
	defer cancel()
	page, err := f.Store.Watch(ctx, f.tableName, f.version, wait)
	if errors.Is(err, table.ErrHistoryGone) {
		f.version, f.needsFullRead = 0, true
		return err
	}
	if err != nil {
		return err
	}
	f.rows = len(page.Rows)
	f.apply(page.Rows, f.version, page.Version)
	f.version = max(f.version, page.Version)
	return nil
}
