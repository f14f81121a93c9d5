package health

import "time"

const (
	// lostLinkDials is the number of endpoints whose dials must have failed, with none that succeeded
	// since, before a node's own links count as lost: endpoints of one rack fail together too.
	lostLinkDials = 4
	// lostLocalDials is how many of them must be of the node's own data centre, if it has so many: one
	// that is cut off from the others reaches its own.
	lostLocalDials = 3
	// minLinkEndpoints is the number of known endpoints below which links never count as lost: the
	// failure of a single endpoint looks the same.
	minLinkEndpoints = 2
	// failedDialTTL is how long a failed dial counts.
	failedDialTTL = 3 * time.Second
)

// Links distinguishes the loss of a node's own links from failures of endpoints, and of the links between
// data centres, by the results of its dials. Established connections say nothing: they may live on while
// new ones are refused, or be silent without a reset. It is not safe for concurrent use.
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

// Lost reports whether the links to all endpoints are lost. known returns the addresses of the known
// endpoints of the node's own data centre and of all others; it is not called unless several dials failed.
func (l *Links) Lost(known func() (local, remote []string), now time.Time) bool {
	for address, at := range l.failed {
		if now.Sub(at) > failedDialTTL {
			delete(l.failed, address)
		}
	}
	if len(l.failed) < minLinkEndpoints {
		return false
	}
	local, remote := known()
	failedLocal, failedRemote := l.countFailed(local), l.countFailed(remote)
	all := len(local) + len(remote)
	return all >= minLinkEndpoints && failedLocal >= min(lostLocalDials, len(local)) && failedLocal+failedRemote >= min(lostLinkDials, all)
}

func (l *Links) countFailed(addresses []string) int {
	n := 0
	for _, address := range addresses {
		if l.Failed(address) {
			n++
		}
	}
	return n
}
