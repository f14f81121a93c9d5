package groupcontrol

import (
	"cmp"
	"slices"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// This file packs the free endpoints of a domain into groups (PackDomains). It addresses domains
// whose size is no multiple of the groups' sizes: of 37 endpoints, two spares left five in no group
// beside a group of 16 and four of 4, a seventh of the domain.

// smallest returns the model with the smallest groups.
func (s *situation) smallest() serving.Model {
	return slices.MinFunc(s.engine.Models, func(a, b serving.Model) int { return cmp.Compare(a.Size, b.Size) })
}

// packedSpares is the number of spares of n to keep so that the other free endpoints can form one
// more group of the smallest model, or n if that needs too many of them. Up to half of the spares
// are used. All are used if the free endpoints can start the largest model without a load, since a
// takeover can then give them back.
func (s *situation) packedSpares(free []*serving.Endpoint, n int) int {
	largest, size := s.largest(), s.smallest().Size
	minKept := (n + 1) / 2
	if !slices.ContainsFunc(free, func(e *serving.Endpoint) bool { return !isWarm(e, largest) }) {
		minKept = 0
	}
	for kept := n - 1; kept >= minKept; kept-- {
		if (len(free)-kept)/size > (len(free)-n)/size {
			return kept
		}
	}
	return n
}
