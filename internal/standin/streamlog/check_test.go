package streamlog

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const textSize = 80

// event returns the block of an event of the stream "s", which has 4 events.
func event(run string, after, number int) string {
	return Event{Name: "s", Run: run, After: after, Number: number, Total: 4}.Block(textSize)
}

// Guards against a shortened or spliced text that passes for that of an event.
func TestParse(t *testing.T) {
	e := Event{Name: "s", Run: "r1", After: 2, Number: 3, Total: 4}
	for _, size := range []int{1, 20, 80, 21000} {
		text := e.Text(size)
		require.GreaterOrEqual(t, len(text), size)
		got, err := Parse(text)
		require.NoError(t, err)
		require.Equal(t, e, got)
		_, err = Parse(text[:len(text)-1])
		require.ErrorIs(t, err, ErrText)
	}
	other := Event{Name: "s", Run: "r2", After: 2, Number: 3, Total: 4}
	spliced := e.Text(80)[:40] + other.Text(80)[40:]
	_, err := Parse(spliced)
	require.ErrorIs(t, err, ErrText)
}

// Guards against faults of streams that the rig does not find, and against whole streams that it rejects.
func TestCheck(t *testing.T) {
	whole := event("a", 0, 1) + event("a", 0, 2) + event("a", 0, 3) + event("a", 0, 4)
	foreign := Event{Name: "t", Run: "b", Number: 3, Total: 4}.Block(textSize)
	otherTotal := Event{Name: "s", Run: "a", Number: 3, Total: 5}.Block(textSize)
	wrongID := strings.Replace(event("a", 0, 3), "id: 3", "id: 4", 1)
	first := event("a", 0, 1) + event("a", 0, 2)
	for _, test := range []struct {
		name     string
		attempts []Attempt
		want     []Kind
	}{
		{"whole", []Attempt{{0, whole, Complete}}, nil},
		{"cut", []Attempt{{0, first + "id: 3\nda", Broken}}, nil},
		{"left", []Attempt{{0, first, Left}}, nil},
		{"nothing", []Attempt{{0, "", Broken}}, nil},
		{"blank lines", []Attempt{{0, "\n\n\n" + whole, Complete}}, nil},
		{"continued by the system", []Attempt{{0, first + event("b", 2, 3) + event("b", 2, 4), Complete}}, nil},
		{"resumed by the caller", []Attempt{{0, first, Broken}, {2, event("b", 2, 3) + event("b", 2, 4), Complete}}, nil},
		{"resumed after the last", []Attempt{{0, whole, Broken}, {4, "", Complete}}, nil},
		{"resumed after less than it has", []Attempt{{0, first, Left}, {1, event("b", 1, 2), Broken}}, nil},
		{"foreign", []Attempt{{0, first + foreign, Broken}}, []Kind{Foreign}},
		{"of another total", []Attempt{{0, first + otherTotal, Broken}}, []Kind{Foreign}},
		{"id differs from the text", []Attempt{{0, first + wrongID, Broken}}, []Kind{WrongID}},
		{"missing", []Attempt{{0, first + event("a", 0, 4), Broken}}, []Kind{Missing}},
		{"repeated", []Attempt{{0, first + event("a", 0, 2), Broken}}, []Kind{Repeated}},
		{"out of order", []Attempt{{0, event("a", 0, 1) + event("a", 0, 3) + event("a", 0, 2), Broken}}, []Kind{Missing, OutOfOrder}},
		{"not resumed", []Attempt{{2, event("a", 0, 1), Broken}}, []Kind{OutOfOrder}},
		{"two runs spliced", []Attempt{{0, first + event("b", 0, 3), Broken}}, []Kind{LateStart}},
		{"run goes on after another", []Attempt{{0, first + event("b", 2, 3) + event("a", 0, 4), Broken}}, []Kind{RunAgain}},
		{"run of an earlier attempt", []Attempt{{0, first, Left}, {2, event("a", 0, 3), Broken}}, []Kind{RunAgain}},
		{"begins late", []Attempt{{0, event("a", 0, 2), Broken}}, []Kind{Missing, LateStart}},
		{"no id", []Attempt{{0, "data: x\n\n" + whole, Complete}}, []Kind{Unparsable}},
		{"garbage", []Attempt{{0, first + "x\n\n", Broken}}, []Kind{Unparsable}},
		{"two blocks in one", []Attempt{{0, strings.Replace(first, "\n\n", "\n", 1), Broken}}, []Kind{Unparsable}},
		{"complete inside an event", []Attempt{{0, whole + "id: 5", Complete}}, []Kind{Unparsable}},
		{"complete too early", []Attempt{{0, first, Complete}}, []Kind{EarlyEnd}},
		{"complete at once", []Attempt{{0, "", Complete}}, []Kind{EarlyEnd}},
		{"event after the last", []Attempt{{0, whole + event("a", 0, 4), Broken}}, []Kind{AfterEnd}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var got []Kind
			for _, v := range Check(Stream{"s", 4}, test.attempts) {
				got = append(got, v.Kind)
			}
			require.Equal(t, test.want, got)
		})
	}
}

// Guards against callers that resume after an event of which they have only a part.
func TestLastID(t *testing.T) {
	require.Equal(t, 7, LastID(7, "id: 8\ndata: x\n"))
	require.Equal(t, 2, LastID(0, event("a", 0, 1)+event("a", 0, 2)+event("a", 0, 3)[:20]))
	require.Equal(t, 2, Events(event("a", 0, 1)+event("a", 0, 2)+event("a", 0, 3)[:20]))
}
