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
}

// eventReader reads complete events. The bytes of an event are valid until the next call of next.
type eventReader struct {
	reader *bufio.Reader
	raw    []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, 2<<10)}
}

// next returns the next event, or io.EOF after the last one. Comments are dropped: they are no part of the stream.
func (r *eventReader) next() (event, error) {
	for skipped := 0; skipped <= maxEventSize; skipped += len(r.raw) {
		fields, err := r.block()
		if err != nil {
			return event{}, err
		}
		switch {
		case fields.isEmpty():
		case fields.ids > 1:
			return event{}, errJoinedEvents
		case fields.ids == 0 && !fields.hasData:
			return event{}, errNoEvent
		default:
			return event{r.raw, fields.id}, nil
		}
	}
	return event{}, errEventTooLarge
}

// fields is what the lines of a block have, up to a blank line.
type fields struct {
	id      string
	ids     int
	hasData bool
	// hasOther is set if there is another line that is no comment.
	hasOther bool
}

// isEmpty reports whether a block has nothing but comments.
func (f *fields) isEmpty() bool { return f.ids == 0 && !f.hasData && !f.hasOther }

func (f *fields) add(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "":
	case "id":
		f.id = string(bytes.TrimSpace(value))
		f.ids++
	case "data":
		f.hasData = true
	default:
		f.hasOther = true
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
