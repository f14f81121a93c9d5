// Package advisorylog records the cooldowns and draining marks that endpoints advertised in
// their responses and the requests that reached them afterwards, and checks that both were
// honoured, for tests and the emulated platform.
package advisorylog

import (
	"fmt"
	"sync"
	"time"
)

// Bound limits the requests that may reach an endpoint after it has advertised a cooldown or
// draining to a node.
type Bound struct {
	// MaxRequests is the maximum number of requests from the node in the part of a cooldown that
	// is more than Grace after the endpoint's response.
	MaxRequests int
	Grace       time.Duration
	// DrainGrace is how long after a draining mark a caller may send the node a request that
	// still reaches the endpoint.
	DrainGrace time.Duration
}

// Log holds the arrivals, cooldowns and draining marks. It is safe for concurrent use.
type Log struct {
	mu       sync.Mutex
	arrivals map[nodeEndpoint][]arrival
	// Advertised by endpoints.
	cooldowns     map[nodeEndpoint][]cooldown
	drainingSince map[nodeEndpoint]time.Time
}

// nodeEndpoint identifies a node and an endpoint, or one incarnation of an endpoint.
type nodeEndpoint struct{ node, endpoint string }

type arrival struct {
	// sent is when the caller sent the request to the node.
	sent time.Time
	at   time.Time
}

type cooldown struct {
	from     time.Time
	duration time.Duration
}

// New returns an empty log.
func New() *Log {
	return &Log{arrivals: map[nodeEndpoint][]arrival{}, cooldowns: map[nodeEndpoint][]cooldown{}, drainingSince: map[nodeEndpoint]time.Time{}}
}

// RecordCooldown records that an endpoint has rejected a node's request and asked for a cooldown.
func (l *Log) RecordCooldown(node, endpoint string, duration time.Duration, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := nodeEndpoint{node, endpoint}
	l.cooldowns[p] = append(l.cooldowns[p], cooldown{at, duration})
}

// RecordDraining records that an endpoint's response to a node carried a draining mark.
func (l *Log) RecordDraining(node, endpoint string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := nodeEndpoint{node, endpoint}
	if _, ok := l.drainingSince[p]; !ok {
		l.drainingSince[p] = at
	}
}

// RecordArrival records that a caller's request has reached an endpoint from a node.
func (l *Log) RecordArrival(node, endpoint string, sent, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := nodeEndpoint{node, endpoint}
	l.arrivals[p] = append(l.arrivals[p], arrival{sent, at})
}

// Cooldowns returns the number of cooldowns requested by endpoints.
func (l *Log) Cooldowns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, asked := range l.cooldowns {
		n += len(asked)
	}
	return n
}

// ArrivalsSince returns the number of requests that reached an endpoint from any node after a time.
func (l *Log) ArrivalsSince(endpoint string, from time.Time) int {
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

// Check returns an error for a cooldown or draining mark that a node has not honoured. Only
// those advertised at times for which calm returns true count.
func (l *Log) Check(b Bound, calm func(at time.Time) bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p, asked := range l.cooldowns {
		for _, c := range asked {
			if got := l.arrivalsDuring(p, c, b); got > b.MaxRequests && calm(c.from) {
				return fmt.Errorf("endpoint %s asked node %s for a cooldown of %s and got %d requests during it; allowed %d", p.endpoint, p.node, c.duration, got, b.MaxRequests)
			}
		}
	}
	for p, marked := range l.drainingSince {
		for _, a := range l.arrivals[p] {
			if late := a.sent.Sub(marked); late > b.DrainGrace && calm(marked) {
				return fmt.Errorf("endpoint %s told node %s that it is draining and got a request sent by its caller %s later; allowed %s", p.endpoint, p.node, late, b.DrainGrace)
			}
		}
	}
	return nil
}

// arrivalsDuring counts the arrivals in a cooldown after the grace; l.mu must be held.
func (l *Log) arrivalsDuring(p nodeEndpoint, c cooldown, b Bound) int {
	n := 0
	for _, a := range l.arrivals[p] {
		if since := a.at.Sub(c.from); since > b.Grace && since < c.duration {
			n++
		}
	}
	return n
}
