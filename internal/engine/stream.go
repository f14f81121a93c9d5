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
)

// ErrForeign means that an event belongs to another attempt or is out of
// order: it must not reach the caller.
var ErrForeign = errors.New("an event of another answer")

const (
	dataPrefix = "data: "
	doneMark   = "[DONE]"
	readBuffer = 4 << 10
)

// Stream reads the events of one attempt's answer.
type Stream struct {
	reader  *bufio.Reader
	attempt string
	// Next is the index of the token that must come next.
	Next int
}

// NewStream reads an answer that must belong to the attempt and start at the
// token given.
func NewStream(body io.Reader, attempt string, from int) *Stream {
	return &Stream{reader: bufio.NewReaderSize(body, readBuffer), attempt: attempt, Next: from}
}

// Event is one step of an answer.
type Event struct {
	// Content is the new text as a JSON string, still encoded.
	Content json.RawMessage
	// Finish is the reason of the end, on the last event with content.
	Finish string
	// Done is set when the endpoint has said that the answer is whole.
	Done bool
}

// Read returns the next event. io.ErrUnexpectedEOF means that the answer was
// cut: the endpoint never said that it was whole.
func (s *Stream) Read() (Event, error) {
	for {
		line, err := s.reader.ReadSlice('\n')
		if err != nil {
			return Event{}, oops.In("engine").Wrap(fmt.Errorf("%w: %v", io.ErrUnexpectedEOF, err))
		}
		line = bytes.TrimRight(line, "\r\n")
		data, ok := bytes.CutPrefix(line, []byte(dataPrefix))
		if !ok {
			continue
		}
		if string(data) == doneMark {
			return Event{Done: true}, nil
		}
		return s.event(data)
	}
}

func (s *Stream) event(data []byte) (Event, error) {
	var chunk Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return Event{}, oops.In("engine").Wrapf(err, "read event")
	}
	if chunk.ID != s.attempt {
		return Event{}, oops.In("engine").Wrap(fmt.Errorf("%w: got %s, want %s", ErrForeign, chunk.ID, s.attempt))
	}
	if len(chunk.Choices) == 0 {
		return Event{}, oops.In("engine").Errorf("an event without a choice")
	}
	choice := chunk.Choices[0]
	event := Event{Content: choice.Delta.Content}
	if choice.FinishReason != nil {
		event.Finish = *choice.FinishReason
	}
	if len(event.Content) == 0 {
		return event, nil
	}
	if chunk.Token != s.Next {
		return Event{}, oops.In("engine").Wrap(fmt.Errorf("%w: token %d, want %d", ErrForeign, chunk.Token, s.Next))
	}
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

// Join decodes and joins the contents of an answer.
func Join(contents []json.RawMessage) string {
	var b strings.Builder
	for _, content := range contents {
		b.WriteString(Event{Content: content}.Text())
	}
	return b.String()
}
