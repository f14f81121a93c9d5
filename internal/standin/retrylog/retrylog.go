// Package retrylog records when requests and their retries reached the endpoints of a service
// and compares them with the retry budget of all nodes, for tests and the emulated platform.
package retrylog

import (
	"fmt"
	"slices"
	"time"
)

// Budget allows Ratio times the requests plus Slack retries in any window.
type Budget struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Log holds the arrivals at one service. It is not safe for concurrent use.
type Log struct {
	requests []time.Time
	retries  []time.Time
}

// RecordRequest records the first attempt of a request.
func (l *Log) RecordRequest(at time.Time) { l.requests = append(l.requests, at) }

// RecordRetry records a retry.
func (l *Log) RecordRetry(at time.Time) { l.retries = append(l.retries, at) }

// Counts returns the numbers of recorded retries and requests.
func (l *Log) Counts() (retries, requests int) { return len(l.retries), len(l.requests) }

// Window compares the retries of one window with the budget.
type Window struct {
	From     time.Time
	Retries  int
	Requests int
	Allowed  float64
}

// Excess returns the retries minus those allowed; it may be negative.
func (w Window) Excess() float64 { return float64(w.Retries) - w.Allowed }

// String formats the window on one line.
func (w Window) String() string {
	return fmt.Sprintf("%d retries for %d requests from %s; allowed %.0f", w.Retries, w.Requests, w.From.Format(time.TimeOnly), w.Allowed)
}

// startsPerWindow is the number of evenly spaced window starts checked per window length, in
// addition to those at each retry.
const startsPerWindow = 100

// Worst returns the window with the greatest excess, or the zero Window without retries. The
// requests counted are the maximum over the window itself, the preceding window and the one
// half a window earlier.
func (l *Log) Worst(b Budget) Window {
	slices.SortFunc(l.requests, time.Time.Compare)
	slices.SortFunc(l.retries, time.Time.Compare)
	if len(l.retries) == 0 {
		return Window{}
	}
	starts := slices.Clone(l.retries)
	first, last := l.retries[0].Add(-b.Window), l.retries[len(l.retries)-1]
	for from := first; from.Before(last); from = from.Add(b.Window / startsPerWindow) {
		starts = append(starts, from)
	}
	worst := l.window(b, starts[0])
	for _, from := range starts[1:] {
		if w := l.window(b, from); w.Excess() > worst.Excess() {
			worst = w
		}
	}
	return worst
}

func (l *Log) window(b Budget, from time.Time) Window {
	w := Window{From: from, Retries: countIn(l.retries, from, b.Window)}
	w.Requests = max(
		countIn(l.requests, from, b.Window),
		countIn(l.requests, from.Add(-b.Window/2), b.Window),
		countIn(l.requests, from.Add(-b.Window), b.Window),
	)
	w.Allowed = b.Ratio*float64(w.Requests) + b.Slack
	return w
}

// countIn counts the times in a window; times must be sorted.
func countIn(times []time.Time, from time.Time, window time.Duration) int {
	begin, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(window), time.Time.Compare)
	return end - begin
}
