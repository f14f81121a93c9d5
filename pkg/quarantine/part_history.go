package quarantine

import "time"

// maxRecentParts is the number of parts of prompts that are remembered.
const maxRecentParts = 8192

// partHistory is what one node knows of a part of prompts besides crashes.
type partHistory struct {
	// sent counts the attempts with the part.
	sent int
	// served is when an endpoint last responded to a prompt with the part and went on.
	served time.Time
}

// recentParts has the parts of prompts that were sent lately.
type recentParts struct {
	parts map[Fingerprint]*partHistory
	// ring has the fingerprints in order of arrival; next is the index of the oldest once it is full.
	ring []Fingerprint
	next int
}

func newRecentParts() *recentParts {
	return &recentParts{parts: map[Fingerprint]*partHistory{}}
}

// get returns the history of a part, adding it if necessary. The oldest is evicted if there are too many.
func (r *recentParts) get(f Fingerprint) *partHistory {
	if h := r.parts[f]; h != nil {
		return h
	}
	h := &partHistory{}
	r.parts[f] = h
	if len(r.ring) < maxRecentParts {
		r.ring = append(r.ring, f)
		return h
	}
	delete(r.parts, r.ring[r.next])
	r.ring[r.next] = f
	r.next = (r.next + 1) % maxRecentParts
	return h
}

// lastServed returns when a part last succeeded, or zero if that is unknown or too long ago.
func (r *recentParts) lastServed(f Fingerprint, now time.Time) time.Time {
	h := r.parts[f]
	if h == nil || now.Sub(h.served) > recentSuccessTTL {
		return time.Time{}
	}
	return h.served
}

// sent returns the number of attempts with a part.
func (r *recentParts) sent(f Fingerprint) int {
	if h := r.parts[f]; h != nil {
		return h.sent
	}
	return 0
}
