// Package invariant checks invariants in the running program. A violation is
// counted and logged, and panics if SetFatal was called, as in tests.
package invariant

import (
	"fmt"
	"log/slog"
	"sync/atomic"
)

// Name identifies an invariant.
type Name uint8

// The invariants.
const (
	// GroupComplete: a request is sent only to a complete group with recent evidence
	// for each member.
	GroupComplete Name = iota
	// OneGroup: no instance is a member of two groups.
	OneGroup
	// OwnResponse: an event is sent to a caller only if it belongs to the caller's
	// request and is the next one.
	OwnResponse
	// NotRun: no request is reported as not run if it may have run.
	NotRun
	// AtMostOnce: a request that must not be retried has at most one attempt that
	// may have run.
	AtMostOnce
	// NoNewWork: no request is sent to a draining endpoint.
	NoNewWork
	// Monotonic: the revisions of configuration and groups never decrease.
	Monotonic
	invariantCount
)

// String returns the name used in metrics.
func (n Name) String() string {
	return [invariantCount]string{"group_whole", "one_group", "own_answer", "not_run", "at_most_once", "no_new_work", "forward"}[n]
}

// Names returns all invariants.
func Names() []Name {
	var all []Name
	for n := range invariantCount {
		all = append(all, n)
	}
	return all
}

// Atomics rather than a mutex: OwnResponse is checked for every token.
var (
	fatal      atomic.Bool
	checks     [invariantCount]atomic.Uint64
	violations [invariantCount]atomic.Uint64
)

// SetFatal sets whether violations panic.
func SetFatal(on bool) { fatal.Store(on) }

// Check counts a check and reports a violation if ok is false. The details are
// formatted only then.
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

// Count returns how often an invariant was checked and how often violated.
func Count(name Name) (checked, violated uint64) {
	return checks[name].Load(), violations[name].Load()
}
