package gossip

import (
	"slices"

	"github.com/ridgehinge/ridgehinge/internal/peers/sharepb"
	"github.com/ridgehinge/ridgehinge/internal/relay"
	"github.com/ridgehinge/ridgehinge/pkg/admission"
)

// Bounds of received rates.
const (
	// maxRatePools is the number of pools in one list of a message.
	maxRatePools = 256
	// maxRate is the largest rate per second. It keeps sums over nodes within a float32.
	maxRate = 1e9
	// maxOffsetMillis is the largest offset, in milliseconds.
	maxOffsetMillis = 1e6
)

// validPool reports whether the numbers of a pool, without its levels, are valid.
func validPool(r *sharepb.PoolRates) bool {
	return validRates(r.GetStarts(), r.GetTokensRead(), r.GetOffsetWeight()) &&
		r.GetOffsetMs() >= 0 && r.GetOffsetMs() <= maxOffsetMillis
}

// validLevel reports whether a level and its workspaces are valid. The workspaces must ascend, so
// that none is counted twice.
func validLevel(l *sharepb.LevelRates) bool {
	workspaces := l.GetWorkspaces()
	if l.GetLevel() > uint32(admission.MaxLevel) || len(workspaces) > relay.MaxNamedWorkspaces || len(workspaces) != len(l.GetWorkspaceRequests()) {
		return false
	}
	for i := 1; i < len(workspaces); i++ {
		if workspaces[i] <= workspaces[i-1] {
			return false
		}
	}
	return validRates(l.GetNew(), l.GetReturning(), l.GetTokens()) && validRates(l.GetWorkspaceRequests()...)
}

// validRates reports whether all rates are between zero and maxRate. A value that is no number
// fails both comparisons.
func validRates(rates ...float32) bool {
	return !slices.ContainsFunc(rates, func(r float32) bool { return !(r >= 0 && r <= maxRate) })
}
