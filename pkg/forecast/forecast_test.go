package forecast

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestOffsetsFindTheMedian(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, c := range []struct {
		name   string
		median time.Duration
		// late is the part of the errors that are two seconds more.
		late float64
	}{
		{"none", 0, 0},
		{"a constant of the engine", 120 * time.Millisecond, 0},
		{"some waited for seconds", 120 * time.Millisecond, 0.1},
		{"beyond what is learned", 2 * time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var o Offset
			for range 300 {
				err := c.median + time.Duration(random.IntN(40)-20)*time.Millisecond
				if random.Float64() < c.late {
					err += 2 * time.Second
				}
				o.Note(err)
			}
			require.InDelta(t, min(most, c.median).Milliseconds(), o.Value().Milliseconds(), 20)
		})
	}
}

func TestAnOffsetIsLearnedSoon(t *testing.T) {
	var o Offset
	for range 12 {
		o.Note(125 * time.Millisecond)
	}
	require.InDelta(t, 125, o.Value().Milliseconds(), 35)
}

func ExampleOffset() {
	var o Offset
	for range 100 {
		o.Note(120 * time.Millisecond)
	}
	fmt.Println(o.Value().Round(10 * time.Millisecond))
	// Output: 120ms
}
