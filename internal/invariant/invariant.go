// Package invariant asserts, inside the running program, what must always
// hold. A violation is counted and logged always, and ends the process where
// SetFatal was called, as tests do.
package invariant

import (
	"fmt"
	"log/slog"
	"sync/atomic"
)

// Name is one invariant.
type Name uint8

// The invariants, one for each promise that can be asserted in place.
const (
	// GroupWhole: a request starts only on a group all of whose members are
	// backed by evidence.
	GroupWhole Name = iota
	// OneGroup: no instance is a member of two groups.
	OneGroup
	// OwnAnswer: an event reaches a caller only if it belongs to the
	// caller's request and is the next one.
	OwnAnswer
	// NotRun: no request is called not run after a byte of it left.
	NotRun
	// AtMostOnce: a request that may not be repeated has one attempt.
	AtMostOnce
	// NoNewWork: no request starts on a leaving endpoint.
	NoNewWork
	// Forward: configuration and groups never go back.
	Forward
	count
)

// String returns the name as metrics have it.
func (n Name) String() string {
	return [count]string{"group_whole", "one_group", "own_answer", "not_run", "at_most_once", "no_new_work", "forward"}[n]
}

// Names returns all invariants, for metrics.
func Names() []Name {
	var all []Name
	for n := range count {
		all = append(all, n)
	}
	return all
}

// The counters are atomic: own_answer is checked for every token, on all
// processors at once.
var (
	fatal      atomic.Bool
	checks     [count]atomic.Uint64
	violations [count]atomic.Uint64
)

// SetFatal makes violations panic.
func SetFatal(on bool) { fatal.Store(on) }

// Check asserts that ok holds. The details are only formatted when it does
// not.
func Check(ok bool, name Name, format string, args ...any) {
	checks[name].Add(1)
	if ok {
		return
	}
	violations[name].Add(1)
	text := fmt.Sprintf(format, args...)
	slog.Error("invariant: violated", "name", name.String(), "details", text)
	if fatal.Load() {
		panic("invariant " + name.String() + ": " + text)
	}
}

// Count returns how often an invariant was checked and violated.
func Count(name Name) (checked, violated uint64) {
	return checks[name].Load(), violations[name].Load()
}
