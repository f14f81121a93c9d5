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

// Accept checks the id of the next event: one of a response whose caller was at a position when it began, after so many
// others of the same response, and after the event that the caller has last.
func (s *Sequence) Accept(p Position, received int, id, last string) error {
	if err := s.check(p, received, id, last); err != nil {
		return err
	}
	s.accepted++
	s.unnumbered = s.unnumbered || id == ""
	s.skips = s.skips || Skips(id, last)
	return nil
}

func (s *Sequence) check(p Position, received int, id, last string) error {
	if received == 0 {
		if err := p.CheckFirst(id); err != nil {
			return err
		}
	} else if !Follows(id, last) {
		return fmt.Errorf("%w: %q after %q", ErrOrder, id, last)
	}
	if id == "" && (last != "" || s.observed.numbering(s.service) == oneByOne) || id != "" && s.unnumbered {
		return fmt.Errorf("%w: %q after %q", ErrNoID, id, last)
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

// RecordWhole learns from a stream that has ended as complete, unless its caller began in the middle.
func (s *Sequence) RecordWhole() {
	if s.accepted >= minEvents && !s.skips && !s.unnumbered {
		s.observed.recordNumbering(s.service, oneByOne)
	}
}
