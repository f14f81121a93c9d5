package continuation

import (
	"errors"
	"fmt"
)

// Errors of an event that must not reach the caller as the next one of its stream.
var (
	ErrOrder = errors.New("stream event is out of order")
	ErrNoID  = errors.New("stream event has no id, unlike others")
	// ErrSkip means that ids are left out before the event. Another response tells whether it is missing one.
	ErrSkip = errors.New("stream events are left out")
)

// skip is a place in a stream where ids are left out.
type skip struct{ last, id string }

// Sequence checks the events of one stream, from all responses that a caller gets parts of.
type Sequence struct {
	observed *Observations
	service  string
	// resumable is set if another response can be asked for what seems to be missing.
	resumable bool
	// rejected is the last skip for which another response was asked for.
	rejected skip
	// accepted counts the events; skips and unnumbered are set once one of them had left ids out or had no id.
	accepted          int
	skips, unnumbered bool
}

// NewSequence returns a Sequence for a stream of a service.
func NewSequence(o *Observations, service string, resumable bool) *Sequence {
	return &Sequence{observed: o, service: service, resumable: resumable}
}

// Next is an event that is about to be relayed.
type Next struct {
	// ID is the event's id, Last that of the event which the caller has last.
	ID, Last string
	// Position is that of the caller when the event's response began, Received the number of events of the response before.
	Position Position
	Received int
	// Checked is set if another node has checked that the event is the next one.
	Checked bool
}

// Accept checks the next event.
func (s *Sequence) Accept(n Next) error {
	id, last := n.ID, n.Last
	if err := s.check(n); err != nil {
		return err
	}
	s.accepted++
	s.unnumbered = s.unnumbered || id == ""
	s.skips = s.skips || Skips(id, last)
	return nil
}

func (s *Sequence) check(n Next) error {
	id, last := n.ID, n.Last
	if n.Received == 0 {
		if err := n.Position.CheckFirst(id); err != nil {
			return err
		}
	} else if !Follows(id, last) {
		return fmt.Errorf("%w: %q after %q", ErrOrder, id, last)
	}
	if id == "" && last != "" || id != "" && s.unnumbered {
		return fmt.Errorf("%w: %q after %q", ErrNoID, id, last)
	}
	if n.Checked {
		return nil
	}
	return s.checkSkip(id, last)
}

// checkSkip rejects an event before which ids are left out until another response leaves out the same. A stream that cannot
// be resumed is given up for it only if others of its service were numbered one by one.
func (s *Sequence) checkSkip(id, last string) error {
	found := skip{last, id}
	known := s.observed.numbering(s.service)
	switch {
	case !Skips(id, last), known == inSteps, !s.resumable && known != oneByOne:
		return nil
	case found == s.rejected:
		s.observed.recordNumbering(s.service, inSteps)
		return nil
	}
	s.rejected = found
	return fmt.Errorf("%w: %q after %q", ErrSkip, id, last)
}

// minEvents is the least number of events from which a whole stream shows how its service numbers them.
const minEvents = 2

// IsUnnumbered reports whether an event without an id was accepted: none of the stream has one.
func (s *Sequence) IsUnnumbered() bool { return s.unnumbered }

// RecordWhole learns from a stream that has ended as complete.
func (s *Sequence) RecordWhole() {
	if s.accepted >= minEvents && !s.skips && !s.unnumbered {
		s.observed.recordNumbering(s.service, oneByOne)
	}
}
