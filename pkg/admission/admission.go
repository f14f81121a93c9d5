// Package admission decides which requests run now, which wait, and which
// are refused at once.
//
// Each pool (the groups of one template, as one node may use them) has a
// number of slots. Workspaces share them by weight and borrow what others
// leave unused. A request whose predicted wait does not fit its deadline is
// refused on arrival, with the time at which it is worth coming back; that
// time is booked, so that callers who obey it find room.
//
// Machine is pure: it has no clock, goroutine or socket.
package admission

import (
	"math"
	"time"
)

// Outcome is the answer to an arrival.
type Outcome uint8

// The outcomes.
const (
	OutcomeAdmitted Outcome = iota
	OutcomeQueued
	OutcomeRefused
)

// Reason says why a request was refused.
type Reason uint8

// The reasons.
const (
	ReasonNone Reason = iota
	// ReasonBusy means that the wait would outlast the deadline.
	ReasonBusy
	// ReasonLimit means that the workspace is at its own limit.
	ReasonLimit
	// ReasonNoCapacity means that no group of the pool serves now.
	ReasonNoCapacity
	// ReasonExpired means that the deadline passed in the queue.
	ReasonExpired
)

// String returns the reason in words for callers.
func (r Reason) String() string {
	switch r {
	case ReasonBusy:
		return "the predicted wait is longer than the deadline"
	case ReasonLimit:
		return "the workspace is at its limit of requests in progress"
	case ReasonNoCapacity:
		return "no replica group serves this workspace now"
	case ReasonExpired:
		return "the deadline passed while the request waited"
	default:
		return ""
	}
}

// Priority orders the requests of one workspace.
type Priority uint8

// The priorities.
const (
	PriorityHigh Priority = iota
	PriorityNormal
	PriorityLow
	priorities
)

// ID names a request within one machine.
type ID uint64

// Request is one arrival.
type Request struct {
	ID        ID
	Pool      string
	Workspace string
	// Share and MaxInFlight are the workspace's, from its template.
	Share       float64
	MaxInFlight int
	Priority    Priority
	Deadline    time.Time
	// IsRetry marks a request that was rejected before and returns at the time it was told.
	// It precedes new requests of its workspace.
	IsRetry bool
}

// line is the queue of its workspace that the request waits in.
func (q Request) line() int {
	if q.IsRetry {
		return lineReturning
	}
	return 1 + int(q.Priority)
}

// The lines of a workspace: returning requests, then one for each priority.
const (
	lineReturning = 0
	lines         = 1 + int(priorities)
)

// Decision is the answer to one request.
type Decision struct {
	ID         ID
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration
}

// Tuning constants.
const (
	// ewmaWeight is the weight of a new sample in the mean service time.
	ewmaWeight = 0.1
	// initialService is assumed until the first request has finished.
	initialService = 500 * time.Millisecond
	// returnsWeight is the weight of one start in the part of returning ones,
	// and minNewShare the part of the rate that new requests are counted at
	// least.
	returnsWeight = 0.02
	minNewShare   = 0.05
	// serviceMargin is how many mean service times must be left of a deadline
	// after the wait: work that ends too late is lost, and service times vary.
	serviceMargin = 2
	// agingStep is the wait that lifts a request by one priority, so that
	// low ones are not starved by a steady flow of high ones.
	agingStep = 2 * time.Second
	// minRetryAfter and maxRetryAfter bound what callers are told.
	minRetryAfter = time.Second
	maxRetryAfter = time.Hour
	// noCapacityRetryAfter is told while a pool has no slots at all: about
	// the time that a group takes to be repaired with a spare.
	noCapacityRetryAfter = 5 * time.Second
)

type waiting struct {
	request Request
	arrived time.Time
}

type workspace struct {
	share    float64
	inFlight int
	queues   [lines][]waiting
	// returns is the part of the started requests that were returning, of
	// late; new ones have only the rest of the rate.
	returns float64
	// booked is how far ahead the come-back times are already promised.
	booked time.Time
}

func (w *workspace) queued() int {
	n := 0
	for _, q := range w.queues {
		n += len(q)
	}
	return n
}

type pool struct {
	slots      int
	inFlight   int
	service    time.Duration
	workspaces map[string]*workspace
}

type running struct {
	pool      string
	workspace string
	since     time.Time
}

// Machine is one node's admission.
type Machine struct {
	pools   map[string]*pool
	running map[ID]running
}

// New returns a machine without capacity.
func New() *Machine {
	return &Machine{pools: map[string]*pool{}, running: map[ID]running{}}
}

func (m *Machine) pool(name string) *pool {
	p := m.pools[name]
	if p == nil {
		p = &pool{service: initialService, workspaces: map[string]*workspace{}}
		m.pools[name] = p
	}
	return p
}

// SetSlots sets how many requests of a pool this node may have running. The
// result lists queued requests that are now admitted.
func (m *Machine) SetSlots(now time.Time, name string, slots int) []Decision {
	p := m.pool(name)
	p.slots = slots
	return m.fill(now, name, p)
}

// Arrive decides about a new request.
func (m *Machine) Arrive(now time.Time, q Request) Decision {
	p := m.pool(q.Pool)
	w := p.workspaces[q.Workspace]
	if w == nil {
		w = &workspace{}
		p.workspaces[q.Workspace] = w
	}
	w.share = math.Max(q.Share, 0.01)
	if p.slots <= 0 {
		return refuse(q.ID, ReasonNoCapacity, noCapacityRetryAfter)
	}
	if w.inFlight+w.queued() >= q.MaxInFlight {
		return refuse(q.ID, ReasonLimit, clampRetry(p.service))
	}
	if p.inFlight < p.slots && p.queued() == 0 {
		m.start(now, q)
		return Decision{ID: q.ID, Outcome: OutcomeAdmitted}
	}
	wait := p.predictedWait(w, q.line())
	if now.Add(wait + serviceMargin*p.service).After(q.Deadline) {
		return refuse(q.ID, ReasonBusy, p.book(now, w, wait))
	}
	w.queues[q.line()] = append(w.queues[q.line()], waiting{q, now})
	return Decision{ID: q.ID, Outcome: OutcomeQueued}
}

func refuse(id ID, reason Reason, after time.Duration) Decision {
	return Decision{ID: id, Outcome: OutcomeRefused, Reason: reason, RetryAfter: after}
}

func (p *pool) queued() int {
	n := 0
	for _, w := range p.workspaces {
		n += w.queued()
	}
	return n
}

// rate returns the requests a second that a workspace is sure of: its share
// of the slots among the workspaces that want some, over the service time.
func (p *pool) rate(w *workspace) float64 {
	total := w.share
	for _, other := range p.workspaces {
		if other != w && other.inFlight+other.queued() > 0 {
			total += other.share
		}
	}
	slots := float64(p.slots) * w.share / total
	return slots / math.Max(p.service.Seconds(), 1e-3)
}

// predictedWait is the time until one more request of the workspace starts,
// behind all that wait in its line or in those before it.
func (p *pool) predictedWait(w *workspace, line int) time.Duration {
	ahead := 0
	for _, q := range w.queues[:line+1] {
		ahead += len(q)
	}
	rate := p.rate(w)
	if line != lineReturning {
		rate *= max(1-w.returns, minNewShare)
	}
	seconds := float64(ahead+1) / rate
	return time.Duration(seconds * float64(time.Second))
}

// book promises a come-back time. Each promise takes its place in line, so
// that a thousand refused callers do not all come back in the same second.
func (p *pool) book(now time.Time, w *workspace, wait time.Duration) time.Duration {
	step := time.Duration(float64(time.Second) / p.rate(w))
	at := now.Add(wait)
	if w.booked.After(at) {
		at = w.booked
	}
	w.booked = at.Add(step)
	return clampRetry(at.Sub(now))
}

func clampRetry(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

func (m *Machine) start(now time.Time, q Request) {
	p := m.pools[q.Pool]
	p.inFlight++
	w := p.workspaces[q.Workspace]
	w.inFlight++
	w.returns *= 1 - returnsWeight
	if q.IsRetry {
		w.returns += returnsWeight
	}
	m.running[q.ID] = running{q.Pool, q.Workspace, now}
}

// Finish ends a request that was admitted. The result lists the queued
// requests that are admitted in its place.
func (m *Machine) Finish(now time.Time, id ID, served bool) []Decision {
	r, ok := m.running[id]
	if !ok {
		return nil
	}
	delete(m.running, id)
	p := m.pools[r.pool]
	p.inFlight--
	p.workspaces[r.workspace].inFlight--
	if served {
		sample := float64(now.Sub(r.since))
		p.service = time.Duration((1-ewmaWeight)*float64(p.service) + ewmaWeight*sample)
	}
	return m.fill(now, r.pool, p)
}

// Cancel removes a request in any state after its caller has disconnected.
func (m *Machine) Cancel(now time.Time, name string, id ID) []Decision {
	if _, ok := m.running[id]; ok {
		return m.Finish(now, id, false)
	}
	for _, w := range m.pool(name).workspaces {
		w.remove(id)
	}
	return nil
}

func (w *workspace) remove(id ID) {
	for i, q := range w.queues {
		for j, item := range q {
			if item.request.ID == id {
				w.queues[i] = append(q[:j:j], q[j+1:]...)
				return
			}
		}
	}
}

// Tick refuses queued requests that can no longer meet their deadline, and
// admits others where there is room.
func (m *Machine) Tick(now time.Time) []Decision {
	var out []Decision
	for name, p := range m.pools {
		for _, w := range p.workspaces {
			out = append(out, p.expire(now, w)...)
		}
		out = append(out, m.fill(now, name, p)...)
	}
	return out
}

func (p *pool) expire(now time.Time, w *workspace) []Decision {
	var out []Decision
	for i, q := range w.queues {
		kept := q[:0]
		for _, item := range q {
			switch {
			case p.slots <= 0:
				out = append(out, refuse(item.request.ID, ReasonNoCapacity, noCapacityRetryAfter))
			case now.Add(p.service).After(item.request.Deadline):
				out = append(out, refuse(item.request.ID, ReasonExpired, clampRetry(p.predictedWait(w, item.request.line()))))
			default:
				kept = append(kept, item)
			}
		}
		w.queues[i] = kept
	}
	return out
}

// fill admits queued requests while there are free slots, always from the
// workspace that has least in flight for its share.
func (m *Machine) fill(now time.Time, name string, p *pool) []Decision {
	var out []Decision
	for p.inFlight < p.slots {
		w := p.neediest()
		if w == nil {
			break
		}
		item := w.take(now)
		m.start(now, item.request)
		out = append(out, Decision{ID: item.request.ID, Outcome: OutcomeAdmitted})
	}
	return out
}

func (p *pool) neediest() *workspace {
	var best *workspace
	bestName := ""
	for name, w := range p.workspaces {
		if w.queued() == 0 {
			continue
		}
		if best == nil {
			best, bestName = w, name
			continue
		}
		mine, theirs := float64(w.inFlight)/w.share, float64(best.inFlight)/best.share
		if mine < theirs || mine == theirs && name < bestName {
			best, bestName = w, name
		}
	}
	return best
}

// take removes the first request by its line, each lifted by its wait.
func (w *workspace) take(now time.Time) waiting {
	chosen := -1
	lowest := math.Inf(1)
	for i, q := range w.queues {
		if len(q) == 0 {
			continue
		}
		rank := float64(i) - now.Sub(q[0].arrived).Seconds()/agingStep.Seconds()
		if rank < lowest {
			chosen, lowest = i, rank
		}
	}
	item := w.queues[chosen][0]
	w.queues[chosen] = w.queues[chosen][1:]
	return item
}

// Load is how busy a pool is on this node.
type Load struct {
	Slots    int
	InFlight int
	Queued   int
}

// Load returns how busy a pool is.
func (m *Machine) Load(name string) Load {
	p := m.pool(name)
	return Load{Slots: p.slots, InFlight: p.inFlight, Queued: p.queued()}
}
