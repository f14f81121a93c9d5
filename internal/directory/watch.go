package directory

import (
	"context"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/table"
)

// WatchOptions are the intervals and timeouts of a Watcher.
type WatchOptions struct {
	// LongPoll is the long-poll timeout of a configuration watch. With CallTimeout it bounds how
	// long a lost response goes undetected: after an outage the store never completes
	// calls that were sent during it. With 6 s all nodes use the old configuration for some five
	// seconds after an outage.
	LongPoll time.Duration
	// EndpointPause is the time between two reads of the endpoint table, whose rows change all the
	// time.
	EndpointPause time.Duration
	// RelyOnPeers is how long after the last update from peers a node does not read the endpoint
	// table itself.
	RelyOnPeers time.Duration
	// RetryPause is the time before a failed call is retried. It doubles with each consecutive
	// failure, up to MaxRetryPause, or MaxReaderRetryPause on the node that reads for its data
	// centre. Failed calls cost the store as much as others: without the
	// pause, sixty nodes make 5,000 calls in an outage of eight seconds.
	RetryPause          time.Duration
	MaxRetryPause       time.Duration
	MaxReaderRetryPause time.Duration
	// EmptyPause is the time between two reads of an empty store, which gets its first
	// configuration seconds after the nodes have started.
	EmptyPause time.Duration
	// SkipPause is the time between two checks whether a skipped call has become due.
	SkipPause time.Duration
	// ChangePause is the minimum time between two changes of the configuration that a node reads,
	// so that it skips most versions of a burst.
	ChangePause time.Duration
	// CallTimeout bounds one call, beyond its long-poll timeout.
	CallTimeout time.Duration
	// ReadTimeout bounds a full read of a table, which takes several calls that the store client
	// bounds individually. Reads are slow when all nodes start at once, and an aborted read
	// restarts from the first page.
	ReadTimeout time.Duration
}

// DefaultWatchOptions returns options suited to about ten nodes.
func DefaultWatchOptions() WatchOptions {
	return WatchOptions{
		// With CallTimeout half a second less than the three seconds after an outage within which
		// a node has to use the newest configuration.
		LongPoll:            1500 * time.Millisecond,
		EndpointPause:       300 * time.Millisecond,
		RelyOnPeers:         1200 * time.Millisecond,
		RetryPause:          250 * time.Millisecond,
		MaxRetryPause:       2 * time.Second,
		MaxReaderRetryPause: 500 * time.Millisecond,
		EmptyPause:          time.Second,
		SkipPause:           100 * time.Millisecond,
		ChangePause:         300 * time.Millisecond,
		CallTimeout:         time.Second,
		ReadTimeout:         8 * time.Second,
	}
}

// Watcher keeps a directory up to date with the store's tables.
type Watcher struct {
	Store     table.Store
	Directory *Directory
	Options   WatchOptions
	// Role returns what this node reads on behalf of others; nil means everything.
	Role func() WatchRole
}

// WatchRole is what a node reads from the store on behalf of others. It receives the rest from
// peers, and reads it itself only if they have sent nothing for some time.
type WatchRole struct {
	// Endpoints is set for a node that reads the endpoint table for its data centre.
	Endpoints bool
	// Configuration is set for a node that watches the configuration.
	Configuration bool
	// NoticesLate is set while notices of the endpoint table have not arrived in time.
	NoticesLate bool
	// Wait is set for a node that reads nothing yet because it will receive the state from peers.
	Wait bool
	// ExtraDelay is added to the time before this node reads what peers have not sent, and to the
	// backoff of its calls, so that only a few nodes call the store in an outage.
	ExtraDelay time.Duration
}

// role returns what this node reads now.
func (w *Watcher) role() WatchRole {
	if w.Role == nil {
		return WatchRole{Endpoints: true, Configuration: true}
	}
	return w.Role()
}

// Run watches both tables until the context is cancelled.
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
		Watcher:   w,
		tableName: codec.ConfigurationTable,
		longPoll:  w.Options.LongPoll,
		skip: func() bool {
			version, _ := w.Directory.Configuration()
			role := w.role()
			return role.Wait || version > 0 && !role.Configuration
		},
		apply: func(rows []table.Row, since, version uint64) {
			now := time.Now()
			w.Directory.recordConfigurationResponse(now)
			w.Directory.applyEvacuations(rows, since, version, now)
			for _, row := range rows {
				if row.Key == codec.ConfigurationKey && !row.Removed {
					w.Directory.ApplyConfiguration(row.Value, "store")
				}
			}
		},
	}
}

func (w *Watcher) endpoints() *follower {
	f := &follower{
		Watcher:   w,
		tableName: w.Directory.codec.EndpointTable,
		interval:  w.Options.EndpointPause,
		knownVersion: func() uint64 {
			version, _ := w.Directory.TableVersion()
			return version
		},
		skip: func() bool {
			_, at := w.Directory.TableVersion()
			role := w.role()
			return role.Wait || !role.Endpoints && !role.NoticesLate && time.Since(at) < w.Options.RelyOnPeers+role.ExtraDelay
		},
	}
	f.apply = func(rows []table.Row, since, version uint64) {
		now := time.Now()
		if since == 0 || len(rows) < maxPageRows {
			w.Directory.RecordRead(f.calledAt, now)
		}
		if since == 0 {
			w.Directory.ApplySnapshot(rows, version, now)
			return
		}
		w.Directory.ApplyChanges(rows, since, version, now)
	}
	return f
}
