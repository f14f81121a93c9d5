// Package streamlog has events whose text tells where they come from, and checks the events that a caller has got of
// a stream.
package streamlog

import (
	"errors"
	"fmt"
	"strings"
)

// Event is where an event comes from.
type Event struct {
	// Name is that of the stream, which its caller has chosen.
	Name string
	// Run is the start of an answer, After the id after which it began.
	Run   string
	After int
	// Number is that of the event in its stream, which has Total events.
	Number, Total int
}

// ErrText means that a text is not one of an Event.
var ErrText = errors.New("text of no event")

// Text returns the text of the event. It has the given size, or a larger one if it does not suffice.
func (e Event) Text(size int) string {
	size = max(size, len(e.head(size)))
	head := e.head(size)
	return strings.Repeat(head, size/len(head)+1)[:size]
}

// head is what a text repeats. The size is in it, so that a shortened text is found.
func (e Event) head(size int) string {
	return fmt.Sprintf("%s %s %d %d %d %06d ", e.Name, e.Run, e.After, e.Number, e.Total, size)
}

// Block returns the event as a stream has it.
func (e Event) Block(size int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", e.Number, e.Text(size))
}

// Parse returns the event that a text is of.
func Parse(text string) (Event, error) {
	var e Event
	var size int
	if _, err := fmt.Sscanf(text, "%s %s %d %d %d %d", &e.Name, &e.Run, &e.After, &e.Number, &e.Total, &size); err != nil {
		return Event{}, fmt.Errorf("%w: %w", ErrText, err)
	}
	if size != len(text) || e.Text(size) != text {
		return Event{}, fmt.Errorf("%w: it changes or has another size", ErrText)
	}
	return e, nil
}
