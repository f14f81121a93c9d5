package evacuationlog_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/standin/evacuationlog"
)

func TestCheck_FindsLateArrivals(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	for name, test := range map[string]struct {
		arrival float64
		calm    bool
		broken  bool
	}{
		"before":       {0, true, false},
		"within grace": {2.9, true, false},
		"late":         {3.1, true, true},
		"not calm":     {3.1, false, false},
		"after":        {9.1, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := evacuationlog.New()
			l.RecordEvacuation("north", true, at(1))
			l.RecordEvacuation("north", false, at(9))
			l.RecordArrival("north", at(test.arrival))
			l.RecordArrival("south", at(test.arrival))
			err := l.Check(2*time.Second, func(time.Time) bool { return test.calm })
			require.Equal(t, test.broken, err != nil, "%v", err)
			require.Equal(t, 1, l.Evacuations())
		})
	}
}
