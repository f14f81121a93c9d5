package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/platform"
	"github.com/ridgehinge/ridgehinge/pkg/lease"
	"github.com/ridgehinge/ridgehinge/pkg/ledger"
)

// runLease executes the next action of the lease machine.
func (l *Loop) runLease(now time.Time) {
	if l.stopping {
		return
	}
	action := l.lease.Next(now)
	switch action.Kind {
	case lease.ActionRead:
		l.readLease()
	case lease.ActionAcquire, lease.ActionRenew:
		l.writeLease(action, nil)
	}
}

// leaseStatus is what is logged of the lease when it changes.
type leaseStatus struct {
	held        bool
	holder      string
	epoch       uint64
	unavailable bool
}

// logLease logs a change of the lease's holder, or of whether the table responds.
func (l *Loop) logLease(now time.Time) {
	_, held := l.lease.Held(now)
	holder, epoch := l.lease.Holder()
	status := leaseStatus{held, holder, epoch, l.lease.Unavailable()}
	if status == l.loggedLease {
		return
	}
	l.loggedLease = status
	l.log.Info("lease status changed", "held", held, "holder", holder, "epoch", epoch, "table_unavailable", status.unavailable)
}

// leaseRead is the result of reading the lease row.
type leaseRead struct {
	row          lease.Row
	version      uint64
	epochVersion uint64
	err          error
}

func (l *Loop) readLease() {
	dc := l.options.Self.DataCentre
	l.async(func(ctx context.Context) event {
		rows, err := l.options.Platform.Get(ctx, ledger.LeaseKey(dc), ledger.EpochKey(dc))
		if err != nil {
			return leaseRead{err: err}
		}
		out := leaseRead{version: rows[0].Version, epochVersion: rows[1].Version}
		if out.version > 0 {
			out.err = json.Unmarshal(rows[0].Value, &out.row)
		}
		return out
	})
}

func (e leaseRead) apply(l *Loop, now time.Time) {
	if e.err != nil {
		l.lease.StoreUnavailable()
		return
	}
	l.controller.epochVersion = e.epochVersion
	l.lease.ReadDone(now, e.row, e.version)
}

// leaseWritten is the result of an acquisition, renewal or release.
type leaseWritten struct {
	sentAt  time.Time
	action  lease.Action
	outcome platform.Outcome
	err     error
	done    chan struct{}
}

func (l *Loop) writeLease(action lease.Action, done chan struct{}) {
	dc := l.options.Self.DataCentre
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: ledger.LeaseKey(dc), Version: action.Version}},
		Writes:     []platform.Write{{Key: ledger.LeaseKey(dc), Value: action.Row}},
	}
	if action.Kind == lease.ActionAcquire {
		row := ledger.Epoch{Epoch: action.Row.Epoch, Holder: action.Row.Holder}
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: ledger.EpochKey(dc), Version: l.controller.epochVersion})
		txn.Writes = append(txn.Writes, platform.Write{Key: ledger.EpochKey(dc), Value: row})
	}
	sentAt := time.Now()
	l.async(func(ctx context.Context) event {
		outcome, err := l.options.Platform.Commit(ctx, txn)
		return leaseWritten{sentAt, action, outcome, err, done}
	})
}

func (e leaseWritten) apply(l *Loop, _ time.Time) {
	if e.done != nil {
		close(e.done)
		return
	}
	if e.err != nil {
		l.lease.StoreUnavailable()
		return
	}
	l.lease.WriteDone(e.sentAt, e.action.Row, e.outcome.Version, e.outcome.Committed)
	if e.outcome.Committed && e.action.Kind == lease.ActionAcquire {
		l.controller.epochVersion = e.outcome.Version
		l.log.Info("acquired the lease", "epoch", e.action.Row.Epoch)
	}
}

// releaseLease releases the lease so that another node need not wait for it
// to expire.
func (l *Loop) releaseLease(now time.Time, done chan struct{}) {
	action, held := l.lease.Release(now)
	if !held {
		close(done)
		return
	}
	l.writeLease(action, done)
}
