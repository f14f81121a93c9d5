// Package evacuationlog records the requests that reached the endpoints of evacuated data centres,
// for tests and the emulated platform.
package evacuationlog

import (
	"fmt"
	"sync"
	"time"
)

// Log holds the evacuations and the arrivals at each data centre. It is safe for concurrent use.
type Log struct {
	mu          sync.Mutex
	dataCentres map[string]*history
}

type history struct {
	periods  []period
	arrivals []time.Time
}

// period is one evacuation; until is zero while it lasts.
type period struct{ from, until time.Time }

// New returns an empty log.
func New() *Log { return &Log{dataCentres: map[string]*history{}} }

func (l *Log) history(dc string) *history {
	h := l.dataCentres[dc]
	if h == nil {
		h = &history{}
		l.dataCentres[dc] = h
	}
	return h
}

// RecordEvacuation records that the platform has acknowledged an evacuation, or its end.
func (l *Log) RecordEvacuation(dc string, evacuated bool, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.history(dc)
	open := len(h.periods) > 0 && h.periods[len(h.periods)-1].until.IsZero()
	switch {
	case evacuated && !open:
		h.periods = append(h.periods, period{from: at})
	case !evacuated && open:
		h.periods[len(h.periods)-1].until = at
	}
}

// RecordArrival records that a request has reached an endpoint of a data centre.
func (l *Log) RecordArrival(dc string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.history(dc)
	h.arrivals = append(h.arrivals, at)
}

// Evacuations returns the number of evacuations so far.
func (l *Log) Evacuations() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, h := range l.dataCentres {
		n += len(h.periods)
	}
	return n
}

// Check returns an error for a request that reached an evacuated data centre later than grace
// after the evacuation. Only arrivals at a time for which calm returns true count.
func (l *Log) Check(grace time.Duration, calm func(at time.Time) bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for dc, h := range l.dataCentres {
		for _, at := range h.arrivals {
			for _, p := range h.periods {
				if at.After(p.from.Add(grace)) && (p.until.IsZero() || at.Before(p.until)) && calm(at) {
					return fmt.Errorf("a request reached data centre %s %s after its evacuation; allowed %s", dc, at.Sub(p.from), grace)
				}
			}
		}
	}
	return nil
}
