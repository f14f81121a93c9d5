package gossip

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/peers/sharepb"
	"github.com/ridgehinge/ridgehinge/internal/relay"
	"github.com/ridgehinge/ridgehinge/pkg/admission"
)

const (
	// minSentRate is the rate per second below which a rate is not sent.
	minSentRate = 0.05
	// minSentOffsetWeight is the number of samples below which an offset is not sent.
	minSentOffsetWeight = 0.05
)

// poolRates has the rates of some nodes by pool.
type poolRates map[directory.Pool]relay.PoolRates

// toRates encodes rates. The workspaces of a pool are included only if namesWorkspaces returns true
// for it, since they are most of the size.
func toRates(rates poolRates, namesWorkspaces func(directory.Pool) bool) []*sharepb.PoolRates {
	var out []*sharepb.PoolRates
	for _, pool := range slices.SortedFunc(maps.Keys(rates), comparePools) {
		r := rates[pool]
		encoded := &sharepb.PoolRates{
			Service: pool.Service,
			Model:   pool.Model,
			Levels:  toLevels(r.Levels, namesWorkspaces != nil && namesWorkspaces(pool)),
		}
		if encoded.Starts = toRate(r.Starts); encoded.Starts > 0 {
			encoded.TokensRead = toRate(r.TokensRead)
		}
		if r.OffsetWeight >= minSentOffsetWeight {
			encoded.OffsetMs = float32(r.Offset.Seconds() * 1000)
			encoded.OffsetWeight = float32(r.OffsetWeight)
		}
		if encoded.Starts > 0 || encoded.OffsetWeight > 0 || len(encoded.Levels) > 0 {
			out = append(out, encoded)
		}
	}
	return out
}

// toLevels encodes the levels that have any requests.
func toLevels(levels []admission.LevelDemand, withWorkspaces bool) []*sharepb.LevelRates {
	var out []*sharepb.LevelRates
	for _, l := range levels {
		encoded := &sharepb.LevelRates{Level: uint32(l.Level), New: toRate(l.New), Returning: toRate(l.Returning)}
		if encoded.New == 0 && encoded.Returning == 0 {
			continue
		}
		encoded.Tokens = toRate(l.Tokens)
		if withWorkspaces {
			addWorkspaces(encoded, l.Workspaces)
		}
		out = append(out, encoded)
	}
	return out
}

// addWorkspaces adds the largest workspaces to an encoded level.
func addWorkspaces(l *sharepb.LevelRates, workspaces []admission.WorkspaceDemand) {
	for _, w := range relay.LargestWorkspaces(workspaces, relay.MaxNamedWorkspaces) {
		if rate := toRate(w.Requests); rate > 0 {
			l.Workspaces = append(l.Workspaces, w.Workspace)
			l.WorkspaceRequests = append(l.WorkspaceRequests, rate)
		}
	}
}

// toRate encodes a rate; zero takes no space in a message.
func toRate(perSecond float64) float32 {
	if perSecond < minSentRate {
		return 0
	}
	return float32(perSecond)
}

func comparePools(a, b directory.Pool) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model))
}

// fromRates is the reverse of toRates. It leaves out invalid pools and levels and returns their
// number.
func fromRates(encoded []*sharepb.PoolRates) (rates poolRates, invalid int) {
	if len(encoded) == 0 {
		return nil, 0
	}
	rates = make(poolRates, min(len(encoded), maxRatePools))
	for i, r := range encoded {
		if len(rates) == maxRatePools {
			return rates, invalid + len(encoded) - i
		}
		pool := directory.Pool{Service: r.GetService(), Model: r.GetModel()}
		if _, repeated := rates[pool]; repeated || !validPool(r) {
			invalid++
			continue
		}
		levels, invalidLevels := fromLevels(r.GetLevels())
		invalid += invalidLevels
		rates[pool] = relay.PoolRates{
			Starts:       float64(r.GetStarts()),
			TokensRead:   float64(r.GetTokensRead()),
			Levels:       levels,
			Offset:       time.Duration(float64(r.GetOffsetMs()) * float64(time.Millisecond)),
			OffsetWeight: float64(r.GetOffsetWeight()),
		}
	}
	return rates, invalid
}

// fromLevels is the reverse of toLevels. It leaves out invalid levels and returns their number.
func fromLevels(encoded []*sharepb.LevelRates) (levels []admission.LevelDemand, invalid int) {
	levels = make([]admission.LevelDemand, 0, min(len(encoded), int(admission.MaxLevel)+1))
	next := uint32(0)
	for _, l := range encoded {
		if l.GetLevel() < next || !validLevel(l) {
			invalid++
			continue
		}
		next = l.GetLevel() + 1
		levels = append(levels, admission.LevelDemand{
			Level:      admission.Level(l.GetLevel()),
			Rates:      admission.Rates{New: float64(l.GetNew()), Returning: float64(l.GetReturning()), Tokens: float64(l.GetTokens())},
			Workspaces: fromWorkspaces(l),
		})
	}
	return levels, invalid
}

// fromWorkspaces returns the workspaces of a valid level.
func fromWorkspaces(l *sharepb.LevelRates) []admission.WorkspaceDemand {
	if len(l.GetWorkspaces()) == 0 {
		return nil
	}
	out := make([]admission.WorkspaceDemand, len(l.GetWorkspaces()))
	for i, workspace := range l.GetWorkspaces() {
		out[i] = admission.WorkspaceDemand{Workspace: workspace, Requests: float64(l.GetWorkspaceRequests()[i])}
	}
	return out
}
