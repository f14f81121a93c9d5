package admission

import (
	"cmp"
	"slices"
)

// claim is the demand of a number of equal workspaces.
type claim struct {
	workspace uint32
	demand    float64 // of each workspace
	count     float64 // need not be whole
}

// compareClaims orders claims by demand, and equal ones by hash.
func compareClaims(a, b claim) int {
	if a.demand != b.demand {
		return cmp.Compare(a.demand, b.demand)
	}
	return cmp.Compare(a.workspace, b.workspace)
}

// appendClaims appends the claims of a level, with each demand multiplied by
// scale, in ascending order.
//
// The demand of the workspaces that are not named is the rest of the level's.
// It counts as workspaces of the size of the smallest named one, because none of
// them is larger: their fraction is then not below that of any named workspace,
// and the sum of the shares stays within the capacity.
func appendClaims(claims []claim, d *LevelDemand, scale float64) []claim {
	rest := d.requests()
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		rest -= w.Requests
		if w.Requests > 0 {
			claims = append(claims, claim{w.Workspace, w.Requests * scale, 1})
		}
	}
	slices.SortFunc(claims, compareClaims)
	if rest <= 0 {
		return claims
	}
	others := claim{demand: rest * scale, count: 1}
	if len(claims) > 0 && claims[0].demand < others.demand {
		others.count = others.demand / claims[0].demand
		others.demand = claims[0].demand
	}
	return slices.Insert(claims, 0, others)
}

// maxMinShare returns the max-min fair share of one workspace: claims up to the
// share are met in full, larger ones get the share. The claims are in ascending
// order of demand. If all are met, the share is the largest demand.
func maxMinShare(claims []claim, capacity float64) float64 {
	open := 0.0
	for i := range claims {
		open += claims[i].count
	}
	share := 0.0
	for i := range claims {
		c := &claims[i]
		share = max(capacity, 0) / open
		if share < c.demand {
			return share
		}
		share = c.demand
		capacity -= c.demand * c.count
		open -= c.count
	}
	return share
}
