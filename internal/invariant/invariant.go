// Package invariant asserts, inside the running program, what must always
// hold. A violation is counted and logged always, and ends the process where
// SetFatal was called, as tests do.
package invariant

import (
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
)

// Name is one invariant.
type Name string

// The invariants, one for each promise that can be asserted in place.
const (
	// GroupWhole: a request starts only on a group all of whose members are
	// backed by evidence.
	GroupWhole Name = "group_whole"
	// OneGroup: no instance is a member of two groups.
	OneGroup Name = "one_group"
	// OwnAnswer: an event reaches a caller only if it belongs to the
	// caller's request and is the next one.
	OwnAnswer Name = "own_answer"
	// NotRun: no request is called not run after a byte of it left.
	NotRun Name = "not_run"
	// AtMostOnce: a request that may not be repeated has one attempt.
	AtMostOnce Name = "at_most_once"
	// NoNewWork: no request starts on a leaving endpoint.
	NoNewWork Name = "no_new_work"
	// Forward: configuration and groups never go back.
	Forward Name = "forward"
)

// Names lists all invariants, for metrics.
var Names = []Name{GroupWhole, OneGroup, OwnAnswer, NotRun, AtMostOnce, NoNewWork, Forward}

var (
	fatal      atomic.Bool
	mu         sync.Mutex
	checks     = map[Name]uint64{}
	violations = map[Name]uint64{}
)

// SetFatal makes violations panic.
func SetFatal(on bool) { fatal.Store(on) }

// Check asserts that ok holds. The details are only formatted when it does
// not.
func Check(ok bool, name Name, format string, args ...any) {
	mu.Lock()
	checks[name]++
	if !ok {
		violations[name]++
	}
	mu.Unlock()
	if ok {
		return
	}
	text := fmt.Sprintf(format, args...)
	slog.Error("invariant: violated", "name", string(name), "details", text)
	if fatal.Load() {
		panic("invariant " + string(name) + ": " + text)
	}
}

// Count returns how often an invariant was checked and violated.
func Count(name Name) (checked, violated uint64) {
	mu.Lock()
	defer mu.Unlock()
	return checks[name], violations[name]
}
