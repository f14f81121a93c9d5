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

// next returns the next event, or io.EOF after the last one.
func (r *eventReader) next() (event, error) {
	r.raw = r.raw[:0]
	e := event{}
	skipped := 0
	for {
		start := len(r.raw)
		if err := r.line(); err != nil {
			if errors.Is(err, io.EOF) && len(r.raw) > 0 {
				return e, errPartialEvent
			}
			return e, err
		}
		line := bytes.TrimRight(r.raw[start:], "\r\n")
		if len(line) == 0 {
			if start == 0 {
				// Skip blank lines before an event.
				if skipped += len(r.raw); skipped > maxEventSize {
					return e, errEventTooLarge
				}
				r.raw = r.raw[:0]
				continue
			}
			e.raw = r.raw
			return e, nil
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(id))
		}
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
