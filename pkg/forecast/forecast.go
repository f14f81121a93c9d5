// Package forecast learns by how much predicted times are off.
//
// It is pure: no clock, no random source. Its inputs are errors, each the time that
// something took less the time that was predicted; its output is their median, as a
// duration. It returns no errors.
package forecast

import "time"

const (
	// firstStep is how far the first errors move the estimate, halved after each
	// stepFor of them down to lastStep: an estimate that starts at zero reaches 120 ms
	// within a dozen requests, and moves by 2 ms with each from then on.
	firstStep = 32 * time.Millisecond
	lastStep  = 2 * time.Millisecond
	stepFor   = 8
	// most bounds what is learned: errors beyond it tell of overload, which the
	// prediction has to see by itself.
	most = 500 * time.Millisecond
)

// Offset is the running median of errors. Each error moves it by a step towards itself,
// however large it is, so that a few requests that waited for seconds do not count for
// more than as many that were a little early. The zero value is ready.
type Offset struct {
	value time.Duration
	seen  int
}

// Note takes one error.
func (o *Offset) Note(err time.Duration) {
	step := max(lastStep, firstStep>>min(16, o.seen/stepFor))
	o.seen++
	if err < o.value {
		step = -step
	}
	o.value = min(most, max(0, o.value+step))
}

// Value returns what is to be added to a prediction; it is never negative.
func (o *Offset) Value() time.Duration { return o.value }
