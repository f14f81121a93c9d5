package streamlog

import (
	"fmt"
	"strconv"
	"strings"
)

// End is how an attempt ended.
type End uint8

// The ends of attempts.
const (
	// Broken ended with an error.
	Broken End = iota
	// Complete ended as a whole answer does.
	Complete
	// Left was given up by the caller.
	Left
)

// Stream is what a caller knows of a stream.
type Stream struct {
	Name  string
	Total int
}

// Attempt is what a caller got of a stream by one request.
type Attempt struct {
	// After is the id after which the caller resumed the stream.
	After int
	Body  string
	End   End
}

// Kind is a kind of violation.
type Kind string

// The kinds of violations.
const (
	Foreign    Kind = "foreign text"
	WrongID    Kind = "id of another event"
	Missing    Kind = "missing event"
	Repeated   Kind = "repeated event"
	OutOfOrder Kind = "event out of order"
	RunAgain   Kind = "earlier run goes on"
	LateStart  Kind = "run does not begin where it was resumed"
	Unparsable Kind = "unparsable block"
	EarlyEnd   Kind = "complete without the last event"
	AfterEnd   Kind = "event after the last"
)

// Violation is a fault of a stream, in the attempt with an index.
type Violation struct {
	Kind    Kind
	Attempt int
	Detail  string
}

// String implements fmt.Stringer.
func (v Violation) String() string {
	return fmt.Sprintf("%s (attempt %d): %s", v.Kind, v.Attempt+1, v.Detail)
}

// LastID returns the id of the last whole event of a body, or after if there is none.
func LastID(after int, body string) int {
	blocks, _ := split(body)
	for i := len(blocks) - 1; i >= 0; i-- {
		if id, _, ok := parseBlock(blocks[i]); ok {
			return id
		}
	}
	return after
}

// Events returns the number of whole blocks of a body.
func Events(body string) int {
	blocks, _ := split(body)
	return len(blocks)
}

// Check returns the violations of a stream in all attempts of its caller.
func Check(s Stream, attempts []Attempt) []Violation {
	c := checker{stream: s, runs: map[string]bool{}}
	for i, a := range attempts {
		c.checkAttempt(i, a)
	}
	return c.violations
}

// checker checks the attempts of a stream one after another.
type checker struct {
	stream     Stream
	violations []Violation
	// runs has all runs of which there was an event.
	runs map[string]bool

	// Of the present attempt: its index, the last event and its run, and all events.
	attempt int
	last    int
	run     string
	seen    map[int]bool
}

func (c *checker) record(kind Kind, format string, args ...any) {
	c.violations = append(c.violations, Violation{kind, c.attempt, fmt.Sprintf(format, args...)})
}

func (c *checker) checkAttempt(i int, a Attempt) {
	c.attempt, c.last, c.run, c.seen = i, a.After, "", map[int]bool{}
	blocks, rest := split(a.Body)
	for _, block := range blocks {
		c.checkBlock(block)
	}
	if a.End != Complete {
		return
	}
	if rest != "" {
		c.record(Unparsable, "complete inside an event: %.200q", rest)
	}
	if c.last < c.stream.Total {
		c.record(EarlyEnd, "after event %d of %d", c.last, c.stream.Total)
	}
}

func (c *checker) checkBlock(block string) {
	id, text, ok := parseBlock(block)
	if !ok {
		c.record(Unparsable, "after %d: %.200q", c.last, block)
		return
	}
	e, err := Parse(text)
	if err != nil {
		c.record(Unparsable, "after %d: %v: %.200q", c.last, err, block)
		return
	}
	if e.Name != c.stream.Name || e.Total != c.stream.Total {
		c.record(Foreign, "after %d: %+v", c.last, e)
		return
	}
	if id != e.Number {
		c.record(WrongID, "id %d: %+v", id, e)
	}
	c.checkNumber(e)
	c.checkRun(e)
	c.last = max(c.last, e.Number)
	c.seen[e.Number] = true
}

func (c *checker) checkNumber(e Event) {
	switch {
	case c.last >= c.stream.Total:
		c.record(AfterEnd, "%+v", e)
	case c.seen[e.Number]:
		c.record(Repeated, "after %d: %+v", c.last, e)
	case e.Number <= c.last:
		c.record(OutOfOrder, "after %d: %+v", c.last, e)
	case e.Number > c.last+1:
		c.record(Missing, "after %d: %+v", c.last, e)
	}
}

func (c *checker) checkRun(e Event) {
	if e.Run == c.run {
		return
	}
	switch {
	case c.runs[e.Run]:
		c.record(RunAgain, "after %d: %+v", c.last, e)
	case e.Number != e.After+1:
		c.record(LateStart, "after %d: %+v", c.last, e)
	}
	c.run = e.Run
	c.runs[e.Run] = true
}

// split returns the whole blocks of a body and the part of one at its end. Blank lines besides those that end blocks
// mean nothing.
func split(body string) (blocks []string, rest string) {
	for {
		body = strings.TrimLeft(body, "\n")
		block, after, whole := strings.Cut(body, "\n\n")
		if !whole {
			return blocks, body
		}
		blocks = append(blocks, block)
		body = after
	}
}

// parseBlock returns the id and the text of a block that has both, once, and nothing else.
func parseBlock(block string) (id int, text string, ok bool) {
	first, second, _ := strings.Cut(block, "\n")
	number, hasID := strings.CutPrefix(first, "id: ")
	text, hasText := strings.CutPrefix(second, "data: ")
	id, err := strconv.Atoi(number)
	return id, text, hasID && hasText && err == nil && !strings.Contains(text, "\n")
}
