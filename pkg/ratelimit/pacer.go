package ratelimit

import "time"

const (
	// burst is the time for which a TokenBucket saves permits up beside one: requests come
	// unevenly, and most of a high limit would be lost between them.
	burst = 250 * time.Millisecond
	// minPerSecond is the pace of an endpoint that takes less: one that gets nothing
	// answers nothing, and nobody would learn that its need is over.
	minPerSecond = 0.25
	// ownShare is the part of a limit that all nodes take together that do not reach the
	// allocator. With its own permits that stays within one and a half
	// times the limit, which endpoints bear.
	ownShare = 0.25
	// chanceShare times what a node has of less than one permit is the chance of one, as
	// for the retry budget: many nodes have less than one each.
	chanceShare = 0.8
)

// TokenBucket allocates the permits of one incarnation of an endpoint for all nodes. It starts
// empty, because the previous allocator may just have granted the last permit.
type TokenBucket struct {
	permits float64
	at      time.Time
}

// Take takes a permit at an endpoint of a limit; if there is none, it returns the time until
// the next.
func (p *TokenBucket) Take(perSecond float64, now time.Time) (granted bool, wait time.Duration) {
	pace := max(perSecond, minPerSecond)
	if p.at.IsZero() {
		p.at = now
	}
	saved := p.permits + pace*now.Sub(p.at).Seconds()
	p.permits = min(saved, 1+pace*burst.Seconds())
	p.at = now
	if p.permits >= 1 {
		p.permits--
		return true, 0
	}
	return false, time.Duration((1 - p.permits) / pace * float64(time.Second))
}

// LocalShare is the part of a limit that one node uses without the allocator. The zero value
// has no permits: the node's previous incarnation may have used them all.
type LocalShare struct {
	permits float64
	at      time.Time
}

// Take takes a permit, if this node's part of the limit gives one; chance returns a number
// from 0 to 1.
func (s *LocalShare) Take(perSecond float64, nodes int, chance func() float64, now time.Time) bool {
	if s.at.IsZero() {
		s.at = now
	}
	pace := ownShare * perSecond / float64(max(1, nodes))
	s.permits = min(1, s.permits+pace*now.Sub(s.at).Seconds())
	s.at = now
	had := s.permits
	s.permits = 0
	return had >= 1 || chance() < chanceShare*had
}
