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

// leaseManager keeps the lease machine going against the table.
type leaseManager struct {
	store     table.Store
	partition string
	timeout   time.Duration
	log       logging.Logger

	// holderLives spares a look at the row while the holder speaks.
	holderAlive  func() bool
	onHolderRead func(row lease.Row)
	// rank is this node's place among those that look at the row.
	rank          func() int
	renewInterval time.Duration
	// now counts time in which the machine was suspended: the lease runs out meanwhile.
	now func() time.Time
	// began is when this node started.
	startedAt time.Time

	// seenEpoch returns the highest lease epoch of which endpoints tell.
	maxSeenEpoch func() uint64

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

func newLeaseManager(store table.Store, o Options) *leaseManager {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &leaseManager{
		store:     store,
		partition: string(o.DataCentre),
		timeout:   o.LeaseTTL / 3,

		holderAlive:   o.HolderAlive,
		onHolderRead:  o.OnHolderRead,
		rank:          o.Rank,
		renewInterval: o.LeaseTTL / 3,
		now:           o.Now,
		startedAt:     o.Now(),
		log:           logging.For("lease"),
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
func (m *leaseManager) Held() (epoch uint64, held bool) {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	epoch, held = m.machine.Held(now)
	if held != m.held {
		m.held = held
		holder, known := m.machine.Holder()
		m.log.Info("this node's hold has changed", "data_centre", m.partition, "held", held, "holder", holder, "epoch", known)
	}
	return epoch, held
}

// heldPastExpiry reports whether this node acts past its lease, while the store
// does not answer.
func (m *leaseManager) heldPastExpiry() bool {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.HeldPastExpiry(now)
}

// stepDown ends a hold past the lease, with the reason for the log.
func (m *leaseManager) stepDown(reason string) {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.machine.StepDown(now) {
		m.log.Info("gives up its hold past the lease", "data_centre", m.partition, "reason", reason)
	}
}

// checkEra gives a hold of an earlier era of the store up, and reports whether there is a new
// one.
func (m *leaseManager) checkEra() bool {
	era := m.store.Era()
	m.mu.Lock()
	defer m.mu.Unlock()
	if era == m.era {
		return false
	}
	m.machine.ObserveEpoch(era * epochsPerEra)
	if m.era > 0 || m.held {
		m.log.Info("the store is of another era; a hold of the one before is given up", "data_centre", m.partition, "era", era, "before", m.era, "held", m.held)
		m.machine.Abandon()
	}
	m.era = era
	return true
}

// observeEpoch notes an epoch under which another node acts.
func (m *leaseManager) observeEpoch(epoch uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.machine.ObserveEpoch(epoch)
}

// step does what the machine asks for, if anything.
func (m *leaseManager) step(ctx context.Context) {
	m.checkEra()
	now := m.now()
	action := m.next(now)
	ctx, cancel := context.WithTimeout(ctx, m.timeout)
	defer cancel()
	switch action.Kind {
	case lease.ActionRead:
		m.read(ctx)
	case lease.ActionAcquire, lease.ActionRenew:
		m.write(ctx, now, action)
	}
}

// next returns what is to be done now: nothing while the holder, another node,
// speaks. Once it is silent the nodes look in their order, each place a third of the
// lease's time after the one before: sixty nodes that all look make ninety calls a
// second.
func (m *leaseManager) next(now time.Time) lease.Action {
	position := 0
	if m.rank != nil {
		position = m.rank()
	}
	alive := m.holderAlive != nil && m.holderAlive()
	seen := uint64(0)
	if m.maxSeenEpoch != nil && !alive {
		seen = m.maxSeenEpoch()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.machine.ObserveEpoch(seen)
	delay := time.Duration(position) * m.renewInterval
	m.machine.SetReadInterval(delay)
	_, held := m.machine.Held(now)
	switch {
	case held:
	case alive:
		m.machine.ObserveHolder(now)
		return lease.Action{}
	case now.Sub(m.startedAt) < delay:
		// It was told its place before it ever looked: those before it have looked.
		return lease.Action{}
	}
	return m.machine.Next(now)
}

func (m *leaseManager) read(ctx context.Context) {
	row, version, err := m.fetch(ctx)
	if err == nil && version != 0 && m.onHolderRead != nil {
		m.onHolderRead(row)
	}
	m.checkEra()
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.machine.StoreUnavailable()
		return
	}
	m.machine.ReadDone(m.now(), row, version)
}

// fetch reads the row; its version is zero while there is none.
func (m *leaseManager) fetch(ctx context.Context) (row lease.Row, version uint64, err error) {
	page, err := m.store.Read(ctx, LeaseTable, m.partition)
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

func (m *leaseManager) write(ctx context.Context, requestedAt time.Time, action lease.Action) {
	value, _ := json.Marshal(action.Row) // A plain struct always encodes.
	row := table.Row{Table: LeaseTable, Partition: m.partition, Key: leaseKey}
	condition, written := row, row
	condition.Version = action.Version
	written.Value = value
	version, err := m.store.Commit(ctx, table.Change{Conditions: []table.Row{condition}, Writes: []table.Row{written}})
	switch restored := m.checkEra(); {
	case err == nil:
		m.mu.Lock()
		defer m.mu.Unlock()
		// The epoch may be one that the lost time has seen already.
		m.machine.WriteDone(requestedAt, action.Row, version, !restored)
	case errors.Is(err, table.ErrUnavailable):
		m.mu.Lock()
		defer m.mu.Unlock()
		m.machine.StoreUnavailable()
	default:
		m.resolveWrite(ctx, requestedAt, action)
	}
}

// resolveWrite finds out what became of a write that was not answered, or that met
// a change: an earlier write of this very life may have been the change.
func (m *leaseManager) resolveWrite(ctx context.Context, requestedAt time.Time, action lease.Action) {
	row, version, err := m.fetch(ctx)
	restored := m.checkEra()
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err != nil || version == action.Version:
		m.machine.StoreUnavailable()
	case row.Holder == action.Row.Holder && row.Epoch == action.Row.Epoch && !restored && isFromEra(action.Version, m.era):
		m.machine.WriteDone(requestedAt, row, version, true)
	default:
		m.machine.WriteDone(requestedAt, action.Row, 0, false)
	}
}

// isFromEra reports whether a row that was to be replaced was absent or of an era: what became of
// a write is told by the era of the store in which it was asked for alone.
func isFromEra(version, era uint64) bool { return version == 0 || table.Era(version) == era }

// release gives the lease up, so that another node need not wait for its end.
func (m *leaseManager) release(ctx context.Context) {
	now := m.now()
	m.mu.Lock()
	action, ok := m.machine.Release(now)
	m.mu.Unlock()
	if ok {
		m.write(ctx, now, action)
	}
}
