package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

const (
	// minSubset is the least number of preferred heads: with one, its failure would leave a node
	// without any preferred head.
	minSubset = 2
	// warmRate is how many requests per second keep the connections to one head in use.
	warmRate = 1.0
	// subsetInterval is how often the size of a subset is computed from the demand, which is
	// averaged over several seconds.
	subsetInterval = time.Second
)

// rendezvousScore returns the rank of an endpoint at a node. The score does not depend on the other
// endpoints, so one that joins or leaves does not change the order of the others.
func rendezvousScore(node uint64, endpoint serving.EndpointID) uint64 {
	return xxh3.HashStringSeed(string(endpoint), node)
}

// subsetSize returns how many heads a node prefers, given its demand in requests per second: the
// number of heads that the demand keeps warm.
func subsetSize(demand float64, heads int) int {
	return min(heads, max(minSubset, int(min(demand/warmRate, float64(heads)))))
}

// rankedHead is a head with its score at this node.
type rankedHead struct {
	id    serving.EndpointID
	score uint64
}

// rankHeads appends the heads of a data centre to ranked, highest score first.
func rankHeads(ranked []rankedHead, node uint64, home serving.DataCentre, heads []*directory.Head) []rankedHead {
	for _, h := range heads {
		if h.DataCentre == home {
			ranked = append(ranked, rankedHead{h.ID, rendezvousScore(node, h.ID)})
		}
	}
	slices.SortFunc(ranked, func(x, y rankedHead) int {
		return cmp.Or(cmp.Compare(y.score, x.score), cmp.Compare(x.id, y.id))
	})
	return ranked
}

// subset holds the preferred heads of a pool.
type subset struct {
	// heads is the view's list for which ranked was computed; views are immutable.
	heads []*directory.Head
	// ranked has the heads of this node's data centre, highest score first.
	ranked    []rankedHead
	preferred map[serving.EndpointID]bool
	size      int
	sizedAt   time.Time
}

// isCurrent reports whether the ranking is that of the given heads.
func (s *subset) isCurrent(heads []*directory.Head) bool {
	return len(s.heads) == len(heads) && &s.heads[0] == &heads[0]
}

// setSize prefers the first heads of the ranking.
func (s *subset) setSize(size int) {
	s.size = size
	clear(s.preferred)
	for _, r := range s.ranked[:size] {
		s.preferred[r.id] = true
	}
}
