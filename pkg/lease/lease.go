// Package lease decides when a node may act as its data centre's controller.
//
// The lease avoids the wasted work of two controllers; it is not needed for safety. Every
// change that a controller makes carries its lease epoch and is checked against the epoch row
// in the same transaction, so a holder that was suspended past its lease is rejected by the
// table.
//
// Machine is pure: it has no clock, goroutine or socket.
package lease

import "time"

// Row is the lease row in the platform's table.
type Row struct {
	Epoch  uint64 `json:"epoch"`
	Holder string `json:"holder"`
	// Address is where other nodes reach the holder, so that one read finds it.
	Address string `json:"address,omitempty"`
	// Renewals is incremented by every renewal, so that others see that the holder is alive
	// without comparing clocks.
	Renewals uint64 `json:"renewals"`
	// Released is set by a holder that is stopping.
	Released bool `json:"released,omitempty"`
}

// Options of a Machine.
type Options struct {
	Self string
	// Address is the address of this node for other nodes.
	Address string
	// TTL is how long an unchanged row counts as held.
	TTL time.Duration
	// RenewInterval is how often the holder renews the lease and the other nodes read it.
	RenewInterval time.Duration
	// Guard is how long before the TTL the holder itself stops acting.
	Guard time.Duration
	// IsEarlierIncarnation reports whether a holder is an earlier incarnation of this node
	// that no longer runs; nil means that this is unknown.
	IsEarlierIncarnation func(holder string) bool
	// OutageExtension is how long a holder keeps an expired lease while the table does not
	// respond; zero disables this. The table may grant the lease to another node meanwhile, so
	// the caller must tolerate two holders for that long.
	OutageExtension time.Duration
}

// ActionKind is the kind of the caller's next action.
type ActionKind uint8

// The kinds of action.
const (
	// ActionNone requires nothing.
	ActionNone ActionKind = iota
	// ActionRead requires reading the row and then calling Machine.ReadDone.
	ActionRead
	// ActionAcquire requires writing Row, together with a new epoch row, if the table's row
	// has not changed since it was read, and then calling Machine.WriteDone.
	ActionAcquire
	// ActionRenew requires writing Row if the table's row has not changed, and then calling
	// Machine.WriteDone.
	ActionRenew
)

// Action is one request to the caller.
type Action struct {
	Kind ActionKind
	Row  Row
	// Version is the version that the table's row must still have.
	Version uint64
}

// Machine is one node's view of the lease.
type Machine struct {
	options Options
	row     Row
	version uint64
	// changedAt is when this node first saw the row in its current version.
	changedAt time.Time
	// heldUntil is when this node's lease expires by its own clock.
	heldUntil time.Time
	// unavailable is set while the table has not responded since the last successful call.
	unavailable  bool
	nextActionAt time.Time
	readInterval time.Duration
	inFlight     bool
	rowKnown     bool
	// maxEpoch is the highest epoch that is known to have been in use.
	maxEpoch uint64
	// writing is the row of the write in flight, and unanswered that of the last write that got no
	// response. They are zero if there is none.
	writing    Row
	unanswered Row
	// abandoned is set after Abandon until this incarnation acquires the lease again.
	abandoned bool
}

// New returns a machine that has not read the row.
func New(options Options) *Machine {
	return &Machine{options: options}
}

// Held reports whether this node may act, and under which epoch.
func (m *Machine) Held(now time.Time) (epoch uint64, held bool) {
	if m.acquired() && now.Before(m.heldUntil) || m.HeldPastExpiry(now) {
		return m.row.Epoch, true
	}
	return 0, false
}

// acquired reports whether this incarnation of the node wrote the current row.
func (m *Machine) acquired() bool {
	return m.row.Holder == m.options.Self && !m.row.Released && !m.heldUntil.IsZero()
}

// HeldPastExpiry reports whether this node still holds its expired lease because the table
// does not respond.
func (m *Machine) HeldPastExpiry(now time.Time) bool {
	return m.acquired() && m.unavailable && !now.Before(m.heldUntil) && now.Before(m.heldUntil.Add(m.options.OutageExtension))
}

// StepDown gives up a lease held past expiry, because another node holds it or an endpoint has
// seen a later epoch, and reports whether there was one.
func (m *Machine) StepDown(now time.Time) bool {
	if !m.HeldPastExpiry(now) {
		return false
	}
	m.heldUntil = time.Time{}
	m.rowKnown = false
	return true
}

// Holder returns the last known holder and epoch.
func (m *Machine) Holder() (holder string, epoch uint64) {
	return m.row.Holder, m.row.Epoch
}

// Unavailable reports whether the table has not responded to the last call.
func (m *Machine) Unavailable() bool { return m.unavailable }

// SetReadInterval sets how often a node that does not hold the lease reads the row.
func (m *Machine) SetReadInterval(d time.Duration) { m.readInterval = d }

// Next returns the next action. Only one action is in flight at a time.
func (m *Machine) Next(now time.Time) Action {
	if m.inFlight || now.Before(m.nextActionAt) {
		return Action{}
	}
	m.inFlight = true
	m.nextActionAt = now.Add(max(m.options.RenewInterval, m.readInterval))
	if !m.rowKnown {
		return Action{Kind: ActionRead}
	}
	if _, held := m.Held(now); held {
		m.nextActionAt = now.Add(m.options.RenewInterval)
		row := m.row
		row.Renewals++
		m.writing = row
		return Action{Kind: ActionRenew, Row: row, Version: m.version}
	}
	if m.hasExpired(now) {
		m.nextActionAt = now.Add(m.options.RenewInterval)
		row := Row{Epoch: max(m.row.Epoch, m.maxEpoch) + 1, Holder: m.options.Self, Address: m.options.Address}
		m.writing = row
		return Action{Kind: ActionAcquire, Row: row, Version: m.version}
	}
	return Action{Kind: ActionRead}
}

func (m *Machine) hasExpired(now time.Time) bool {
	return m.isFree() || now.Sub(m.changedAt) > m.options.TTL
}

// isFree reports whether the lease can be acquired without waiting for it to expire, for
// instance because its holder is a terminated incarnation of this node, or because this node wrote the
// row but got no response.
func (m *Machine) isFree() bool {
	if m.row == m.unanswered && m.heldUntil.IsZero() && m.unanswered != (Row{}) {
		return true
	}
	if m.row.Released || m.version == 0 || m.abandoned && m.row.Holder == m.options.Self {
		return true
	}
	return m.options.IsEarlierIncarnation != nil && m.row.Holder != m.options.Self && m.options.IsEarlierIncarnation(m.row.Holder)
}

// ObserveEpoch records an epoch that may be in use, so that this node acquires only later
// ones. A table restored from an older copy does not contain it.
func (m *Machine) ObserveEpoch(epoch uint64) { m.maxEpoch = max(m.maxEpoch, epoch) }

// Abandon gives up the lease at once because the table was restored from an older copy: others
// may have read the row as it was before this incarnation acquired it. If the restored row
// names this incarnation, it may acquire the lease again at once, under a later epoch.
func (m *Machine) Abandon() {
	m.abandoned = true
	m.inFlight, m.unavailable, m.rowKnown = false, false, false
	m.heldUntil, m.nextActionAt = time.Time{}, time.Time{}
}

// ReadDone records the row as it was read at the given time.
func (m *Machine) ReadDone(now time.Time, row Row, version uint64) {
	m.inFlight = false
	m.unavailable = false
	if m.rowKnown && version == m.version {
		return
	}
	m.rowKnown = true
	m.row = row
	m.version = version
	m.changedAt = now
	m.ObserveEpoch(row.Epoch)
	if m.isFree() {
		m.nextActionAt = now
	}
	// A row that names this node but was read, not written, does not count as held: it may be
	// from an earlier incarnation.
}

// ObserveHolder records that the holder is alive, as a change of the row would, so that the
// row need not be read.
func (m *Machine) ObserveHolder(now time.Time) {
	m.inFlight = false
	m.changedAt = now
	if later := now.Add(m.readInterval); later.After(m.nextActionAt) {
		m.nextActionAt = later
	}
}

// WriteDone records the outcome of a write. The TTL counts from the time of the request, not
// of the response.
func (m *Machine) WriteDone(requestedAt time.Time, row Row, version uint64, committed bool) {
	m.inFlight = false
	m.unavailable = false
	m.writing = Row{}
	if !committed {
		m.rowKnown = false
		m.heldUntil = time.Time{}
		m.nextActionAt = time.Time{}
		return
	}
	m.row = row
	m.version = version
	m.changedAt = requestedAt
	m.unanswered = Row{}
	m.abandoned = false
	m.ObserveEpoch(row.Epoch)
	m.heldUntil = requestedAt.Add(m.options.TTL - m.options.Guard)
	if row.Released {
		m.heldUntil = time.Time{}
	}
}

// StoreUnavailable records that the table did not respond. The lease is held until it expires,
// or until the end of the outage extension if one is set.
func (m *Machine) StoreUnavailable() {
	m.inFlight = false
	m.unavailable = true
	if m.writing != (Row{}) {
		m.unanswered, m.writing = m.writing, Row{}
	}
}

// Release returns the write that releases the lease, if it is held.
func (m *Machine) Release(now time.Time) (Action, bool) {
	if _, held := m.Held(now); !held {
		return Action{}, false
	}
	row := m.row
	row.Released = true
	m.heldUntil = time.Time{}
	return Action{Kind: ActionRenew, Row: row, Version: m.version}, true
}
