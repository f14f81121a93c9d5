package admission

import (
	"math"
	"slices"
	"time"
)

// Level is the urgency of a request, 0 to MaxLevel. 0 is the most urgent.
type Level uint8

// MaxLevel is the least urgent level.
const MaxLevel Level = 9

// Rates holds the arrival rates of requests and of their prompt tokens, per second.
type Rates struct {
	New, Returning float64 // requests that arrive for the first time, and again after a rejection
	Tokens         float64 // prompt tokens of new and returning requests
}

// requests returns the rate of all requests.
func (r Rates) requests() float64 {
	return r.New + r.Returning
}

// LevelDemand is the demand at one level, including rejected requests.
type LevelDemand struct {
	Level Level
	Rates
	Workspaces []WorkspaceDemand // the largest ones only
	// Relaxed is set if the level's objective is longer than the tightest one in the pool. Its
	// requests could fill the backlog that the tightest objective needs.
	Relaxed bool
}

// WorkspaceDemand is the demand of one workspace at one level.
type WorkspaceDemand struct {
	Workspace uint32  // hash of the workspace's name
	Requests  float64 // per second, new and returning
}

// PoolState is what a node knows about a pool, summed over all nodes.
//
// All sums must cover the same nodes. A node that does not hear some of the
// others must also scale Slots, Running, Unread and ReadRate to the part of the
// pool's load that the nodes it hears have. Otherwise each set of nodes corrects
// the deviation of the whole pool, and together they correct it several times.
type PoolState struct {
	Slots, Running int           // slots of the usable groups, and the requests in flight there
	Unread         int           // prompt tokens that were sent and have not been read yet
	ReadRate       float64       // prompt tokens per second that the groups can read
	Slack          time.Duration // the tightest objective in the pool minus the engine's constant time
	Starts         float64       // first events per second
	TokensRead     float64       // prompt tokens per second of the requests counted in Starts
	Demand         []LevelDemand // by level, most urgent first
	Elapsed        time.Duration // since the previous state of the pool; 0 if there was none
}

// arrivals returns the rates of all levels together.
func (s *PoolState) arrivals() Rates {
	var sum Rates
	for i := range s.Demand {
		d := &s.Demand[i]
		sum.New += d.New
		sum.Returning += d.Returning
		sum.Tokens += d.Tokens
	}
	return sum
}

// Policy holds the settings of a plan.
type Policy struct {
	Occupancy  float64       // target utilization of the slots under overload, as a fraction
	Backlog    float64       // fraction of Slack that reading the unread prompts may take
	Correction time.Duration // time within which a deviation is corrected
	// ReservedSlots and ReservedBacklog are the parts of Occupancy and Backlog that are kept from
	// relaxed levels.
	ReservedSlots, ReservedBacklog float64
	MinShare                       float64 // minimum fraction of the admissible rate for each level
	ReturnShare                    float64 // fraction of the admissible rate in which returning callers have precedence
}

// DefaultPolicy returns the default settings.
func DefaultPolicy() Policy {
	return Policy{
		Occupancy:       0.95,
		Backlog:         0.65,
		Correction:      700 * time.Millisecond,
		ReservedSlots:   0.1,
		ReservedBacklog: 0.7,
		MinShare:        0.05,
		ReturnShare:     0.3,
	}
}

const (
	// minSlack is the least Slack that a plan assumes. Without it, an engine
	// constant near the objective would leave no room for any prompt.
	minSlack = 20 * time.Millisecond
	// minRateFraction bounds the admissible rate from below, as a fraction of
	// the current rate, so that a plan recovers from wrong evidence.
	minRateFraction = 0.2
)

// Plan holds the fractions of arriving requests that a pool admits. The zero
// value admits all requests. A plan is not safe for use during Update.
//
// A pool becomes short above the targets only. While it is short, the same
// formula applies below them: without it, a pool with a demand far above its
// capacity would admit all requests for as long as the evidence is old, and the
// utilization would swing. A pool that is about to become full is short, too: the
// evidence of a full pool comes 0.3 to 0.5 s later, when its queue is already long.
type Plan struct {
	short   bool
	outlook Outlook
	levels  []levelPlan
	claims  []claim
	// limits has the limit of each level, for which only prompts at least as urgent count as unread.
	limits [MaxLevel + 1]limit
	// backlog, trend and sustainable outlast an update.
	backlog     backlog
	trend       trend
	sustainable sustainableRate
}

// Update computes the plan for a state. It reuses the memory of the previous plan.
func (p *Plan) Update(s PoolState, policy Policy) {
	p.recordAdmitted(&s)
	p.levels = p.levels[:0]
	s.Demand = p.trend.extrapolate(s.Demand, s.Elapsed)
	arrivals := s.arrivals()
	p.sustainable.observe(&s)
	sustainable := p.sustainable.fraction(&s, policy, arrivals)
	fillsSoon := sustainable < 1 && p.sustainable.fillsSoon(&s, policy, arrivals)
	whole, reserved := policy, limitOf(&s, policy, arrivals, p.short)
	if hasRelaxed(s.Demand) {
		policy = policy.withReserve()
		reserved = limitOf(&s, policy, arrivals, p.short)
	}
	ceiling := math.Inf(1)
	if reserved.fraction >= 1 && fillsSoon {
		ceiling, reserved.fraction = sustainable, sustainable
	}
	p.short = reserved.fraction < 1
	p.outlook = newOutlook(&s, policy, arrivals, reserved.fraction)
	if !p.short {
		return
	}
	p.limitLevels(&s, whole, policy, arrivals, ceiling)
	p.allocate(s.Demand, policy, limits{reserved, sustainable, p.sustainable.drainingFraction(&s, arrivals, reserved.byTokens)})
}

// limitLevels sets the limit of each level. An engine processes the prompts of more urgent requests
// first, so those of less urgent ones do not count: the backlog of a flood is corrected at the flood.
// No fraction exceeds the ceiling.
func (p *Plan) limitLevels(s *PoolState, whole, reserved Policy, arrivals Rates, ceiling float64) {
	for i := range s.Demand {
		level, policy := min(s.Demand[i].Level, MaxLevel), whole
		if s.Demand[i].Relaxed {
			policy = reserved
		}
		ahead := *s
		ahead.Unread = int(p.Ahead(level) * float64(s.Unread))
		l := limitOf(&ahead, policy, arrivals, true)
		l.fraction = min(l.fraction, ceiling)
		p.limits[level] = l
	}
}

// hasRelaxed reports whether a level has a longer objective than another one.
func hasRelaxed(demand []LevelDemand) bool {
	return slices.ContainsFunc(demand, func(d LevelDemand) bool { return d.Relaxed })
}

// withReserve returns the policy for the levels with a longer objective.
func (p Policy) withReserve() Policy {
	p.Occupancy -= p.ReservedSlots
	p.Backlog *= 1 - p.ReservedBacklog
	return p
}

// Short reports whether the pool can't begin all arriving requests.
func (p *Plan) Short() bool {
	return p.short
}

// Fraction returns the fraction of new or returning requests of a class that are admitted, 0 to 1.
func (p *Plan) Fraction(level Level, workspace uint32, returning bool) float64 {
	fraction, _ := p.fraction(level, workspace, returning)
	return fraction
}

// fraction also reports whether the workspace has a fraction of its own.
func (p *Plan) fraction(level Level, workspace uint32, returning bool) (fraction float64, named bool) {
	for i := range p.levels {
		if l := &p.levels[i]; l.level == level {
			return l.fraction(workspace, returning)
		}
	}
	return 1, false
}

// limit is the fraction of the arrivals that the scarcer resource can serve.
// It is infinite if no resource is scarce.
type limit struct {
	fraction float64
	byTokens bool // the scarcer resource is prompt reading
}

func limitOf(s *PoolState, policy Policy, arrivals Rates, wasShort bool) limit {
	if s.Starts <= 0 || arrivals.requests() <= 0 {
		return limit{fraction: math.Inf(1)}
	}
	bySlots := slotRate(s, policy, wasShort) / arrivals.requests()
	if s.TokensRead <= 0 || arrivals.Tokens <= 0 {
		return limit{fraction: bySlots}
	}
	byTokens := tokenRate(s, policy, wasShort) / arrivals.Tokens
	if byTokens < bySlots {
		return limit{fraction: byTokens, byTokens: true}
	}
	return limit{fraction: bySlots}
}

// slotRate returns the requests per second that the slots admit.
func slotRate(s *PoolState, policy Policy, wasShort bool) float64 {
	return correctedRate(s.Starts, excessRunning(s, policy), policy, wasShort)
}

// tokenRate returns the prompt tokens per second that prompt reading admits.
func tokenRate(s *PoolState, policy Policy, wasShort bool) float64 {
	return correctedRate(s.TokensRead, excessUnread(s, policy), policy, wasShort)
}

// correctedRate returns the rate that removes the excess within the
// correction time. Without excess there is no limit unless the pool was short.
func correctedRate(current, excess float64, policy Policy, wasShort bool) float64 {
	if excess <= 0 && !wasShort {
		return math.Inf(1)
	}
	corrected := current - excess/policy.Correction.Seconds()
	return max(corrected, minRateFraction*current)
}

func excessRunning(s *PoolState, policy Policy) float64 {
	return float64(s.Running) - policy.Occupancy*float64(s.Slots)
}

func excessUnread(s *PoolState, policy Policy) float64 {
	slack := max(s.Slack, minSlack)
	target := s.ReadRate * policy.Backlog * slack.Seconds()
	return float64(s.Unread) - target
}
