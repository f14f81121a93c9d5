package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventSize bounds one event of a stream, in bytes.
const maxEventSize = 256 << 10

var (
	errEventTooLarge = errors.New("stream event is too large")
	errPartialEvent  = errors.New("stream ended inside an event")
	errNoEvent       = errors.New("stream has bytes that are no event")
	errJoinedEvents  = errors.New("stream event has two ids")
)

// event is one complete event of a stream, as received.
type event struct {
	raw []byte
	// id is empty for an event without one.
	id string
	// isEmpty is set for a block that is no event, such as a comment that keeps the connection alive.
	isEmpty bool
}

// eventReader reads complete events. The bytes of an event are valid until the next call of next.
type eventReader struct {
	reader *bufio.Reader
	raw    []byte
	// skipped counts the bytes since the last event.
	skipped int
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, 2<<10)}
}

// next returns the next event or empty block, or io.EOF after the last one.
func (r *eventReader) next() (event, error) {
	for r.skipped <= maxEventSize {
		fields, err := r.block()
		if err != nil {
			return event{}, err
		}
		r.skipped += len(r.raw)
		switch {
		case fields.ids > 1:
			return event{}, errJoinedEvents
		case fields.ids > 0 || fields.hasData:
			r.skipped = 0
			return event{raw: r.raw, id: fields.id}, nil
		case fields.isUnknown:
			return event{}, errNoEvent
		case fields.lines > 0:
			return event{isEmpty: true}, nil
		}
	}
	return event{}, errEventTooLarge
}

// fields is what the lines of a block have, up to a blank line.
type fields struct {
	lines   int
	id      string
	ids     int
	hasData bool
	// isUnknown is set if a line is neither a comment nor one of a standard field.
	isUnknown bool
}

func (f *fields) add(line []byte) {
	f.lines++
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "", "event", "retry":
	case "id":
		f.id = string(bytes.TrimSpace(value))
		f.ids++
	case "data":
		f.hasData = true
	default:
		f.isUnknown = true
	}
}

// block reads the lines up to the next blank one.
func (r *eventReader) block() (fields, error) {
	r.raw = r.raw[:0]
	f := fields{}
	for {
		start := len(r.raw)
		if err := r.line(); err != nil {
			if errors.Is(err, io.EOF) && len(r.raw) > 0 {
				return f, errPartialEvent
			}
			return f, err
		}
		line := bytes.TrimRight(r.raw[start:], "\r\n")
		if len(line) == 0 {
			return f, nil
		}
		f.add(line)
	}
}

// line appends one line including its terminator.
func (r *eventReader) line() error {
	for {
		part, err := r.reader.ReadSlice('\n')
		r.raw = append(r.raw, part...)
		if len(r.raw) > maxEventSize {
			return errEventTooLarge
		}
		if err == nil {
			return nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}
