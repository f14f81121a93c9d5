package health_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/pkg/health"
)

// Guards against taking failures of single endpoints, or of a rack, for the loss of the node's own
// links, and the reverse.
func TestLinks_LostAfterDialsOfSeveralEndpoints(t *testing.T) {
	start := time.Unix(1000, 0)
	type dial struct {
		after     time.Duration
		endpoint  int
		succeeded bool
	}
	for _, test := range []struct {
		name  string
		known int
		dials []dial
		at    time.Duration
		want  bool
	}{
		{"no dial", 9, nil, 0, false},
		{"one endpoint refuses again and again", 9, []dial{{0, 1, false}, {1, 1, false}, {2, 1, false}, {3, 1, false}, {4, 1, false}}, 5, false},
		{"three of a rack", 9, []dial{{0, 1, false}, {1, 2, false}, {2, 3, false}}, 3, false},
		{"four with a success between", 9, []dial{{0, 1, false}, {1, 2, false}, {2, 9, true}, {3, 3, false}, {4, 4, false}}, 5, false},
		{"four", 9, []dial{{0, 1, false}, {1, 2, false}, {2, 3, false}, {3, 4, false}}, 4, true},
		{"four and a success", 9, []dial{{0, 1, false}, {1, 2, false}, {2, 3, false}, {3, 4, false}, {4, 5, true}}, 5, false},
		{"all of three", 3, []dial{{0, 1, false}, {1, 2, false}, {2, 3, false}}, 4, true},
		{"the only endpoint", 1, []dial{{0, 1, false}}, 1, false},
		{"long ago", 9, []dial{{0, 1, false}, {1, 2, false}, {2, 3, false}, {3, 4, false}}, 4 * time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := health.NewLinks()
			for _, d := range test.dials {
				l.RecordDial(fmt.Sprint(d.endpoint), d.succeeded, start.Add(d.after))
			}
			require.Equal(t, test.want, l.Lost(func() int { return test.known }, start.Add(test.at)))
		})
	}
}
