package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/admission"
)

// PoolRates has the rates of one pool at one or more nodes, per second. Its slices are shared
// between values and must not be modified.
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
	sum := PoolRates{
		Starts:       r.Starts + other.Starts,
		TokensRead:   r.TokensRead + other.TokensRead,
		Levels:       addLevels(r.Levels, other.Levels),
		OffsetWeight: r.OffsetWeight + other.OffsetWeight,
	}
	if sum.OffsetWeight > 0 {
		weighted := float64(r.Offset)*r.OffsetWeight + float64(other.Offset)*other.OffsetWeight
		sum.Offset = time.Duration(weighted / sum.OffsetWeight)
	}
	return sum
}

// addLevels merges two lists sorted by level.
func addLevels(a, b []admission.LevelDemand) []admission.LevelDemand {
	return merge(a, b, compareLevels, func(x, y admission.LevelDemand) admission.LevelDemand {
		x.New += y.New
		x.Returning += y.Returning
		x.Tokens += y.Tokens
		x.Workspaces = addWorkspaces(x.Workspaces, y.Workspaces)
		return x
	})
}

// addWorkspaces merges two lists sorted by hash.
func addWorkspaces(a, b []admission.WorkspaceDemand) []admission.WorkspaceDemand {
	return merge(a, b, compareWorkspaces, func(x, y admission.WorkspaceDemand) admission.WorkspaceDemand {
		x.Requests += y.Requests
		return x
	})
}

// merge merges two sorted lists without duplicates and adds up equal elements. It returns one of
// the lists if the other is empty.
func merge[T any](a, b []T, compare func(T, T) int, add func(T, T) T) []T {
	if len(a) == 0 {
		return b
	}
	if len(b) == 0 {
		return a
	}
	out := make([]T, 0, max(len(a), len(b)))
	for len(a) > 0 && len(b) > 0 {
		order := compare(a[0], b[0])
		switch {
		case order < 0:
			out, a = append(out, a[0]), a[1:]
		case order > 0:
			out, b = append(out, b[0]), b[1:]
		default:
			out = append(out, add(a[0], b[0]))
			a, b = a[1:], b[1:]
		}
	}
	out = append(out, a...)
	return append(out, b...)
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
