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
	// maxEvidenceAge is the age of the peers' rates beyond which all requests are admitted.
	maxEvidenceAge = time.Second
	// nearlyShort is the fraction of the slots in use from which workspaces are told to peers. With 0.7, the
	// names came too late to extrapolate the rise of a workspace to ten times its demand, and in simulations
	// 5 to 9 in 100 requests of the others were late in a pool at 0.6 to 0.7 of its capacity.
	nearlyShort = 0.5
	// shortLogInterval bounds the log lines about the plan of one pool.
	shortLogInterval = time.Second
	// noObjectiveSlack is the slack of pools whose routes have no objective.
	noObjectiveSlack = time.Hour
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
	// levelObjectives has the tightest objective of each level.
	levelObjectives [admission.MaxLevel + 1]recentMinimum
	updatedAt       time.Time
	// loggedShort is what the last log line about the plan, at loggedAt, stated.
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
		offsets[pool] = r.weightedOffset()
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

// Admit counts a request and reports whether it is admitted. A request for a pool without groups is
// not counted: its model is any text that the caller sent, and each counted pool takes up memory.
func (o *Overload) Admit(q overloadRequest, now time.Time) bool {
	if len(q.heads) == 0 {
		return true
	}
	o.arrivals.RecordArrival(q.pool, q.level, q.workspace, q.tokens, q.returning, now)
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.pool(q.pool)
	p.objective.record(q.objective, now)
	p.levelObjectives[min(q.level, admission.MaxLevel)].record(q.objective, now)
	if now.Sub(p.updatedAt) >= planInterval {
		o.update(p, q, now)
	}
	return p.gate.Admit(&p.plan, q.level, q.workspace, q.returning)
}

// LessUrgent returns the estimated fraction of the unread prompts of a pool that belong to less urgent
// requests than those of a level.
func (o *Overload) LessUrgent(pool directory.Pool, level admission.Level) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if p := o.pools[pool]; p != nil {
		return 1 - p.plan.Ahead(level)
	}
	return 0
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
	total := own.Add(o.peers[q.pool])
	for i := range total.Levels {
		// A sum names the largest workspaces of each node. The smallest of them would make the rest
		// count as a great many workspaces of its size.
		total.Levels[i].Workspaces = LargestWorkspaces(total.Levels[i].Workspaces, MaxSharedWorkspaces)
	}
	p.markRelaxed(total.Levels, now)
	removeUnshared(total.Levels, o.peers[q.pool].Levels)
	load := o.balancer.poolLoad(q.heads, now)
	state := admission.PoolState{
		Slots:      load.slots,
		Running:    load.running,
		Unread:     load.unread,
		ReadRate:   load.readRate,
		Slack:      o.slack(p, q.pool, now),
		Starts:     total.Starts,
		TokensRead: total.TokensRead,
		Demand:     total.Levels,
		Elapsed:    elapsed(p.updatedAt, now),
	}
	if o.isStale(now) {
		state = admission.PoolState{}
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

// elapsed returns the time since an earlier one, or 0 if there was none.
func elapsed(earlier, now time.Time) time.Duration {
	if earlier.IsZero() {
		return 0
	}
	return now.Sub(earlier)
}

// markRelaxed marks the levels whose objective is longer than the tightest one of the pool.
func (p *poolPlan) markRelaxed(levels []admission.LevelDemand, now time.Time) {
	tightest := p.objective.value(now)
	for i := range levels {
		l := &levels[i]
		l.Relaxed = tightest > 0 && p.levelObjectives[min(l.Level, admission.MaxLevel)].value(now) > tightest
	}
}

// isStale reports whether the rates of the peers are too old to be used; the caller must hold the
// lock. A node that never received any uses its own, and its loads then cover its own requests only.
// Once peers were heard, their loads count for longer than their rates, and a plan from the loads of
// all nodes and the rates of one would correct the excess of all by the requests of one.
func (o *Overload) isStale(now time.Time) bool {
	return !o.peersAt.IsZero() && now.Sub(o.peersAt) > maxEvidenceAge
}

// slack returns the tightest recent objective of a pool minus the engine's constant time; the caller
// must hold the lock. Without an objective no backlog is too long.
func (o *Overload) slack(p *poolPlan, pool directory.Pool, now time.Time) time.Duration {
	objective := p.objective.value(now)
	if objective <= 0 {
		return noObjectiveSlack
	}
	return objective - o.balancer.FirstOffset(pool, now)
}

// logPlan logs that a pool became short or has capacity again.
func (o *Overload) logPlan(p *poolPlan, pool directory.Pool, s admission.PoolState, now time.Time) {
	outlook := p.plan.Outlook()
	o.log.Info("overload of a pool changed", "service", pool.Service, "model", pool.Model, "short", p.plan.Short(),
		"arrivals", outlook.Arrivals, "admissible", outlook.Admissible, "starts", s.Starts, "slots", s.Slots, "running", s.Running,
		"unread", s.Unread, "read_rate", s.ReadRate, "slack", s.Slack, "evidence_age", now.Sub(o.peersAt))
}

// removeUnshared removes the workspaces of levels of which the peers have most requests and name no
// workspace, since they name them only once the pool is nearly short. Shares computed from the names of
// this node alone would give the pool to the peers' requests, which count as many small workspaces.
func removeUnshared(total, peers []admission.LevelDemand) {
	for i := range peers {
		p := &peers[i]
		if len(p.Workspaces) > 0 {
			continue
		}
		for j := range total {
			if total[j].Level == p.Level && requestRate(peers[i:i+1]) > requestRate(total[j:j+1])/2 {
				total[j].Workspaces = nil
			}
		}
	}
}

// requestRate returns the requests per second of all levels.
func requestRate(levels []admission.LevelDemand) float64 {
	sum := 0.0
	for i := range levels {
		sum += levels[i].New + levels[i].Returning
	}
	return sum
}

// poolLoad is the load of the groups of a pool that can serve requests, over all nodes.
type poolLoad struct {
	slots, running, unread int
	// readRate is the number of prompt tokens that the groups can read per second.
	readRate float64
}

// isUsable reports whether a group is neither incomplete nor suspect; the caller holds the lock.
func (b *Balancer) isUsable(h *directory.Head, l *load, now time.Time) bool {
	return !h.Incomplete && !now.Before(l.suspectUntil) && !b.isUnreachable(h.DataCentre, now)
}

// poolLoad adds up the loads of the usable groups.
func (b *Balancer) poolLoad(heads []*directory.Head, now time.Time) poolLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := poolLoad{}
	for _, h := range heads {
		l := b.load(h.ID)
		if !b.isUsable(h, l, now) {
			continue
		}
		sum.slots += h.Slots
		sum.running += l.running + l.peers.Running
		sum.unread += l.unread + l.peers.Unread
		sum.readRate += h.Engine.TokensPerSec / h.TimeFactor
	}
	return sum
}
