// Package limitlog records what reached endpoints that limit how much they take, as the
// endpoints see it, and holds that against their limits: for tests and for the emulated
// platform.
package limitlog

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Bound is how many requests may reach an endpoint in any window once Grace has passed since
// it first named its limit: Factor times what the limit allows, and Slack.
type Bound struct {
	Factor float64
	Slack  float64
	Window time.Duration
	Grace  time.Duration
}

// Log is what endpoints saw. It is safe for concurrent use.
type Log struct {
	mu        sync.Mutex
	endpoints map[string]*history
}

// history is what one endpoint named and took.
type history struct {
	periods  []period
	arrivals []time.Time
}

// period is a time in which an endpoint had a limit.
type period struct {
	from time.Time
	// until is zero while it lasts.
	until time.Time
	// most is the highest limit of the period, in requests a second.
	most float64
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

// Named notes that an endpoint names a limit from now on, in requests a second; zero or
// less ends it.
func (l *Log) Named(endpoint string, perSecond float64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.history(endpoint)
	open := len(h.periods) > 0 && h.periods[len(h.periods)-1].until.IsZero()
	switch {
	case perSecond <= 0 && open:
		h.periods[len(h.periods)-1].until = at
	case perSecond > 0 && open:
		last := &h.periods[len(h.periods)-1]
		last.most = max(last.most, perSecond)
	case perSecond > 0:
		h.periods = append(h.periods, period{from: at, most: perSecond})
	}
}

// Arrived notes that a request has reached an endpoint.
func (l *Log) Arrived(endpoint string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.history(endpoint)
	h.arrivals = append(h.arrivals, at)
}

// Limits returns how many times an endpoint began to name a limit.
func (l *Log) Limits() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, h := range l.endpoints {
		n += len(h.periods)
	}
	return n
}

// Check returns an error for an endpoint that got more in some window than its limit allows.
// Only windows count in which nothing was amiss: calm tells that of a moment.
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

// check looks at the windows that begin with each arrival of a period.
func (h *history) check(endpoint string, p period, b Bound, calm func(at time.Time) bool) error {
	allowed := b.Factor*p.most*b.Window.Seconds() + b.Slack
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
			return fmt.Errorf("endpoint %s, which takes %v a second, got %d requests in %s; allowed %.0f", endpoint, p.most, got, b.Window, allowed)
		}
	}
	return nil
}
