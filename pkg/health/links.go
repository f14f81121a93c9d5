package health

import "time"

const (
	// lostLinkDials is the number of endpoints whose dials must have failed, with none that succeeded
	// since, before a node's own links count as lost: endpoints of one rack fail together too.
	lostLinkDials = 4
	// minLinkEndpoints is the number of known endpoints below which links never count as lost: the
	// failure of a single endpoint looks the same.
	minLinkEndpoints = 2
	// failedDialTTL is how long a failed dial counts.
	failedDialTTL = 3 * time.Second
)

// Links distinguishes the loss of a node's own links from failures of endpoints by the results of its
// dials. Established connections say nothing: they may live on while new ones are refused, or be
// silent without a reset. It is not safe for concurrent use.
type Links struct {
	// failed has the addresses whose dials failed, and when, since the last dial that succeeded.
	failed map[string]time.Time
}

// NewLinks returns a Links without results.
func NewLinks() *Links { return &Links{failed: map[string]time.Time{}} }

// RecordDial records the result of a dial.
func (l *Links) RecordDial(address string, succeeded bool, now time.Time) {
	if succeeded {
		clear(l.failed)
		return
	}
	l.failed[address] = now
}

// Failed reports whether the last dial of an address failed, and none succeeded since.
func (l *Links) Failed(address string) bool {
	_, failed := l.failed[address]
	return failed
}

// Lost reports whether the links to all endpoints are lost. known returns the number of known
// endpoints; it is not called unless several dials failed.
func (l *Links) Lost(known func() int, now time.Time) bool {
	for address, at := range l.failed {
		if now.Sub(at) > failedDialTTL {
			delete(l.failed, address)
		}
	}
	if len(l.failed) < minLinkEndpoints {
		return false
	}
	n := known()
	return n >= minLinkEndpoints && len(l.failed) >= min(lostLinkDials, n)
}
