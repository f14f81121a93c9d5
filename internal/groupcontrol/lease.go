package groupcontrol

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/logging"
	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/pkg/lease"
)

// LeaseTable holds one row for each data centre, in a partition of its own.
const (
	LeaseTable = "ridgehinge-lease"
	leaseKey   = "controller"
)

// leaseKeeper keeps the lease machine going against the table.
type leaseKeeper struct {
	store     table.Store
	partition string
	timeout   time.Duration
	log       logging.Logger

	// holderLives spares a look at the row while the holder speaks.
	holderLives func() bool
	holderKnown func(row lease.Row)
	// rank is this node's place among those that look at the row.
	rank  func() int
	renew time.Duration
	// now counts time in which the machine was suspended: the lease runs out meanwhile.
	now func() time.Time
	// began is when this node started.
	began time.Time

	// seenEpoch returns the highest lease epoch of which endpoints tell.
	seenEpoch func() uint64

	mu      sync.Mutex
	machine *lease.Machine
	held    bool
	// era is that of the store by which the machine's row counts.
	era uint64
}

// epochsPerEra is the distance between the first epochs of two eras of the store. An era
// gives no epoch of those before again, whatever its copy of the row tells: a node that has
// just started knows nothing else.
const epochsPerEra = 1 << 16

func newLeaseKeeper(store table.Store, o Options) *leaseKeeper {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &leaseKeeper{
		store:     store,
		partition: string(o.DataCentre),
		timeout:   o.LeaseTTL / 3,

		holderLives: o.HolderAlive,
		holderKnown: o.OnHolderRead,
		rank:        o.Rank,
		renew:       o.LeaseTTL / 3,
		now:         o.Now,
		began:       o.Now(),
		log:         logging.For("lease"),
		machine: lease.New(lease.Options{
			Self:          o.Node,
			Address:       o.Address,
			TTL:           o.LeaseTTL,
			RenewInterval: o.LeaseTTL / 3,
			Guard:         o.LeaseTTL / 5,

			IsEarlierIncarnation: o.IsEarlierIncarnation,
			OutageExtension:      o.LeaseOutageExtension,
		}),
	}
}

// Held reports whether this node may act, and under which epoch.
func (k *leaseKeeper) Held() (epoch uint64, held bool) {
	now := k.now()
	k.mu.Lock()
	defer k.mu.Unlock()
	epoch, held = k.machine.Held(now)
	if held != k.held {
		k.held = held
		holder, known := k.machine.Holder()
		k.log.Info("this node's hold has changed", "data_centre", k.partition, "held", held, "holder", holder, "epoch", known)
	}
	return epoch, held
}

// holdsOver reports whether this node acts past its lease, while the store
// does not answer.
func (k *leaseKeeper) holdsOver() bool {
	now := k.now()
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.HeldPastExpiry(now)
}

// stepDown ends a hold past the lease, with the reason for the log.
func (k *leaseKeeper) stepDown(reason string) {
	now := k.now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.machine.StepDown(now) {
		k.log.Info("gives up its hold past the lease", "data_centre", k.partition, "reason", reason)
	}
}

// meetEra gives a hold of an earlier era of the store up, and reports whether there is a new
// one.
func (k *leaseKeeper) meetEra() bool {
	era := k.store.Era()
	k.mu.Lock()
	defer k.mu.Unlock()
	if era == k.era {
		return false
	}
	k.machine.ObserveEpoch(era * epochsPerEra)
	if k.era > 0 || k.held {
		k.log.Info("the store is of another era; a hold of the one before is given up", "data_centre", k.partition, "era", era, "before", k.era, "held", k.held)
		k.machine.Abandon()
	}
	k.era = era
	return true
}

// heardEpoch notes an epoch under which another node acts.
func (k *leaseKeeper) heardEpoch(epoch uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.machine.ObserveEpoch(epoch)
}

// step does what the machine asks for, if anything.
func (k *leaseKeeper) step(ctx context.Context) {
	k.meetEra()
	now := k.now()
	action := k.next(now)
	ctx, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	switch action.Kind {
	case lease.ActionRead:
		k.read(ctx)
	case lease.ActionAcquire, lease.ActionRenew:
		k.write(ctx, now, action)
	}
}

// next returns what is to be done now: nothing while the holder, another node,
// speaks. Once it is silent the nodes look in their order, each place a third of the
// lease's time after the one before: sixty nodes that all look make ninety calls a
// second.
func (k *leaseKeeper) next(now time.Time) lease.Action {
	place := 0
	if k.rank != nil {
		place = k.rank()
	}
	lives := k.holderLives != nil && k.holderLives()
	seen := uint64(0)
	if k.seenEpoch != nil && !lives {
		seen = k.seenEpoch()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.machine.ObserveEpoch(seen)
	turn := time.Duration(place) * k.renew
	k.machine.SetReadInterval(turn)
	_, held := k.machine.Held(now)
	switch {
	case held:
	case lives:
		k.machine.ObserveHolder(now)
		return lease.Action{}
	case now.Sub(k.began) < turn:
		// It was told its place before it ever looked: those before it have looked.
		return lease.Action{}
	}
	return k.machine.Next(now)
}

func (k *leaseKeeper) read(ctx context.Context) {
	row, version, err := k.fetch(ctx)
	if err == nil && version != 0 && k.holderKnown != nil {
		k.holderKnown(row)
	}
	k.meetEra()
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		k.machine.StoreUnavailable()
		return
	}
	k.machine.ReadDone(k.now(), row, version)
}

// fetch reads the row; its version is zero while there is none.
func (k *leaseKeeper) fetch(ctx context.Context) (row lease.Row, version uint64, err error) {
	page, err := k.store.Read(ctx, LeaseTable, k.partition)
	if err != nil {
		return row, 0, err
	}
	for _, r := range page.Rows {
		if r.Key == leaseKey && json.Unmarshal(r.Value, &row) == nil {
			version = r.Version
		}
	}
	return row, version, nil
}

func (k *leaseKeeper) write(ctx context.Context, asked time.Time, action lease.Action) {
	value, _ := json.Marshal(action.Row) // A plain struct always encodes.
	row := table.Row{Table: LeaseTable, Partition: k.partition, Key: leaseKey}
	condition, written := row, row
	condition.Version = action.Version
	written.Value = value
	version, err := k.store.Commit(ctx, table.Change{Conditions: []table.Row{condition}, Writes: []table.Row{written}})
	switch restored := k.meetEra(); {
	case err == nil:
		k.mu.Lock()
		defer k.mu.Unlock()
		// The epoch may be one that the lost time has seen already.
		k.machine.WriteDone(asked, action.Row, version, !restored)
	case errors.Is(err, table.ErrUnavailable):
		k.mu.Lock()
		defer k.mu.Unlock()
		k.machine.StoreUnavailable()
	default:
		k.settle(ctx, asked, action)
	}
}

// settle finds out what became of a write that was not answered, or that met
// a change: an earlier write of this very life may have been the change.
func (k *leaseKeeper) settle(ctx context.Context, asked time.Time, action lease.Action) {
	row, version, err := k.fetch(ctx)
	restored := k.meetEra()
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case err != nil || version == action.Version:
		k.machine.StoreUnavailable()
	case row.Holder == action.Row.Holder && row.Epoch == action.Row.Epoch && !restored && isOfEra(action.Version, k.era):
		k.machine.WriteDone(asked, row, version, true)
	default:
		k.machine.WriteDone(asked, action.Row, 0, false)
	}
}

// isOfEra reports whether a row that was to be replaced was absent or of an era: what became of
// a write is told by the era of the store in which it was asked for alone.
func isOfEra(version, era uint64) bool { return version == 0 || table.Era(version) == era }

// release gives the lease up, so that another node need not wait for its end.
func (k *leaseKeeper) release(ctx context.Context) {
	now := k.now()
	k.mu.Lock()
	action, ok := k.machine.Release(now)
	k.mu.Unlock()
	if ok {
		k.write(ctx, now, action)
	}
}
