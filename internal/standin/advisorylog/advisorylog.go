// Package advisorylog records what endpoints told entry instances about themselves in their
// answers, and the requests that reached them afterwards, and checks that cooldowns and
// draining marks were honored: for tests and for the emulated platform.
package advisorylog

import (
	"fmt"
	"sync"
	"time"
)

// Bound is what may still reach an endpoint after it has asked a node for a cooldown, or has
// told it that it drains.
type Bound struct {
	// Requests is how many requests may arrive from the node within a cooldown, once Grace has
	// passed since the endpoint's answer.
	Requests int
	Grace    time.Duration
	// Drain is how long after a draining mark callers' requests may still be sent to the node
	// and reach the endpoint from it.
	Drain time.Duration
}

// Log is what endpoints saw. It is safe for concurrent use.
type Log struct {
	mu       sync.Mutex
	arrivals map[pair][]arrival
	// cooldowns and marks are what endpoints told.
	cooldowns map[pair][]cooldown
	marks     map[pair]time.Time
}

// pair is a node and an endpoint, or one incarnation of an endpoint.
type pair struct{ node, endpoint string }

// arrival is a request at an endpoint.
type arrival struct {
	// sent is when its caller sent it to the node.
	sent time.Time
	at   time.Time
}

type cooldown struct {
	from time.Time
	span time.Duration
}

// New returns an empty log.
func New() *Log {
	return &Log{arrivals: map[pair][]arrival{}, cooldowns: map[pair][]cooldown{}, marks: map[pair]time.Time{}}
}

// CoolDown notes that an endpoint has rejected a node's request and asked it to send nothing
// for a span.
func (l *Log) CoolDown(node, endpoint string, span time.Duration, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := pair{node, endpoint}
	l.cooldowns[p] = append(l.cooldowns[p], cooldown{at, span})
}

// Mark notes that an endpoint's answer to a node said that it drains.
func (l *Log) Mark(node, endpoint string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := pair{node, endpoint}
	if _, ok := l.marks[p]; !ok {
		l.marks[p] = at
	}
}

// Arrived notes that a caller's request has reached an endpoint from a node.
func (l *Log) Arrived(node, endpoint string, sent, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := pair{node, endpoint}
	l.arrivals[p] = append(l.arrivals[p], arrival{sent, at})
}

// CoolDowns returns how many cooldowns were asked for.
func (l *Log) CoolDowns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, asked := range l.cooldowns {
		n += len(asked)
	}
	return n
}

// Since returns how many requests reached an endpoint from all nodes after a moment.
func (l *Log) Since(endpoint string, from time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for p, arrivals := range l.arrivals {
		for _, a := range arrivals {
			if p.endpoint == endpoint && a.at.After(from) {
				n++
			}
		}
	}
	return n
}

// Check returns an error for a cooldown or a draining mark that a node has not honored. Only
// those count that were told while nothing was amiss: calm tells that of a moment.
func (l *Log) Check(b Bound, calm func(at time.Time) bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p, asked := range l.cooldowns {
		for _, c := range asked {
			if got := l.within(p, c, b); got > b.Requests && calm(c.from) {
				return fmt.Errorf("endpoint %s asked node %s for a cooldown of %s and got %d requests in it; allowed %d", p.endpoint, p.node, c.span, got, b.Requests)
			}
		}
	}
	for p, marked := range l.marks {
		for _, a := range l.arrivals[p] {
			if late := a.sent.Sub(marked); late > b.Drain && calm(marked) {
				return fmt.Errorf("endpoint %s told node %s that it drains, and got a request that its caller sent %s later; allowed %s", p.endpoint, p.node, late, b.Drain)
			}
		}
	}
	return nil
}

// within counts the arrivals in a cooldown after its grace; the caller holds the lock.
func (l *Log) within(p pair, c cooldown, b Bound) int {
	n := 0
	for _, a := range l.arrivals[p] {
		if since := a.at.Sub(c.from); since > b.Grace && since < c.span {
			n++
		}
	}
	return n
}
