// Package admission decides which requests run now, which are queued, and
// which are rejected.
//
// Each pool (the groups of one template, as one node may use them) has a
// number of slots. Workspaces share them by weight and may use what others
// leave idle. A request whose predicted wait exceeds its deadline is rejected
// on arrival with a Retry-After time. These times are reserved one after the
// other, so that callers who obey them find a free slot.
//
// The second core decides under overload on requests that are relayed to pools
// shared by all nodes, without a queue. Plan computes which fraction of the
// arrivals a pool can serve, Gate applies it to single requests, and Returns
// schedules when rejected callers return.
//
// The package is pure: it has no clock, goroutine or socket.
package admission

import (
	"math"
	"time"
)

// Outcome is the decision on an arriving request.
type Outcome uint8

// The outcomes.
const (
	OutcomeAdmitted Outcome = iota
	OutcomeQueued
	OutcomeRejected
)

// Reason is why a request was rejected.
type Reason uint8

// The reasons.
const (
	ReasonNone Reason = iota
	// ReasonBusy means that the predicted wait exceeds the deadline.
	ReasonBusy
	// ReasonLimit means that the workspace has reached MaxInFlight.
	ReasonLimit
	// ReasonNoCapacity means that the pool has no slots.
	ReasonNoCapacity
	// ReasonExpired means that the deadline passed in the queue.
	ReasonExpired
)

// String returns the message for callers.
func (r Reason) String() string {
	switch r {
	case ReasonBusy:
		return "the predicted wait is longer than the deadline"
	case ReasonLimit:
		return "the workspace has reached its limit of requests in flight"
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
	priorityCount
)

// ID identifies a request within one machine.
type ID uint64

// Request is an arriving request.
type Request struct {
	ID        ID
	Pool      string
	Workspace string
	// Share and MaxInFlight are the workspace's, from its template.
	Share       float64
	MaxInFlight int
	Priority    Priority
	Deadline    time.Time
	// IsRetry marks a retry of a rejected request. Retries precede new requests of
	// their workspace.
	IsRetry bool
}

// queue returns the index of the request's queue in its workspace.
func (q Request) queue() int {
	if q.IsRetry {
		return queueRetries
	}
	return 1 + int(q.Priority)
}

// The queues of a workspace: one for retries, then one for each priority.
const (
	queueRetries = 0
	queueCount   = 1 + int(priorityCount)
)

// Decision is the decision on one request.
type Decision struct {
	ID         ID
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration
}

const (
	// serviceTimeWeight is the weight of a new sample in the mean service time.
	serviceTimeWeight = 0.1
	// initialServiceTime is assumed until the first request has finished.
	initialServiceTime = 500 * time.Millisecond
	// retryShareWeight is the weight of a new sample in the share of retries
	// among started requests.
	retryShareWeight = 0.02
	// minNewRequestShare is the minimum share of the rate that is expected to
	// be left for new requests.
	minNewRequestShare = 0.05
	// deadlineMargin is how many mean service times must remain until the
	// deadline after the wait. It exceeds 1 because service times vary.
	deadlineMargin = 2
	// agingInterval is the wait that raises a request by one priority, so that
	// high priorities don't starve low ones.
	agingInterval = 2 * time.Second
	// minRetryAfter and maxRetryAfter bound RetryAfter.
	minRetryAfter = time.Second
	maxRetryAfter = time.Hour
	// noCapacityRetryAfter is the RetryAfter while a pool has no slots: about
	// the time to repair a group with a warm spare.
	noCapacityRetryAfter = 5 * time.Second
)

type queuedRequest struct {
	request Request
	arrived time.Time
}

type workspace struct {
	share    float64
	inFlight int
	queues   [queueCount][]queuedRequest
	// retryShare is the moving average of the share of retries among started
	// requests; new requests get the rest of the rate.
	retryShare float64
	// retries holds the retry times that are reserved.
	retries reservation
}

func (w *workspace) queued() int {
	n := 0
	for _, q := range w.queues {
		n += len(q)
	}
	return n
}

type pool struct {
	slots       int
	inFlight    int
	serviceTime time.Duration
	workspaces  map[string]*workspace
}

type runningRequest struct {
	pool      string
	workspace string
	since     time.Time
}

// Machine is one node's admission control.
type Machine struct {
	pools   map[string]*pool
	running map[ID]runningRequest
}

// New returns a machine without capacity.
func New() *Machine {
	return &Machine{pools: map[string]*pool{}, running: map[ID]runningRequest{}}
}

func (m *Machine) pool(name string) *pool {
	p := m.pools[name]
	if p == nil {
		p = &pool{serviceTime: initialServiceTime, workspaces: map[string]*workspace{}}
		m.pools[name] = p
	}
	return p
}

// SetSlots sets the maximum number of concurrent requests of a pool. The
// result lists the queued requests that are now admitted.
func (m *Machine) SetSlots(now time.Time, name string, slots int) []Decision {
	p := m.pool(name)
	p.slots = slots
	return m.fill(now, name, p)
}

// Arrive decides on a new request.
func (m *Machine) Arrive(now time.Time, q Request) Decision {
	p := m.pool(q.Pool)
	w := p.workspaces[q.Workspace]
	if w == nil {
		w = &workspace{}
		p.workspaces[q.Workspace] = w
	}
	w.share = math.Max(q.Share, 0.01)
	if p.slots <= 0 {
		return reject(q.ID, ReasonNoCapacity, noCapacityRetryAfter)
	}
	if w.inFlight+w.queued() >= q.MaxInFlight {
		return reject(q.ID, ReasonLimit, clampRetry(p.serviceTime))
	}
	if p.inFlight < p.slots && p.queued() == 0 {
		m.start(now, q)
		return Decision{ID: q.ID, Outcome: OutcomeAdmitted}
	}
	wait := p.predictedWait(w, q.queue())
	if now.Add(wait + deadlineMargin*p.serviceTime).After(q.Deadline) {
		return reject(q.ID, ReasonBusy, p.reserveRetryTime(now, w, wait))
	}
	w.queues[q.queue()] = append(w.queues[q.queue()], queuedRequest{q, now})
	return Decision{ID: q.ID, Outcome: OutcomeQueued}
}

func reject(id ID, reason Reason, after time.Duration) Decision {
	return Decision{ID: id, Outcome: OutcomeRejected, Reason: reason, RetryAfter: after}
}

func (p *pool) queued() int {
	n := 0
	for _, w := range p.workspaces {
		n += w.queued()
	}
	return n
}

// rate returns the guaranteed requests per second of a workspace: its share of
// the slots among the active workspaces, divided by the service time.
func (p *pool) rate(w *workspace) float64 {
	total := w.share
	for _, other := range p.workspaces {
		if other != w && other.inFlight+other.queued() > 0 {
			total += other.share
		}
	}
	slots := float64(p.slots) * w.share / total
	return slots / math.Max(p.serviceTime.Seconds(), 1e-3)
}

// predictedWait returns the expected time until a new request starts, after
// all requests in its queue and in queues with precedence.
func (p *pool) predictedWait(w *workspace, queue int) time.Duration {
	ahead := 0
	for _, q := range w.queues[:queue+1] {
		ahead += len(q)
	}
	rate := p.rate(w)
	if queue != queueRetries {
		rate *= max(1-w.retryShare, minNewRequestShare)
	}
	seconds := float64(ahead+1) / rate
	return time.Duration(seconds * float64(time.Second))
}

// reserveRetryTime returns the RetryAfter of a rejected request. Each call
// reserves a later time, so that rejected callers don't retry all at once.
func (p *pool) reserveRetryTime(now time.Time, w *workspace, wait time.Duration) time.Duration {
	step := time.Duration(float64(time.Second) / p.rate(w))
	at := w.retries.reserve(now.Add(wait), step)
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
	w.retryShare *= 1 - retryShareWeight
	if q.IsRetry {
		w.retryShare += retryShareWeight
	}
	m.running[q.ID] = runningRequest{q.Pool, q.Workspace, now}
}

// Finish frees the slot of an admitted request. The result lists the queued
// requests that are now admitted.
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
		p.serviceTime = time.Duration((1-serviceTimeWeight)*float64(p.serviceTime) + serviceTimeWeight*sample)
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

// Tick rejects queued requests that can no longer meet their deadline, and
// admits others while slots are free.
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
				out = append(out, reject(item.request.ID, ReasonNoCapacity, noCapacityRetryAfter))
			case now.Add(p.serviceTime).After(item.request.Deadline):
				out = append(out, reject(item.request.ID, ReasonExpired, clampRetry(p.predictedWait(w, item.request.queue()))))
			default:
				kept = append(kept, item)
			}
		}
		w.queues[i] = kept
	}
	return out
}

// fill admits queued requests while slots are free, always from the workspace
// with the fewest requests in flight relative to its share.
func (m *Machine) fill(now time.Time, name string, p *pool) []Decision {
	var out []Decision
	for p.inFlight < p.slots {
		w := p.nextWorkspace()
		if w == nil {
			break
		}
		item := w.dequeue(now)
		m.start(now, item.request)
		out = append(out, Decision{ID: item.request.ID, Outcome: OutcomeAdmitted})
	}
	return out
}

func (p *pool) nextWorkspace() *workspace {
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
		load, bestLoad := float64(w.inFlight)/w.share, float64(best.inFlight)/best.share
		if load < bestLoad || load == bestLoad && name < bestName {
			best, bestName = w, name
		}
	}
	return best
}

// dequeue removes the request with the highest precedence: the first of the
// queues, where a request gains precedence while it waits.
func (w *workspace) dequeue(now time.Time) queuedRequest {
	chosen := -1
	lowest := math.Inf(1)
	for i, q := range w.queues {
		if len(q) == 0 {
			continue
		}
		rank := float64(i) - now.Sub(q[0].arrived).Seconds()/agingInterval.Seconds()
		if rank < lowest {
			chosen, lowest = i, rank
		}
	}
	item := w.queues[chosen][0]
	w.queues[chosen] = w.queues[chosen][1:]
	return item
}

// Load is the load of a pool on this node.
type Load struct {
	Slots    int
	InFlight int
	Queued   int
}

// Load returns the load of a pool.
func (m *Machine) Load(name string) Load {
	p := m.pool(name)
	return Load{Slots: p.slots, InFlight: p.inFlight, Queued: p.queued()}
}
