package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/platform"
	"github.com/ridgehinge/ridgehinge/pkg/lease"
	"github.com/ridgehinge/ridgehinge/pkg/ledger"
)

// keepLease does what the lease machine asks for.
func (l *Loop) keepLease(now time.Time) {
	if l.leaving {
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

// leaseRead is the lease as the table has it.
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
	l.control.epochVersion = e.epochVersion
	l.lease.ReadDone(now, e.row, e.version)
}

// leaseWritten is the outcome of an acquisition, renewal or release.
type leaseWritten struct {
	asked   time.Time
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
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: ledger.EpochKey(dc), Version: l.control.epochVersion})
		txn.Writes = append(txn.Writes, platform.Write{Key: ledger.EpochKey(dc), Value: row})
	}
	asked := time.Now()
	l.async(func(ctx context.Context) event {
		outcome, err := l.options.Platform.Commit(ctx, txn)
		return leaseWritten{asked, action, outcome, err, done}
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
	l.lease.WriteDone(e.asked, e.action.Row, e.outcome.Version, e.outcome.Committed)
	if e.outcome.Committed && e.action.Kind == lease.ActionAcquire {
		l.control.epochVersion = e.outcome.Version
		l.log.Info("acquired the lease", "epoch", e.action.Row.Epoch)
	}
}

// releaseLease gives the lease up so that another node need not wait for it
// to lapse.
func (l *Loop) releaseLease(now time.Time, done chan struct{}) {
	action, held := l.lease.Release(now)
	if !held {
		close(done)
		return
	}
	l.writeLease(action, done)
}
