package ratelimit

import "time"

const (
	// burst is the time for which a Pacer saves places up beside one: requests do not come
	// evenly, and most of a high limit would be lost between them otherwise.
	burst = 250 * time.Millisecond
	// leastPerSecond is the pace of an endpoint that takes less: one that gets nothing
	// answers nothing, and nobody would learn that its need is over.
	leastPerSecond = 0.25
	// ownShare is the part of a limit that all nodes take together that do not reach the
	// one that gives the places out. With its own places that stays within one and a half
	// times the limit, which endpoints bear.
	ownShare = 0.25
	// chanceShare times what a node has of less than one place is the chance of one, as
	// for the retry budget: many nodes have less than one each.
	chanceShare = 0.8
)

// Pacer gives out the places of one incarnation of an endpoint, for all nodes. The zero value has
// none to give yet: the node that gave them out before may just have given the last.
type Pacer struct {
	places float64
	at     time.Time
}

// Take takes a place at an endpoint of a limit; if there is none, it returns the time until
// the next.
func (p *Pacer) Take(perSecond float64, now time.Time) (granted bool, wait time.Duration) {
	pace := max(perSecond, leastPerSecond)
	if p.at.IsZero() {
		p.at = now
	}
	saved := p.places + pace*now.Sub(p.at).Seconds()
	p.places = min(saved, 1+pace*burst.Seconds())
	p.at = now
	if p.places >= 1 {
		p.places--
		return true, 0
	}
	return false, time.Duration((1 - p.places) / pace * float64(time.Second))
}

// Share is what one node takes of a limit by itself. The zero value has nothing yet: the
// node's earlier incarnation may have taken all.
type Share struct {
	places float64
	at     time.Time
}

// Take takes a place, if this node's part of the limit gives one; chance returns a number
// from 0 to 1.
func (s *Share) Take(perSecond float64, nodes int, chance func() float64, now time.Time) bool {
	if s.at.IsZero() {
		s.at = now
	}
	pace := ownShare * perSecond / float64(max(1, nodes))
	s.places = min(1, s.places+pace*now.Sub(s.at).Seconds())
	s.at = now
	had := s.places
	s.places = 0
	return had >= 1 || chance() < chanceShare*had
}
