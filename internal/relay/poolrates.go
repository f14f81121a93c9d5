package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/admission"
)

// PoolRates has the rates of one pool at one or more nodes, per second.
type PoolRates struct {
	// Starts counts first events, TokensRead the prompt tokens of their requests.
	Starts, TokensRead float64
	// Levels is sorted by level, the workspaces of each by their hash.
	Levels []admission.LevelDemand
	// Offset is by how much the time to first event exceeds its prediction.
	Offset time.Duration
	// OffsetWeight is the decayed number of samples behind Offset.
	OffsetWeight float64
}

// Add returns the sum of the rates of different nodes. Offset becomes the weighted mean.
func (r PoolRates) Add(other PoolRates) PoolRates {
	var sum PoolRates
	sum.Accumulate(r)
	sum.Accumulate(other)
	return sum
}

// Accumulate is Add in place, without allocations once r has all levels and workspaces. The slices of
// r must not be shared.
func (r *PoolRates) Accumulate(other PoolRates) {
	r.Starts += other.Starts
	r.TokensRead += other.TokensRead
	r.Levels = accumulate(r.Levels, other.Levels, compareLevels, addLevel)
	mean := r.weightedOffset().Add(other.weightedOffset())
	r.Offset, r.OffsetWeight = mean.Value, mean.Weight
}

func (r *PoolRates) weightedOffset() WeightedOffset { return WeightedOffset{r.Offset, r.OffsetWeight} }

// accumulate adds the elements of a sorted list to those of another that compare as equal. Missing
// elements are inserted with a zero value first.
func accumulate[T any](sum, other []T, compare func(a, b T) int, add func(sum *T, other T)) []T {
	i := 0
	for _, element := range other {
		for i < len(sum) && compare(sum[i], element) < 0 {
			i++
		}
		if i == len(sum) || compare(sum[i], element) != 0 {
			var zero T
			sum = slices.Insert(sum, i, zero)
		}
		add(&sum[i], element)
		i++
	}
	return sum
}

func addLevel(sum *admission.LevelDemand, other admission.LevelDemand) {
	sum.Level = other.Level
	sum.New += other.New
	sum.Returning += other.Returning
	sum.Tokens += other.Tokens
	sum.Workspaces = accumulate(sum.Workspaces, other.Workspaces, compareWorkspaces, addWorkspace)
}

func addWorkspace(sum *admission.WorkspaceDemand, other admission.WorkspaceDemand) {
	sum.Workspace = other.Workspace
	sum.Requests += other.Requests
}

// LargestWorkspaces returns the n workspaces with the highest rates, sorted by hash. Of equal ones
// it prefers the lower hash.
func LargestWorkspaces(workspaces []admission.WorkspaceDemand, n int) []admission.WorkspaceDemand {
	if len(workspaces) <= n {
		return workspaces
	}
	out := slices.Clone(workspaces)
	slices.SortFunc(out, func(a, b admission.WorkspaceDemand) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), compareWorkspaces(a, b))
	})
	out = out[:n]
	slices.SortFunc(out, compareWorkspaces)
	return out
}

func compareLevels(a, b admission.LevelDemand) int { return cmp.Compare(a.Level, b.Level) }

func compareWorkspaces(a, b admission.WorkspaceDemand) int {
	return cmp.Compare(a.Workspace, b.Workspace)
}
