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

// shares holds the rates that workspaces of a level get.
type shares struct {
	// bound separates the demands: those above it get at most over, the others at
	// most within.
	bound, over, within float64
}

func (s shares) fraction(demand float64) float64 {
	if demand > s.bound {
		return min(ratio(s.over, demand), 1)
	}
	return min(ratio(s.within, demand), 1)
}

// divide divides the granted rate among claims in ascending order of demand. The
// rate that the pool can start in the long run (sustainable) determines which workspaces
// are above their share. They caused the backlog. While it drains, less is granted
// than the sustainable rate, and these workspaces get less first; the others get at
// least the draining rate. With one share for all, the correction after a
// flood of one workspace rejects up to 4 in 100 requests of the others.
func divide(claims []claim, granted, sustainable, draining float64) shares {
	bound := maxMinShare(claims, sustainable)
	within, n := 0.0, 0
	for n < len(claims) && claims[n].demand <= bound {
		within += claims[n].demand * claims[n].count
		n++
	}
	if n < len(claims) {
		granted = max(granted, min(within, draining))
	}
	if granted <= within {
		return shares{bound: bound, within: maxMinShare(claims[:n], granted)}
	}
	over := maxMinShare(claims[n:], granted-within)
	if over < bound {
		return shares{bound: bound, within: bound, over: over}
	}
	share := maxMinShare(claims, granted)
	return shares{bound: bound, within: share, over: share}
}
