// Package crashlog records which requests crashed the endpoints that ran them and when they
// were sent again, as seen by the endpoints, for tests and the emulated platform.
package crashlog

import (
	"fmt"
	"sync"
	"time"
)

// Bound limits a request that has caused Crashes crashes: more than Grace after the last of
// these crashes, it may be sent at most MaxSends more times.
type Bound struct {
	Crashes  int
	MaxSends int
	Grace    time.Duration
}

// Log holds the sends and crashes of each request content. It is safe for concurrent use.
type Log struct {
	mu       sync.Mutex
	contents map[string]*history
}

type history struct {
	sends   []time.Time
	crashes []time.Time
}

// New returns an empty log.
func New() *Log { return &Log{contents: map[string]*history{}} }

func (l *Log) history(content string) *history {
	h := l.contents[content]
	if h == nil {
		h = &history{}
		l.contents[content] = h
	}
	return h
}

// RecordSend records that a request with this content has reached an endpoint.
func (l *Log) RecordSend(content string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.history(content)
	h.sends = append(h.sends, at)
}

// RecordCrash records that a request with this content has crashed an endpoint.
func (l *Log) RecordCrash(content string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.history(content)
	h.crashes = append(h.crashes, at)
}

// Count returns the number of endpoints crashed by requests with this content.
func (l *Log) Count(content string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.history(content).crashes)
}

// Check returns an error for a request that was sent more often than allowed. Only sends at
// times for which calm returns true count.
func (l *Log) Check(b Bound, calm func(at time.Time) bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for content, h := range l.contents {
		if len(h.crashes) < b.Crashes {
			continue
		}
		from := h.crashes[b.Crashes-1].Add(b.Grace)
		sends := 0
		for _, at := range h.sends {
			if at.After(from) && calm(at) {
				sends++
			}
		}
		if sends > b.MaxSends {
			return fmt.Errorf("a request that had crashed %d endpoints was sent %d more times; it crashed %d in all: %.60s",
				b.Crashes, sends, len(h.crashes), content)
		}
	}
	return nil
}
