package relay

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/logging"
	"github.com/ridgehinge/ridgehinge/pkg/admission"
)

const (
	// planInterval is how long a plan is in force. Peers report about as often.
	planInterval = 100 * time.Millisecond
	// maxEvidenceAge is the age from which the rates of the peers no longer count.
	maxEvidenceAge = time.Second
	// nearlyShort is the fraction of the slots in use from which workspaces are told to peers.
	nearlyShort = 0.7
	// shortLogInterval bounds the log lines about the plan of one pool.
	shortLogInterval = time.Second
)

// Overload decides which requests are shed while a pool has more demand than its groups can begin
// in time. All nodes compute the same plan from the rates and loads that they exchange. It is safe
// for concurrent use.
type Overload struct {
	policy   admission.Policy
	arrivals *Arrivals
	balancer *Balancer
	log      logging.Logger

	mu      sync.Mutex
	random  *rand.Rand
	peers   map[directory.Pool]PoolRates
	peersAt time.Time
	pools   map[directory.Pool]*poolPlan
}

// poolPlan is the state of one pool.
type poolPlan struct {
	plan      admission.Plan
	gate      *admission.Gate
	returns   *admission.Returns
	objective recentMinimum
	updatedAt time.Time
	// loggedShort is the state that the last line of the log states, and loggedAt the time of it.
	loggedShort bool
	loggedAt    time.Time
	// nearlyShort is set while the pool has little capacity left.
	nearlyShort bool
	// part is this node's part of the demand, 0 to 1.
	part float64
}

// NewOverload returns an Overload without evidence.
func NewOverload(policy admission.Policy, arrivals *Arrivals, balancer *Balancer, source rand.Source) *Overload {
	return &Overload{
		policy:   policy,
		arrivals: arrivals,
		balancer: balancer,
		log:      logging.For("relay"),
		random:   rand.New(source),
		pools:    map[directory.Pool]*poolPlan{},
	}
}

// SetPeerRates sets the sum of the rates of the other nodes, as of the given time.
func (o *Overload) SetPeerRates(rates map[directory.Pool]PoolRates, at time.Time) {
	offsets := make(map[directory.Pool]WeightedOffset, len(rates))
	for pool, r := range rates {
		offsets[pool] = WeightedOffset{r.Offset, r.OffsetWeight}
	}
	o.balancer.Offsets().SetPeers(offsets, at)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.peers, o.peersAt = rates, at
}

// OwnRates returns the rates of this node, for its peers.
func (o *Overload) OwnRates(now time.Time) map[directory.Pool]PoolRates {
	out := o.arrivals.Rates(now)
	for pool, r := range out {
		own := o.balancer.Offsets().Own(pool, now)
		r.Offset, r.OffsetWeight = own.Value, own.Weight
		out[pool] = r
	}
	return out
}

// NearlyShort reports whether a pool has little capacity left, so that shares of workspaces may be
// needed soon.
func (o *Overload) NearlyShort(pool directory.Pool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.pools[pool]
	return p != nil && p.nearlyShort
}

// overloadRequest is what the decision on a request depends on.
type overloadRequest struct {
	pool      directory.Pool
	heads     []*directory.Head
	level     admission.Level
	workspace uint32
	tokens    int
	objective time.Duration
	returning bool
}

// Admit counts a request and reports whether it is admitted.
func (o *Overload) Admit(q overloadRequest, now time.Time) bool {
	o.arrivals.RecordArrival(q.pool, q.level, q.workspace, q.tokens, q.returning, now)
	if len(q.heads) == 0 {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.pool(q.pool)
	p.objective.record(q.objective, now)
	if now.Sub(p.updatedAt) >= planInterval {
		o.update(p, q, now)
	}
	return p.gate.Admit(&p.plan, q.level, q.workspace, q.returning)
}

// IsShort reports whether a pool has more demand than it can serve.
func (o *Overload) IsShort(pool directory.Pool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.pools[pool]
	return p != nil && p.plan.Short()
}

// RetryAfter returns when a rejected caller is to return.
func (o *Overload) RetryAfter(pool directory.Pool, c admission.Caller, now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.pool(pool)
	after, _ := p.returns.RetryAfter(now, p.plan.Outlook(), p.part, c)
	return after
}

// pool returns the state of a pool; the caller must hold the lock.
func (o *Overload) pool(pool directory.Pool) *poolPlan {
	p := o.pools[pool]
	if p == nil {
		p = &poolPlan{gate: admission.NewGate(o.random), returns: admission.NewReturns(o.random)}
		o.pools[pool] = p
	}
	return p
}

// update computes the plan of a pool; the caller must hold the lock.
func (o *Overload) update(p *poolPlan, q overloadRequest, now time.Time) {
	own := o.arrivals.PoolRates(q.pool, now)
	total := own
	hearsPeers := now.Sub(o.peersAt) <= maxEvidenceAge
	if hearsPeers {
		total = own.Add(o.peers[q.pool])
	}
	load := o.balancer.poolLoad(q.heads, hearsPeers, now)
	state := admission.PoolState{
		Slots:      load.slots,
		Running:    load.running,
		Unread:     load.unread,
		ReadRate:   load.readRate,
		Slack:      p.objective.value(now) - o.balancer.FirstOffset(q.pool, now),
		Starts:     total.Starts,
		TokensRead: total.TokensRead,
		Demand:     total.Levels,
	}
	p.plan.Update(state, o.policy)
	p.updatedAt = now
	p.nearlyShort = p.plan.Short() || float64(load.running) > nearlyShort*float64(load.slots)
	p.part = 0
	if all := requestRate(total.Levels); all > 0 {
		p.part = requestRate(own.Levels) / all
	}
	if p.plan.Short() != p.loggedShort && now.Sub(p.loggedAt) >= shortLogInterval {
		p.loggedShort, p.loggedAt = p.plan.Short(), now
		o.logPlan(p, q.pool, state, now)
	}
}

// logPlan logs that a pool became short or has capacity again.
func (o *Overload) logPlan(p *poolPlan, pool directory.Pool, s admission.PoolState, now time.Time) {
	outlook := p.plan.Outlook()
	o.log.Info("overload of a pool changed", "service", pool.Service, "model", pool.Model, "short", p.plan.Short(),
		"arrivals", outlook.Arrivals, "admissible", outlook.Admissible, "starts", s.Starts, "slots", s.Slots, "running", s.Running,
		"unread", s.Unread, "read_rate", s.ReadRate, "slack", s.Slack, "evidence_age", now.Sub(o.peersAt))
}

// requestRate returns the requests per second of all levels.
func requestRate(levels []admission.LevelDemand) float64 {
	sum := 0.0
	for i := range levels {
		sum += levels[i].New + levels[i].Returning
	}
	return sum
}

// poolLoad is the load of the groups of a pool that can serve requests.
type poolLoad struct {
	slots, running, unread int
	// readRate is the number of prompt tokens that the groups can read per second.
	readRate float64
}

// poolLoad adds up the loads of the groups that are neither incomplete nor suspect. The loads of
// peers are left out if their rates are unknown: this node's starts alone can't correct an excess
// that all nodes have caused.
func (b *Balancer) poolLoad(heads []*directory.Head, withPeers bool, now time.Time) poolLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := poolLoad{}
	for _, h := range heads {
		l := b.load(h.ID)
		if h.Incomplete || now.Before(l.suspectUntil) || b.isUnreachable(h.DataCentre, now) {
			continue
		}
		sum.slots += h.Slots
		sum.running += l.running
		sum.unread += l.unread
		if withPeers {
			sum.running += l.peers.Running
			sum.unread += l.peers.Unread
		}
		sum.readRate += h.Engine.TokensPerSec / h.TimeFactor
	}
	return sum
}
