package continuation

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSkips(t *testing.T) {
	for _, test := range []struct {
		id, last string
		want     bool
	}{
		{"1", "", false}, {"0", "", false}, {"2", "", true},
		{"4", "3", false}, {"5", "3", true}, {"3", "3", false}, {"2", "3", false},
		{"b", "a", false}, {"b", "", false}, {"", "3", false}, {"5", "a", false},
	} {
		require.Equal(t, test.want, Skips(test.id, test.last), "%q after %q", test.id, test.last)
	}
}

// accept has a sequence check a response whose events have the given ids, and returns how many it accepts.
func accept(s *Sequence, last string, ids ...string) (accepted int, newLast string, err error) {
	p := Position{Begun: last != "", LastID: last}
	for i, id := range ids {
		if err := s.Accept(Next{ID: id, Last: last, Position: p, Received: i}); err != nil {
			return i, last, err
		}
		if id != "" {
			last = id
		}
	}
	return len(ids), last, nil
}

// Guards against events that do not follow the one before and are accepted, or the reverse.
func TestSequence_Accept(t *testing.T) {
	for _, test := range []struct {
		name     string
		last     string
		ids      []string
		accepted int
		err      error
	}{
		{"one by one", "", []string{"1", "2", "3"}, 3, nil},
		{"from zero", "", []string{"0", "1"}, 2, nil},
		{"goes on", "2", []string{"3", "4"}, 2, nil},
		{"no numbers", "", []string{"a", "b"}, 2, nil},
		{"no ids", "", []string{"", ""}, 2, nil},
		{"repeated", "", []string{"1", "1"}, 1, ErrOrder},
		{"back", "", []string{"1", "2", "1"}, 2, ErrOrder},
		{"left out", "", []string{"1", "3"}, 1, ErrSkip},
		{"begins late", "", []string{"2"}, 0, ErrSkip},
		{"goes on late", "2", []string{"4"}, 0, ErrSkip},
		{"goes on with the same", "2", []string{"2"}, 0, ErrPosition},
		{"one without an id", "", []string{"1", ""}, 1, ErrNoID},
		{"one with an id", "", []string{"", "1"}, 1, ErrNoID},
		{"goes on without an id", "2", []string{""}, 0, ErrPosition},
	} {
		t.Run(test.name, func(t *testing.T) {
			accepted, _, err := accept(NewSequence(NewObservations(), "llm", true), test.last, test.ids...)
			require.Equal(t, test.accepted, accepted)
			require.ErrorIs(t, err, test.err)
		})
	}
}

// Guards against a service whose events are numbered in steps and whose streams are never whole.
func TestSequence_LearnsSteps(t *testing.T) {
	o := NewObservations()
	first := NewSequence(o, "llm", true)
	_, last, err := accept(first, "", "10", "20")
	require.ErrorIs(t, err, ErrSkip)
	_, _, err = accept(first, last, "10", "20")
	require.NoError(t, err, "another response leaves out the same")
	for _, resumable := range []bool{true, false} {
		_, _, err = accept(NewSequence(o, "llm", resumable), "", "10", "20")
		require.NoError(t, err)
	}
	_, _, err = accept(NewSequence(o, "other", true), "", "10", "20")
	require.ErrorIs(t, err, ErrSkip, "of one service only")
}

// Guards against a stream that cannot be resumed and is given up without evidence, or lacks an event in spite of it.
func TestSequence_NotResumable(t *testing.T) {
	o := NewObservations()
	_, _, err := accept(NewSequence(o, "llm", false), "", "1", "3")
	require.NoError(t, err, "nothing is known of the service")
	for i := range 3 {
		s := NewSequence(o, "llm", false)
		_, _, err = accept(s, "", "1", strconv.Itoa(2))
		require.NoError(t, err, i)
		s.RecordWhole()
	}
	_, _, err = accept(NewSequence(o, "llm", false), "", "1", "3")
	require.ErrorIs(t, err, ErrSkip)
}

// Guards against two streams that happen to lack the same event and pass for a service that numbers in steps.
func TestSequence_OtherStreamsShowNoSteps(t *testing.T) {
	o := NewObservations()
	for range 3 {
		_, _, err := accept(NewSequence(o, "llm", true), "", "1", "3")
		require.ErrorIs(t, err, ErrSkip)
	}
}
