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

// LeaseTable has one row for each data centre, in a partition of its own.
const (
	LeaseTable = "ridgehinge-lease"
	leaseKey   = "controller"
)

// leaseManager runs the lease state machine against the table.
type leaseManager struct {
	store     table.Store
	partition string
	timeout   time.Duration
	log       logging.Logger

	// holderAlive avoids reads of the row while the holder is known to be alive.
	holderAlive  func() bool
	onHolderRead func(row lease.Row)
	// rank is this node's position in the order of reading the row.
	rank          func() int
	renewInterval time.Duration
	// now counts time during which the machine was suspended, so that the lease expires
	// meanwhile.
	now       func() time.Time
	startedAt time.Time

	// maxSeenEpoch returns the highest lease epoch that endpoints report.
	maxSeenEpoch func() uint64

	mu      sync.Mutex
	machine *lease.Machine
	held    bool
	// era is the store era to which the machine's row belongs.
	era uint64
}

// epochsPerEra is the distance between the first epochs of two store eras. Even a restored
// copy with an older row never yields an epoch of an earlier era, which matters for a node
// that has just started and knows no epoch.
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
		holder, rowEpoch := m.machine.Holder()
		m.log.Info("lease status changed", "data_centre", m.partition, "held", held, "holder", holder, "epoch", rowEpoch)
	}
	return epoch, held
}

// heldPastExpiry reports whether this node acts under an expired lease because the store does
// not respond.
func (m *leaseManager) heldPastExpiry() bool {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.HeldPastExpiry(now)
}

// stepDown gives up a lease held past expiry; reason is logged.
func (m *leaseManager) stepDown(reason string) {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.machine.StepDown(now) {
		m.log.Info("gave up the expired lease", "data_centre", m.partition, "reason", reason)
	}
}

// checkEra abandons a lease of an earlier store era, and reports whether the era has changed.
func (m *leaseManager) checkEra() bool {
	era := m.store.Era()
	m.mu.Lock()
	defer m.mu.Unlock()
	if era == m.era {
		return false
	}
	m.machine.ObserveEpoch(era * epochsPerEra)
	if m.era > 0 || m.held {
		m.log.Info("store era changed; abandoning any lease of the previous era", "data_centre", m.partition, "era", era, "before", m.era, "held", m.held)
		m.machine.Abandon()
	}
	m.era = era
	return true
}

// observeEpoch records an epoch under which another node acts.
func (m *leaseManager) observeEpoch(epoch uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.machine.ObserveEpoch(epoch)
}

// step performs the next action of the state machine, if any.
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

// next returns the next action: none while another node holds the lease and is alive. Once the
// holder is silent, the nodes read the row in the order of their ranks, a renewal interval
// apart, which limits the load on the store.
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
		// The nodes of lower rank read first.
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

// fetch reads the row; the version is zero if there is none.
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
		// The written epoch may already have been in use before the restore.
		m.machine.WriteDone(requestedAt, action.Row, version, !restored)
	case errors.Is(err, table.ErrUnavailable):
		m.mu.Lock()
		defer m.mu.Unlock()
		m.machine.StoreUnavailable()
	default:
		m.resolveWrite(ctx, requestedAt, action)
	}
}

// resolveWrite reads the row to find the outcome of a write that got no response or met a
// conflict, which may be an earlier write of this incarnation.
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

// isFromEra reports whether a version is zero, for an absent row, or belongs to an era. Only
// within the era of the request can the row show the outcome of a write.
func isFromEra(version, era uint64) bool { return version == 0 || table.Era(version) == era }

// release releases the lease, so that another node need not wait until it expires.
func (m *leaseManager) release(ctx context.Context) {
	now := m.now()
	m.mu.Lock()
	action, ok := m.machine.Release(now)
	m.mu.Unlock()
	if ok {
		m.write(ctx, now, action)
	}
}
