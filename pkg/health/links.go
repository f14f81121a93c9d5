package health

import (
	"maps"
	"time"
)

const (
	// LostLinkDials is the number of endpoints whose dials must have failed, with none that succeeded
	// since, before a node's own links count as lost: endpoints of one rack fail together too.
	LostLinkDials = 4
	// LostLocalDials is how many of them must be of the node's own data centre, if it has so many: one
	// that is cut off from the others reaches its own.
	LostLocalDials = 3
	// MinLinkEndpoints is the number of known endpoints below which links never count as lost: the
	// failure of a single endpoint looks the same.
	MinLinkEndpoints = 2
	// failedDialTTL is how long a failed dial counts.
	failedDialTTL = 3 * time.Second
)

// Links distinguishes the loss of a node's own links from failures of endpoints, and of the links between
// data centres, by the results of its dials and by responses on new connections. Open connections say nothing:
// they may live on while new ones are refused, or be silent without a reset. It is not safe for concurrent use.
type Links struct {
	// failed has the last failure of each address, since the last success that disproves it.
	failed map[string]linkFailure
}

type linkFailure struct {
	at time.Time
	// silent is set if a connection was opened and no response came.
	silent bool
}

// NewLinks returns a Links without results.
func NewLinks() *Links { return &Links{failed: map[string]linkFailure{}} }

// RecordDial records the result of a dial. One that succeeds says nothing of connections that are silent.
func (l *Links) RecordDial(address string, succeeded bool, now time.Time) {
	if succeeded {
		maps.DeleteFunc(l.failed, func(_ string, f linkFailure) bool { return !f.silent })
		return
	}
	l.failed[address] = linkFailure{at: now}
}

// RecordSilence records that no response came on a new connection.
func (l *Links) RecordSilence(address string, now time.Time) {
	l.failed[address] = linkFailure{at: now, silent: true}
}

// RecordResponse records a response on a new connection.
func (l *Links) RecordResponse() { clear(l.failed) }

// Failed reports whether the last dial of an address failed or was not responded to, without a success since.
func (l *Links) Failed(address string) bool {
	_, failed := l.failed[address]
	return failed
}

// Lost reports whether the links to all endpoints are lost. known returns the addresses of the known
// endpoints of the node's own data centre and of all others; it is not called unless several dials failed.
func (l *Links) Lost(known func() (local, remote []string), now time.Time) bool {
	maps.DeleteFunc(l.failed, func(_ string, f linkFailure) bool { return now.Sub(f.at) > failedDialTTL })
	if len(l.failed) < MinLinkEndpoints {
		return false
	}
	local, remote := known()
	failedLocal, failedRemote := l.countFailed(local), l.countFailed(remote)
	all := len(local) + len(remote)
	return all >= MinLinkEndpoints && failedLocal >= min(LostLocalDials, len(local)) && failedLocal+failedRemote >= min(LostLinkDials, all)
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
