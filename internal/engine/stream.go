package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/samber/oops"
	"github.com/tidwall/gjson"
)

// ErrUnexpectedEvent means that an event belongs to another attempt or is out of
// order; it must not be sent to the caller.
var ErrUnexpectedEvent = errors.New("event belongs to another attempt or is out of order")

const (
	dataPrefix = "data: "
	doneMarker = "[DONE]"
	readBuffer = 4 << 10
	// maxSkipped bounds the bytes of lines that are no event before one that is.
	maxSkipped = 256 << 10
)

// Stream reads the events of one attempt's response.
type Stream struct {
	reader  *bufio.Reader
	attempt string
	// Next is the index of the next expected token.
	Next int
	// begun is set once an event of the attempt was read.
	begun bool
}

// NewStream returns a stream of events that must belong to the attempt and
// start at token index from.
func NewStream(body io.Reader, attempt string, from int) *Stream {
	return &Stream{reader: bufio.NewReaderSize(body, readBuffer), attempt: attempt, Next: from}
}

// Event is one event of a response.
type Event struct {
	// Content is the added text as an encoded JSON string.
	Content json.RawMessage
	// Finish is the finish reason, on the last event with content.
	Finish string
	// Done is set on the event that marks the response as complete.
	Done bool
}

// Read returns the next event. It returns io.ErrUnexpectedEOF if the response
// ended before the event that marks it as complete.
func (s *Stream) Read() (Event, error) {
	for skipped := 0; skipped <= maxSkipped; {
		line, err := s.reader.ReadSlice('\n')
		if err != nil {
			return Event{}, oops.In("engine").Wrap(fmt.Errorf("%w: %v", io.ErrUnexpectedEOF, err))
		}
		line = bytes.TrimRight(line, "\r\n")
		data, ok := bytes.CutPrefix(line, []byte(dataPrefix))
		if !ok {
			skipped += len(line) + 1
			continue
		}
		if string(data) == doneMarker && !s.begun {
			// The marker itself does not show to which attempt it belongs.
			return Event{}, oops.In("engine").Wrap(fmt.Errorf("%w: the end before any event", ErrUnexpectedEvent))
		}
		if string(data) == doneMarker {
			return Event{Done: true}, nil
		}
		return s.parseEvent(data)
	}
	return Event{}, oops.In("engine").Errorf("more than %d bytes without an event", maxSkipped)
}

// parseEvent extracts only the fields needed. It runs for each token, and decoding
// the event into structs costs far more CPU time.
func (s *Stream) parseEvent(data []byte) (Event, error) {
	if !gjson.ValidBytes(data) {
		return Event{}, oops.In("engine").Errorf("event is not valid JSON")
	}
	fields := gjson.GetManyBytes(data, "id", "ridgehinge_token", "choices.0.delta.content", "choices.0.finish_reason", "choices.#")
	id, token, content, finish, choices := fields[0], fields[1], fields[2], fields[3], fields[4]
	if id.String() != s.attempt {
		return Event{}, oops.In("engine").Wrap(fmt.Errorf("%w: got %s, want %s", ErrUnexpectedEvent, id.String(), s.attempt))
	}
	if choices.Int() == 0 {
		return Event{}, oops.In("engine").Errorf("event has no choice")
	}
	s.begun = true
	event := Event{Finish: finish.String()}
	if content.Type != gjson.String {
		return event, nil
	}
	if int(token.Int()) != s.Next || token.Type != gjson.Number {
		return Event{}, oops.In("engine").Wrap(fmt.Errorf("%w: token %s, want %d", ErrUnexpectedEvent, token.Raw, s.Next))
	}
	event.Content = json.RawMessage(content.Raw)
	s.Next++
	return event, nil
}

// Text decodes the content of an event.
func (e Event) Text() string {
	var text string
	if json.Unmarshal(e.Content, &text) != nil {
		return ""
	}
	return text
}

// Join decodes and concatenates the contents of a response.
func Join(contents []json.RawMessage) string {
	var b strings.Builder
	for _, content := range contents {
		b.WriteString(Event{Content: content}.Text())
	}
	return b.String()
}
