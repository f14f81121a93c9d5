// Package lease decides when a node may act as its data centre's controller.
//
// The lease keeps two controllers from wasting work; it gives no safety by
// itself. Every change that a controller makes carries its epoch and is
// checked against the epoch row in the same transaction, so that a holder
// which was paused past its lease finds out at the table.
//
// Machine is pure: it has no clock, goroutine or socket.
package lease

import "time"

// Row is the lease as the platform's table has it.
type Row struct {
	Epoch  uint64 `json:"epoch"`
	Holder string `json:"holder"`
	// Address is where the holder can be reached, so that one read finds it.
	Address string `json:"address,omitempty"`
	// Renewals rises with every renewal, so that others see a living holder
	// by change alone, without comparing clocks.
	Renewals uint64 `json:"renewals"`
	// Released is set by a holder that is stopping.
	Released bool `json:"released,omitempty"`
}

// Options of a Machine.
type Options struct {
	Self string
	// Address is that of this node for others.
	Address string
	// TTL is how long an unchanged row counts as held.
	TTL time.Duration
	// RenewInterval is how often the holder renews the lease and the other nodes read it.
	RenewInterval time.Duration
	// Guard is how long before TTL the holder itself stops acting.
	Guard time.Duration
	// IsEarlierIncarnation reports whether a holder is an earlier incarnation of this node
	// that no longer runs; nil means that this is unknown.
	IsEarlierIncarnation func(holder string) bool
	// OutageExtension is how long a holder keeps an expired lease while the table does not
	// answer it; zero disables this. The table may grant the lease to another node meanwhile,
	// so the caller must tolerate two holders for that long.
	OutageExtension time.Duration
}

// ActionKind is what the caller has to do next.
type ActionKind uint8

// The kinds of action.
const (
	// ActionNone asks for nothing.
	ActionNone ActionKind = iota
	// ActionRead asks for the row, then Machine.ReadDone.
	ActionRead
	// ActionAcquire asks to write Row if the table's row has not changed
	// since it was read, with a new epoch row, then Machine.WriteDone.
	ActionAcquire
	// ActionRenew asks to write Row if it has not changed, then Machine.WriteDone.
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
	// changed is when this node first saw the row as it is.
	changed time.Time
	// until is when this node's own hold ends on its own clock.
	until time.Time
	// failing is set while the table has not answered since the last renewal.
	failing bool
	next    time.Time
	look    time.Duration
	busy    bool
	seen    bool
	// highest is the highest epoch that anybody is known to have had.
	highest uint64
	// forsaken is set once this life gave up what the row may still tell that it holds.
	forsaken bool
}

// New returns a machine that knows nothing of the row.
func New(options Options) *Machine {
	return &Machine{options: options}
}

// Held reports whether this node may act, and under which epoch.
func (m *Machine) Held(now time.Time) (epoch uint64, held bool) {
	if m.acquired() && now.Before(m.until) || m.HeldPastExpiry(now) {
		return m.row.Epoch, true
	}
	return 0, false
}

// acquired reports whether this life of the node wrote the row as it is.
func (m *Machine) acquired() bool {
	return m.row.Holder == m.options.Self && !m.row.Released && !m.until.IsZero()
}

// HeldPastExpiry reports whether this node still holds its expired lease because the
// table does not answer.
func (m *Machine) HeldPastExpiry(now time.Time) bool {
	return m.acquired() && m.failing && !now.Before(m.until) && now.Before(m.until.Add(m.options.OutageExtension))
}

// StepDown ends a hold past the lease, since another node holds it or an endpoint
// has seen a later epoch, and reports whether there was one.
func (m *Machine) StepDown(now time.Time) bool {
	if !m.HeldPastExpiry(now) {
		return false
	}
	m.until = time.Time{}
	m.seen = false
	return true
}

// Holder returns the last known holder and epoch.
func (m *Machine) Holder() (holder string, epoch uint64) {
	return m.row.Holder, m.row.Epoch
}

// SetReadInterval sets how often a node that does not hold the lease reads the row.
func (m *Machine) SetReadInterval(d time.Duration) { m.look = d }

// Next returns what to do now. Only one action is under way at a time.
func (m *Machine) Next(now time.Time) Action {
	if m.busy || now.Before(m.next) {
		return Action{}
	}
	m.busy = true
	m.next = now.Add(max(m.options.RenewInterval, m.look))
	if !m.seen {
		return Action{Kind: ActionRead}
	}
	if _, held := m.Held(now); held {
		m.next = now.Add(m.options.RenewInterval)
		row := m.row
		row.Renewals++
		return Action{Kind: ActionRenew, Row: row, Version: m.version}
	}
	if m.lapsed(now) {
		m.next = now.Add(m.options.RenewInterval)
		row := Row{Epoch: max(m.row.Epoch, m.highest) + 1, Holder: m.options.Self, Address: m.options.Address}
		return Action{Kind: ActionAcquire, Row: row, Version: m.version}
	}
	return Action{Kind: ActionRead}
}

func (m *Machine) lapsed(now time.Time) bool {
	return m.free() || now.Sub(m.changed) > m.options.TTL
}

// free reports whether nobody holds the lease, however fresh the row is: an
// earlier life of this node has ended, and need not be waited for.
func (m *Machine) free() bool {
	if m.row.Released || m.version == 0 || m.forsaken && m.row.Holder == m.options.Self {
		return true
	}
	return m.options.IsEarlierIncarnation != nil && m.row.Holder != m.options.Self && m.options.IsEarlierIncarnation(m.row.Holder)
}

// ObserveEpoch records an epoch that may be in use, so that this node acquires later ones
// only. A table that was restored from an older copy does not show it.
func (m *Machine) ObserveEpoch(epoch uint64) { m.highest = max(m.highest, epoch) }

// Abandon gives up a hold at once because the table was restored from an older copy: others
// may have read the row as it was before this incarnation acquired it. If the restored row
// names this incarnation, it may acquire the lease again at once, under a later epoch.
func (m *Machine) Abandon() {
	m.forsaken = true
	m.busy, m.failing, m.seen = false, false, false
	m.until, m.next = time.Time{}, time.Time{}
}

// ReadDone records the row as it was read at the given time.
func (m *Machine) ReadDone(now time.Time, row Row, version uint64) {
	m.busy = false
	m.failing = false
	if m.seen && version == m.version {
		return
	}
	m.seen = true
	m.row = row
	m.version = version
	m.changed = now
	m.ObserveEpoch(row.Epoch)
	if m.free() {
		m.next = now
	}
	// A row that names this node but was read, not written, is no hold: an
	// earlier life of this node may have written it.
}

// ObserveHolder records that the holder is alive, as a change of the row would, so that
// the row need not be read.
func (m *Machine) ObserveHolder(now time.Time) {
	m.busy = false
	m.changed = now
	if later := now.Add(m.look); later.After(m.next) {
		m.next = later
	}
}

// WriteDone records the outcome of a write. The hold counts from the time of the request,
// not of the response.
func (m *Machine) WriteDone(asked time.Time, row Row, version uint64, committed bool) {
	m.busy = false
	m.failing = false
	if !committed {
		m.seen = false
		m.until = time.Time{}
		m.next = time.Time{}
		return
	}
	m.row = row
	m.version = version
	m.changed = asked
	m.forsaken = false
	m.ObserveEpoch(row.Epoch)
	m.until = asked.Add(m.options.TTL - m.options.Guard)
	if row.Released {
		m.until = time.Time{}
	}
}

// StoreUnavailable records that the table did not answer. The hold lasts until it expires,
// or until the end of the outage extension if one is set.
func (m *Machine) StoreUnavailable() {
	m.busy = false
	m.failing = true
}

// Release returns the row that gives the lease up, if it is held.
func (m *Machine) Release(now time.Time) (Action, bool) {
	if _, held := m.Held(now); !held {
		return Action{}, false
	}
	row := m.row
	row.Released = true
	m.until = time.Time{}
	return Action{Kind: ActionRenew, Row: row, Version: m.version}, true
}
