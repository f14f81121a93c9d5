package relay

import (
	"slices"
	"sync"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/pkg/admission"
)

const (
	// arrivalWindow is the time constant of the rates. With a second, the admitted fraction lagged a
	// step of the demand by so much that 15 in 100 requests beyond the slots were admitted.
	arrivalWindow = 500 * time.Millisecond
	// MaxNamedWorkspaces is the number of workspaces that are named for a pool and level.
	MaxNamedWorkspaces = 8
	// MaxSharedWorkspaces is the number of workspaces of a pool and level that a plan distinguishes, the
	// largest ones of all nodes. Only these are named in messages between data centres: with 8, these
	// messages grew by 17 in 100 while three pools were nearly short. All nodes use the same number, since a
	// workspace that some data centres do not name has too small a demand in the sum.
	MaxSharedWorkspaces = 2
	// maxWorkspaces bounds the workspaces that are measured for a pool and level, and thereby the
	// memory. The requests of others count only for their level.
	maxWorkspaces = 256
	// maxCountedTokens bounds the prompt tokens that are counted for one request. Callers state them, and
	// a single absurd number would dominate the rates of all nodes until it has decayed.
	maxCountedTokens = 1 << 20
	// minWorkspaceRate is the rate per second below which a workspace is no longer measured.
	minWorkspaceRate = 0.01
)

// Arrivals measures the rates of requests and first events at this node, by pool. It is safe for
// concurrent use.
type Arrivals struct {
	mu    sync.Mutex
	pools map[directory.Pool]*poolArrivals
}

// poolArrivals has the rates of one pool.
type poolArrivals struct {
	starts, tokensRead decayingSum
	levels             [admission.MaxLevel + 1]*levelArrivals
}

// levelArrivals has the rates of one level of a pool.
type levelArrivals struct {
	fresh, returning, tokens decayingSum
	workspaces               map[uint32]decayingSum
}

// NewArrivals returns an Arrivals without any requests.
func NewArrivals() *Arrivals { return &Arrivals{pools: map[directory.Pool]*poolArrivals{}} }

// RecordArrival counts a request, whether or not it is admitted, and its prompt tokens.
func (a *Arrivals) RecordArrival(pool directory.Pool, level admission.Level, workspace uint32, tokens int, returning bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.pool(pool).level(level)
	kind := &l.fresh
	if returning {
		kind = &l.returning
	}
	kind.add(perSecond(1), arrivalWindow, now)
	l.tokens.add(perSecond(min(tokens, maxCountedTokens)), arrivalWindow, now)
	l.recordWorkspace(workspace, now)
}

// RecordStart counts a first event and the prompt tokens of its request.
func (a *Arrivals) RecordStart(pool directory.Pool, tokens int, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pool(pool)
	p.starts.add(perSecond(1), arrivalWindow, now)
	p.tokensRead.add(perSecond(min(tokens, maxCountedTokens)), arrivalWindow, now)
}

// Rates returns the rates of each pool, with the MaxNamedWorkspaces largest workspaces of each
// level.
func (a *Arrivals) Rates(now time.Time) map[directory.Pool]PoolRates {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[directory.Pool]PoolRates, len(a.pools))
	for pool, p := range a.pools {
		out[pool] = p.rates(now)
	}
	return out
}

// PoolRates returns the rates of one pool.
func (a *Arrivals) PoolRates(pool directory.Pool, now time.Time) PoolRates {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p := a.pools[pool]; p != nil {
		return p.rates(now)
	}
	return PoolRates{}
}

// perSecond returns what a count adds to a rate.
func perSecond(count int) float64 { return float64(max(0, count)) / arrivalWindow.Seconds() }

// pool returns the rates of a pool; the caller must hold the lock.
func (a *Arrivals) pool(pool directory.Pool) *poolArrivals {
	p := a.pools[pool]
	if p == nil {
		p = &poolArrivals{}
		a.pools[pool] = p
	}
	return p
}

// level returns the rates of a level; those beyond the last one count as that.
func (p *poolArrivals) level(level admission.Level) *levelArrivals {
	level = min(level, admission.MaxLevel)
	if p.levels[level] == nil {
		p.levels[level] = &levelArrivals{workspaces: map[uint32]decayingSum{}}
	}
	return p.levels[level]
}

// rates returns the rates as of now.
func (p *poolArrivals) rates(now time.Time) PoolRates {
	out := PoolRates{
		Starts:     p.starts.at(arrivalWindow, now),
		TokensRead: p.tokensRead.at(arrivalWindow, now),
	}
	for level, l := range p.levels {
		if l != nil {
			out.Levels = append(out.Levels, l.demand(admission.Level(level), now))
		}
	}
	return out
}

// recordWorkspace counts a request of a workspace.
func (l *levelArrivals) recordWorkspace(workspace uint32, now time.Time) {
	rate, known := l.workspaces[workspace]
	if !known && len(l.workspaces) >= maxWorkspaces {
		return
	}
	rate.add(perSecond(1), arrivalWindow, now)
	l.workspaces[workspace] = rate
}

// demand returns the rates as of now, and forgets workspaces without requests.
func (l *levelArrivals) demand(level admission.Level, now time.Time) admission.LevelDemand {
	named := make([]admission.WorkspaceDemand, 0, len(l.workspaces))
	for workspace, rate := range l.workspaces {
		requests := rate.at(arrivalWindow, now)
		if requests < minWorkspaceRate {
			delete(l.workspaces, workspace)
			continue
		}
		named = append(named, admission.WorkspaceDemand{Workspace: workspace, Requests: requests})
	}
	slices.SortFunc(named, compareWorkspaces)
	return admission.LevelDemand{
		Level: level,
		Rates: admission.Rates{
			New:       l.fresh.at(arrivalWindow, now),
			Returning: l.returning.at(arrivalWindow, now),
			Tokens:    l.tokens.at(arrivalWindow, now),
		},
		Workspaces: LargestWorkspaces(named, MaxNamedWorkspaces),
	}
}
