package quarantine

import "time"

const (
	// maxRecentSuccesses is large enough for a popular request to recur before it is evicted.
	maxRecentSuccesses = 2048
	recentSuccessTTL   = 10 * time.Minute
)

// recentSuccesses has the last requests that succeeded.
type recentSuccesses struct {
	times map[Fingerprint]time.Time
	// ring has the fingerprints in order of arrival; next is the index of the oldest once it
	// is full.
	ring  []Fingerprint
	next  int
	limit int
}

func newRecentSuccesses(limit int) *recentSuccesses {
	return &recentSuccesses{times: map[Fingerprint]time.Time{}, limit: limit}
}

// add records a success, evicting the oldest if the ring is full.
func (r *recentSuccesses) add(f Fingerprint, now time.Time) {
	if _, known := r.times[f]; known {
		r.times[f] = now
		return
	}
	r.times[f] = now
	if len(r.ring) < r.limit {
		r.ring = append(r.ring, f)
		return
	}
	delete(r.times, r.ring[r.next])
	r.ring[r.next] = f
	r.next = (r.next + 1) % r.limit
}

// lastServed returns the time of a request's last success, or zero if it is unknown or expired.
func (r *recentSuccesses) lastServed(f Fingerprint, now time.Time) time.Time {
	lastServed, known := r.times[f]
	if !known || now.Sub(lastServed) > recentSuccessTTL {
		return time.Time{}
	}
	return lastServed
}
