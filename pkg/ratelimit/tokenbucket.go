package ratelimit

import "time"

const (
	// burstWindow is the time for which a TokenBucket accumulates permits beyond the first:
	// requests come unevenly, and much of a high limit would otherwise be lost.
	burstWindow = 250 * time.Millisecond
	// minPerSecond is the lowest rate at which permits are granted: without any requests,
	// nobody would notice when the endpoint raises its limit.
	minPerSecond = 0.25
	// localFraction is the fraction of a limit that nodes which cannot reach the allocator use
	// together. With the allocator's permits the total stays within one and a half times the
	// limit, which endpoints tolerate.
	localFraction = 0.25
	// probabilityFactor times an accumulated fraction of a permit is the probability of a
	// permit: with many nodes, each has less than one.
	probabilityFactor = 0.8
)

// TokenBucket allocates the permits of one incarnation of an endpoint to all nodes. It starts
// empty, because the previous allocator may just have granted the last permit.
type TokenBucket struct {
	permits float64
	at      time.Time
}

// Take takes a permit; if there is none, it returns the time until the next.
func (b *TokenBucket) Take(perSecond float64, now time.Time) (granted bool, wait time.Duration) {
	rate := max(perSecond, minPerSecond)
	if b.at.IsZero() {
		b.at = now
	}
	accumulated := b.permits + rate*now.Sub(b.at).Seconds()
	b.permits = min(accumulated, 1+rate*burstWindow.Seconds())
	b.at = now
	if b.permits >= 1 {
		b.permits--
		return true, 0
	}
	return false, time.Duration((1 - b.permits) / rate * float64(time.Second))
}

// LocalShare is the part of a limit that one node uses without the allocator. The zero value
// has no permits: the node's previous incarnation may have used them all.
type LocalShare struct {
	permits float64
	at      time.Time
}

// Take reports whether this node may send a request; chance returns a random number in [0, 1).
func (s *LocalShare) Take(perSecond float64, nodes int, chance func() float64, now time.Time) bool {
	if s.at.IsZero() {
		s.at = now
	}
	rate := localFraction * perSecond / float64(max(1, nodes))
	s.permits = min(1, s.permits+rate*now.Sub(s.at).Seconds())
	s.at = now
	available := s.permits
	s.permits = 0
	return available >= 1 || chance() < probabilityFactor*available
}
