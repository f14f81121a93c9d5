// Package limitlog records the requests that reached endpoints with a rate limit and compares
// them with the limits, for tests and the emulated platform.
package limitlog

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Bound allows Factor times the endpoint's limit plus Slack requests in any window that starts
// at least Grace after the endpoint first advertised the limit.
type Bound struct {
	Factor float64
	Slack  float64
	Window time.Duration
	Grace  time.Duration
}

// Log holds the limits and arrivals of endpoints. It is safe for concurrent use.
type Log struct {
	mu        sync.Mutex
	endpoints map[string]*history
}

// history holds the limits and arrivals of one endpoint.
type history struct {
	periods  []period
	arrivals []time.Time
}

// period is a span of time during which an endpoint had a limit.
type period struct {
	from time.Time
	// until is zero while the period lasts.
	until time.Time
	// maxPerSecond is the highest limit during the period, in requests per second.
	maxPerSecond float64
}

// New returns an empty log.
func New() *Log { return &Log{endpoints: map[string]*history{}} }

func (l *Log) history(endpoint string) *history {
	h := l.endpoints[endpoint]
	if h == nil {
		h = &history{}
		l.endpoints[endpoint] = h
	}
	return h
}

// RecordLimit records that an endpoint advertises a limit from now on, in requests per second; zero
// or less ends the limit.
func (l *Log) RecordLimit(endpoint string, perSecond float64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.history(endpoint)
	open := len(h.periods) > 0 && h.periods[len(h.periods)-1].until.IsZero()
	switch {
	case perSecond <= 0 && open:
		h.periods[len(h.periods)-1].until = at
	case perSecond > 0 && open:
		last := &h.periods[len(h.periods)-1]
		last.maxPerSecond = max(last.maxPerSecond, perSecond)
	case perSecond > 0:
		h.periods = append(h.periods, period{from: at, maxPerSecond: perSecond})
	}
}

// RecordArrival records that a request has reached an endpoint.
func (l *Log) RecordArrival(endpoint string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.history(endpoint)
	h.arrivals = append(h.arrivals, at)
}

// LimitPeriods returns the number of periods with a limit, over all endpoints.
func (l *Log) LimitPeriods() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, h := range l.endpoints {
		n += len(h.periods)
	}
	return n
}

// Check returns an error for an endpoint that got more requests in a window than the bound
// allows. Only windows count that start at a time for which calm returns true.
func (l *Log) Check(b Bound, calm func(at time.Time) bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for endpoint, h := range l.endpoints {
		slices.SortFunc(h.arrivals, time.Time.Compare)
		for _, p := range h.periods {
			if err := h.check(endpoint, p, b, calm); err != nil {
				return err
			}
		}
	}
	return nil
}

// check tests the windows that start at each arrival of a period.
func (h *history) check(endpoint string, p period, b Bound, calm func(at time.Time) bool) error {
	allowed := b.Factor*p.maxPerSecond*b.Window.Seconds() + b.Slack
	for i, from := range h.arrivals {
		if from.Before(p.from.Add(b.Grace)) || !calm(from) {
			continue
		}
		end := from.Add(b.Window)
		if !p.until.IsZero() && p.until.Before(end) {
			end = p.until
		}
		got := 0
		for _, at := range h.arrivals[i:] {
			if at.Before(end) {
				got++
			}
		}
		if float64(got) > allowed {
			return fmt.Errorf("endpoint %s with a limit of %v requests a second got %d requests in %s; allowed %.0f", endpoint, p.maxPerSecond, got, b.Window, allowed)
		}
	}
	return nil
}
