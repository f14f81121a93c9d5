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
	// heads is the list for which ranked was computed, home its part in this node's data centre.
	// Views are immutable.
	heads, home []*directory.Head
	// ranked has the heads of this node's data centre, highest score first.
	ranked    []rankedHead
	preferred map[serving.EndpointID]bool
	size      int
	sizedAt   time.Time
}

// isCurrent reports whether the ranking holds for the given heads. A request that is limited to regions
// has a list of its own, which contains either all heads of a data centre or none.
func (s *subset) isCurrent(heads []*directory.Head, home serving.DataCentre) bool {
	if len(s.heads) == len(heads) && &s.heads[0] == &heads[0] {
		return true
	}
	found := 0
	for _, h := range heads {
		if h.DataCentre != home {
			continue
		}
		if found == len(s.home) || s.home[found] != h {
			return false
		}
		found++
	}
	return found == len(s.home) || found == 0
}

// setHeads ranks new heads.
func (s *subset) setHeads(heads []*directory.Head, node uint64, home serving.DataCentre) {
	s.heads, s.home = heads, s.home[:0]
	for _, h := range heads {
		if h.DataCentre == home {
			s.home = append(s.home, h)
		}
	}
	s.ranked = rankHeads(s.ranked[:0], node, home, heads)
}

// setSize prefers the first heads of the ranking.
func (s *subset) setSize(size int) {
	s.size = size
	clear(s.preferred)
	for _, r := range s.ranked[:size] {
		s.preferred[r.id] = true
	}
}
